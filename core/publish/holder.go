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
	// Snapshot is a revision in force with its declarations. It is immutable.
	Snapshot struct {
		root Root
		set  *declare.Set
	}

	// Refusal is a revision that was offered and not accepted.
	Refusal struct {
		Revision int64
		Reason   string
	}

	// Tracker holds what is in force at one instance. Use NewHolder. It is safe
	// for concurrent use.
	Tracker struct {
		current atomic.Pointer[Snapshot]
		refused atomic.Pointer[Refusal]

		// mu is held while a revision is offered.
		mu        sync.Mutex
		fragments map[string]activeFragment
		onChange  []func(*Snapshot)
	}

	activeFragment struct {
		hash   string
		data   []byte
		parsed *declare.ParsedFragment
	}

	// FetchFunc returns the bytes of a fragment.
	FetchFunc func(ctx context.Context, hash string) ([]byte, error)
)

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() int64 { return s.root.Revision }

// Root returns the snapshot's root. The caller must not change its fragments.
func (s *Snapshot) Root() Root { return s.root }

// Set returns the snapshot's declarations.
func (s *Snapshot) Set() *declare.Set { return s.set }

// NewTracker returns a holder with nothing in force.
func NewTracker() *Tracker {
	return &Tracker{fragments: make(map[string]activeFragment)}
}

// Current returns what is in force, or nil.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Refused returns the last revision that was not accepted since the last that
// was, or nil.
func (t *Tracker) Refused() *Refusal { return t.refused.Load() }

// Revision returns the revision in force, or 0.
func (t *Tracker) Revision() int64 {
	if s := t.Current(); s != nil {
		return s.Revision()
	}
	return 0
}

// OnChange calls f with each new snapshot, and with the current one if there is.
func (t *Tracker) OnChange(f func(*Snapshot)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
	if s := t.Current(); s != nil {
		f(s)
	}
}

// Offer puts a root in force if its revision is higher than the one in force
// and all of it is whole and valid. It reports whether it did. What is not
// valid is refused, and the last good revision stays.
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

// build reads the fragments that changed and parses only those.
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
		return activeFragment{}, fmt.Errorf("fragment %q is damaged: its bytes have another hash", ref.Name)
	}
	parsed, problems := declare.Parse(declare.Fragment{Name: ref.Name, Data: data})
	if err := problems.Err(); err != nil {
		return activeFragment{}, err
	}
	return activeFragment{hash: ref.Hash, data: data, parsed: parsed}, nil
}

// Fragment returns the bytes of a fragment of the revision in force, for peers.
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

// RootJSON returns the root in force as it is stored, or nil.
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
