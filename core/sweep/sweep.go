// Package sweep removes stored objects that the system no longer needs: claims
// and outcomes of idempotency keys, cost records, and old revisions of the
// configuration with their fragments.
//
// An object is removed only if it still has the version that was read. The
// revision in force and its fragments are never removed. A key whose claim was
// removed counts as a new key, so claims must be retained for longer than
// callers retry a request.
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
	// claimPrefixes is the number of name prefixes by which claims are listed,
	// so that no list is long. The names are hexadecimal digests, of which a
	// prefix is the first three digits.
	claimPrefixes = 4096

	// fragmentGrace is the minimum time between the run that finds a fragment
	// unreferenced and the run that removes it. No publication takes that long,
	// and one that uses the fragment again gives it a new version first.
	fragmentGrace = time.Hour
)

type (
	// Retention is how long each kind of object is kept.
	Retention struct {
		Keys      time.Duration
		Costs     time.Duration
		Revisions time.Duration
	}

	// Counts holds the numbers of objects that were examined and removed.
	Counts struct {
		Examined, Removed int
	}

	// sweeper removes objects from a store.
	sweeper struct {
		store  object.Store
		now    time.Time
		counts Counts
	}

	// timestamps holds the times of a stored object. Each kind of object has at
	// least one of them.
	timestamps struct {
		At time.Time `json:"at"`
		To time.Time `json:"to"`
	}

	// outcome is the part of a stored outcome that determines its age.
	outcome struct {
		Ended time.Time `json:"ended"`
	}

	// candidates holds fragments that no revision referenced at a given time,
	// with the versions that they had then.
	candidates struct {
		At       time.Time        `json:"at"`
		Versions map[string]int64 `json:"versions"`
	}

	// revision is the part of a revision that determines its age and which
	// fragments it references.
	revision struct {
		At        time.Time `json:"at"`
		PublishID string    `json:"publishId"`
		Fragments []struct {
			Hash string `json:"hash"`
		} `json:"fragments"`
	}
)

var errNoTime = errors.New("the object has no timestamp")

// Run removes the objects that are older than their retention period. After an
// error the remaining objects are left for the next run.
func Run(ctx context.Context, store object.Store, now time.Time, retention Retention) (Counts, error) {
	s := &sweeper{store: store, now: now}
	for i := range claimPrefixes {
		if err := s.sweepKind(ctx, "claims", fmt.Sprintf("%03x", i), retention.Keys, ageOfObject); err != nil {
			return s.counts, err
		}
	}
	if err := s.sweepKind(ctx, "outcomes", "", retention.Keys, ageOfOutcomes); err != nil {
		return s.counts, err
	}
	if err := s.sweepKind(ctx, "costs", "", retention.Costs, ageOfObject); err != nil {
		return s.counts, err
	}
	err := s.sweepRevisions(ctx, retention.Revisions)
	return s.counts, err
}

// sweepKind removes the objects of a kind that are older than the retention
// period.
func (s *sweeper) sweepKind(ctx context.Context, kind, prefix string, retention time.Duration, ageOf func(time.Time, []byte) (time.Duration, error)) error {
	objs, err := s.store.List(ctx, kind, prefix)
	if err != nil {
		return fmt.Errorf("sweeping %s: %w", kind, err)
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

// remove deletes an object unless it has changed. An object whose deletion was
// not confirmed is left for the next run.
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

// sweepRevisions removes old revisions and, in a later run, the fragments that
// no other revision references.
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
		return fmt.Errorf("encoding candidates for removal: %w", err)
	}
	if _, err := s.store.Put(ctx, object.Object{Kind: "sweeps", Name: "fragments", Version: version, Data: data}); err != nil {
		return fmt.Errorf("storing candidates for removal: %w", err)
	}
	return nil
}

// removeOldRevisions removes old revisions. It returns the fragments that the
// remaining revisions reference, and the fragments of the removed ones with the
// versions that they had just before the revision was removed. If there is no
// revision in force, it removes nothing and inForce is false.
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

// read decodes an object into v and returns its version, which is Absent if the
// object does not exist.
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

// ageOfObject returns the age of an object since its latest timestamp.
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

// ageOfOutcomes returns the age of the most recent outcome in an object.
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

// ageAt returns the age of an object with the given timestamp. A zero timestamp
// is an error, so that an object without one is never removed.
func ageAt(now, at time.Time) (time.Duration, error) {
	if at.IsZero() {
		return 0, errNoTime
	}
	return now.Sub(at), nil
}
