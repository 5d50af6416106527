// Package sweep owns the removal of what the system has stored and no longer
// needs: claims and outcomes of keys, records of cost, and old revisions.
//
// An object is removed on the condition that it still has the version that was
// read. The revision in force and its fragments always stay. A key whose claim
// was removed is a new key, so claims have to be kept for longer than any
// caller sends a request again.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilpath/core/object"
)

const (
	// prefixes split claims, whose names are hexadecimal digests, so that no
	// list is long.
	prefixes = 4096

	// grace is the time between the run that finds a fragment unused and the
	// one that removes it. No publication takes as long, and one that uses the
	// fragment again gives it a new version first.
	grace = time.Hour
)

type (
	// Keep says for how long each kind of object is kept.
	Keep struct {
		Keys      time.Duration
		Costs     time.Duration
		Revisions time.Duration
	}

	// Counts are the objects that were looked at and removed.
	Counts struct {
		Looked, Removed int
	}

	// sweeper removes objects of one store.
	sweeper struct {
		store  object.Store
		now    time.Time
		counts Counts
	}

	// dated is what the stored objects have in common: each kind has one of
	// these times.
	dated struct {
		At time.Time `json:"at"`
		To time.Time `json:"to"`
	}

	// ended is a stored outcome, as far as its age goes.
	ended struct {
		Ended time.Time `json:"ended"`
	}

	// candidates are fragments that no revision used, with the versions that
	// they had then.
	candidates struct {
		At       time.Time        `json:"at"`
		Versions map[string]int64 `json:"versions"`
	}

	// root is a revision, as far as its fragments go.
	root struct {
		At        time.Time `json:"at"`
		PublishID string    `json:"publishId"`
		Fragments []struct {
			Hash string `json:"hash"`
		} `json:"fragments"`
	}
)

var errUndated = errors.New("the object has no time")

// Run removes what is older than it is to be kept. An error leaves the rest for
// the next run.
func Run(ctx context.Context, store object.Store, now time.Time, keep Keep) (Counts, error) {
	s := &sweeper{store: store, now: now}
	for i := range prefixes {
		if err := s.kind(ctx, "claims", fmt.Sprintf("%03x", i), keep.Keys, ageOfDated); err != nil {
			return s.counts, err
		}
	}
	if err := s.kind(ctx, "outcomes", "", keep.Keys, ageOfOutcomes); err != nil {
		return s.counts, err
	}
	if err := s.kind(ctx, "costs", "", keep.Costs, ageOfDated); err != nil {
		return s.counts, err
	}
	err := s.revisions(ctx, keep.Revisions)
	return s.counts, err
}

// kind removes the objects of a kind that are old.
func (s *sweeper) kind(ctx context.Context, kind, prefix string, keep time.Duration, age func(time.Time, []byte) (time.Duration, error)) error {
	objs, err := s.store.List(ctx, kind, prefix)
	if err != nil {
		return fmt.Errorf("sweeping %s: %w", kind, err)
	}
	for _, obj := range objs {
		s.counts.Looked++
		old, err := age(s.now, obj.Data)
		if err != nil || old < keep {
			continue
		}
		if err := s.remove(ctx, obj); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an object unless it has changed. A delete without an answer
// is left for the next run.
func (s *sweeper) remove(ctx context.Context, obj object.Object) error {
	err := s.store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	switch {
	case err == nil:
		s.counts.Removed++
	case errors.Is(err, object.ErrUnavailable):
		return fmt.Errorf("sweeping %s: %w", obj.Kind, err)
	}
	return nil
}

// revisions removes old revisions, and in a later run the fragments that no
// other revision has.
func (s *sweeper) revisions(ctx context.Context, keep time.Duration) error {
	var before candidates
	version, err := s.read(ctx, "sweeps", "fragments", &before)
	if err != nil {
		return err
	}
	next := candidates{At: s.now, Versions: make(map[string]int64)}
	inForce, used, dropped, err := s.dropRevisions(ctx, keep)
	if err != nil || !inForce {
		return err
	}
	for hash, seen := range before.Versions {
		switch {
		case used[hash]:
		case s.now.Sub(before.At) < grace:
			next.Versions[hash] = seen
			next.At = before.At
		default:
			if err := s.remove(ctx, object.Object{Kind: "fragments", Name: hash, Version: seen}); err != nil {
				return err
			}
		}
	}
	for hash, seen := range dropped {
		if !used[hash] {
			next.Versions[hash] = seen
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding candidates: %w", err)
	}
	if _, err := s.store.Put(ctx, object.Object{Kind: "sweeps", Name: "fragments", Version: version, Data: data}); err != nil {
		return fmt.Errorf("storing candidates: %w", err)
	}
	return nil
}

// dropRevisions removes old revisions. It returns the fragments that the others
// use, and those of the removed ones with the versions that they had before the
// revisions were read.
func (s *sweeper) dropRevisions(ctx context.Context, keep time.Duration) (inForce bool, used map[string]bool, dropped map[string]int64, err error) {
	used, dropped = make(map[string]bool), make(map[string]int64)
	var current root
	version, err := s.read(ctx, "declarations", "root", &current)
	if err != nil || version == object.Absent {
		return false, nil, nil, err
	}
	objs, err := s.store.List(ctx, "revisions", "")
	if err != nil {
		return false, nil, nil, fmt.Errorf("sweeping revisions: %w", err)
	}
	note := func(r root) {
		for _, f := range r.Fragments {
			used[f.Hash] = true
		}
	}
	note(current)
	for _, obj := range objs {
		s.counts.Looked++
		var r root
		if json.Unmarshal(obj.Data, &r) != nil || s.now.Sub(r.At) < keep || r.PublishID == current.PublishID {
			note(r)
			continue
		}
		for _, f := range r.Fragments {
			if fragment, err := s.store.Get(ctx, "fragments", f.Hash); err == nil {
				dropped[f.Hash] = fragment.Version
			}
		}
		if err := s.remove(ctx, obj); err != nil {
			return false, nil, nil, err
		}
	}
	return true, used, dropped, nil
}

// read decodes an object and returns its version, Absent if there is none.
func (s *sweeper) read(ctx context.Context, kind, name string, v any) (int64, error) {
	obj, err := s.store.Get(ctx, kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return object.Absent, nil
	}
	if err != nil {
		return 0, fmt.Errorf("sweeping: %w", err)
	}
	if err := json.Unmarshal(obj.Data, v); err != nil {
		return 0, fmt.Errorf("sweeping: decoding %s/%s: %w", kind, name, err)
	}
	return obj.Version, nil
}

func ageOfDated(now time.Time, data []byte) (time.Duration, error) {
	var d dated
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, err
	}
	if d.To.After(d.At) {
		d.At = d.To
	}
	return age(now, d.At)
}

// ageOfOutcomes returns the age of the youngest outcome of a group.
func ageOfOutcomes(now time.Time, data []byte) (time.Duration, error) {
	var records []ended
	if err := json.Unmarshal(data, &records); err != nil {
		return 0, err
	}
	var last time.Time
	for _, r := range records {
		if r.Ended.After(last) {
			last = r.Ended
		}
	}
	return age(now, last)
}

// age refuses an object without a time: it is never removed.
func age(now, at time.Time) (time.Duration, error) {
	if at.IsZero() {
		return 0, errUndated
	}
	return now.Sub(at), nil
}
