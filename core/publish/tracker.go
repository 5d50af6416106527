package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"chervilpath/core/declare"
)

type (
	// Snapshot is a revision that was put in force, with its declarations. It is
	// immutable.
	Snapshot struct {
		root Root
		set  *declare.Set
	}

	// Refusal describes a revision that was offered and not accepted.
	Refusal struct {
		Revision int64
		Reason   string
	}

	// Tracker tracks the revision in force at one instance. Use NewTracker. It
	// is safe for concurrent use.
	Tracker struct {
		current atomic.Pointer[Snapshot]
		refused atomic.Pointer[Refusal]

		// mu serialises calls of Offer and guards the fields below.
		mu        sync.Mutex
		fragments map[string]activeFragment
		onChange  []func(*Snapshot)
	}

	activeFragment struct {
		hash   string
		data   []byte
		parsed *declare.ParsedFragment
	}

	// FetchFunc returns the bytes of the fragment with the given hash.
	FetchFunc func(ctx context.Context, hash string) ([]byte, error)
)

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() int64 { return s.root.Revision }

// Root returns the snapshot's root. The caller must not modify its Fragments.
func (s *Snapshot) Root() Root { return s.root }

// Set returns the snapshot's declarations.
func (s *Snapshot) Set() *declare.Set { return s.set }

// NewTracker returns a tracker with no revision in force.
func NewTracker() *Tracker {
	return &Tracker{fragments: make(map[string]activeFragment)}
}

// Current returns the snapshot in force, or nil if there is none.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Refused returns the most recently refused revision, or nil if none has been
// refused since a revision was last accepted.
func (t *Tracker) Refused() *Refusal { return t.refused.Load() }

// Revision returns the number of the revision in force, or 0 if there is none.
func (t *Tracker) Revision() int64 {
	if s := t.Current(); s != nil {
		return s.Revision()
	}
	return 0
}

// OnChange registers f to be called with each new snapshot. If a revision is
// already in force, f is called with it at once. f must not call OnChange, Offer
// or Fragment, since the tracker's mutex is held during the call.
func (t *Tracker) OnChange(f func(*Snapshot)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
	if s := t.Current(); s != nil {
		f(s)
	}
}

// Offer puts a root in force if its revision is higher than the one in force
// and all its fragments are intact and valid. It reports whether it did so. An
// invalid revision is refused, and the last valid one stays in force.
func (t *Tracker) Offer(ctx context.Context, root Root, fetch FetchFunc) (bool, error) {
	if root.Revision <= t.Revision() {
		return false, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if root.Revision <= t.Revision() {
		return false, nil
	}
	set, fragments, err := t.build(ctx, root, fetch)
	if err != nil {
		t.refused.Store(&Refusal{Revision: root.Revision, Reason: err.Error()})
		return false, fmt.Errorf("revision %d: %w", root.Revision, err)
	}
	t.fragments = fragments
	s := &Snapshot{root: root, set: set}
	t.current.Store(s)
	t.refused.Store(nil)
	for _, f := range t.onChange {
		f(s)
	}
	return true, nil
}

// build combines the fragments of a root. It fetches and parses only those that
// are not part of the revision in force.
func (t *Tracker) build(ctx context.Context, root Root, fetch FetchFunc) (*declare.Set, map[string]activeFragment, error) {
	fragments := make(map[string]activeFragment, len(root.Fragments))
	parsed := make([]*declare.ParsedFragment, 0, len(root.Fragments))
	for _, ref := range root.Fragments {
		key := ref.Name + " " + ref.Hash
		f, ok := t.fragments[key]
		if !ok {
			var err error
			if f, err = readFragment(ctx, ref, fetch); err != nil {
				return nil, nil, err
			}
		}
		fragments[key] = f
		parsed = append(parsed, f.parsed)
	}
	set, problems := declare.Combine(parsed)
	if err := problems.Err(); err != nil {
		return nil, nil, err
	}
	return set, fragments, nil
}

func readFragment(ctx context.Context, ref FragmentRef, fetch FetchFunc) (activeFragment, error) {
	data, err := fetch(ctx, ref.Hash)
	if err != nil {
		return activeFragment{}, fmt.Errorf("reading fragment %q: %w", ref.Name, err)
	}
	if HashFragment(data) != ref.Hash {
		return activeFragment{}, fmt.Errorf("fragment %q is corrupt: its bytes have another hash", ref.Name)
	}
	parsed, problems := declare.Parse(declare.Fragment{Name: ref.Name, Data: data})
	if err := problems.Err(); err != nil {
		return activeFragment{}, err
	}
	return activeFragment{hash: ref.Hash, data: data, parsed: parsed}, nil
}

// Fragment returns the bytes of a fragment of the revision in force, to serve
// them to peers.
func (t *Tracker) Fragment(hash string) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.fragments {
		if f.hash == hash {
			return f.data, true
		}
	}
	return nil, false
}

// RootJSON returns the root in force in the encoding in which it is stored, or
// nil if there is none.
func (t *Tracker) RootJSON() []byte {
	s := t.Current()
	if s == nil {
		return nil
	}
	root := s.root
	root.Fragments = slices.Clone(root.Fragments)
	data, err := json.Marshal(root)
	if err != nil {
		return nil
	}
	return data
}
