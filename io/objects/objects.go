// Package objects limits an instance's calls to the platform to its share of the
// platform's rates.
//
// It owns the rate limits, timeouts and counts of the calls. It must not know
// the protocol of the object store, which package platform implements.
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
	// callTimeout limits the time of a call that is not a watch.
	callTimeout = 2 * time.Second

	// WatchWait is how long a watch waits at the store. The platform's protocol
	// allows up to 30 s.
	WatchWait = 20 * time.Second
)

type (
	// Counts holds the numbers of calls that a client has made.
	Counts struct {
		Reads, Writes, Watches, Failed int64
	}

	// Client calls an object store within rate limits. Use New to create one. It
	// is safe for concurrent use.
	Client struct {
		store        object.Store
		readLimiter  *rate.Limiter
		writeLimiter *rate.Limiter

		readCount, writeCount, watchCount, failureCount atomic.Int64
	}
)

// New returns a client that makes at most the given numbers of calls per second.
// The limit on reads includes watches.
func New(store object.Store, readsPerSecond, writesPerSecond float64) *Client {
	return &Client{
		store:        store,
		readLimiter:  rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond))),
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond))),
	}
}

// Store returns an object store whose calls are made through the client.
func (c *Client) Store() object.Store {
	return object.Store{Get: c.get, Put: c.put, Delete: c.delete, List: c.list, Watch: c.watch}
}

// Counts returns the numbers of calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load(), Watches: c.watchCount.Load(), Failed: c.failureCount.Load()}
}

// DoRead makes a call to the platform that counts as a read. It is exported for
// calls that Store does not offer.
func (c *Client) DoRead(ctx context.Context, call func(ctx context.Context) error) error {
	return c.do(ctx, c.readLimiter, &c.readCount, callTimeout, call)
}

// DoWatch makes a call to the platform that may wait there for up to WatchWait. It
// is exported for calls that Store does not offer.
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

// do makes a call once the limiter allows it. The timeout includes the wait for
// the limiter.
func (c *Client) do(ctx context.Context, limiter *rate.Limiter, count *atomic.Int64, timeout time.Duration, call func(context.Context) error) error {
	count.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		c.failureCount.Add(1)
		return fmt.Errorf("%w: the instance's share of the call rate is exhausted", object.ErrUnavailable)
	}
	err := call(ctx)
	if object.IsCallFailure(err) {
		c.failureCount.Add(1)
	}
	return err
}
