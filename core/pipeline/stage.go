package pipeline

import (
	"context"
	"math"
	"math/rand/v2"
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
	// stage is what one instance holds of a stage: who waits, what is known of
	// its endpoints, and how long it takes. Its methods are safe for concurrent use.
	stage struct {
		clock Clock

		mu     sync.Mutex
		decl   *declare.Stage
		queue  *admit.Queue
		group  *balance.Group
		est    *estimate.Stage
		budget *retry.Budget
		// callers holds a budget for each organisation with recent calls.
		callers map[string]*retry.Budget
		rng     *rand.Rand
		policy  Policy
		probing bool
	}

	// want describes the stage call for which a grant is sought.
	want struct {
		organisation *declare.Organisation
		priority     declare.Priority
		cost         float64
		deadline     time.Time
		need         time.Duration
		query        balance.Query
		arrived      time.Time
	}

	// grant is the right to make one call at an endpoint.
	grant struct {
		call     balance.Call
		endpoint *declare.Endpoint
		index    int
		reason   balance.Reason
		waited   time.Duration
		began    time.Time
	}

	// waiter is a queued item and the grant that it gets.
	waiter struct {
		admit.Item
		grant grant
		done  chan error
	}

	// StageStatus is a copy of a stage's state for operators.
	StageStatus struct {
		Name          string           `json:"name"`
		Waiting       int              `json:"waiting"`
		Organisations int              `json:"organisations"`
		MedianMs      float64          `json:"medianMs"`
		HighMs        float64          `json:"highMs"`
		Calls         int64            `json:"calls"`
		Repeats       int64            `json:"repeats"`
		Refused       int64            `json:"repeatsRefused"`
		Endpoints     []balance.Member `json:"endpoints"`
	}
)

func newStage(decl *declare.Stage, instances int, clock Clock, rng *rand.Rand, policy Policy) *stage {
	return &stage{
		clock:   clock,
		decl:    decl,
		queue:   admit.New(decl.Queue()),
		group:   balance.New(decl.Endpoints(), instances, policy.Balance, rng),
		est:     estimate.New(clock.Now(), firstGuess),
		budget:  retry.ForStage(),
		callers: make(map[string]*retry.Budget),
		rng:     rng,
		policy:  policy,
	}
}

// replace takes a changed declaration and keeps what was learnt.
func (s *stage) replace(decl *declare.Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decl = decl
	s.group.Replace(decl.Endpoints())
	s.dispatch(s.clock.Now())
}

// forecast returns how long a new request would wait for the stage and then
// take, and the corrected cost. Work that comes later does not delay it, so the
// wait is shorter by the time until the request arrives there.
func (s *stage) forecast(now time.Time, org *declare.Organisation, asked float64, until time.Duration) (wait, take time.Duration, cost float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost = s.est.Cost(asked)
	capacity := s.group.Capacity()
	if capacity == 0 && !s.group.Usable(now) {
		return 0, 0, cost, fault.Errorf(fault.EndpointUnavailable, "no endpoint of the stage answers; the next probe is due %v from now", s.group.NextProbe().Sub(now)).At(s.decl.Name())
	}
	if capacity > 0 {
		wait = s.queue.Wait(org.Name(), org.Share(), s.rate(capacity, cost))
	}
	return max(0, wait-until), s.est.Expect(cost), cost, nil
}

// rate returns the units of cost that the stage serves in a second.
func (s *stage) rate(capacity, typical float64) float64 {
	return capacity / max(1e-9, s.est.SecondsPerCost(typical))
}

func (s *stage) expect(cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.est.Expect(cost)
}

// high returns the time that 95 of 100 calls stay below, and whether enough
// calls have been observed to say so.
func (s *stage) high(cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.est.High(), s.est.Expect(cost)), s.est.Known()
}

func (s *stage) announce(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Announce(org.Name(), org.Share(), cost)
}

func (s *stage) withdraw(org *declare.Organisation, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Withdraw(org.Name(), cost)
}

// acquire waits until the stage is granted or ctx is done. The error says
// "not run": nothing has been sent.
func (s *stage) acquire(ctx context.Context, w want) (grant, error) {
	wt := &waiter{done: make(chan error, 1)}
	wt.Item = admit.Item{
		Organisation: w.organisation.Name(),
		Share:        w.organisation.Share(),
		Priority:     w.priority,
		Cost:         w.cost,
		Deadline:     w.deadline,
		Need:         w.need,
	}
	wt.Wake = func(err error) {
		if err == nil {
			wt.grant = s.begin(s.clock.Now(), w)
		}
		wt.done <- err
	}
	if s.policy.FirstCome {
		wt.Organisation, wt.Share, wt.Priority = "", 1, declare.Normal
		wt.Deadline, wt.Need = w.arrived.Add(time.Hour), 0
	}
	if s.policy.NoAdmission {
		wt.Need = math.MinInt64 / 2
	}
	if err := s.enqueue(wt); err != nil {
		return grant{}, fault.From(err).At(s.decl.Name())
	}
	select {
	case err := <-wt.done:
		if err != nil {
			return grant{}, fault.From(err).At(s.decl.Name())
		}
		return wt.grant, nil
	case <-ctx.Done():
	}
	return grant{}, s.leaveQueue(ctx, wt)
}

func (s *stage) enqueue(wt *waiter) error {
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
func (s *stage) leaveQueue(ctx context.Context, wt *waiter) error {
	s.mu.Lock()
	if s.queue.Remove(&wt.Item) {
		s.mu.Unlock()
		return fault.From(ctx.Err()).WithRan(fault.RanNo).At(s.decl.Name())
	}
	s.mu.Unlock()
	if err := <-wt.done; err == nil {
		s.release(wt.grant, balance.Abandoned)
	}
	return fault.From(ctx.Err()).WithRan(fault.RanNo).At(s.decl.Name())
}

// begin chooses an endpoint and notes the call. The caller holds mu and has
// seen that an endpoint is free.
func (s *stage) begin(now time.Time, w want) grant {
	i, reason := s.group.Pick(now, w.query)
	if i < 0 {
		i, reason = s.group.Pick(now, s.anyQuery())
	}
	return s.grantAt(now, w, i, reason)
}

func (s *stage) grantAt(now time.Time, w want, i int, reason balance.Reason) grant {
	return grant{
		call:     s.group.Begin(now, i, s.est.Expect(w.cost)),
		endpoint: s.group.Endpoint(i),
		index:    i,
		reason:   reason,
		waited:   now.Sub(w.arrived),
		began:    now,
	}
}

// tryAcquire returns a grant at another endpoint than the excluded one if one
// is free at once and nobody waits.
func (s *stage) tryAcquire(w want) (grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return grant{}, false
	}
	now := s.clock.Now()
	i, reason := s.group.Pick(now, w.query)
	if i < 0 || i == w.query.Exclude {
		return grant{}, false
	}
	return s.grantAt(now, w, i, reason), true
}

func (s *stage) anyQuery() balance.Query {
	return balance.Query{Exclude: -1, Model: s.decl.Model()}
}

// dispatch grants the stage while an endpoint is free and requests wait. The
// caller holds mu.
func (s *stage) dispatch(now time.Time) {
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
func (s *stage) probeLater(now time.Time) {
	at := s.group.NextProbe()
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

// release ends a call and grants the stage to who waits.
func (s *stage) release(g grant, outcome balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.group.End(now, g.call, outcome)
	s.dispatch(now)
}

// finish releases a call that gave a whole answer and learns from it.
func (s *stage) finish(org *declare.Organisation, g grant, units, asked, expected float64) {
	s.release(g, balance.Succeeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.est.Observe(now, now.Sub(g.began), units, asked)
	s.queue.Correct(org.Name(), org.Share(), units-expected)
}

// correct adds cost beyond what was expected to the organisation's account
// while its call still runs.
func (s *stage) correct(org *declare.Organisation, delta float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Correct(org.Name(), org.Share(), delta)
}

// countCall notes a first call for the repeat budgets.
func (s *stage) countCall(org string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Call()
	b, ok := s.callers[org]
	if !ok {
		if len(s.callers) >= maxCallerBudgets {
			clear(s.callers)
		}
		b = retry.ForCaller()
		s.callers[org] = b
	}
	b.Call()
}

// allowRepeat takes a repeat from the budgets of the stage and the organisation.
func (s *stage) allowRepeat(org string) bool {
	if s.policy.UnlimitedRetries {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.callers[org]
	return ok && s.budget.Left() && b.Allow() && s.budget.Allow()
}

func (s *stage) delay(repeat int) time.Duration {
	if s.policy.UnlimitedRetries {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.Delay(repeat, s.rng)
}

func (s *stage) status(now time.Time) StageStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, repeats, refused := s.budget.Counts()
	return StageStatus{
		Name:          s.decl.Name(),
		Waiting:       s.queue.Len(),
		Organisations: s.queue.Organisations(),
		MedianMs:      milliseconds(s.est.Median()),
		HighMs:        milliseconds(s.est.High()),
		Calls:         calls,
		Repeats:       repeats,
		Refused:       refused,
		Endpoints:     s.group.Members(now),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
