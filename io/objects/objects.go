// Package objects holds an instance to its part of the platform's call rates.
//
// It owns the limits, time-outs and counts of calls of an object store. It must
// not know the store's wire: platform does.
package objects

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chervilpath/core/object"
)

const (
	// callTimeout bounds a call that is not a watch.
	callTimeout = 2 * time.Second

	// WatchWait is how long a watch waits at the store, below the 30 s that the
	// platform's protocol allows.
	WatchWait = 20 * time.Second
)

type (
	// Counts are the calls that a client has made.
	Counts struct {
		Reads, Writes, Watches, Failed int64
	}

	// Client calls a store within limits. Use New. It is safe for concurrent use.
	Client struct {
		store        object.Store
		readLimiter  *rate.Limiter
		writeLimiter *rate.Limiter

		readCount, writeCount, watchCount, failureCount atomic.Int64
	}
)

// New returns a client that makes at most the given numbers of calls a second.
func New(store object.Store, readsPerSecond, writesPerSecond float64) *Client {
	return &Client{
		store:        store,
		readLimiter:  rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond))),
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond))),
	}
}

// Store returns the client as an object store.
func (c *Client) Store() object.Store {
	return object.Store{Get: c.get, Put: c.put, Delete: c.delete, List: c.list, Watch: c.watch}
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load(), Watches: c.watchCount.Load(), Failed: c.failureCount.Load()}
}

// DoRead makes another reading call of the platform within the limits.
func (c *Client) DoRead(ctx context.Context, call func(ctx context.Context) error) error {
	return c.do(ctx, c.readLimiter, &c.readCount, callTimeout, call)
}

// DoWatch makes another call of the platform that waits there.
func (c *Client) DoWatch(ctx context.Context, call func(ctx context.Context) error) error {
	return c.do(ctx, c.readLimiter, &c.watchCount, WatchWait+callTimeout, call)
}

func (c *Client) get(ctx context.Context, kind, name string) (out object.Object, err error) {
	err = c.DoRead(ctx, func(ctx context.Context) error {
		out, err = c.store.Get(ctx, kind, name)
		return err
	})
	return out, err
}

func (c *Client) list(ctx context.Context, kind, prefix string) (out []object.Object, err error) {
	err = c.DoRead(ctx, func(ctx context.Context) error {
		out, err = c.store.List(ctx, kind, prefix)
		return err
	})
	return out, err
}

func (c *Client) watch(ctx context.Context, kind, name string, after int64) (out object.Object, err error) {
	err = c.DoWatch(ctx, func(ctx context.Context) error {
		out, err = c.store.Watch(ctx, kind, name, after)
		return err
	})
	return out, err
}

func (c *Client) put(ctx context.Context, obj object.Object) (version int64, err error) {
	err = c.doWrite(ctx, func(ctx context.Context) error {
		version, err = c.store.Put(ctx, obj)
		return err
	})
	return version, err
}

func (c *Client) delete(ctx context.Context, kind, name string, version int64) error {
	return c.doWrite(ctx, func(ctx context.Context) error { return c.store.Delete(ctx, kind, name, version) })
}

func (c *Client) doWrite(ctx context.Context, call func(ctx context.Context) error) error {
	return c.do(ctx, c.writeLimiter, &c.writeCount, callTimeout, call)
}

// do makes a call within a limit and a time.
func (c *Client) do(ctx context.Context, limiter *rate.Limiter, count *atomic.Int64, timeout time.Duration, call func(context.Context) error) error {
	count.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		c.failureCount.Add(1)
		return fmt.Errorf("%w: the instance's part of the call rate is used up", object.ErrUnavailable)
	}
	err := call(ctx)
	if object.IsCallFailure(err) {
		c.failureCount.Add(1)
	}
	return err
}
