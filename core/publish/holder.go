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

	// Holder holds what is in force at one instance. Use NewHolder. It is safe
	// for concurrent use.
	Holder struct {
		current atomic.Pointer[Snapshot]
		refused atomic.Pointer[Refusal]

		// mu is held while a revision is offered.
		mu        sync.Mutex
		fragments map[string]heldFragment
		changed   []func(*Snapshot)
	}

	heldFragment struct {
		hash   string
		data   []byte
		parsed *declare.ParsedFragment
	}

	// Fetch returns the bytes of a fragment.
	Fetch func(ctx context.Context, hash string) ([]byte, error)
)

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() int64 { return s.root.Revision }

// Root returns the snapshot's root. The caller must not change its fragments.
func (s *Snapshot) Root() Root { return s.root }

// Set returns the snapshot's declarations.
func (s *Snapshot) Set() *declare.Set { return s.set }

// NewHolder returns a holder with nothing in force.
func NewHolder() *Holder {
	return &Holder{fragments: make(map[string]heldFragment)}
}

// Current returns what is in force, or nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Refused returns the last revision that was not accepted since the last that
// was, or nil.
func (h *Holder) Refused() *Refusal { return h.refused.Load() }

// Revision returns the revision in force, or 0.
func (h *Holder) Revision() int64 {
	if s := h.Current(); s != nil {
		return s.Revision()
	}
	return 0
}

// OnChange calls f with each new snapshot, and with the current one if there is.
func (h *Holder) OnChange(f func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = append(h.changed, f)
	if s := h.Current(); s != nil {
		f(s)
	}
}

// Offer puts a root in force if its revision is higher than the one in force
// and all of it is whole and valid. It reports whether it did. What is not
// valid is refused, and the last good revision stays.
func (h *Holder) Offer(ctx context.Context, root Root, fetch Fetch) (bool, error) {
	if root.Revision <= h.Revision() {
		return false, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if root.Revision <= h.Revision() {
		return false, nil
	}
	set, fragments, err := h.build(ctx, root, fetch)
	if err != nil {
		h.refused.Store(&Refusal{Revision: root.Revision, Reason: err.Error()})
		return false, fmt.Errorf("revision %d: %w", root.Revision, err)
	}
	h.fragments = fragments
	s := &Snapshot{root: root, set: set}
	h.current.Store(s)
	h.refused.Store(nil)
	for _, f := range h.changed {
		f(s)
	}
	return true, nil
}

// build reads the fragments that changed and parses only those.
func (h *Holder) build(ctx context.Context, root Root, fetch Fetch) (*declare.Set, map[string]heldFragment, error) {
	fragments := make(map[string]heldFragment, len(root.Fragments))
	parsed := make([]*declare.ParsedFragment, 0, len(root.Fragments))
	for _, e := range root.Fragments {
		key := e.Name + " " + e.Hash
		f, ok := h.fragments[key]
		if !ok {
			var err error
			if f, err = readFragment(ctx, e, fetch); err != nil {
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

func readFragment(ctx context.Context, e Entry, fetch Fetch) (heldFragment, error) {
	data, err := fetch(ctx, e.Hash)
	if err != nil {
		return heldFragment{}, fmt.Errorf("reading fragment %q: %w", e.Name, err)
	}
	if HashFragment(data) != e.Hash {
		return heldFragment{}, fmt.Errorf("fragment %q is damaged: its bytes have another hash", e.Name)
	}
	parsed, problems := declare.Parse(declare.Fragment{Name: e.Name, Data: data})
	if err := problems.Err(); err != nil {
		return heldFragment{}, err
	}
	return heldFragment{hash: e.Hash, data: data, parsed: parsed}, nil
}

// Fragment returns the bytes of a fragment of the revision in force, for peers.
func (h *Holder) Fragment(hash string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.fragments {
		if f.hash == hash {
			return f.data, true
		}
	}
	return nil, false
}

// RootJSON returns the root in force as it is stored, or nil.
func (h *Holder) RootJSON() []byte {
	s := h.Current()
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
