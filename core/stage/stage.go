// Package stage owns what one instance holds of a stage: who waits for it, what
// is known of its endpoints, how long it takes, and its budgets of repeats.
//
// A Stage is safe for concurrent use. It must not call endpoints: it grants the
// right to make one call at one endpoint and is told how the call ended.
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
	"chervilpath/core/retry"
)

const (
	// firstGuess is the expected time of a call before any has been observed.
	firstGuess = 100 * time.Millisecond

	// maxCallerBudgets bounds the organisations whose repeats are counted.
	maxCallerBudgets = 4096
)

type (
	// Stage is what one instance holds of a stage: who waits, what is known of
	// its endpoints, and how long it takes. Its methods are safe for concurrent use.
	Stage struct {
		clock Clock
		// name is the instance's.
		name string

		mu     sync.Mutex
		decl   *declare.Stage
		queue  *admit.Queue
		group  *balance.Group
		est    *estimate.Estimator
		budget *retry.Budget
		// callers holds a budget for each organisation with recent calls.
		callers map[string]*retry.Budget
		rng     *rand.Rand
		policy  Policy
		probing bool
	}

	// waiter is a queued item and the grant that it gets.
	waiter struct {
		admit.Item
		grant Grant
		done  chan error
	}
)

// New returns a stage with nobody waiting, for the instance of the given name
// among a number of them.
func New(decl *declare.Stage, instance string, instances int, clock Clock, rng *rand.Rand, policy Policy) *Stage {
	used := subset(decl, instance)
	return &Stage{
		clock:   clock,
		name:    instance,
		decl:    decl,
		queue:   admit.New(decl.Queue()),
		group:   balance.New(used, sharers(instances, len(used), len(decl.Endpoints())), policy.Balance, rng),
		est:     estimate.New(clock.Now(), firstGuess),
		budget:  retry.NewStageBudget(),
		callers: make(map[string]*retry.Budget),
		rng:     rng,
		policy:  policy,
	}
}

// subset returns the endpoints that the instance uses. Where prefixes prefer an
// endpoint all are used, so that instances agree on it.
func subset(decl *declare.Stage, instance string) []*declare.Endpoint {
	if decl.Affinity() {
		return decl.Endpoints()
	}
	return balance.Subset(decl.Endpoints(), instance, balance.SubsetSize)
}

// sharers returns how many of a number of instances use each of all endpoints,
// when each instance uses some.
func sharers(instances, some, all int) int {
	return max(1, instances*some/max(1, all))
}

// Replace takes a changed declaration and keeps what was learnt.
func (s *Stage) Replace(decl *declare.Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decl = decl
	s.group.Replace(subset(decl, s.name))
	s.dispatch(s.clock.Now())
}

// Forecast returns how long a new request would wait for the stage and then
// take, and the corrected cost. Work that comes later does not delay it, so the
// wait is shorter by the time until the request arrives there.
func (s *Stage) Forecast(now time.Time, org *declare.Organisation, asked float64, until time.Duration) (wait, take time.Duration, cost float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost = s.est.Cost(asked)
	capacity := s.group.Capacity()
	if capacity == 0 && !s.group.Usable(now) {
		return 0, 0, cost, fault.Errorf(fault.EndpointUnavailable, "no endpoint of the stage answers; the next probe is due %v from now", s.group.NextProbe(now).Sub(now)).At(s.decl.Name())
	}
	if capacity > 0 {
		wait = s.queue.Wait(org.Name(), org.Share(), s.rate(capacity, cost))
	}
	return max(0, wait-until), s.est.ExpectedTime(cost), cost, nil
}

// rate returns the units of cost that the stage serves in a second.
func (s *Stage) rate(capacity, typical float64) float64 {
	return capacity / max(1e-9, s.est.SecondsPerCost(typical))
}

// Expect returns the time that a call of the given cost takes.
func (s *Stage) Expect(cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.est.ExpectedTime(cost)
}

// High returns the time that 95 of 100 calls stay below, and whether enough
// calls have been observed to say so.
func (s *Stage) High(cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.est.P95(), s.est.ExpectedTime(cost)), s.est.HasSamples()
}

// Announce notes cost that an admitted request will bring. Each call is matched
// by one of Withdraw.
func (s *Stage) Announce(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Announce(org.Name(), org.Share(), cost)
}

// Withdraw takes announced cost back: the request has come or will not come.
func (s *Stage) Withdraw(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Withdraw(org.Name(), cost)
}

// Acquire waits until the stage is granted or ctx is done. The error says
// "not run": nothing has been sent.
func (s *Stage) Acquire(ctx context.Context, w Want) (Grant, error) {
	wt := &waiter{done: make(chan error, 1)}
	wt.Item = admit.Item{
		Organisation: w.Organisation.Name(),
		Share:        w.Organisation.Share(),
		Priority:     w.Priority,
		Cost:         w.Cost,
		Deadline:     w.Deadline,
		Need:         w.Need,
	}
	wt.Wake = func(err error) {
		if err == nil {
			wt.grant = s.begin(s.clock.Now(), w)
		}
		wt.done <- err
	}
	if s.policy.FirstCome {
		wt.Organisation, wt.Share, wt.Priority = "", 1, declare.Normal
		wt.Deadline, wt.Need = w.Arrived.Add(time.Hour), 0
	}
	if s.policy.NoAdmission {
		wt.Need = math.MinInt64 / 2
	}
	if err := s.enqueue(wt); err != nil {
		return Grant{}, fault.From(err).At(s.decl.Name())
	}
	select {
	case err := <-wt.done:
		if err != nil {
			return Grant{}, fault.From(err).At(s.decl.Name())
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

// leaveQueue takes back a wait whose caller has gone. A grant that came at the
// same moment is given back.
func (s *Stage) leaveQueue(ctx context.Context, wt *waiter) error {
	s.mu.Lock()
	if s.queue.Remove(&wt.Item) {
		s.mu.Unlock()
		return fault.From(ctx.Err()).WithRan(fault.RanNo).At(s.decl.Name())
	}
	s.mu.Unlock()
	if err := <-wt.done; err == nil {
		s.Release(wt.grant, balance.Abandoned)
	}
	return fault.From(ctx.Err()).WithRan(fault.RanNo).At(s.decl.Name())
}

// begin chooses an endpoint and notes the call. The caller holds mu and has
// seen that an endpoint is free.
func (s *Stage) begin(now time.Time, w Want) Grant {
	i, reason := s.group.Pick(now, w.Query)
	if i < 0 {
		i, reason = s.group.Pick(now, s.anyQuery())
	}
	return s.grantAt(now, w, i, reason)
}

func (s *Stage) grantAt(now time.Time, w Want, i int, reason balance.Reason) Grant {
	return Grant{
		call:     s.group.Begin(now, i, s.est.ExpectedTime(w.Cost)),
		Endpoint: s.group.Endpoint(i),
		Index:    i,
		Reason:   reason,
		Waited:   now.Sub(w.Arrived),
		Began:    now,
	}
}

// TryAcquire returns a grant at another endpoint than the excluded one if one
// is free at once and nobody waits.
func (s *Stage) TryAcquire(w Want) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return Grant{}, false
	}
	now := s.clock.Now()
	i, reason := s.group.Pick(now, w.Query)
	if i < 0 {
		return Grant{}, false
	}
	return s.grantAt(now, w, i, reason), true
}

func (s *Stage) anyQuery() balance.Query {
	return balance.Query{Model: s.decl.Model(), Adapter: s.decl.Adapter()}
}

// dispatch grants the stage while an endpoint is free and requests wait. The
// caller holds mu.
func (s *Stage) dispatch(now time.Time) {
	for s.queue.Len() > 0 {
		if i, _ := s.group.Pick(now, s.anyQuery()); i < 0 {
			s.probeLater(now)
			return
		}
		it := s.queue.Pop(now)
		if it == nil {
			return
		}
		it.Wake(nil)
	}
}

// probeLater dispatches again when the next probe is due.
func (s *Stage) probeLater(now time.Time) {
	at := s.group.NextProbe(now)
	if s.probing || at.IsZero() {
		return
	}
	s.probing = true
	s.clock.AfterFunc(max(time.Millisecond, at.Sub(now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probing = false
		s.dispatch(s.clock.Now())
	})
}

// Release ends a call and grants the stage to who waits.
func (s *Stage) Release(g Grant, outcome balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.group.End(now, g.call, outcome)
	s.dispatch(now)
}

// Finish releases a call that gave a whole answer and learns from it.
func (s *Stage) Finish(org *declare.Organisation, g Grant, units, asked, expected float64) {
	s.Release(g, balance.Succeeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.est.Observe(now, now.Sub(g.Began), units, asked)
	s.queue.Correct(org.Name(), org.Share(), units-expected)
}

// Correct adds cost beyond what was expected to the organisation's account
// while its call still runs.
func (s *Stage) Correct(org *declare.Organisation, delta float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Correct(org.Name(), org.Share(), delta)
}

// CountCall notes a first call for the repeat budgets.
func (s *Stage) CountCall(org string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordCall()
	b, ok := s.callers[org]
	if !ok {
		if len(s.callers) >= maxCallerBudgets {
			clear(s.callers)
		}
		b = retry.NewOrganisationBudget()
		s.callers[org] = b
	}
	b.RecordCall()
}

// AllowRepeat takes a repeat from the budgets of the stage and the organisation.
func (s *Stage) AllowRepeat(org string) bool {
	if s.policy.UnlimitedRetries {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.callers[org]
	return ok && s.budget.Available() && b.Allow() && s.budget.Allow()
}

// Delay returns how long to wait before the given repeat, the first being 1.
func (s *Stage) Delay(repeat int) time.Duration {
	if s.policy.UnlimitedRetries {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.Delay(repeat, s.rng)
}

// Status returns a copy of the stage's state.
func (s *Stage) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, repeats, refused := s.budget.Counts()
	return Status{
		Name:          s.decl.Name(),
		Waiting:       s.queue.Len(),
		Organisations: s.queue.Organisations(),
		MedianMs:      milliseconds(s.est.Median()),
		HighMs:        milliseconds(s.est.P95()),
		Calls:         calls,
		Repeats:       repeats,
		Refused:       refused,
		Endpoints:     s.group.Members(now),
	}
}

// Share tells the stage what holds for all: which endpoints are leaving and how
// many instances share the others.
func (s *Stage) Share(leaving map[string]bool, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.SetLeaving(leaving)
	s.group.SetInstances(sharers(instances, s.group.Len(), len(s.decl.Endpoints())))
	s.dispatch(s.clock.Now())
}

// Report notes an endpoint's report of its load at a given time, and of the
// models and adapters that it has loaded; nil means that it does not say.
func (s *Stage) Report(endpoint string, load float64, loaded []string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Report(endpoint, load, at)
	if loaded != nil {
		s.group.SetLoaded(endpoint, loaded)
	}
}

// Demand returns the stage's model, or "", and the calls that are at work or
// waiting.
func (s *Stage) Demand() (model string, calls float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decl.Model(), float64(s.queue.Len() + s.group.InFlight())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Indexes returns the places of the named endpoints for Query.Exclude.
func (s *Stage) Indexes(names []string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for i := range s.group.Len() {
		if slices.Contains(names, s.group.Endpoint(i).Name()) {
			out = append(out, i)
		}
	}
	return out
}
