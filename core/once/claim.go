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

	// maxFlushRecords bounds the records of one stored object.
	maxFlushRecords = 200

	// maxClaimAttempts is how often a claim whose write got no answer is read back.
	maxClaimAttempts = 3
)

type (
	// claim binds a key of a caller's own to its owner.
	claim struct {
		Owner Owner  `json:"owner"`
		Nonce string `json:"nonce"`
		// BodyHash is the hash of the body with which the key came first.
		BodyHash string    `json:"bodyHash"`
		At       time.Time `json:"at"`
	}

	// handover says who took over an owner's keys.
	handover struct {
		To Owner `json:"to"`
	}
)

// claimName does not show the key: keys may name people.
func claimName(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// bind returns the claim that holds for a key, after trying to make want the
// one. The condition of the write is that no claim exists. A write without an
// answer is read back; only the nonce tells whether it took effect.
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
		// The write may still take effect. It is sent again with the same
		// nonce, so that either copy means the same claim.
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

// writeOutcomes writes records that ended as one object, named by owner and number, so
// that a repeated write is the same object.
func writeOutcomes(ctx context.Context, store object.Store, owner Owner, seq int, records []Record) error {
	data, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("encoding outcomes: %w", err)
	}
	name := fmt.Sprintf("%s.%06d", owner.Incarnation, seq)
	_, err = store.Put(ctx, object.Object{Kind: outcomeKind, Name: name, Version: object.Absent, Data: data})
	if errors.Is(err, object.ErrConflict) {
		// An earlier write of the same number took effect without an answer.
		return nil
	}
	return err
}

// findStoredRecord looks for a key in what an owner stored.
func findStoredRecord(ctx context.Context, store object.Store, owner Owner, key string) (Record, error) {
	objs, err := store.List(ctx, outcomeKind, owner.Incarnation+".")
	if err != nil {
		return Record{}, err
	}
	for _, obj := range objs {
		var records []Record
		if err := json.Unmarshal(obj.Data, &records); err != nil {
			return Record{}, fmt.Errorf("decoding outcomes %s: %w", obj.Name, err)
		}
		for _, r := range records {
			if r.Key == key {
				return r, nil
			}
		}
	}
	return Record{}, object.ErrNotFound
}
