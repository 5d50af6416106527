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
		store  object.Store
		reads  *rate.Limiter
		writes *rate.Limiter

		readCount, writeCount, watchCount, failCount atomic.Int64
	}
)

// New returns a client that makes at most the given numbers of calls a second.
func New(store object.Store, readsPerSecond, writesPerSecond float64) *Client {
	return &Client{
		store:  store,
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond))),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond))),
	}
}

// Store returns the client as an object store.
func (c *Client) Store() object.Store {
	return object.Store{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch}
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load(), Watches: c.watchCount.Load(), Failed: c.failCount.Load()}
}

// Read makes another reading call of the platform within the limits.
func (c *Client) Read(ctx context.Context, call func(ctx context.Context) error) error {
	return c.within(ctx, c.reads, &c.readCount, callTimeout, call)
}

// Wait makes another call of the platform that waits there.
func (c *Client) Wait(ctx context.Context, call func(ctx context.Context) error) error {
	return c.within(ctx, c.reads, &c.watchCount, WatchWait+callTimeout, call)
}

func (c *Client) get(ctx context.Context, kind, name string) (out object.Object, err error) {
	err = c.Read(ctx, func(ctx context.Context) error {
		out, err = c.store.Get(ctx, kind, name)
		return err
	})
	return out, err
}

func (c *Client) list(ctx context.Context, kind, prefix string) (out []object.Object, err error) {
	err = c.Read(ctx, func(ctx context.Context) error {
		out, err = c.store.List(ctx, kind, prefix)
		return err
	})
	return out, err
}

func (c *Client) watch(ctx context.Context, kind, name string, after int64) (out object.Object, err error) {
	err = c.Wait(ctx, func(ctx context.Context) error {
		out, err = c.store.Watch(ctx, kind, name, after)
		return err
	})
	return out, err
}

func (c *Client) put(ctx context.Context, obj object.Object) (version int64, err error) {
	err = c.write(ctx, func(ctx context.Context) error {
		version, err = c.store.Put(ctx, obj)
		return err
	})
	return version, err
}

func (c *Client) remove(ctx context.Context, kind, name string, version int64) error {
	return c.write(ctx, func(ctx context.Context) error { return c.store.Delete(ctx, kind, name, version) })
}

func (c *Client) write(ctx context.Context, call func(ctx context.Context) error) error {
	return c.within(ctx, c.writes, &c.writeCount, callTimeout, call)
}

// within makes a call within a limit and a time.
func (c *Client) within(ctx context.Context, limit *rate.Limiter, count *atomic.Int64, timeout time.Duration, call func(context.Context) error) error {
	count.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := limit.Wait(ctx); err != nil {
		c.failCount.Add(1)
		return fmt.Errorf("%w: the instance's part of the call rate is used up", object.ErrUnavailable)
	}
	err := call(ctx)
	if object.IsCallFailure(err) {
		c.failCount.Add(1)
	}
	return err
}
