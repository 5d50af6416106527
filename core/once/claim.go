package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/object"
)

const (
	claimKind    = "claims"
	outcomeKind  = "outcomes"
	handoverKind = "handovers"

	// maxFlushRecords is the maximum number of records in one stored object.
	maxFlushRecords = 200

	// maxClaimAttempts is the maximum number of writes of a claim. After a write
	// that was not confirmed, the claim is read back.
	maxClaimAttempts = 3
)

type (
	// claim binds a caller-supplied key to its owner.
	claim struct {
		Owner Owner  `json:"owner"`
		Nonce string `json:"nonce"`
		// BodyHash is the hash of the body that was first sent with the key.
		BodyHash string    `json:"bodyHash"`
		At       time.Time `json:"at"`
	}

	// handover names the owner that took over another owner's keys.
	handover struct {
		To Owner `json:"to"`
	}
)

// claimName returns the object name of a key's claim. It is a hash, because keys
// may contain personal data.
func claimName(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// bind tries to store the proposed claim and returns the claim that is in force.
// The write succeeds only if no claim exists. If a write is not confirmed, the
// claim is read back, and only its nonce shows whether the write took effect.
func bind(ctx context.Context, store object.Store, name string, proposed claim) (claim, error) {
	data, err := json.Marshal(proposed)
	if err != nil {
		return claim{}, fault.Errorf(fault.Internal, "encoding a claim: %w", err)
	}
	for range maxClaimAttempts {
		_, err = store.Put(ctx, object.Object{Kind: claimKind, Name: name, Version: object.Absent, Data: data})
		if err == nil {
			return proposed, nil
		}
		if errors.Is(err, object.ErrUnavailable) {
			break
		}
		current, readErr := readClaim(ctx, store, name)
		if readErr == nil {
			return current, nil
		}
		if !errors.Is(readErr, object.ErrNotFound) {
			err = readErr
			break
		}
		// The write may still take effect. It is retried with the same nonce, so
		// that it does not matter which of the two creates the claim.
	}
	return claim{}, fault.Errorf(fault.StoreUnavailable, "claiming the key: %w", err)
}

func readClaim(ctx context.Context, store object.Store, name string) (claim, error) {
	var c claim
	obj, err := store.Get(ctx, claimKind, name)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(obj.Data, &c); err != nil {
		return c, fmt.Errorf("decoding claim %s: %w", name, err)
	}
	return c, nil
}

// writeOutcomes writes records as one object. The object is named by owner and
// sequence number, so that a retried write refers to the same object.
func writeOutcomes(ctx context.Context, store object.Store, owner Owner, seq int, records []Record) error {
	data, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("encoding outcomes: %w", err)
	}
	name := fmt.Sprintf("%s.%06d", owner.Incarnation, seq)
	_, err = store.Put(ctx, object.Object{Kind: outcomeKind, Name: name, Version: object.Absent, Data: data})
	if errors.Is(err, object.ErrConflict) {
		// An earlier write with this sequence number took effect but was not
		// confirmed.
		return nil
	}
	return err
}

// findStoredRecord searches the records that an owner stored for one key. The
// error is object.ErrNotFound if there is none. If it is not found, but records cannot be
// decoded, the error is another one, since it may be among these.
func findStoredRecord(ctx context.Context, store object.Store, owner Owner, key string) (Record, error) {
	objs, err := store.List(ctx, outcomeKind, owner.Incarnation+".")
	if err != nil {
		return Record{}, err
	}
	notFound := object.ErrNotFound
	for _, obj := range objs {
		var records []Record
		if err := json.Unmarshal(obj.Data, &records); err != nil {
			notFound = fmt.Errorf("decoding outcomes %s: %w", obj.Name, err)
			continue
		}
		for _, r := range records {
			if r.Key == key {
				return r, nil
			}
		}
	}
	return Record{}, notFound
}
