// Package once guarantees that a non-idempotent request runs at most once.
//
// Each such request carries an idempotency key. A key belongs to one
// incarnation of one instance, its owner, and only the owner's in-memory table
// decides whether the request runs. There are two forms of key. A ticket is
// issued by an instance and names its owner, so that it needs no store. A
// caller-supplied key is bound to an owner by a claim, an object that is created
// in the platform's store only if it is absent. If the owner is gone and stored
// no record of the key, the outcome is unknown, and the request never runs again.
//
// The package must not run pipelines itself: a function is passed in for that.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"chervilpath/core/fault"
)

const (
	// ticketPrefix distinguishes tickets from caller-supplied keys.
	ticketPrefix = "cpt1."

	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 512
)

type (
	// Owner is one incarnation of one instance.
	Owner struct {
		// Incarnation is unique to a process.
		Incarnation string `json:"incarnation"`
		// Address is the address at which peers reach the instance.
		Address string `json:"address"`
	}

	// ticket is the payload of a ticket. The encoded form is the payload as
	// JSON followed by its MAC, keyed with a secret that all entry instances
	// share.
	ticket struct {
		Owner        Owner     `json:"owner"`
		ID           string    `json:"id"`
		Organisation string    `json:"organisation"`
		Expires      time.Time `json:"expires"`
	}

	// Issuer issues and verifies tickets.
	Issuer struct {
		secret []byte
	}
)

// NewIssuer returns an issuer that signs tickets with the secret shared by all
// instances.
func NewIssuer(secret []byte) *Issuer { return &Issuer{secret: secret} }

func (i *Issuer) mac(payload []byte) []byte {
	m := hmac.New(sha256.New, i.secret)
	m.Write(payload)
	return m.Sum(nil)
}

func (i *Issuer) issue(t ticket) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", fault.Errorf(fault.Internal, "issuing a ticket: %w", err)
	}
	enc := base64.RawURLEncoding
	return ticketPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(i.mac(payload)), nil
}

// parse decodes and verifies the ticket in a key. The second result is false if
// the key is not a ticket but was supplied by the caller.
func (i *Issuer) parse(key string) (ticket, bool, error) {
	var t ticket
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return t, false, nil
	}
	body, sum, _ := strings.Cut(rest, ".")
	payload, err1 := base64.RawURLEncoding.DecodeString(body)
	mac, err2 := base64.RawURLEncoding.DecodeString(sum)
	if err1 != nil || err2 != nil || !hmac.Equal(mac, i.mac(payload)) {
		return t, true, fault.Errorf(fault.BadRequest, "the ticket is not one that this system issued; get one from /v1/tickets")
	}
	if err := json.Unmarshal(payload, &t); err != nil {
		return t, true, fault.Errorf(fault.BadRequest, "decoding the ticket: %w", err)
	}
	return t, true, nil
}

// CheckKey returns an error if the key of a request is missing or too long.
func CheckKey(key string) error {
	if key == "" {
		return fault.Errorf(fault.KeyRequired, "the kind is not idempotent; send a ticket from /v1/tickets or a key of your own as Idempotency-Key")
	}
	if len(key) > maxKeyBytes {
		return fault.Errorf(fault.BadRequest, "the Idempotency-Key has %d bytes; send at most %d", len(key), maxKeyBytes)
	}
	return nil
}
