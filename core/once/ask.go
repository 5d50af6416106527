package once

import (
	"context"
	"errors"

	"chervilpath/core/fault"
	"chervilpath/core/object"
)

// known answers from memory or from what the owner stored, without running.
func (k *Keeper) known(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	if o, ok := k.table.look(tableKey(a)); ok {
		return o, nil
	}
	r, err := recorded(ctx, k.deps.Store, owner, tableKey(a))
	if err != nil {
		return unknown("the instance that owned the key is gone and left no record"), nil
	}
	if len(a.Body) > 0 && r.BodyHash != bodyHash(a) {
		return Outcome{}, reused()
	}
	return r.Outcome, nil
}

// Ask returns what is known of a key without running anything. Its owner is
// asked if it lives.
func (k *Keeper) Ask(ctx context.Context, organisation, key string) (Outcome, error) {
	a := Attempt{Organisation: organisation, Key: key, Deadline: k.deps.Now().Add(queryTimeout), AskOnly: true}
	t, isTicket, err := k.issuer.parse(key)
	if err != nil {
		return Outcome{}, err
	}
	owner := t.Owner
	if !isTicket {
		if o, ok := k.table.look(tableKey(a)); ok {
			return o, nil
		}
		c, err := readClaim(ctx, k.deps.Store, claimName(organisation, key))
		switch {
		case errors.Is(err, object.ErrNotFound):
			return Outcome{}, unused()
		case err != nil:
			return Outcome{}, fault.Errorf(fault.StoreUnavailable, "reading the claim of the key: %w", err)
		}
		owner = c.Owner
	}
	if k.owns(owner) {
		return k.askHere(ctx, owner, a)
	}
	return k.forward(ctx, owner, a)
}

// askHere answers for keys that are decided here. A key of which nothing is
// held may still come, so nothing is said of whether it ran.
func (k *Keeper) askHere(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	o, err := k.known(ctx, owner, a)
	t, isTicket, _ := k.issuer.parse(a.Key)
	if err == nil && o.State == Unknown && isTicket && k.deps.Now().Before(t.Expires) {
		if _, held := k.table.look(tableKey(a)); !held {
			return Outcome{}, unused()
		}
	}
	return o, err
}

func unused() error {
	return fault.Errorf(fault.NotFound, "no request with this key has come yet").WithRan(fault.RanUnknown)
}
