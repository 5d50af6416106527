// Package object owns the terms in which this module uses the platform's
// object API: versions, conditional updates and watches.
//
// It holds no objects and speaks no protocol; platform does.
package object

import (
	"context"
	"errors"
)

const (
	// MaxBytes is the largest value that is stored. The platform takes objects of
	// 1 MiB, in which values stand in base64 beside their metadata.
	MaxBytes = 780_000

	// Absent as the version of a Put asks for an object that does not exist yet.
	Absent int64 = 0
)

type (
	// Object is one value with its version. Versions of one name only grow, and
	// each write gives a new one.
	Object struct {
		Kind    string
		Name    string
		Version int64
		Data    []byte
	}

	// Store is the platform's object API. Each call counts against its rates,
	// a waiting Watch as one.
	Store struct {
		// Get returns the newest version that the store knows. Errors:
		// ErrNotFound, ErrUnavailable.
		Get func(ctx context.Context, kind, name string) (Object, error)

		// Put writes Data if the object's version is still the one given, or if
		// it does not exist and Absent is given, and returns the new version.
		// Errors: ErrConflict if the condition fails, ErrUnavailable if nothing
		// was written, ErrUncertain if the write may take effect, also later.
		Put func(ctx context.Context, obj Object) (int64, error)

		// Delete removes the object if its version is still the one given.
		// Errors: those of Put, and ErrNotFound.
		Delete func(ctx context.Context, kind, name string, version int64) error

		// List returns the objects whose names begin with prefix, ordered by
		// name. Errors: ErrUnavailable.
		List func(ctx context.Context, kind, prefix string) ([]Object, error)

		// Watch waits until the object has a version above after and returns
		// it. Errors: ErrUnavailable, ErrUnchanged if the wait ended.
		Watch func(ctx context.Context, kind, name string, after int64) (Object, error)
	}
)

// Errors of a Store. They are wrapped with what was attempted.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object has another version")
	ErrUnavailable = errors.New("object API is unavailable; nothing was written")
	ErrUncertain   = errors.New("object API gave no answer; the write may take effect")
	ErrUnchanged   = errors.New("object is unchanged")
	ErrHistoryGone = errors.New("object API no longer has this history")
)

// IsCallFailure reports whether an error says that the store did not serve a call.
func IsCallFailure(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
}
