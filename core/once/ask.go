package once

import (
	"context"
	"errors"

	"chervilpath/core/fault"
	"chervilpath/core/object"
)

// knownOutcome answers from memory or from what the owner stored, without running.
func (c *Coordinator) knownOutcome(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if o, ok := c.table.lookupOutcome(tableKey(a)); ok {
		return o, nil
	}
	r, err := findStoredRecord(ctx, c.deps.Store, owner, tableKey(a))
	if err != nil {
		return unknownOutcome("the instance that owned the key is gone and left no record"), nil
	}
	if len(a.Body) > 0 && r.BodyHash != bodyHash(a) {
		return Outcome{}, errKeyReused()
	}
	return r.Outcome, nil
}

// Query returns what is known of a key without running anything. Its owner is
// asked if it lives.
func (c *Coordinator) Query(ctx context.Context, organisation, key string) (Outcome, error) {
	a := Attempt{Organisation: organisation, Key: key, Deadline: c.deps.Now().Add(queryTimeout), QueryOnly: true}
	t, isTicket, err := c.issuer.parse(key)
	if err != nil {
		return Outcome{}, err
	}
	owner := t.Owner
	if !isTicket {
		if o, ok := c.table.lookupOutcome(tableKey(a)); ok {
			return o, nil
		}
		current, err := readClaim(ctx, c.deps.Store, claimName(organisation, key))
		switch {
		case errors.Is(err, object.ErrNotFound):
			return Outcome{}, errKeyUnused()
		case err != nil:
			return Outcome{}, fault.Errorf(fault.StoreUnavailable, "reading the claim of the key: %w", err)
		}
		owner = current.Owner
	}
	if c.owns(owner) {
		return c.queryLocal(ctx, owner, a)
	}
	return c.forward(ctx, owner, a)
}

// queryLocal answers for keys that are decided here. A key of which nothing is
// held may still come, so nothing is said of whether it ran.
func (c *Coordinator) queryLocal(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	o, err := c.knownOutcome(ctx, owner, a)
	t, isTicket, _ := c.issuer.parse(a.Key)
	if err == nil && o.State == Unknown && isTicket && c.deps.Now().Before(t.Expires) {
		if _, found := c.table.lookupOutcome(tableKey(a)); !found {
			return Outcome{}, errKeyUnused()
		}
	}
	return o, err
}

func errKeyUnused() error {
	return fault.Errorf(fault.NotFound, "no request with this key has come yet").WithRan(fault.RanUnknown)
}
