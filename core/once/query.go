package once

import (
	"context"
	"errors"

	"chervilpath/core/fault"
	"chervilpath/core/object"
)

// knownOutcome returns the outcome from memory or from the records that the
// owner stored. It runs nothing.
func (c *Coordinator) knownOutcome(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if o, ok := c.table.lookupOutcome(tableKey(a)); ok {
		return o, nil
	}
	r, err := findStoredRecord(ctx, c.deps.Store, owner, tableKey(a))
	if err != nil {
		return unknownOutcome("the instance that owned the key is gone and stored no record of it"), nil
	}
	if len(a.Body) > 0 && r.BodyHash != bodyHash(a) {
		return Outcome{}, errKeyReused()
	}
	return r.Outcome, nil
}

// Query returns the outcome of a key without running anything. The attempt is
// forwarded to the key's owner if that is another instance.
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
			return Outcome{}, fault.Errorf(fault.StoreUnavailable, "reading the claim for the key: %w", err)
		}
		owner = current.Owner
	}
	if c.owns(owner) {
		return c.queryLocal(ctx, owner, a)
	}
	return c.forward(ctx, owner, a)
}

// queryLocal answers queries for keys that this instance owns. A request with a
// ticket that is unknown but has not expired may still arrive, so the error
// leaves open whether it ran.
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
	return fault.Errorf(fault.NotFound, "no request with this key has been received yet").WithRan(fault.RanUnknown)
}
