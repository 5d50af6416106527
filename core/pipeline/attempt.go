package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

var errHedged = errors.New("the other call of the pair answered first")

// stream passes one attempt's text on to the caller and watches that it flows.
type stream struct {
	call  *stageCall
	clock stage.Clock
	stop  func() bool

	mu     sync.Mutex
	closed bool
	limit  time.Duration
	cancel context.CancelCauseFunc
	excess int
	// last is when the last token came.
	last time.Time
}

// prepare notes the decision for one call and returns the function that makes it.
func (c *stageCall) prepare(ctx context.Context, g stage.Grant, hedge bool) func() ended {
	r := c.run
	c.attempts++
	a := c.describe(g)
	r.runner.deps.Decide(c.decision(a, g, hedge))
	if c.counts() {
		r.open++
	}
	return func() ended {
		callCtx, stop := c.limit(ctx)
		defer stop()
		result, err := c.call(callCtx, a)
		if err != nil && ctx.Err() == nil && errors.Is(callCtx.Err(), context.DeadlineExceeded) {
			err = &CallError{Err: fault.Errorf(fault.EndpointFailed, "endpoint %q gave no answer in time for a repeat", a.Endpoint.Name())}
		}
		c.settle(ctx, g, result, err)
		return ended{grant: g, result: result, err: err}
	}
}

func (c *stageCall) describe(g stage.Grant) Attempt {
	r := c.run
	return Attempt{
		ID:           r.runner.deps.NewID(),
		RequestID:    r.req.ID,
		Organisation: r.req.Organisation.Name(),
		Stage:        c.decl,
		Endpoint:     g.Endpoint,
		Priority:     r.req.Kind.Priority(),
		Input:        c.input,
		Stream:       c.streams(),
		Resume:       c.text.String(),
		ResumeAfter:  c.tokens,
	}
}

func (c *stageCall) decision(a Attempt, g stage.Grant, hedge bool) Decision {
	return Decision{
		RequestID:    a.RequestID,
		Organisation: a.Organisation,
		Kind:         c.run.req.Kind.Name(),
		Stage:        c.decl.Name(),
		AttemptID:    a.ID,
		Attempt:      c.attempts,
		Endpoint:     g.Endpoint.Name(),
		Domain:       g.Endpoint.FailureDomain(),
		Reason:       g.Reason.String(),
		Hedge:        hedge,
		Waited:       g.Waited,
		Remaining:    c.run.req.Deadline.Sub(g.Started),
	}
}

// limit bounds an attempt that may be repeated, so that time for a repeat is
// left. Others have until the end of the request, since giving up early would
// leave their outcome unknown.
func (c *stageCall) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if !c.decl.Idempotent() || c.decl.Retries() == 0 || c.streams() {
		return context.WithCancel(ctx)
	}
	high, known := c.stage.P95(c.run.plan.cost[c.index])
	if !known {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(minAttempt, attemptFactor*high))
}

// call makes the call and passes its text on if the caller streams.
func (c *stageCall) call(ctx context.Context, a Attempt) (Result, error) {
	deps := c.run.runner.deps
	if !c.streams() {
		return deps.Call(ctx, a, func(string) {})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{
		call:   c,
		clock:  deps.Clock,
		limit:  max(minStall, stallFactor*c.stage.ExpectedTime(c.run.plan.cost[c.index])),
		cancel: cancel,
	}
	s.watch()
	result, err := deps.Call(ctx, a, s.emit)
	s.close()
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return result, &CallError{Err: fault.Errorf(fault.EndpointFailed, "endpoint %q: %w", a.Endpoint.Name(), errStalled), Units: float64(c.tokens - a.ResumeAfter)}
	}
	if err == nil && a.ResumeAfter > 0 {
		result.Text = c.text.String()
	}
	return result, c.resumable(a, err)
}

// resumable makes the error of a stream that has begun final, unless the
// endpoint resumes streams.
func (c *stageCall) resumable(a Attempt, err error) error {
	if err == nil || c.tokens == 0 || a.Endpoint.Resumes() {
		return err
	}
	return fault.Errorf(fault.AnswerIncomplete, "the stream broke after %d tokens: %w", c.tokens, err)
}

func (s *stream) watch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.stop != nil {
		s.stop()
	}
	s.stop = s.clock.AfterFunc(s.limit, func() { s.cancel(errStalled) })
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stop()
}

// emit passes one token on. A token that comes after the attempt has been
// given up is dropped.
func (s *stream) emit(text string) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	// A slow caller does not make the endpoint's stream stalled.
	s.stop()
	s.mu.Unlock()
	c := s.call
	s.time()
	c.tokens++
	c.text.WriteString(text)
	c.run.req.Emit(Token{Sequence: c.tokens, Text: text})
	s.last = s.clock.Now()
	s.watch()
	if over := c.tokens - int(c.run.plan.cost[c.index]) - s.excess; over >= correctTokens && c.decl.Unit() == "tokens" {
		s.excess += over
		c.stage.Correct(c.run.req.Organisation, float64(over))
	}
}

// time notes when a token came: the first one since the request came, the
// others since the one before, the time that the caller took to read left out.
func (s *stream) time() {
	r := s.call.run
	now := s.clock.Now()
	if s.call.tokens == 0 {
		r.runner.deps.Token(s.call.decl.Name(), true, now.Sub(r.began))
	} else if !s.last.IsZero() {
		r.runner.deps.Token(s.call.decl.Name(), false, now.Sub(s.last))
	}
}

// settle notes the end of an attempt with the stage, and its cost.
func (c *stageCall) settle(ctx context.Context, g stage.Grant, result Result, err error) {
	r := c.run
	now := r.runner.deps.Clock.Now()
	charge := Charge{
		Organisation: r.req.Organisation.Name(),
		Stage:        c.decl.Name(),
		Units:        result.Units,
		Known:        true,
		Busy:         now.Sub(g.Started),
	}
	if err == nil {
		c.settleWhole(ctx, g, result, &charge)
	} else if !c.settleError(ctx, g, err, &charge) {
		return
	}
	charge.Cost = charge.Units * c.decl.Price()
	r.runner.deps.Charge(charge)
}

func (c *stageCall) settleWhole(ctx context.Context, g stage.Grant, result Result, charge *Charge) {
	cost := c.run.plan.cost[c.index]
	c.stage.Finish(c.run.req.Organisation, g, result.Units, askedCost(c.decl, c.input), cost)
	switch {
	case errors.Is(context.Cause(ctx), errHedged):
		charge.Waste = Hedged
	case ctx.Err() != nil:
		charge.Waste = wasteOf(ctx)
	}
}

// settleError notes a failed attempt. It reports whether there is a charge.
func (c *stageCall) settleError(ctx context.Context, g stage.Grant, err error, charge *Charge) bool {
	var call *CallError
	isCall := errors.As(err, &call)
	outcome := balance.Failed
	switch {
	case isCall && call.Full:
		outcome = balance.Full
	case ctx.Err() != nil:
		outcome = balance.Abandoned
	}
	c.stage.Release(g, outcome)
	if isCall && call.NotRun {
		return false
	}
	charge.Known = isCall && call.Units > 0
	if isCall {
		charge.Units = call.Units
	}
	charge.Waste = Failed
	if ctx.Err() != nil {
		charge.Waste = wasteOf(ctx)
	}
	return true
}

func wasteOf(ctx context.Context) Waste {
	switch {
	case errors.Is(context.Cause(ctx), errHedged):
		return Hedged
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Late
	}
	return Cancelled
}
