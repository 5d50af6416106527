package once

import (
	"context"
	"encoding/json"
	"errors"

	"chervilpath/core/object"
)

// forward sends an attempt to the owner of the key or, if the keys were handed
// over, possibly several times, to their current owner. If no owner answers, it
// returns the outcome that the original owner stored.
func (c *Coordinator) forward(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	current := owner
	for range maxRedirects {
		if !c.hasSuccessor(current) {
			o, err := c.deps.Forward(ctx, Owner{Incarnation: owner.Incarnation, Address: current.Address}, a)
			if err == nil || !errors.Is(err, ErrOwnerGone) {
				return o, err
			}
		}
		if c.owns(owner) {
			return c.ServePeer(ctx, owner, a)
		}
		to, ok := c.successor(ctx, current)
		if !ok {
			break
		}
		current = to
	}
	return c.knownOutcome(ctx, owner, a)
}

// OwnedIncarnations returns the incarnations whose keys this instance owns: its
// own and the adopted ones.
func (c *Coordinator) OwnedIncarnations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []string{c.cfg.Owner.Incarnation}
	for incarnation := range c.adopted {
		out = append(out, incarnation)
	}
	return out
}

// Adopt takes over the keys of owners that shut down.
func (c *Coordinator) Adopt(incarnations []string, records []Record) {
	c.table.Adopt(records)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, incarnation := range incarnations {
		c.adopted[incarnation] = true
		delete(c.successors, incarnation)
	}
}

// MarkHandedOver records that another owner took over all keys of this instance.
func (c *Coordinator) MarkHandedOver(to Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successors[c.cfg.Owner.Incarnation] = to
	for incarnation := range c.adopted {
		c.successors[incarnation] = to
	}
	clear(c.adopted)
}

// setSuccessor records which owner took over an incarnation's keys. It does
// nothing if that was this instance.
func (c *Coordinator) setSuccessor(from string, to Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adopted[from] {
		c.successors[from] = to
	}
}

// StoreHandover writes to the store which owner took over this instance's keys.
func (c *Coordinator) StoreHandover(ctx context.Context, to Owner) error {
	data, err := json.Marshal(handover{To: to})
	if err != nil {
		return err
	}
	_, err = c.deps.Store.Put(ctx, object.Object{Kind: handoverKind, Name: c.cfg.Owner.Incarnation, Version: object.Absent, Data: data})
	return err
}

func (c *Coordinator) hasSuccessor(owner Owner) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.successors[owner.Incarnation]
	return ok
}

// successor returns the owner that took over an owner's keys, from memory or
// from the store.
func (c *Coordinator) successor(ctx context.Context, owner Owner) (Owner, bool) {
	c.mu.Lock()
	to, ok := c.successors[owner.Incarnation]
	c.mu.Unlock()
	if ok {
		return to, true
	}
	obj, err := c.deps.Store.Get(ctx, handoverKind, owner.Incarnation)
	if err != nil {
		return Owner{}, false
	}
	var h handover
	if err := json.Unmarshal(obj.Data, &h); err != nil {
		return Owner{}, false
	}
	c.setSuccessor(owner.Incarnation, h.To)
	return h.To, true
}
