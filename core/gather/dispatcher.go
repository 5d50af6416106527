package gather

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

const (
	// A call times out after callTimeoutFactor times its expected duration plus
	// callTimeoutMargin. A call that frees results times out after
	// callTimeoutMargin alone.
	callTimeoutFactor = 4
	callTimeoutMargin = 500 * time.Millisecond
)

type (
	// Deps are the functions by which a Dispatcher calls servers and reports
	// calls.
	Deps struct {
		// RunBatch has a server process a batch. remaining returns the time until
		// an item's deadline.
		RunBatch func(ctx context.Context, b *Batch, remaining func(*Item) time.Duration) (CallStatus, []ItemOutcome, error)
		// Free releases results at the servers that hold them.
		Free func(ctx context.Context, handles []string) error
		// BatchEnded is called when a call has ended.
		BatchEnded func(service string, b *Batch, took time.Duration, err error)
		// Admit decides whether a batch may be sent to its server, which is cold, and sets
		// the batch's SendBefore. If not, it returns the time after which it may decide
		// otherwise. It may be nil.
		Admit func(ctx context.Context, service string, b *Batch) (ok bool, retryAfter time.Duration)
	}

	// Dispatcher distributes the items of one service to its servers for
	// processing. Use NewDispatcher to create one. It is safe for concurrent
	// use.
	Dispatcher struct {
		service string
		queue   *Queue
		clock   stage.Clock
		deps    Deps

		mu        sync.Mutex
		stopTimer func() bool
	}

	// job collects the outcomes of the items of one call of Process.
	job struct {
		mu        sync.Mutex
		handles   []string
		remaining int
		err       error
		done      chan struct{}
	}
)

// ErrCopiedAnswer means that the answer to a call is a copy of an earlier one.
var ErrCopiedAnswer = errors.New("the answer is a copy of an earlier one")

// NewDispatcher returns a dispatcher without servers.
func NewDispatcher(service string, cfg route.PieceConfig, clock stage.Clock, deps Deps) *Dispatcher {
	return &Dispatcher{service: service, queue: New(cfg), clock: clock, deps: deps}
}

// SetServers sets the servers that may get calls, and their configuration.
func (d *Dispatcher) SetServers(servers []fleet.Server, cfg route.PieceConfig) {
	d.queue.SetServers(servers, cfg)
	d.dispatch()
}

// Process distributes items to the servers and returns the handles of their
// results in order. It sets the items' Done. If one of them fails or ctx is done,
// it cancels all of them and frees the results so far.
func (d *Dispatcher) Process(ctx context.Context, items []*Item) ([]string, error) {
	j := &job{handles: make([]string, len(items)), remaining: len(items), done: make(chan struct{})}
	for i, it := range items {
		it.Done = func(handle string, err error) { j.finish(i, handle, err) }
	}
	if err := d.queue.Add(d.clock.Now(), items); err != nil {
		return nil, err
	}
	d.dispatch()
	var err error
	select {
	case <-j.done:
		err = j.firstError()
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		d.queue.Cancel(items)
		d.Free(j.completed())
		return nil, err
	}
	return j.handles, nil
}

// Free releases results at the servers that hold them, without waiting.
func (d *Dispatcher) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeoutMargin)
		defer cancel()
		// A result that cannot be freed is held until it expires. The queue
		// releases its capacity at the same time.
		if d.deps.Free(ctx, handles) == nil {
			d.queue.ReleaseResults(handles)
			d.dispatch()
		}
	}()
}

// dispatch starts all calls that can start now.
func (d *Dispatcher) dispatch() {
	for {
		b, expired := d.queue.Next(d.clock.Now())
		for _, it := range expired {
			it.Done("", fault.Errorf(fault.DeadlineTooShort, "the piece can no longer be processed before its deadline"))
		}
		if b == nil {
			break
		}
		go d.runBatch(b)
	}
	d.scheduleWakeup()
}

// scheduleWakeup sets the timer for the next time at which a dispatch may have
// something to do although nothing else has happened.
func (d *Dispatcher) scheduleWakeup() {
	now := d.clock.Now()
	wakeAt := d.queue.NextWakeup(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopTimer != nil {
		d.stopTimer()
		d.stopTimer = nil
	}
	if !wakeAt.IsZero() {
		d.stopTimer = d.clock.AfterFunc(max(time.Millisecond, wakeAt.Sub(now)), d.dispatch)
	}
}

// runBatch makes one call and passes its outcomes on.
func (d *Dispatcher) runBatch(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFactor*b.expected+callTimeoutMargin)
	defer cancel()
	if d.deps.Admit != nil && d.clock.Now().Before(b.Server.ColdUntil) {
		if ok, retryAfter := d.deps.Admit(ctx, d.service, b); !ok {
			d.queue.Withhold(d.clock.Now(), b, retryAfter)
			d.dispatch()
			return
		}
	}
	status, outcomes, err := d.deps.RunBatch(ctx, b, func(it *Item) time.Duration { return it.Deadline.Sub(d.clock.Now()) })
	if status == CallAnswered && d.queue.IsCopy(outcomes) {
		status, outcomes, err = CallFailed, nil, fmt.Errorf("server %s: %w", b.Server.ID, ErrCopiedAnswer)
	}
	now := d.clock.Now()
	d.deps.BatchEnded(d.service, b, now.Sub(b.started), err)
	completed, orphaned := d.queue.Complete(now, b, status, outcomes)
	for _, c := range completed {
		c.Item.Done(c.Handle, c.Err)
	}
	d.Free(orphaned)
	d.dispatch()
}

// finish records the outcome of item i. The job is done with the first error or
// the last result.
func (j *job) finish(i int, handle string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.handles[i] = handle
	j.remaining--
	if err != nil && j.err == nil {
		j.err = err
		close(j.done)
		return
	}
	if j.remaining == 0 && j.err == nil {
		close(j.done)
	}
}

func (j *job) firstError() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.err
}

// completed returns the handles of the results so far.
func (j *job) completed() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for _, h := range j.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}
