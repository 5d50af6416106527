// Package slot gives slots at the servers of a service to the requests of all instances. It
// runs at the service's owner.
//
// It joins what knows the health and the load of the servers, core/stage for plain services,
// and core/overload, which decides whose turn it is. All of its state may be lost: a new
// owner does not know which slots are in use, and learns it from the answers of full servers.
// It must not call servers or other instances.
package slot

import (
	"context"
	"sync"
	"time"

	"chervilpath/core/backlog"
	"chervilpath/core/balance"
	"chervilpath/core/fault"
	"chervilpath/core/overload"
	"chervilpath/core/stage"
)

const (
	// initialWork is the expected time for which a request holds a slot until some have
	// ended.
	initialWork = 50 * time.Millisecond

	// detachedTime is how long a request keeps its turn without a call that waits for it,
	// and a slot that was granted meanwhile is kept. Calls follow each other at once, so
	// it is only a few times the latency between two instances.
	detachedTime = 60 * time.Millisecond

	// releaseMargin is the time after a request's deadline at which its slot counts as free
	// without a report.
	releaseMargin = 100 * time.Millisecond
)

// The lanes of requests that any server may serve, and of those that exclude some. The
// latter must not keep others from a server that they exclude.
const (
	anyServer = iota
	someServers
)

type (
	// Query describes a request that needs a slot at a server of a plain service.
	Query struct {
		// RequestID is unique to the attempt.
		Service, RequestID string
		// Exclude lists the IDs of servers that are used only if no other may serve the
		// request.
		Exclude []string
		// Repeatable is set if the request may run again at another server.
		Repeatable bool
		Deadline   time.Time
		// Expires is when the slot counts as free without a report, or zero for shortly after
		// Deadline.
		Expires time.Time
		// Response is the time from the grant to the answer, or 0 if that is the time for
		// which the request holds its slot.
		Response time.Duration
		// Demand.Wait is how long a call of Acquire may wait.
		Demand overload.Demand
		// Data is for Servers.Grant.
		Data any
	}

	// Servers are the servers of a service.
	Servers struct {
		// Check returns an error if no server takes requests.
		Check func(now time.Time) error
		// Capacity returns the number of slots, including those in use, and when that may
		// change with time, or the zero time.
		Capacity func(now time.Time) (slots int, next time.Time)
		// Grant gives a request that was added at the given time a slot if one is free.
		Grant func(now time.Time, q Query, added time.Time) (Grant, bool)
	}

	// Grant is a slot at a server. End ends its use and must be called once.
	Grant struct {
		Server string
		End    func(now time.Time, outcome balance.Outcome)
	}

	// Step says what happened to a request.
	Step string

	// Event is a decision about a request, for the log and the counters.
	Event struct {
		Step    Step
		Service string
		Job     *overload.Job
		Server  string
		// Waited is the time since the request was added.
		Waited time.Duration
		Err    *fault.Error
	}

	// Owner gives the slots of one service. Use New to create one. It is safe for
	// concurrent use.
	Owner struct {
		service string
		clock   stage.Clock
		servers Servers
		report  func(Event)

		mu    sync.Mutex
		queue *overload.Queue
		// waiting and held are keyed by request ID.
		waiting map[string]*waiter
		held    map[string]*hold
		// wakeAt is when the next scheduled dispatch comes, or zero.
		wakeAt time.Time
	}

	// waiter is a request that waits.
	waiter struct {
		job   *overload.Job
		query Query
		added time.Time
		// decided is closed when the request has got a slot or was refused with err.
		decided chan struct{}
		err     *fault.Error
		// calls is the number of calls that wait for it, and detachedAt when the last of
		// them ended.
		calls      int
		detachedAt time.Time
	}

	// hold is a slot in use.
	hold struct {
		job     *overload.Job
		grant   Grant
		granted time.Time
		// claimed is when the slot counts as free once a call has got it, and expires when it
		// does so now.
		claimed, expires time.Time
	}
)

// The steps of a request.
const (
	// Delayed requests wait, Granted ones got a slot at once or later.
	Delayed Step = "delayed"
	Granted Step = "granted"
	// Refused requests were refused immediately, and Dropped ones after they had waited.
	Refused Step = "refused"
	Dropped Step = "dropped"
	// GaveUp is a request whose caller no longer waits for it.
	GaveUp Step = "gaveUp"
	// Expired is a slot that was not released in time.
	Expired Step = "expired"
)

// New returns the owner of the slots of a service. random returns a random number in [0, 1),
// and report is called with each decision and must not block.
func New(service string, servers Servers, clock stage.Clock, random func() float64, report func(Event)) *Owner {
	return &Owner{
		service: service, clock: clock, servers: servers, report: report, queue: overload.New(initialWork, random),
		waiting: make(map[string]*waiter), held: make(map[string]*hold),
	}
}

// Update gives slots that became free by a change of the servers.
func (o *Owner) Update() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatch(o.clock.Now())
}

// Acquire waits for a slot for up to the time in the demand, and returns the ID of its
// server, or "" if the request still waits. It keeps its turn for detachedTime. An error is
// a refusal.
func (o *Owner) Acquire(ctx context.Context, q Query) (string, error) {
	w, server, err := o.attach(q)
	if w == nil {
		return server, err
	}
	over := make(chan struct{})
	defer o.clock.AfterFunc(q.Demand.Wait, func() { close(over) })()
	select {
	case <-w.decided:
	case <-over:
	case <-ctx.Done():
	}
	return o.detach(ctx, q.RequestID, w)
}

// attach returns the waiting request of a call, or nil if it has been decided already.
func (o *Owner) attach(q Query) (*waiter, string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.dispatch(now)
	if h := o.held[q.RequestID]; h != nil {
		o.claim(h)
		return nil, h.grant.Server, nil
	}
	w := o.waiting[q.RequestID]
	if w == nil {
		if err := o.servers.Check(now); err != nil {
			return nil, "", err
		}
		w = &waiter{query: q, added: now, decided: make(chan struct{})}
		w.job = &overload.Job{ID: q.RequestID, Demand: q.Demand, Deadline: q.Deadline, Response: q.Response}
		if len(q.Exclude) > 0 {
			w.job.Lane = someServers
		}
		if err := o.queue.Add(now, w.job); err != nil {
			o.report(Event{Step: Refused, Service: o.service, Job: w.job, Err: fault.From(err)})
			o.dispatch(now)
			return nil, "", err
		}
		o.waiting[q.RequestID] = w
		o.dispatch(now)
		if h := o.held[q.RequestID]; h != nil {
			o.claim(h)
			return nil, h.grant.Server, nil
		}
		if w.err != nil {
			return nil, "", w.err
		}
		o.report(Event{Step: Delayed, Service: o.service, Job: w.job})
	}
	w.calls++
	return w, "", nil
}

// claim records that a slot was granted to a call, which releases it.
func (o *Owner) claim(h *hold) { h.expires = h.claimed }

// detach returns what was decided about the request of a call.
func (o *Owner) detach(ctx context.Context, id string, w *waiter) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.calls--
	now := o.clock.Now()
	switch h := o.held[id]; {
	case w.err != nil:
		return "", w.err
	case ctx.Err() != nil && w.calls == 0:
		o.end(now, id, balance.Abandoned, 0)
		return "", fault.From(ctx.Err()).WithRan(fault.RanNo)
	case h != nil:
		o.claim(h)
		return h.grant.Server, nil
	}
	if w.calls == 0 {
		w.detachedAt = now
		o.wake(now, now.Add(detachedTime))
	}
	return "", nil
}

// Release ends the use of a slot, or the wait of a request that has none yet, and reports
// whether there is one. took is how long the request took, or 0 if that is the time since the
// grant.
func (o *Owner) Release(id string, outcome balance.Outcome, took time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end(o.clock.Now(), id, outcome, took)
}

// end implements Release. The caller holds mu.
func (o *Owner) end(now time.Time, id string, outcome balance.Outcome, took time.Duration) bool {
	w, h := o.waiting[id], o.held[id]
	if w != nil {
		o.queue.Remove(now, w.job)
		delete(o.waiting, id)
		w.err = fault.Errorf(fault.Cancelled, "the request gave up").WithRan(fault.RanNo)
		close(w.decided)
		o.report(Event{Step: GaveUp, Service: o.service, Job: w.job, Waited: now.Sub(w.added)})
	}
	if h != nil {
		delete(o.held, id)
		h.grant.End(now, outcome)
		switch {
		case outcome != balance.Succeeded:
			took = 0
		case took <= 0:
			took = now.Sub(h.granted)
		}
		o.queue.End(h.job, took)
	}
	o.dispatch(now)
	return w != nil || h != nil
}

// dispatch gives free slots to waiting requests in their order. The caller holds mu.
func (o *Owner) dispatch(now time.Time) {
	places, next := o.servers.Capacity(now)
	o.queue.SetCapacity(now, places)
	var blocked backlog.Lanes
	for {
		for _, r := range o.queue.Advance(now) {
			w := o.waiting[r.Job.ID]
			if w == nil {
				continue
			}
			delete(o.waiting, r.Job.ID)
			w.err = r.Err
			close(w.decided)
			o.report(Event{Step: Dropped, Service: o.service, Job: w.job, Waited: now.Sub(w.added), Err: r.Err})
		}
		j := o.queue.Next(blocked)
		if j == nil {
			break
		}
		if !o.grant(now, j) {
			blocked.Add(j.Lane)
			if j.Lane == anyServer {
				break
			}
		}
	}
	if o.queue.Len() > 0 {
		o.wake(now, next)
		o.wake(now, o.queue.NextChange())
	}
}

// grant gives a request a slot and reports whether one is free. The caller holds mu.
func (o *Owner) grant(now time.Time, j *overload.Job) bool {
	w := o.waiting[j.ID]
	g, ok := o.servers.Grant(now, w.query, w.added)
	if !ok {
		return false
	}
	o.queue.Start(now, j)
	delete(o.waiting, j.ID)
	h := &hold{job: j, grant: g, granted: now, claimed: w.query.Expires, expires: now.Add(detachedTime)}
	if h.claimed.IsZero() {
		h.claimed = j.Deadline.Add(releaseMargin)
	}
	o.held[j.ID] = h
	o.wake(now, h.expires)
	close(w.decided)
	o.report(Event{Step: Granted, Service: o.service, Job: j, Server: g.Server, Waited: now.Sub(w.added)})
	return true
}

// wake schedules a dispatch at the given time, unless it is zero. The caller holds mu.
func (o *Owner) wake(now, at time.Time) {
	if at.IsZero() || !o.wakeAt.IsZero() && !at.Before(o.wakeAt) {
		return
	}
	o.wakeAt = at
	o.clock.AfterFunc(max(time.Millisecond, at.Sub(now)), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.wakeAt.Equal(at) {
			o.wakeAt = time.Time{}
		}
		o.expire(o.clock.Now())
	})
}

// expire ends the waits that no call follows and the slots that were not released in time.
// The caller holds mu.
func (o *Owner) expire(now time.Time) {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for id, w := range o.waiting {
		if w.calls > 0 {
			continue
		}
		if at := w.detachedAt.Add(detachedTime); at.After(now) {
			earliest(at)
		} else {
			o.end(now, id, balance.Abandoned, 0)
		}
	}
	for id, h := range o.held {
		if h.expires.After(now) {
			earliest(h.expires)
		} else {
			o.report(Event{Step: Expired, Service: o.service, Job: h.job, Server: h.grant.Server})
			o.end(now, id, balance.Abandoned, 0)
		}
	}
	o.dispatch(now)
	o.wake(now, next)
}

// Counts returns the number of requests that wait and of slots in use.
func (o *Owner) Counts() (waiting, held int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting), len(o.held)
}
