// Package slot gives slots at the servers of a plain service to the requests of all
// instances. It runs at the service's owner.
//
// It joins core/stage, which knows the health and the load of the servers, and
// core/overload, which decides whose turn it is. All of its state may be lost: a new owner
// does not know which slots are in use, and learns it from the answers of full servers. It
// must not call servers or other instances.
package slot

import (
	"context"
	"sync"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
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
		// Demand.Wait is how long a call of Acquire may wait.
		Demand overload.Demand
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
		stage   *stage.Stage
		report  func(Event)

		mu    sync.Mutex
		queue *overload.Queue
		// waiting and held are keyed by request ID.
		waiting map[string]*waiter
		held    map[string]*hold
		// wakeAt is when the next scheduled dispatch comes, or zero.
		wakeAt time.Time
		// onlyProbes is set if all servers that may be called are ejected.
		onlyProbes bool
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
		grant   stage.Grant
		server  string
		expires time.Time
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

// organisation stands for all organisations at the stage, whose queue is not used.
var organisation = declare.NewOrganisation("", 1)

// New returns the owner of the slots of a service. s balances requests over the servers, and
// must be used by this owner alone. random returns a random number in [0, 1), and report is
// called with each decision and must not block.
func New(service string, s *stage.Stage, clock stage.Clock, random func() float64, report func(Event)) *Owner {
	return &Owner{
		service: service, clock: clock, stage: s, report: report, queue: overload.New(initialWork, random),
		waiting: make(map[string]*waiter), held: make(map[string]*hold),
	}
}

// Stage returns the stage. Update has to be called after a change of its servers.
func (o *Owner) Stage() *stage.Stage { return o.stage }

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
		return nil, h.server, nil
	}
	w := o.waiting[q.RequestID]
	if w == nil {
		if _, _, _, err := o.stage.Forecast(now, organisation, 1, 0); err != nil {
			return nil, "", fault.From(err)
		}
		w = &waiter{query: q, added: now, decided: make(chan struct{})}
		w.job = &overload.Job{ID: q.RequestID, Demand: q.Demand, Deadline: q.Deadline}
		if err := o.queue.Add(now, w.job); err != nil {
			o.report(Event{Step: Refused, Service: o.service, Job: w.job, Err: fault.From(err)})
			o.dispatch(now)
			return nil, "", err
		}
		o.waiting[q.RequestID] = w
		o.dispatch(now)
		if h := o.held[q.RequestID]; h != nil {
			o.claim(h)
			return nil, h.server, nil
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
func (o *Owner) claim(h *hold) { h.expires = h.job.Deadline.Add(releaseMargin) }

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
		return h.server, nil
	}
	if w.calls == 0 {
		w.detachedAt = now
		o.wake(now, now.Add(detachedTime))
	}
	return "", nil
}

// Release ends the use of a slot, or the wait of a request that has none yet. took is how
// long the request took if it succeeded.
func (o *Owner) Release(id string, outcome balance.Outcome, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end(o.clock.Now(), id, outcome, took)
}

// end implements Release. The caller holds mu.
func (o *Owner) end(now time.Time, id string, outcome balance.Outcome, took time.Duration) {
	if w := o.waiting[id]; w != nil {
		o.queue.Remove(now, w.job)
		delete(o.waiting, id)
		w.err = fault.Errorf(fault.Cancelled, "the request gave up").WithRan(fault.RanNo)
		close(w.decided)
		o.report(Event{Step: GaveUp, Service: o.service, Job: w.job, Waited: now.Sub(w.added)})
	}
	if h := o.held[id]; h != nil {
		delete(o.held, id)
		if outcome == balance.Succeeded {
			o.stage.Finish(organisation, h.grant, 1, 1, 1)
			o.queue.End(h.job, took)
		} else {
			o.stage.Release(h.grant, outcome)
			o.queue.End(h.job, 0)
		}
	}
	o.dispatch(now)
}

// dispatch gives free slots to waiting requests in their order. The caller holds mu.
func (o *Owner) dispatch(now time.Time) {
	places, usable, next := o.stage.Capacity(now)
	o.onlyProbes = places == 0 && usable
	if o.onlyProbes {
		places = 1
	}
	o.queue.SetCapacity(now, places)
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
		j := o.queue.Next()
		if j == nil || !o.grant(now, j) {
			break
		}
	}
	if o.queue.Len() > 0 {
		o.wake(now, next)
		o.wake(now, o.queue.NextChange())
	}
}

// grant gives a request a slot and reports whether one is free. Servers that the request
// excludes are used only if no other may serve it in time. The caller holds mu.
func (o *Owner) grant(now time.Time, j *overload.Job) bool {
	w := o.waiting[j.ID]
	req := stage.CallRequest{Organisation: organisation, Cost: 1, Deadline: j.Deadline, Arrived: w.added}
	req.Query.NoProbe = !w.query.Repeatable && !o.onlyProbes
	req.Query.Exclude = o.stage.EndpointIndexes(w.query.Exclude)
	g, ok := o.stage.TryAcquire(req)
	if !ok && !o.stage.MayServe(j.Deadline, w.query.Exclude) {
		req.Query.Exclude = nil
		g, ok = o.stage.TryAcquire(req)
	}
	if !ok {
		return false
	}
	o.queue.Start(now, j)
	delete(o.waiting, j.ID)
	h := &hold{job: j, grant: g, server: g.Endpoint.Name(), expires: now.Add(detachedTime)}
	o.held[j.ID] = h
	o.wake(now, h.expires)
	close(w.decided)
	o.report(Event{Step: Granted, Service: o.service, Job: j, Server: h.server, Waited: now.Sub(w.added)})
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
			o.report(Event{Step: Expired, Service: o.service, Job: h.job, Server: h.server})
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
