// Package stage owns one instance's state of a stage: the queue of waiting
// requests, the known state of its endpoints, the estimates of its duration, and
// its retry budgets.
//
// A Stage is safe for concurrent use. It must not call endpoints: it grants the
// right to make one call to one endpoint, and whoever makes the call reports how
// it ended.
package stage

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilpath/core/admit"
	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/estimate"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/retry"
)

const (
	// initialEstimate is the expected duration of a call until enough calls have
	// been observed.
	initialEstimate = 100 * time.Millisecond

	// maxOrgBudgets is the number of organisations with a retry budget at which
	// all of these budgets are dropped, to bound the memory that they take.
	maxOrgBudgets = 4096
)

type (
	// Stage is one instance's state of a stage. Its methods are safe for
	// concurrent use.
	Stage struct {
		clock Clock
		// name is that of the stage, and instance that of this instance.
		name, instance string

		mu          sync.Mutex
		decl        *declare.Stage
		queue       *admit.Queue
		group       *balance.Group
		estimator   *estimate.Estimator
		retryBudget *retry.Budget
		// orgBudgets holds a retry budget for each organisation with recent calls.
		orgBudgets map[string]*retry.Budget
		rng        *rand.Rand
		policy     Policy
		// probeAt is when the next scheduled dispatch comes, or zero.
		probeAt time.Time
		// parked are requests that have left the queue, where it was their turn, and wait
		// for an endpoint that was not found unreachable for them.
		parked []*waiter
	}

	// waiter is a queued item with the grant that it will get.
	waiter struct {
		admit.Item
		req   CallRequest
		grant Grant
		done  chan error
	}
)

// New returns a stage with an empty queue. instance is the name of this instance,
// and instances the number of all instances.
func New(decl *declare.Stage, instance string, instances int, clock Clock, rng *rand.Rand, policy Policy) *Stage {
	endpoints := subset(decl, instance)
	return &Stage{
		clock:       clock,
		name:        decl.Name(),
		instance:    instance,
		decl:        decl,
		queue:       admit.New(decl.MaxQueue()),
		group:       balance.New(endpoints, instancesPerEndpoint(instances, len(endpoints), len(decl.Endpoints())), policy.Balance, rng),
		estimator:   estimate.New(clock.Now(), initialEstimate),
		retryBudget: retry.NewStageBudget(),
		orgBudgets:  make(map[string]*retry.Budget),
		rng:         rng,
		policy:      policy,
	}
}

// subset returns the endpoints that the instance uses. A stage with prefix
// affinity uses all of them, so that instances agree on the endpoint for a
// prefix.
func subset(decl *declare.Stage, instance string) []*declare.Endpoint {
	if decl.Affinity() {
		return decl.Endpoints()
	}
	return balance.Subset(decl.Endpoints(), instance, balance.SubsetSize)
}

// instancesPerEndpoint returns how many instances use each endpoint on average,
// but at least 1, if each instance uses the given number of the total endpoints.
func instancesPerEndpoint(instances, used, total int) int {
	return max(1, instances*used/max(1, total))
}

// SetDeclaration applies a changed declaration and keeps the stage's state.
func (s *Stage) SetDeclaration(decl *declare.Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decl = decl
	s.group.SetEndpoints(subset(decl, s.instance))
	s.dispatch(s.clock.Now())
}

// Forecast returns how long a new request would wait for the stage, how long its
// call would then take, and its cost as corrected by recent calls. The request
// arrives at the stage in arrivesIn. Work that comes later does not delay it, so
// the wait is shorter by that time.
func (s *Stage) Forecast(now time.Time, org *declare.Organisation, stated float64, arrivesIn time.Duration) (wait, duration time.Duration, cost float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost = s.estimator.Cost(stated)
	capacity := s.group.Capacity(now)
	if capacity == 0 && !s.group.Usable(now) {
		return 0, 0, cost, fault.Errorf(fault.EndpointUnavailable, "no endpoint of the stage is available; the next probe is due in %v", s.group.NextProbe(now).Sub(now)).WithStage(s.name)
	}
	if capacity > 0 {
		wait = s.queue.ExpectedWait(org.Name(), org.Share(), s.rate(capacity, cost))
	}
	return max(0, wait-arrivesIn), s.estimator.ExpectedTime(cost), cost, nil
}

// rate returns the cost that the stage serves per second.
func (s *Stage) rate(capacity, typicalCost float64) float64 {
	return capacity / max(1e-9, s.estimator.SecondsPerCost(typicalCost))
}

// Capacity returns how many calls the stage may have in flight at sound endpoints, whether
// any endpoint may be called now, if only as a probe, and when one that takes no calls now
// may be called again, or the zero time.
func (s *Stage) Capacity(now time.Time) (calls int, usable bool, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.group.Capacity(now)), s.group.Usable(now), s.group.NextProbe(now)
}

// ExpectedTime returns the expected duration of a call of the given cost.
func (s *Stage) ExpectedTime(cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.ExpectedTime(cost)
}

// P95 returns the 95th percentile of the durations of recent calls, or the
// expected duration of a call of the given cost if that is longer. It also
// reports whether enough calls have been observed for this.
func (s *Stage) P95(cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.estimator.P95(), s.estimator.ExpectedTime(cost)), s.estimator.HasSamples()
}

// Announce adds the cost that an admitted request will bring to the stage. Each
// call must be matched by a call of Withdraw.
func (s *Stage) Announce(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Announce(org.Name(), org.Share(), cost)
}

// Withdraw subtracts announced cost once the request has arrived or will not
// arrive any more.
func (s *Stage) Withdraw(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Withdraw(org.Name(), cost)
}

// Acquire waits for a grant until ctx is done. Its errors say that the call has
// not run, since nothing has been sent.
func (s *Stage) Acquire(ctx context.Context, req CallRequest) (Grant, error) {
	wt := &waiter{req: req, done: make(chan error, 1)}
	wt.Item = admit.Item{
		Organisation: req.Organisation.Name(),
		Share:        req.Organisation.Share(),
		Priority:     req.Priority,
		Cost:         req.Cost,
		Deadline:     req.Deadline,
		Need:         req.Need,
	}
	wt.Wake = func(err error) {
		if err == nil && !s.serve(s.clock.Now(), wt) {
			s.park(wt)
			return
		}
		wt.done <- err
	}
	if s.policy.FIFO {
		wt.Organisation, wt.Share, wt.Priority = "", 1, declare.Normal
		wt.Deadline, wt.Need = req.Arrived.Add(time.Hour), 0
	}
	if s.policy.NoAdmission {
		wt.Need = math.MinInt64 / 2
	}
	if err := s.enqueue(wt); err != nil {
		return Grant{}, fault.From(err).WithStage(s.name)
	}
	select {
	case err := <-wt.done:
		if err != nil {
			return Grant{}, fault.From(err).WithStage(s.name)
		}
		return wt.grant, nil
	case <-ctx.Done():
	}
	return Grant{}, s.leaveQueue(ctx, wt)
}

func (s *Stage) enqueue(wt *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err := s.queue.Push(now, &wt.Item); err != nil {
		return err
	}
	s.dispatch(now)
	return nil
}

// leaveQueue ends the wait of a caller whose ctx is done. If the request was
// granted at the same time, the grant is released.
func (s *Stage) leaveQueue(ctx context.Context, wt *waiter) error {
	s.mu.Lock()
	if s.queue.Remove(&wt.Item) || s.unpark(wt) {
		s.mu.Unlock()
		return fault.From(ctx.Err()).WithRan(fault.RanNo).WithStage(s.name)
	}
	s.mu.Unlock()
	if err := <-wt.done; err == nil {
		s.Release(wt.grant, balance.Abandoned)
	}
	return fault.From(ctx.Err()).WithRan(fault.RanNo).WithStage(s.name)
}

// serve grants a waiting request an endpoint and reports whether there is one for it. The
// caller holds mu and has checked that one is free, unless the request is parked.
func (s *Stage) serve(now time.Time, wt *waiter) bool {
	i, reason := s.pick(now, wt.req)
	if i < 0 {
		return false
	}
	wt.grant = s.grantEndpoint(now, wt.req, i, reason)
	return true
}

// pick chooses an endpoint for a request whose turn it is. If none suits the query, it
// chooses any free endpoint, but none that could not be reached for the request while
// another one may serve it in time. The caller holds mu.
func (s *Stage) pick(now time.Time, req CallRequest) (int, balance.Reason) {
	q := req.Query
	if len(req.Unreachable) > 0 {
		q.Exclude = slices.Concat(q.Exclude, s.indexes(req.Unreachable))
	}
	i, reason := s.group.Pick(now, q)
	if i >= 0 {
		return i, reason
	}
	if len(req.Unreachable) > 0 {
		sound, ejected := s.group.MayServe(req.Deadline.Add(-req.Need), q.Exclude)
		if sound {
			return i, reason
		}
		if ejected {
			q.NoProbe = false
			return s.group.Pick(now, q)
		}
	}
	return s.group.Pick(now, s.baseQuery())
}

// park keeps a request that has left the queue until an endpoint may be called for it. The
// caller holds mu.
func (s *Stage) park(wt *waiter) {
	if len(s.parked) >= s.decl.MaxQueue() {
		wt.done <- fault.Errorf(fault.Overloaded, "%d requests wait for an endpoint that can be reached", len(s.parked))
		return
	}
	s.parked = append(s.parked, wt)
}

// unpark removes a request and reports whether it was parked. The caller holds mu.
func (s *Stage) unpark(wt *waiter) bool {
	i := slices.Index(s.parked, wt)
	if i < 0 {
		return false
	}
	s.parked = slices.Delete(s.parked, i, i+1)
	return true
}

// dispatchParked grants endpoints to parked requests, and refuses those that none may
// serve in time. The caller holds mu.
func (s *Stage) dispatchParked(now time.Time) {
	s.parked = slices.DeleteFunc(s.parked, func(wt *waiter) bool {
		if s.serve(now, wt) {
			wt.done <- nil
			return true
		}
		if sound, ejected := s.group.MayServe(wt.Deadline.Add(-wt.Need), nil); !sound && !ejected {
			wt.done <- fault.Errorf(fault.EndpointUnavailable, "no endpoint takes calls before the request's deadline")
			return true
		}
		return false
	})
}

// grantEndpoint begins a call at the endpoint with index i. The caller holds mu.
func (s *Stage) grantEndpoint(now time.Time, req CallRequest, i int, reason balance.Reason) Grant {
	slowness, pace := s.group.Expected(now, i)
	return Grant{
		Slowness: slowness,
		Pace:     pace,
		call:     s.group.Begin(now, i, s.estimator.ExpectedTime(req.Cost)),
		Endpoint: s.group.Endpoint(i),
		Index:    i,
		Reason:   reason,
		Waited:   now.Sub(req.Arrived),
		Started:  now,
	}
}

// TryAcquire returns a grant at an endpoint that the query does not exclude, if
// one is free immediately and no request waits.
func (s *Stage) TryAcquire(req CallRequest) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return Grant{}, false
	}
	now := s.clock.Now()
	i, reason := s.group.Pick(now, req.Query)
	if i < 0 {
		return Grant{}, false
	}
	return s.grantEndpoint(now, req, i, reason), true
}

// baseQuery returns the query for any endpoint that can serve the stage.
func (s *Stage) baseQuery() balance.Query {
	return balance.Query{Model: s.decl.Model(), Adapter: s.decl.Adapter()}
}

// dispatch makes grants while an endpoint is free and requests wait. The caller
// holds mu.
func (s *Stage) dispatch(now time.Time) {
	s.dispatchParked(now)
	s.dispatchQueued(now)
	if len(s.parked) > 0 {
		s.scheduleProbe(now)
	}
}

func (s *Stage) dispatchQueued(now time.Time) {
	for s.queue.Len() > 0 {
		if i, _ := s.group.Pick(now, s.baseQuery()); i < 0 {
			s.scheduleProbe(now)
			return
		}
		it := s.queue.Pop(now)
		if it == nil {
			return
		}
		it.Wake(nil)
	}
}

// scheduleProbe schedules a dispatch for the time when the next probe is due. The
// caller holds mu.
func (s *Stage) scheduleProbe(now time.Time) {
	at := s.group.NextProbe(now)
	if at.IsZero() || !s.probeAt.IsZero() && !at.Before(s.probeAt) {
		return
	}
	s.probeAt = at
	s.clock.AfterFunc(max(time.Millisecond, at.Sub(now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.probeAt.Equal(at) {
			s.probeAt = time.Time{}
		}
		s.dispatch(s.clock.Now())
	})
}

// Release ends a call and grants its slot to a waiting request.
func (s *Stage) Release(g Grant, outcome balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.group.End(now, g.call, outcome)
	s.dispatch(now)
}

// Finish releases a call that returned a complete answer, updates the estimates,
// and charges the organisation the difference between the observed and the
// expected cost. cost is the observed cost, stated the expected cost before any
// correction, and expected the corrected cost, which was charged.
func (s *Stage) Finish(org *declare.Organisation, g Grant, cost, stated, expected float64) {
	s.Release(g, balance.Succeeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.estimator.Observe(now, now.Sub(g.Started), cost, stated)
	s.queue.Correct(org.Name(), org.Share(), cost-expected)
}

// Correct charges the organisation for cost beyond the expected one while its
// call is still running.
func (s *Stage) Correct(org *declare.Organisation, delta float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Correct(org.Name(), org.Share(), delta)
}

// RecordCall counts a first call, which is not a retry, for the retry budgets.
func (s *Stage) RecordCall(org string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordCall()
	b, ok := s.orgBudgets[org]
	if !ok {
		if len(s.orgBudgets) >= maxOrgBudgets {
			clear(s.orgBudgets)
		}
		b = retry.NewOrganisationBudget()
		s.orgBudgets[org] = b
	}
	b.RecordCall()
}

// AllowRetry takes a retry from the budgets of the stage and the organisation. It
// reports whether both allow it.
func (s *Stage) AllowRetry(org string) bool {
	if s.policy.UnlimitedRetries {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.orgBudgets[org]
	return ok && s.retryBudget.Available() && b.Allow() && s.retryBudget.Allow()
}

// RetryDelay returns how long to wait before the nth retry, counted from 1.
func (s *Stage) RetryDelay(n int) time.Duration {
	if s.policy.UnlimitedRetries {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.Delay(n, s.rng)
}

// Status returns a copy of the stage's state.
func (s *Stage) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, retries, denied := s.retryBudget.Counts()
	return Status{
		Name:          s.name,
		Waiting:       s.queue.Len() + len(s.parked),
		Organisations: s.queue.Organisations(),
		MedianMs:      milliseconds(s.estimator.Median()),
		P95Ms:         milliseconds(s.estimator.P95()),
		Calls:         calls,
		Retries:       retries,
		RetriesDenied: denied,
		Endpoints:     s.group.Status(now),
	}
}

// UpdateMembership sets which endpoints are leaving and how many instances share
// the endpoints.
func (s *Stage) UpdateMembership(leaving map[string]bool, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.SetLeaving(leaving)
	s.group.SetInstances(instancesPerEndpoint(instances, s.group.Len(), len(s.decl.Endpoints())))
	s.dispatch(s.clock.Now())
}

// SetExcluded sets until when each of the named endpoints wants no calls from this
// instance. If all want none, requests that would wait too long are refused at once.
func (s *Stage) SetExcluded(until map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.group.SetExcluded(now, until)
	if s.group.Capacity(now) == 0 && !s.group.Usable(now) {
		s.queue.RefuseUnserved(s.group.NextProbe(now))
	}
	s.dispatch(now)
}

// ReportLoad records the load that an endpoint reported for the given time, and
// the models and adapters that it has loaded, or nil if it does not report them.
func (s *Stage) ReportLoad(endpoint string, load float64, loaded []string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.ReportLoad(endpoint, load, at)
	if loaded != nil {
		s.group.SetLoaded(endpoint, loaded)
	}
}

// ReportServerLoad records the load that an endpoint reported in an answer to this instance
// that came now.
func (s *Stage) ReportServerLoad(endpoint string, l fleet.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.ReportServerLoad(s.clock.Now(), endpoint, l)
}

// Demand returns the stage's model, or "", and the number of calls in flight or
// waiting.
func (s *Stage) Demand() (model string, calls float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decl.Model(), float64(s.queue.Len() + len(s.parked) + s.group.InFlight())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// EndpointIndexes returns the indexes of the named endpoints for
// balance.Query.Exclude.
func (s *Stage) EndpointIndexes(names []string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.indexes(names)
}

// MayServe reports whether any endpoint but the named ones may serve a request by the
// given time, if only after a wait.
func (s *Stage) MayServe(by time.Time, except []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sound, ejected := s.group.MayServe(by, s.indexes(except))
	return sound || ejected
}

// indexes returns the indexes of the named endpoints. The caller holds mu.
func (s *Stage) indexes(names []string) []int {
	var out []int
	for i := range s.group.Len() {
		if slices.Contains(names, s.group.Endpoint(i).Name()) {
			out = append(out, i)
		}
	}
	return out
}
