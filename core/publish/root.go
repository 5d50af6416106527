// Package publish owns how declarations are put in force: the root object that
// names all fragments of one revision, its replacement by conditional update,
// and the rule by which an instance accepts a revision.
//
// A revision in force never reverts: an instance accepts only a higher one.
// The package must not serve requests, and it reads no files.
package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilpath/core/object"
)

const (
	rootKind     = "declarations"
	rootName     = "root"
	fragmentKind = "fragments"
	historyKind  = "revisions"

	// MaxFragments bounds the fragments of a revision, so that its root fits
	// in one value.
	MaxFragments = 4000
)

type (
	// FragmentRef is one fragment of a revision.
	FragmentRef struct {
		Name  string `json:"name"`
		Hash  string `json:"hash"`
		Bytes int    `json:"bytes"`
		// Revision is the one in which the fragment last changed, and By who
		// changed it.
		Revision int64  `json:"revision"`
		By       string `json:"by"`
	}

	// Root names all fragments of one revision.
	Root struct {
		Revision  int64         `json:"revision"`
		Fragments []FragmentRef `json:"fragments"`
		// PublishID is unique to one call of Publish. It shows whether a write
		// without an answer took effect.
		PublishID string `json:"publishId"`
		// Previous is the PublishID of the revision before.
		Previous string    `json:"previous,omitempty"`
		By       string    `json:"by"`
		Note     string    `json:"note,omitempty"`
		At       time.Time `json:"at"`
	}

	// versionedRoot is a root with the version of its object.
	versionedRoot struct {
		root    Root
		version int64
	}
)

// HashFragment returns the name under which a fragment's bytes are stored.
func HashFragment(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Fragment returns the entry of the named fragment.
func (r Root) Fragment(name string) (FragmentRef, bool) {
	for _, ref := range r.Fragments {
		if ref.Name == name {
			return ref, true
		}
	}
	return FragmentRef{}, false
}

// DecodeRoot reads a root and checks its form.
func DecodeRoot(data []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decoding a root: %w", err)
	}
	if r.Revision < 1 || r.PublishID == "" || len(r.Fragments) > MaxFragments {
		return r, fmt.Errorf("a root has revision %d, publish id %q and %d fragments", r.Revision, r.PublishID, len(r.Fragments))
	}
	return r, nil
}

// ReadRoot returns the root in the store. If none was ever published it
// returns object.ErrNotFound.
func ReadRoot(ctx context.Context, store object.Store) (Root, error) {
	s, err := readRoot(ctx, store)
	return s.root, err
}

func readRoot(ctx context.Context, store object.Store) (versionedRoot, error) {
	obj, err := store.Get(ctx, rootKind, rootName)
	if err != nil {
		return versionedRoot{}, err
	}
	root, err := DecodeRoot(obj.Data)
	return versionedRoot{root: root, version: obj.Version}, err
}

// WatchRoot waits for a root whose object has a version above after.
func WatchRoot(ctx context.Context, store object.Store, after int64) (Root, int64, error) {
	obj, err := store.Watch(ctx, rootKind, rootName, after)
	if err != nil {
		return Root{}, after, err
	}
	root, err := DecodeRoot(obj.Data)
	return root, obj.Version, err
}

// ReadFragment returns the bytes with the given hash.
func ReadFragment(ctx context.Context, store object.Store, hash string) ([]byte, error) {
	obj, err := store.Get(ctx, fragmentKind, hash)
	if err != nil {
		return nil, err
	}
	if HashFragment(obj.Data) != hash {
		return nil, fmt.Errorf("fragment %.12s: its bytes have another hash", hash)
	}
	return obj.Data, nil
}

// History returns the revisions that were in force, the newest first, at most
// n of them. Roots whose publishing lost a race are left out.
func History(ctx context.Context, store object.Store, limit int) ([]Root, error) {
	current, err := readRoot(ctx, store)
	if errors.Is(err, object.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the root: %w", err)
	}
	roots := []Root{current.root}
	for len(roots) < limit && roots[len(roots)-1].Previous != "" {
		last := roots[len(roots)-1]
		obj, err := store.Get(ctx, historyKind, historyName(last.Revision-1, last.Previous))
		if errors.Is(err, object.ErrNotFound) {
			break
		}
		if err != nil {
			return roots, fmt.Errorf("reading revision %d: %w", last.Revision-1, err)
		}
		root, err := DecodeRoot(obj.Data)
		if err != nil {
			return roots, err
		}
		roots = append(roots, root)
	}
	return roots, nil
}

func historyName(revision int64, publishID string) string {
	return fmt.Sprintf("%012d.%s", revision, publishID)
}
