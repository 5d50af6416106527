// Package once owns the promise that a request of a kind that is not
// idempotent runs at most once.
//
// A key belongs to one incarnation of one instance, its owner, and only the
// owner's memory decides whether the request runs. A ticket names its owner in
// the ticket itself, so that it needs no store. A key of the caller's own is
// bound to an owner by a claim that is created in the platform's store only if
// absent. When the owner is gone and left no record, the outcome is unknown,
// and the request never runs again. The package must not run pipelines itself:
// it is given a function for that.
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
	// ticketPrefix tells tickets from keys of the caller's own.
	ticketPrefix = "cpt1."

	// maxKeyBytes bounds a key.
	maxKeyBytes = 512
)

type (
	// Owner is one incarnation of one instance.
	Owner struct {
		// Incarnation is unique to a process.
		Incarnation string `json:"incarnation"`
		// Address is where its peers reach it.
		Address string `json:"address"`
	}

	// ticket is what a ticket says. Its form is the JSON text and a MAC over it
	// by a secret that all entry instances share.
	ticket struct {
		Owner        Owner     `json:"owner"`
		ID           string    `json:"id"`
		Organisation string    `json:"organisation"`
		Expires      time.Time `json:"expires"`
	}

	// Issuer makes and checks tickets.
	Issuer struct {
		secret []byte
	}
)

// NewIssuer returns an issuer that uses the secret shared by all instances.
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

// parse returns the ticket that a key holds. The second result is false if the
// key is not a ticket but a key of the caller's own.
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
		return t, true, fault.Errorf(fault.BadRequest, "reading the ticket: %w", err)
	}
	return t, true, nil
}

// CheckKey returns an error if a caller's key cannot be used.
func CheckKey(key string) error {
	if key == "" {
		return fault.Errorf(fault.KeyRequired, "the kind is not idempotent; send a ticket from /v1/tickets or a key of your own as Idempotency-Key")
	}
	if len(key) > maxKeyBytes {
		return fault.Errorf(fault.BadRequest, "the Idempotency-Key has %d bytes; send at most %d", len(key), maxKeyBytes)
	}
	return nil
}
