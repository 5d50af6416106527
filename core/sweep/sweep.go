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
	// claimPrefixes split claims, whose names are hexadecimal digests, so that no
	// list is long.
	claimPrefixes = 4096

	// fragmentGrace is the time between the run that finds a fragment unused and the
	// one that removes it. No publication takes as long, and one that uses the
	// fragment again gives it a new version first.
	fragmentGrace = time.Hour
)

type (
	// Retention says for how long each kind of object is kept.
	Retention struct {
		Keys      time.Duration
		Costs     time.Duration
		Revisions time.Duration
	}

	// Counts are the objects that were looked at and removed.
	Counts struct {
		Examined, Removed int
	}

	// sweeper removes objects of one store.
	sweeper struct {
		store  object.Store
		now    time.Time
		counts Counts
	}

	// timestamps is what the stored objects have in common: each kind has one of
	// these times.
	timestamps struct {
		At time.Time `json:"at"`
		To time.Time `json:"to"`
	}

	// outcome is a stored outcome, as far as its age goes.
	outcome struct {
		Ended time.Time `json:"ended"`
	}

	// candidates are fragments that no revision used, with the versions that
	// they had then.
	candidates struct {
		At       time.Time        `json:"at"`
		Versions map[string]int64 `json:"versions"`
	}

	// revision is a revision, as far as its fragments go.
	revision struct {
		At        time.Time `json:"at"`
		PublishID string    `json:"publishId"`
		Fragments []struct {
			Hash string `json:"hash"`
		} `json:"fragments"`
	}
)

var errNoTime = errors.New("the object has no time")

// Run removes what is older than it is to be kept. An error leaves the rest for
// the next run.
func Run(ctx context.Context, store object.Store, now time.Time, retention Retention) (Counts, error) {
	s := &sweeper{store: store, now: now}
	for i := range claimPrefixes {
		if err := s.kind(ctx, "claims", fmt.Sprintf("%03x", i), retention.Keys, ageOfObject); err != nil {
			return s.counts, err
		}
	}
	if err := s.kind(ctx, "outcomes", "", retention.Keys, ageOfOutcomes); err != nil {
		return s.counts, err
	}
	if err := s.kind(ctx, "costs", "", retention.Costs, ageOfObject); err != nil {
		return s.counts, err
	}
	err := s.sweepRevisions(ctx, retention.Revisions)
	return s.counts, err
}

// sweepKind removes the objects of a kind that are old.
func (s *sweeper) kind(ctx context.Context, sweepKind, prefix string, retention time.Duration, ageOf func(time.Time, []byte) (time.Duration, error)) error {
	objs, err := s.store.List(ctx, sweepKind, prefix)
	if err != nil {
		return fmt.Errorf("sweeping %s: %w", sweepKind, err)
	}
	for _, obj := range objs {
		s.counts.Examined++
		objAge, err := ageOf(s.now, obj.Data)
		if err != nil || objAge < retention {
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

// sweepRevisions removes old revisions, and in a later run the fragments that no
// other revision has.
func (s *sweeper) sweepRevisions(ctx context.Context, retention time.Duration) error {
	var previous candidates
	version, err := s.read(ctx, "sweeps", "fragments", &previous)
	if err != nil {
		return err
	}
	next := candidates{At: s.now, Versions: make(map[string]int64)}
	inForce, referenced, released, err := s.removeOldRevisions(ctx, retention)
	if err != nil || !inForce {
		return err
	}
	for hash, fragVersion := range previous.Versions {
		switch {
		case referenced[hash]:
		case s.now.Sub(previous.At) < fragmentGrace:
			next.Versions[hash] = fragVersion
			next.At = previous.At
		default:
			if err := s.remove(ctx, object.Object{Kind: "fragments", Name: hash, Version: fragVersion}); err != nil {
				return err
			}
		}
	}
	for hash, fragVersion := range released {
		if !referenced[hash] {
			next.Versions[hash] = fragVersion
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

// removeOldRevisions removes old revisions. It returns the fragments that the others
// use, and those of the removed ones with the versions that they had before the
// revisions were read.
func (s *sweeper) removeOldRevisions(ctx context.Context, retention time.Duration) (inForce bool, referenced map[string]bool, released map[string]int64, err error) {
	referenced, released = make(map[string]bool), make(map[string]int64)
	var current revision
	version, err := s.read(ctx, "declarations", "root", &current)
	if err != nil || version == object.Absent {
		return false, nil, nil, err
	}
	objs, err := s.store.List(ctx, "revisions", "")
	if err != nil {
		return false, nil, nil, fmt.Errorf("sweeping revisions: %w", err)
	}
	markReferenced := func(r revision) {
		for _, f := range r.Fragments {
			referenced[f.Hash] = true
		}
	}
	markReferenced(current)
	for _, obj := range objs {
		s.counts.Examined++
		var r revision
		if json.Unmarshal(obj.Data, &r) != nil || s.now.Sub(r.At) < retention || r.PublishID == current.PublishID {
			markReferenced(r)
			continue
		}
		for _, f := range r.Fragments {
			if fragment, err := s.store.Get(ctx, "fragments", f.Hash); err == nil {
				released[f.Hash] = fragment.Version
			}
		}
		if err := s.remove(ctx, obj); err != nil {
			return false, nil, nil, err
		}
	}
	return true, referenced, released, nil
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

func ageOfObject(now time.Time, data []byte) (time.Duration, error) {
	var d timestamps
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, err
	}
	if d.To.After(d.At) {
		d.At = d.To
	}
	return ageAt(now, d.At)
}

// ageOfOutcomes returns the age of the youngest outcome of a group.
func ageOfOutcomes(now time.Time, data []byte) (time.Duration, error) {
	var records []outcome
	if err := json.Unmarshal(data, &records); err != nil {
		return 0, err
	}
	var latest time.Time
	for _, r := range records {
		if r.Ended.After(latest) {
			latest = r.Ended
		}
	}
	return ageAt(now, latest)
}

// ageAt refuses an object without a time: it is never removed.
func ageAt(now, at time.Time) (time.Duration, error) {
	if at.IsZero() {
		return 0, errNoTime
	}
	return now.Sub(at), nil
}
