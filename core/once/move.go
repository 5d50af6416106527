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
func (k *Keeper) forward(ctx context.Context, owner Owner, a Attempt) (Outcome, error) {
	at := owner
	for range maxRedirects {
		if !k.hasMoved(at) {
			o, err := k.deps.Forward(ctx, Owner{Incarnation: owner.Incarnation, Address: at.Address}, a)
			if err == nil || !errors.Is(err, ErrOwnerGone) {
				return o, err
			}
		}
		if k.owns(owner) {
			return k.ServePeer(ctx, owner, a)
		}
		to, ok := k.successor(ctx, at)
		if !ok {
			break
		}
		at = to
	}
	return k.known(ctx, owner, a)
}

// Owned returns the incarnations whose keys are decided here.
func (k *Keeper) Owned() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []string{k.cfg.Owner.Incarnation}
	for incarnation := range k.adopted {
		out = append(out, incarnation)
	}
	return out
}

// Adopt takes over the keys of owners that leave.
func (k *Keeper) Adopt(incarnations []string, records []Record) {
	k.table.Adopt(records)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, incarnation := range incarnations {
		k.adopted[incarnation] = true
		delete(k.moved, incarnation)
	}
}

// HandedOver notes that all keys decided here were taken over.
func (k *Keeper) HandedOver(to Owner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.moved[k.cfg.Owner.Incarnation] = to
	for incarnation := range k.adopted {
		k.moved[incarnation] = to
	}
	clear(k.adopted)
}

// noteMove notes that an owner's keys were taken over, unless by this instance.
func (k *Keeper) noteMove(from string, to Owner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.adopted[from] {
		k.moved[from] = to
	}
}

// StoreMove writes who took over this instance's keys.
func (k *Keeper) StoreMove(ctx context.Context, to Owner) error {
	data, err := json.Marshal(move{To: to})
	if err != nil {
		return err
	}
	_, err = k.deps.Store.Put(ctx, object.Object{Kind: moveKind, Name: k.cfg.Owner.Incarnation, Version: object.Absent, Data: data})
	return err
}

func (k *Keeper) hasMoved(owner Owner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.moved[owner.Incarnation]
	return ok
}

func (k *Keeper) successor(ctx context.Context, owner Owner) (Owner, bool) {
	k.mu.Lock()
	to, ok := k.moved[owner.Incarnation]
	k.mu.Unlock()
	if ok {
		return to, true
	}
	obj, err := k.deps.Store.Get(ctx, moveKind, owner.Incarnation)
	if err != nil {
		return Owner{}, false
	}
	var m move
	if err := json.Unmarshal(obj.Data, &m); err != nil {
		return Owner{}, false
	}
	k.noteMove(owner.Incarnation, m.To)
	return m.To, true
}
