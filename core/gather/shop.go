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
	// callFactor and callGrace bound a call in terms of its expected time.
	callFactor = 4
	callGrace  = 500 * time.Millisecond
)

type (
	// Calls are the calls of stage servers that a Shop makes.
	Calls struct {
		// Run makes a batch; left returns for how long an item is of use.
		Run func(ctx context.Context, b *Batch, left func(*Item) time.Duration) (Ending, []Outcome, error)
		// Free gives results up at their servers.
		Free func(ctx context.Context, handles []string) error
		// Ended is called with each call that has ended.
		Ended func(service string, b *Batch, took time.Duration, err error)
	}

	// Shop has the pieces of one service made. Use NewShop. It is safe for
	// concurrent use.
	Shop struct {
		service string
		queue   *Queue
		clock   stage.Clock
		calls   Calls

		mu    sync.Mutex
		timer func() bool
	}

	// order is the pieces of one stage of a request.
	order struct {
		mu      sync.Mutex
		handles []string
		left    int
		err     error
		done    chan struct{}
	}
)

// NewShop returns a shop without servers.
func NewShop(service string, pieces route.PieceConfig, clock stage.Clock, calls Calls) *Shop {
	return &Shop{service: service, queue: New(pieces), clock: clock, calls: calls}
}

// Replace takes the servers that may get calls.
func (s *Shop) Replace(servers []fleet.Server, pieces route.PieceConfig) {
	s.queue.Replace(servers, pieces)
	s.dispatch()
}

// Make has items made and returns their handles in order. The items' Done is
// set by Make.
func (s *Shop) Make(ctx context.Context, items []*Item) ([]string, error) {
	o := &order{handles: make([]string, len(items)), left: len(items), done: make(chan struct{})}
	for i, it := range items {
		it.Done = func(handle string, err error) { o.finish(i, handle, err) }
	}
	if err := s.queue.Add(s.clock.Now(), items); err != nil {
		return nil, err
	}
	s.dispatch()
	var err error
	select {
	case <-o.done:
		err = o.failure()
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		s.queue.Drop(items)
		s.Free(o.made())
		return nil, err
	}
	return o.handles, nil
}

// Free gives results up at their servers, without waiting.
func (s *Shop) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callGrace)
		defer cancel()
		// What cannot be freed is held until its life ends; the queue's account
		// ends then too.
		if s.calls.Free(ctx, handles) == nil {
			s.queue.Freed(handles)
			s.dispatch()
		}
	}()
}

// dispatch starts the calls that can be started now.
func (s *Shop) dispatch() {
	for {
		b, late := s.queue.Next(s.clock.Now())
		for _, it := range late {
			it.Done("", fault.Errorf(fault.DeadlineTooShort, "the piece can no longer be made in time"))
		}
		if b == nil {
			break
		}
		go s.call(b)
	}
	s.arm()
}

// arm dispatches again when something that waits may go on by time alone.
func (s *Shop) arm() {
	now := s.clock.Now()
	at := s.queue.NextAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer()
		s.timer = nil
	}
	if !at.IsZero() {
		s.timer = s.clock.AfterFunc(max(time.Millisecond, at.Sub(now)), s.dispatch)
	}
}

func (s *Shop) call(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callFactor*b.expect+callGrace)
	defer cancel()
	ending, outcomes, err := s.calls.Run(ctx, b, func(it *Item) time.Duration { return it.Deadline.Sub(s.clock.Now()) })
	now := s.clock.Now()
	s.calls.Ended(s.service, b, now.Sub(b.began), err)
	done, unwanted := s.queue.End(now, b, ending, outcomes)
	for _, f := range done {
		f.Item.Done(f.Handle, f.Err)
	}
	s.Free(unwanted)
	s.dispatch()
}

func (o *order) finish(i int, handle string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handles[i] = handle
	o.left--
	if err != nil && o.err == nil {
		o.err = err
		close(o.done)
		return
	}
	if o.left == 0 && o.err == nil {
		close(o.done)
	}
}

func (o *order) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// made returns the handles so far.
func (o *order) made() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, h := range o.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}
