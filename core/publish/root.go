// Package publish owns how declarations are put in force: the root object that
// lists all fragments of one revision, its replacement by conditional update,
// and the rule by which an instance accepts a revision.
//
// An instance never goes back to an earlier revision: it accepts only one with a
// higher number than the one in force. The package must not serve requests, and
// it reads no files.
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

	// MaxFragments is the maximum number of fragments in a revision. It keeps
	// the root small enough to fit in one value of the store.
	MaxFragments = 4000
)

type (
	// FragmentRef refers to one fragment of a revision.
	FragmentRef struct {
		Name  string `json:"name"`
		Hash  string `json:"hash"`
		Bytes int    `json:"bytes"`
		// Revision is the revision in which the fragment last changed, and By is
		// the operator who changed it.
		Revision int64  `json:"revision"`
		By       string `json:"by"`
	}

	// Root lists all fragments of one revision.
	Root struct {
		Revision  int64         `json:"revision"`
		Fragments []FragmentRef `json:"fragments"`
		// PublishID is the ID of the change that was published. It shows whether
		// a write without an answer took effect.
		PublishID string `json:"publishId"`
		// Previous is the PublishID of the preceding revision.
		Previous string    `json:"previous,omitempty"`
		By       string    `json:"by"`
		Note     string    `json:"note,omitempty"`
		At       time.Time `json:"at"`
	}

	// versionedRoot is a root with the version of its stored object.
	versionedRoot struct {
		root    Root
		version int64
	}
)

// HashFragment returns the hash of a fragment's bytes, which is also the name
// under which they are stored.
func HashFragment(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Fragment returns the reference to the named fragment.
func (r Root) Fragment(name string) (FragmentRef, bool) {
	for _, ref := range r.Fragments {
		if ref.Name == name {
			return ref, true
		}
	}
	return FragmentRef{}, false
}

// DecodeRoot decodes a root and checks its revision, PublishID and number of
// fragments.
func DecodeRoot(data []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decoding a root: %w", err)
	}
	if r.Revision < 1 || r.PublishID == "" || len(r.Fragments) > MaxFragments {
		return r, fmt.Errorf("invalid root with revision %d, publish id %q and %d fragments", r.Revision, r.PublishID, len(r.Fragments))
	}
	return r, nil
}

// ReadRoot returns the root in the store. The error wraps object.ErrNotFound if
// nothing has been published yet.
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

// WatchRoot waits until the root's object has a version above after, and returns
// the root and that version.
func WatchRoot(ctx context.Context, store object.Store, after int64) (Root, int64, error) {
	obj, err := store.Watch(ctx, rootKind, rootName, after)
	if err != nil {
		return Root{}, after, err
	}
	root, err := DecodeRoot(obj.Data)
	return root, obj.Version, err
}

// ReadFragment returns the bytes of the fragment with the given hash.
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

// History returns the latest revisions that were put in force, at most limit of
// them, the newest first. Roots whose publication lost a race are left out. If
// an error occurs, the revisions read so far are returned with it.
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

// historyName returns the object name of a revision in the history. It contains
// the publication's ID, since publications that race write the same revision
// number.
func historyName(revision int64, publishID string) string {
	return fmt.Sprintf("%012d.%s", revision, publishID)
}
