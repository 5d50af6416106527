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

var (
	errHedged         = errors.New("the other call of the hedged pair answered first")
	errAttemptTimeout = errors.New("the attempt took longer than its time limit")
)

// stream passes the text of one attempt on to the caller and cancels the attempt
// if it stalls and another one may go on.
type stream struct {
	call      *stageCall
	clock     stage.Clock
	stopTimer func() bool
	// mayRetry is set if another attempt may follow, and resumes if the endpoint
	// resumes streams.
	mayRetry, resumes bool

	mu     sync.Mutex
	closed bool
	// started is set once the caller has got text of this attempt or an earlier one.
	started      bool
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc
	// correctedTokens is the number of tokens beyond the expected cost that the
	// organisation has been charged for already.
	correctedTokens int
	// lastTokenAt is the time at which the caller had taken the last token.
	lastTokenAt time.Time
}

// prepareCall logs the decision for one call and returns the function that makes
// the call.
func (c *stageCall) prepareCall(ctx context.Context, g stage.Grant, hedge bool) func() attemptResult {
	r := c.run
	c.attempts++
	a := c.newAttempt(g)
	mayRetry := c.decl.Idempotent() && c.retriesLeft(c.decl.Retries())
	r.runner.deps.LogDecision(c.newDecision(a, g, hedge))
	if c.affectsRan() {
		r.mayHaveRun++
	}
	return func() attemptResult {
		callCtx, cancel := c.withAttemptTimeout(ctx, mayRetry)
		defer cancel()
		result, err := c.call(callCtx, a, mayRetry)
		if err != nil && errors.Is(context.Cause(callCtx), errAttemptTimeout) {
			err = &CallError{Err: fault.Errorf(fault.EndpointFailed, "endpoint %q did not answer within the attempt's time limit", a.Endpoint.Name())}
		}
		c.settle(ctx, g, result, err)
		return attemptResult{grant: g, result: result, err: err}
	}
}

func (c *stageCall) newAttempt(g stage.Grant) Attempt {
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
		ResumeText:   c.streamedText.String(),
		ResumeAfter:  c.streamedTokens,
	}
}

func (c *stageCall) newDecision(a Attempt, g stage.Grant, hedge bool) Decision {
	return Decision{
		RequestID:     a.RequestID,
		Organisation:  a.Organisation,
		Kind:          c.run.req.Kind.Name(),
		Stage:         c.decl.Name(),
		AttemptID:     a.ID,
		Attempt:       c.attempts,
		Endpoint:      g.Endpoint.Name(),
		FailureDomain: g.Endpoint.FailureDomain(),
		Reason:        g.Reason.String(),
		Hedge:         hedge,
		Waited:        g.Waited,
		Remaining:     c.run.req.Deadline.Sub(g.Started),
	}
}

// withAttemptTimeout limits the time of an attempt that another one may follow, so
// that time remains for it. An attempt that none may follow, or for which no retry
// budget is left by then, may take until the deadline of the request: its endpoint may
// only be silent for a while.
func (c *stageCall) withAttemptTimeout(ctx context.Context, mayRetry bool) (context.Context, context.CancelFunc) {
	p95, known := c.stage.P95(c.run.plan.expectedCost[c.index])
	if !mayRetry || !known || c.streams() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.run.runner.deps.Clock.AfterFunc(max(minAttemptTimeout, attemptTimeoutFactor*p95), func() {
		if c.reserveRetry() {
			cancel(errAttemptTimeout)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// call makes the call. If the stage streams, it passes the text on to the caller
// and returns an error if the stream stalls and another attempt may go on.
func (c *stageCall) call(ctx context.Context, a Attempt, mayRetry bool) (Result, error) {
	deps := c.run.runner.deps
	if !c.streams() {
		return deps.Call(ctx, a, func(string) {})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{
		call:         c,
		clock:        deps.Clock,
		stallTimeout: max(minStallTimeout, stallTimeoutFactor*c.stage.ExpectedTime(c.run.plan.expectedCost[c.index])),
		cancel:       cancel,
		mayRetry:     mayRetry,
		resumes:      a.Endpoint.Resumes(),
		started:      a.ResumeAfter > 0,
	}
	s.resetStallTimer()
	result, err := deps.Call(ctx, a, s.emit)
	s.close()
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return result, &CallError{Err: fault.Errorf(fault.EndpointFailed, "endpoint %q: %w", a.Endpoint.Name(), errStalled), Units: float64(c.streamedTokens - a.ResumeAfter)}
	}
	if err == nil && a.ResumeAfter > 0 {
		result.Text = c.streamedText.String()
	}
	return result, c.streamError(a, err)
}

// streamError returns the error of a stream that failed with err. Once tokens
// have been sent to the caller the stream cannot start over, so the error is
// final unless the endpoint resumes streams.
func (c *stageCall) streamError(a Attempt, err error) error {
	if err == nil || c.streamedTokens == 0 || a.Endpoint.Resumes() {
		return err
	}
	return fault.Errorf(fault.AnswerIncomplete, "the stream failed after %d tokens: %w", c.streamedTokens, err)
}

// resetStallTimer restarts the timeout after which the stream counts as stalled.
func (s *stream) resetStallTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.stopTimer != nil {
		s.stopTimer()
	}
	s.stopTimer = s.clock.AfterFunc(s.stallTimeout, s.handleStall)
}

// handleStall cancels the attempt with errStalled if the stream may go on with another
// one. Otherwise it goes on when its endpoint does.
func (s *stream) handleStall() {
	s.mu.Lock()
	mayMove := !s.closed && s.mayRetry && (!s.started || s.resumes)
	s.mu.Unlock()
	if mayMove && s.call.reserveRetry() {
		s.cancel(errStalled)
	}
}

// close stops the timer. Tokens emitted afterwards are dropped.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stopTimer()
}

// emit passes one token on to the caller. A token that arrives after the call has
// returned is dropped.
func (s *stream) emit(text string) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	// The timer stops while the caller takes the token, so that a slow caller is
	// not mistaken for a stalled endpoint.
	s.stopTimer()
	s.started = true
	s.mu.Unlock()
	c := s.call
	s.observeToken()
	c.streamedTokens++
	c.streamedText.WriteString(text)
	c.run.req.Emit(Token{Sequence: c.streamedTokens, Text: text})
	s.lastTokenAt = s.clock.Now()
	s.resetStallTimer()
	if excess := c.streamedTokens - int(c.run.plan.expectedCost[c.index]) - s.correctedTokens; excess >= correctionTokens && c.decl.Unit() == "tokens" {
		s.correctedTokens += excess
		c.stage.Correct(c.run.req.Organisation, float64(excess))
	}
}

// observeToken reports the time of a token: for the first one since the start of
// the request, for the others since the caller had taken the previous one, so that
// a slow caller does not count. The first token after a stream was resumed is not
// reported.
func (s *stream) observeToken() {
	r := s.call.run
	now := s.clock.Now()
	if s.call.streamedTokens == 0 {
		r.runner.deps.ObserveToken(s.call.decl.Name(), true, now.Sub(r.start))
	} else if !s.lastTokenAt.IsZero() {
		r.runner.deps.ObserveToken(s.call.decl.Name(), false, now.Sub(s.lastTokenAt))
	}
}

// settle releases the grant at the end of an attempt and records the cost.
func (c *stageCall) settle(ctx context.Context, g stage.Grant, result Result, err error) {
	r := c.run
	now := r.runner.deps.Clock.Now()
	charge := Charge{
		Organisation: r.req.Organisation.Name(),
		Stage:        c.decl.Name(),
		Units:        result.Units,
		UnitsKnown:   true,
		Busy:         now.Sub(g.Started),
	}
	if err == nil {
		c.settleSuccess(ctx, g, result, &charge)
	} else if !c.settleError(ctx, g, err, &charge) {
		return
	}
	charge.Cost = charge.Units * c.decl.Price()
	r.runner.deps.RecordCharge(charge)
}

func (c *stageCall) settleSuccess(ctx context.Context, g stage.Grant, result Result, charge *Charge) {
	cost := c.run.plan.expectedCost[c.index]
	c.stage.Finish(c.run.req.Organisation, g, result.Units, statedCost(c.decl, c.input), cost)
	switch {
	case errors.Is(context.Cause(ctx), errHedged):
		charge.Class = Hedged
	case ctx.Err() != nil:
		charge.Class = cancelledClass(ctx)
	}
}

// settleError releases the grant after a failed attempt and completes the charge.
// It returns false if there is nothing to charge because the endpoint is known to
// have done no work.
func (c *stageCall) settleError(ctx context.Context, g stage.Grant, err error, charge *Charge) bool {
	var callErr *CallError
	isCallErr := errors.As(err, &callErr)
	outcome := balance.Failed
	switch {
	case isCallErr && callErr.Full:
		outcome = balance.Full
	case ctx.Err() != nil:
		outcome = balance.Abandoned
	}
	c.stage.Release(g, outcome)
	if isCallErr && callErr.NotRun {
		return false
	}
	charge.UnitsKnown = isCallErr && callErr.Units > 0
	if isCallErr {
		charge.Units = callErr.Units
	}
	charge.Class = Failed
	if ctx.Err() != nil {
		charge.Class = cancelledClass(ctx)
	}
	return true
}

// cancelledClass returns the class of a call whose ctx was done when it ended.
func cancelledClass(ctx context.Context) CostClass {
	switch {
	case errors.Is(context.Cause(ctx), errHedged):
		return Hedged
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Late
	}
	return Cancelled
}
