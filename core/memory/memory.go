// Package memory bounds the sum of the bytes that are buffered at the same time.
//
// It owns how much of the memory large messages may take together, and in which order they
// get it. It must not know what the messages are.
package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/semaphore"
)

// SmallBytes is the size up to which a message is read without a reservation, so that large
// messages never delay small ones.
const SmallBytes = 64 << 10

var (
	// ErrTooLarge is wrapped by the errors of messages that are larger than accepted.
	ErrTooLarge = errors.New("the message is too large")

	// ErrNoRoom is wrapped by the errors of reservations for which there was no room in time.
	ErrNoRoom = errors.New("there is no room for the message")
)

type (
	// Pool is memory that large messages share. Use New to create one; a nil Pool has no
	// bound. It is safe for concurrent use; reservations are granted in the order in which
	// they were asked for.
	Pool struct {
		size int64
		free *semaphore.Weighted
	}

	// Reservation is a part of a Pool. The zero value is none. It is not safe for concurrent
	// use.
	Reservation struct {
		pool  *Pool
		bytes int64
	}
)

// New returns a pool of the given number of bytes.
func New(size int64) *Pool { return &Pool{size: size, free: semaphore.NewWeighted(size)} }

// Reserve waits until n bytes are free, or until ctx is done. A message that is larger than the
// pool takes all of it.
func (p *Pool) Reserve(ctx context.Context, n int64) (Reservation, error) {
	if p == nil {
		return Reservation{}, nil
	}
	n = min(n, p.size)
	if err := p.free.Acquire(ctx, n); err != nil {
		return Reservation{}, fmt.Errorf("%w of %d bytes among the %d for all: %w", ErrNoRoom, n, p.size, err)
	}
	return Reservation{pool: p, bytes: n}, nil
}

// Keep gives back all but n bytes.
func (r *Reservation) Keep(n int64) {
	if n < r.bytes {
		r.pool.free.Release(r.bytes - n)
		r.bytes = n
	}
}

// Release gives back what is reserved. It may be called again.
func (r *Reservation) Release() { r.Keep(0) }

// ReadAll reads a message of the given length, or -1 if it is not known, to its end. It
// reserves room for one that is larger than SmallBytes, which the caller has to release, and
// waits for that no longer than maxWait, or as long as ctx allows if maxWait is 0. It returns an
// error that wraps ErrTooLarge if the message has more than limit bytes, or ErrNoRoom.
func (p *Pool) ReadAll(ctx context.Context, r io.Reader, length, limit int64, maxWait time.Duration) ([]byte, Reservation, error) {
	if length >= 0 && length <= SmallBytes {
		return readAtMost(r, make([]byte, 0, length+1), limit)
	}
	// Part of a message without a length may be all of it.
	head, err := io.ReadAll(io.LimitReader(r, min(SmallBytes, limit+1)))
	switch {
	case err != nil:
		return nil, Reservation{}, err
	case int64(len(head)) > limit:
		return nil, Reservation{}, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	case len(head) < SmallBytes:
		return head, Reservation{}, nil
	}
	expected, size := limit, int64(len(head))
	if length >= 0 {
		expected = min(length, limit)
		size = expected + 1
	}
	if maxWait > 0 {
		// The time that the message takes to arrive does not count.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait)
		defer cancel()
	}
	reserved, err := p.Reserve(ctx, expected)
	if err != nil {
		return nil, Reservation{}, err
	}
	data, _, err := readAtMost(r, append(make([]byte, 0, size), head...), limit)
	if err != nil {
		reserved.Release()
		return nil, Reservation{}, err
	}
	reserved.Keep(int64(len(data)))
	return data, reserved, nil
}

// readAtMost appends what is left of r to data, up to limit bytes in all.
func readAtMost(r io.Reader, data []byte, limit int64) ([]byte, Reservation, error) {
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, Reservation{}, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case err == io.EOF:
			return data, Reservation{}, nil
		case err != nil:
			return nil, Reservation{}, err
		}
	}
}
