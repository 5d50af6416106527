package publish

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/object"
)

const (
	// maxAttempts bounds how often a publication is merged again after a conflict
	// or sent again after a write without an answer.
	maxAttempts = 20

	// maxHistory bounds the revisions that a roll back can reach.
	maxHistory = 1000
)

type (
	// Change is what an operator wants to be in force.
	Change struct {
		// Fragments replace those of the same names or are added.
		Fragments []declare.Fragment
		// Remove lists names of fragments to take away.
		Remove []string
		// Base is the revision that the operator has seen. Fragments of this
		// change that others changed since are a conflict. 0 means the newest
		// revision at the start.
		Base int64
		By   string
		Note string
		// ID is unique to the publication.
		ID string

		// publishedAt is the time of the publication and base the revision that it builds
		// on; each try has the same.
		publishedAt   time.Time
		effectiveBase int64
	}

	// FragmentDiff is a fragment that a change would touch.
	FragmentDiff struct {
		Name string
		// Old and New are the bytes; nil means that there is none.
		Old, New []byte
	}

	// Publisher puts changes in force. Use New.
	Publisher struct {
		store object.Store
		now   func() time.Time
		// cache keeps fragments that were read or written, by hash.
		cache map[string][]byte
	}
)

// New returns a publisher for a store.
func New(store object.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now, cache: make(map[string][]byte)}
}

// Plan returns what the change would touch, and the problems of the whole that
// would result. Nothing is written.
func (p *Publisher) Plan(ctx context.Context, c Change) ([]FragmentDiff, error) {
	base, err := p.currentRoot(ctx)
	if err != nil {
		return nil, err
	}
	_, diffs, err := p.merge(ctx, base.root, p.prepare(c, base.root))
	return diffs, err
}

// Publish puts a change in force and returns the new root. If nothing changes
// it returns the root in force. Errors are of kind Conflict if another operator
// changed the same fragment, BadRequest if the whole would be invalid, and
// StoreUnavailable if the store does not answer; only then can the change still
// come in force.
func (p *Publisher) Publish(ctx context.Context, c Change) (Root, error) {
	first, err := p.currentRoot(ctx)
	if err != nil {
		return Root{}, err
	}
	c = p.prepare(c, first.root)
	current := first
	for range maxAttempts {
		if current.root.PublishID == c.ID {
			return current.root, nil
		}
		root, diffs, err := p.merge(ctx, current.root, c)
		if err != nil {
			return Root{}, err
		}
		if len(diffs) == 0 {
			return current.root, nil
		}
		if err := p.storeRevision(ctx, root, c); err != nil {
			return Root{}, err
		}
		err = p.replaceRoot(ctx, root, current.version)
		if err == nil {
			return root, nil
		}
		if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUncertain) {
			return Root{}, fault.Errorf(fault.StoreUnavailable, "moving the root: %w", err)
		}
		// The write lost a race, or its answer was lost. What the store holds
		// now decides; the root is written again only over the same version.
		if current, err = p.currentRoot(ctx); err != nil {
			return Root{}, err
		}
		if found, root, err := p.findPublication(ctx, current.root, c.ID); err != nil || found {
			return root, err
		}
	}
	return Root{}, fault.Errorf(fault.StoreUnavailable, "other publications came first %d times; try again", maxAttempts)
}

// prepare fixes what all tries of a publication have in common.
func (p *Publisher) prepare(c Change, current Root) Change {
	c.publishedAt = p.now().UTC()
	c.effectiveBase = c.Base
	if c.Base == 0 {
		c.effectiveBase = current.Revision
	}
	return c
}

// Rollback returns the change that brings back the fragments of a revision. It
// is published as a new revision.
func (p *Publisher) Rollback(ctx context.Context, revision int64, by, id string) (Change, error) {
	roots, err := History(ctx, p.store, maxHistory)
	if err != nil {
		return Change{}, fault.Errorf(fault.StoreUnavailable, "reading the history: %w", err)
	}
	i := slices.IndexFunc(roots, func(r Root) bool { return r.Revision == revision })
	if i < 0 {
		return Change{}, fault.Errorf(fault.NotFound, "revision %d was not in force; see chervilpath history", revision)
	}
	c := Change{By: by, ID: id, Base: roots[0].Revision, Note: fmt.Sprintf("roll back to revision %d", revision)}
	for _, ref := range roots[i].Fragments {
		data, err := p.loadFragment(ctx, ref.Hash)
		if err != nil {
			return Change{}, fault.Errorf(fault.StoreUnavailable, "reading fragment %q: %w", ref.Name, err)
		}
		c.Fragments = append(c.Fragments, declare.Fragment{Name: ref.Name, Data: data})
	}
	for _, ref := range roots[0].Fragments {
		if _, ok := roots[i].Fragment(ref.Name); !ok {
			c.Remove = append(c.Remove, ref.Name)
		}
	}
	return c, nil
}

// currentRoot returns the root in the store, an empty one if there is none.
func (p *Publisher) currentRoot(ctx context.Context) (versionedRoot, error) {
	s, err := readRoot(ctx, p.store)
	if err == nil || errors.Is(err, object.ErrNotFound) {
		return s, nil
	}
	return s, fault.Errorf(fault.StoreUnavailable, "reading the root: %w", err)
}

// findPublication looks for a publication among the revisions up to the current one.
func (p *Publisher) findPublication(ctx context.Context, current Root, id string) (bool, Root, error) {
	if current.PublishID == id {
		return true, current, nil
	}
	roots, err := History(ctx, p.store, maxAttempts)
	if err != nil {
		return false, Root{}, fault.Errorf(fault.StoreUnavailable, "reading the history: %w", err)
	}
	for _, r := range roots {
		if r.PublishID == id {
			return true, r, nil
		}
	}
	return false, Root{}, nil
}

// merge makes the root that a change leads to and checks the whole.
func (p *Publisher) merge(ctx context.Context, base Root, c Change) (Root, []FragmentDiff, error) {
	changed, diffs, err := p.changedFragments(ctx, base, c)
	if err != nil {
		return Root{}, nil, err
	}
	root := Root{
		Revision: base.Revision + 1, PublishID: c.ID, Previous: base.PublishID,
		By: c.By, Note: c.Note, At: c.publishedAt,
	}
	fragments := make([]declare.Fragment, 0, len(base.Fragments)+len(c.Fragments))
	for _, ref := range base.Fragments {
		if _, ok := changed[ref.Name]; ok {
			continue
		}
		data, err := p.loadFragment(ctx, ref.Hash)
		if err != nil {
			return Root{}, nil, fault.Errorf(fault.StoreUnavailable, "reading fragment %q: %w", ref.Name, err)
		}
		root.Fragments = append(root.Fragments, ref)
		fragments = append(fragments, declare.Fragment{Name: ref.Name, Data: data})
	}
	for name, data := range changed {
		if data == nil {
			continue
		}
		root.Fragments = append(root.Fragments, FragmentRef{Name: name, Hash: HashFragment(data), Bytes: len(data), Revision: root.Revision, By: c.By})
		fragments = append(fragments, declare.Fragment{Name: name, Data: data})
	}
	slices.SortFunc(root.Fragments, func(a, b FragmentRef) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(fragments, func(a, b declare.Fragment) int { return cmp.Compare(a.Name, b.Name) })
	if len(root.Fragments) > MaxFragments {
		return Root{}, nil, fault.Errorf(fault.BadRequest, "the revision would have %d files; it holds at most %d", len(root.Fragments), MaxFragments)
	}
	if _, problems := declare.Build(fragments); problems.Err() != nil {
		return Root{}, diffs, fault.Errorf(fault.BadRequest, "%w", problems)
	}
	return root, diffs, nil
}

// changedFragments returns the fragments that the change alters, nil bytes for a removed
// one, and refuses those that another operator changed since the base.
func (p *Publisher) changedFragments(ctx context.Context, base Root, c Change) (map[string][]byte, []FragmentDiff, error) {
	changed := make(map[string][]byte)
	var diffs []FragmentDiff
	record := func(name string, data []byte) error {
		ref, ok := base.Fragment(name)
		if ok && data != nil && ref.Hash == HashFragment(data) {
			return nil
		}
		if !ok && data == nil {
			return nil
		}
		if ok && ref.Revision > c.effectiveBase {
			return fault.Errorf(fault.Conflict, "file %q was changed in revision %d by %s, after revision %d that this change builds on; look at it and publish again", name, ref.Revision, ref.By, c.effectiveBase)
		}
		d := FragmentDiff{Name: name, New: data}
		if ok {
			old, err := p.loadFragment(ctx, ref.Hash)
			if err != nil {
				return fault.Errorf(fault.StoreUnavailable, "reading fragment %q: %w", name, err)
			}
			d.Old = old
		}
		changed[name] = data
		diffs = append(diffs, d)
		return nil
	}
	for _, f := range c.Fragments {
		if err := record(f.Name, f.Data); err != nil {
			return nil, nil, err
		}
	}
	for _, name := range c.Remove {
		if err := record(name, nil); err != nil {
			return nil, nil, err
		}
	}
	return changed, diffs, nil
}

// storeRevision stores everything that the root names, before the root itself.
func (p *Publisher) storeRevision(ctx context.Context, root Root, c Change) error {
	for _, f := range c.Fragments {
		obj := object.Object{Kind: fragmentKind, Name: HashFragment(f.Data), Data: f.Data}
		if err := p.putFragment(ctx, obj); err != nil {
			return fault.Errorf(fault.StoreUnavailable, "storing fragment %q: %w", f.Name, err)
		}
		p.cache[obj.Name] = f.Data
	}
	data, err := json.Marshal(root)
	if err != nil {
		return fmt.Errorf("encoding a root: %w", err)
	}
	obj := object.Object{Kind: historyKind, Name: historyName(root.Revision, root.PublishID), Data: data}
	if err := p.putImmutable(ctx, obj); err != nil {
		return fault.Errorf(fault.StoreUnavailable, "storing the revision: %w", err)
	}
	return nil
}

// putFragment stores a fragment. One that exists gets a new version, so that a
// sweep that found it unused before does not remove it.
func (p *Publisher) putFragment(ctx context.Context, obj object.Object) error {
	if existing, err := p.store.Get(ctx, obj.Kind, obj.Name); err == nil {
		obj.Version = existing.Version
	} else if !errors.Is(err, object.ErrNotFound) {
		return err
	}
	return p.putImmutable(ctx, obj)
}

// putImmutable stores an object whose name fixes its bytes, so that one that exists
// is as good as a new one.
func (p *Publisher) putImmutable(ctx context.Context, obj object.Object) error {
	var err error
	for range maxAttempts {
		_, err = p.store.Put(ctx, obj)
		if err == nil || errors.Is(err, object.ErrConflict) {
			return nil
		}
		if !errors.Is(err, object.ErrUncertain) {
			return err
		}
	}
	return err
}

func (p *Publisher) replaceRoot(ctx context.Context, root Root, version int64) error {
	data, err := json.Marshal(root)
	if err != nil {
		return fmt.Errorf("encoding a root: %w", err)
	}
	_, err = p.store.Put(ctx, object.Object{Kind: rootKind, Name: rootName, Version: version, Data: data})
	return err
}

func (p *Publisher) loadFragment(ctx context.Context, hash string) ([]byte, error) {
	if data, ok := p.cache[hash]; ok {
		return data, nil
	}
	data, err := ReadFragment(ctx, p.store, hash)
	if err != nil {
		return nil, err
	}
	p.cache[hash] = data
	return data, nil
}
