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
	// maxAttempts bounds how often a publication is merged again after a
	// conflict, and how often a write without an answer is sent again.
	maxAttempts = 20

	// maxHistory is how many of the latest revisions a rollback can restore.
	maxHistory = 1000
)

type (
	// Change is a change to the declarations that an operator wants to publish.
	Change struct {
		// Fragments are added, or replace those of the same names.
		Fragments []declare.Fragment
		// Remove lists the names of fragments to remove.
		Remove []string
		// Base is the last revision that the operator has seen. The change
		// conflicts if another operator changed one of its fragments in a later
		// revision. 0 means the newest revision when the publication starts.
		Base int64
		By   string
		Note string
		// ID identifies the publication and must be unique to it.
		ID string

		// publishedAt is the time of the publication, and effectiveBase the
		// revision that it is based on. All attempts use the same values.
		publishedAt   time.Time
		effectiveBase int64
	}

	// FragmentDiff is the effect of a change on one fragment.
	FragmentDiff struct {
		Name string
		// Old and New are the fragment's bytes before and after the change; nil
		// means that the fragment does not exist.
		Old, New []byte
	}

	// Publisher publishes changes. Use New. It is not safe for concurrent use.
	Publisher struct {
		store object.Store
		now   func() time.Time
		// cache holds the fragments that were read or written, by hash.
		cache map[string][]byte
	}
)

// New returns a publisher that writes to store.
func New(store object.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now, cache: make(map[string][]byte)}
}

// Plan returns the fragments that the change would alter, and an error if it
// conflicts or the resulting declarations would be invalid. It writes nothing.
func (p *Publisher) Plan(ctx context.Context, c Change) ([]FragmentDiff, error) {
	base, err := p.currentRoot(ctx)
	if err != nil {
		return nil, err
	}
	_, diffs, err := p.merge(ctx, base.root, p.prepare(c, base.root))
	return diffs, err
}

// Publish puts a change in force and returns the new root. If the change alters
// nothing, it returns the root in force. Errors are of kind Conflict if another
// operator changed the same fragment, BadRequest if the resulting declarations
// would be invalid, and StoreUnavailable if the store does not answer. Only
// after StoreUnavailable can the change still come into force.
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
			return Root{}, fault.Errorf(fault.StoreUnavailable, "replacing the root: %w", err)
		}
		// The write lost a race, or its answer was lost. The current content of
		// the store shows which; the root is written again only on the condition
		// that its version is the one read here.
		if current, err = p.currentRoot(ctx); err != nil {
			return Root{}, err
		}
		if found, root, err := p.findPublication(ctx, current.root, c.ID); err != nil || found {
			return root, err
		}
	}
	return Root{}, fault.Errorf(fault.StoreUnavailable, "the root could not be replaced in %d attempts; try again", maxAttempts)
}

// prepare sets the values that all attempts of a publication share.
func (p *Publisher) prepare(c Change, current Root) Change {
	c.publishedAt = p.now().UTC()
	c.effectiveBase = c.Base
	if c.Base == 0 {
		c.effectiveBase = current.Revision
	}
	return c
}

// Rollback returns the change that restores the fragments of an earlier
// revision. Publishing it creates a new revision.
func (p *Publisher) Rollback(ctx context.Context, revision int64, by, id string) (Change, error) {
	roots, err := History(ctx, p.store, maxHistory)
	if err != nil {
		return Change{}, fault.Errorf(fault.StoreUnavailable, "reading the history: %w", err)
	}
	i := slices.IndexFunc(roots, func(r Root) bool { return r.Revision == revision })
	if i < 0 {
		return Change{}, fault.Errorf(fault.NotFound, "revision %d is not in the history; see chervilpath history", revision)
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

// currentRoot returns the root in the store, or an empty one if there is none.
func (p *Publisher) currentRoot(ctx context.Context) (versionedRoot, error) {
	s, err := readRoot(ctx, p.store)
	if err == nil || errors.Is(err, object.ErrNotFound) {
		return s, nil
	}
	return s, fault.Errorf(fault.StoreUnavailable, "reading the root: %w", err)
}

// findPublication looks for the publication with the given ID in current and in
// the latest maxAttempts revisions of the history.
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

// merge applies a change to base. It returns the resulting root and the altered
// fragments, and checks the resulting declarations as a whole.
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
		return Root{}, nil, fault.Errorf(fault.BadRequest, "the revision would have %d files; at most %d are allowed", len(root.Fragments), MaxFragments)
	}
	if _, problems := declare.Build(fragments); problems.Err() != nil {
		return Root{}, diffs, fault.Errorf(fault.BadRequest, "%w", problems)
	}
	return root, diffs, nil
}

// changedFragments returns the fragments that the change alters, with nil bytes
// for a removed one. It returns an error of kind Conflict if another operator
// changed one of them after the change's base revision.
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
			return fault.Errorf(fault.Conflict, "file %q was changed in revision %d by %s, after revision %d, on which this change is based; review it and publish again", name, ref.Revision, ref.By, c.effectiveBase)
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

// storeRevision stores the change's fragments and the root's copy in the
// history. It must be called before the root itself is written, so that the root
// never names an object that does not exist.
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
		return fmt.Errorf("encoding the root: %w", err)
	}
	obj := object.Object{Kind: historyKind, Name: historyName(root.Revision, root.PublishID), Data: data}
	if err := p.putImmutable(ctx, obj); err != nil {
		return fault.Errorf(fault.StoreUnavailable, "storing the revision: %w", err)
	}
	return nil
}

// putFragment stores a fragment. An existing one is written again to give it a
// new version, so that a sweep that earlier found it unused does not remove it.
func (p *Publisher) putFragment(ctx context.Context, obj object.Object) error {
	if existing, err := p.store.Get(ctx, obj.Kind, obj.Name); err == nil {
		obj.Version = existing.Version
	} else if !errors.Is(err, object.ErrNotFound) {
		return err
	}
	return p.putImmutable(ctx, obj)
}

// putImmutable stores an object whose bytes are determined by its name. A
// conflict therefore counts as success: the existing object has the same bytes.
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

// replaceRoot writes the root if the stored one still has the given version.
func (p *Publisher) replaceRoot(ctx context.Context, root Root, version int64) error {
	data, err := json.Marshal(root)
	if err != nil {
		return fmt.Errorf("encoding the root: %w", err)
	}
	_, err = p.store.Put(ctx, object.Object{Kind: rootKind, Name: rootName, Version: version, Data: data})
	return err
}

// loadFragment returns a fragment from the cache or the store.
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
