// Package object defines the interface through which this module uses the
// platform's object API: versions, conditional updates and watches.
//
// It must not store objects or implement the protocol, which package platform
// does.
package object

import (
	"context"
	"errors"
)

const (
	// MaxBytes is the maximum size of a stored value. The platform accepts
	// objects of up to 1 MiB, which contain the value in base64 and metadata.
	MaxBytes = 780_000

	// Absent as the version of a Put requires that the object does not exist.
	Absent int64 = 0
)

type (
	// Object is a value with its version. Each write of an object gives it a new,
	// higher version.
	Object struct {
		Kind    string
		Name    string
		Version int64
		Data    []byte
	}

	// Store is the platform's object API. Each call counts against the
	// platform's rate limits, a waiting Watch as one call.
	Store struct {
		// Get returns the latest version that the store has. Errors:
		// ErrNotFound, ErrUnavailable.
		Get func(ctx context.Context, kind, name string) (Object, error)

		// Put writes Data if the object still has the given version, or if the
		// version is Absent and the object does not exist. It returns the new
		// version. Errors: ErrConflict if the condition does not hold,
		// ErrUnavailable if nothing was written, ErrUncertain if the write may
		// have taken effect or may do so later.
		Put func(ctx context.Context, obj Object) (int64, error)

		// Delete removes the object if it still has the given version.
		// Errors: those of Put, and ErrNotFound.
		Delete func(ctx context.Context, kind, name string, version int64) error

		// List returns the objects whose names begin with prefix, ordered by
		// name. An object that cannot be decoded has no Data. Errors:
		// ErrUnavailable.
		List func(ctx context.Context, kind, prefix string) ([]Object, error)

		// Watch waits until the object has a version higher than after and
		// returns the object. Errors: ErrUnavailable, ErrUnchanged if the wait
		// timed out.
		Watch func(ctx context.Context, kind, name string, after int64) (Object, error)
	}
)

// Errors of a Store. Implementations wrap them with the failed operation.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object has another version")
	ErrUnavailable = errors.New("object API is unavailable; nothing was written")
	ErrUncertain   = errors.New("object API did not answer; the write may take effect")
	ErrUnchanged   = errors.New("object is unchanged")
	ErrHistoryGone = errors.New("object API no longer has this history")
)

// IsCallFailure reports whether err means that the store did not serve a call,
// as opposed to an answer such as ErrNotFound or ErrConflict.
func IsCallFailure(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
}
