package once

import (
	"context"
	"encoding/json"
	"errors"

	"chervilpath/core/object"
)

// forward sends an attempt to the owner, or to the one that took over its keys,
// also if it handed them on in turn. If none answers, what the owner stored
// decides.
func (c *Coordinator) forward(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	holder := owner
	for range maxRedirects {
		if !c.hasSuccessor(holder) {
			o, err := c.deps.Forward(ctx, Owner{Incarnation: owner.Incarnation, Address: holder.Address}, a)
			if err == nil || !errors.Is(err, ErrOwnerGone) {
				return o, err
			}
		}
		if c.owns(owner) {
			return c.ServePeer(ctx, owner, a)
		}
		to, ok := c.successor(ctx, holder)
		if !ok {
			break
		}
		holder = to
	}
	return c.knownOutcome(ctx, owner, a)
}

// OwnedIncarnations returns the incarnations whose keys are decided here.
func (c *Coordinator) OwnedIncarnations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []string{c.cfg.Owner.Incarnation}
	for incarnation := range c.adopted {
		out = append(out, incarnation)
	}
	return out
}

// Adopt takes over the keys of owners that leave.
func (c *Coordinator) Adopt(incarnations []string, records []Record) {
	c.table.Adopt(records)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, incarnation := range incarnations {
		c.adopted[incarnation] = true
		delete(c.successors, incarnation)
	}
}

// MarkHandedOver notes that all keys decided here were taken over.
func (c *Coordinator) MarkHandedOver(to Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successors[c.cfg.Owner.Incarnation] = to
	for incarnation := range c.adopted {
		c.successors[incarnation] = to
	}
	clear(c.adopted)
}

// setSuccessor notes that an owner's keys were taken over, unless by this instance.
func (c *Coordinator) setSuccessor(from string, to Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adopted[from] {
		c.successors[from] = to
	}
}

// StoreHandover writes who took over this instance's keys.
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
