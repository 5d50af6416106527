package gather

import (
	"context"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

const (
	// callTimeoutFactor and callGrace bound a call in terms of its expected time.
	callTimeoutFactor = 4
	callTimeoutMargin = 500 * time.Millisecond
)

type (
	// Deps are the calls of stage servers that a Shop makes.
	Deps struct {
		// RunBatch makes a batch; left returns for how long an item is of use.
		RunBatch func(ctx context.Context, b *Batch, remaining func(*Item) time.Duration) (CallStatus, []ItemOutcome, error)
		// Free gives results up at their servers.
		Free func(ctx context.Context, handles []string) error
		// BatchEnded is called with each call that has ended.
		BatchEnded func(service string, b *Batch, took time.Duration, err error)
	}

	// Dispatcher has the pieces of one service made. Use NewShop. It is safe for
	// concurrent use.
	Dispatcher struct {
		service string
		queue   *Queue
		clock   stage.Clock
		deps    Deps

		mu        sync.Mutex
		stopTimer func() bool
	}

	// job is the pieces of one stage of a request.
	job struct {
		mu        sync.Mutex
		handles   []string
		remaining int
		err       error
		done      chan struct{}
	}
)

// NewDispatcher returns a shop without servers.
func NewDispatcher(service string, cfg route.PieceConfig, clock stage.Clock, deps Deps) *Dispatcher {
	return &Dispatcher{service: service, queue: New(cfg), clock: clock, deps: deps}
}

// SetServers takes the servers that may get calls.
func (d *Dispatcher) SetServers(servers []fleet.Server, cfg route.PieceConfig) {
	d.queue.SetServers(servers, cfg)
	d.dispatch()
}

// Process has items made and returns their handles in order. The items' Done is
// set by Make.
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

// Free gives results up at their servers, without waiting.
func (d *Dispatcher) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeoutMargin)
		defer cancel()
		// What cannot be freed is held until its life ends; the queue's account
		// ends then too.
		if d.deps.Free(ctx, handles) == nil {
			d.queue.ReleaseResults(handles)
			d.dispatch()
		}
	}()
}

// dispatch starts the calls that can be started now.
func (d *Dispatcher) dispatch() {
	for {
		b, late := d.queue.Next(d.clock.Now())
		for _, it := range late {
			it.Done("", fault.Errorf(fault.DeadlineTooShort, "the piece can no longer be made in time"))
		}
		if b == nil {
			break
		}
		go d.runBatch(b)
	}
	d.scheduleWakeup()
}

// scheduleWakeup dispatches again when something that waits may go on by time alone.
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

func (d *Dispatcher) runBatch(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFactor*b.expected+callTimeoutMargin)
	defer cancel()
	status, outcomes, err := d.deps.RunBatch(ctx, b, func(it *Item) time.Duration { return it.Deadline.Sub(d.clock.Now()) })
	now := d.clock.Now()
	d.deps.BatchEnded(d.service, b, now.Sub(b.started), err)
	completed, orphaned := d.queue.Complete(now, b, status, outcomes)
	for _, c := range completed {
		c.Item.Done(c.Handle, c.Err)
	}
	d.Free(orphaned)
	d.dispatch()
}

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

// completed returns the handles so far.
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
