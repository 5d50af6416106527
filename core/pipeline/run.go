package pipeline

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

const (
	// An attempt that may be retried times out after attemptTimeoutFactor times
	// the 95th percentile of call durations, but not before minAttemptTimeout.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = 50 * time.Millisecond

	// maxUnsentAttempts is the number of attempts with nothing sent after which
	// the stage fails.
	maxUnsentAttempts = 4

	// A stream counts as stalled when no token has arrived for stallTimeoutFactor
	// times the expected duration of the call, but not before minStallTimeout. It is
	// ended only if it may go on at another endpoint.
	stallTimeoutFactor = 2
	minStallTimeout    = 500 * time.Millisecond

	// correctionTokens is the number of tokens beyond the expected cost after
	// which the organisation is charged for them while the call still runs.
	correctionTokens = 64
)

type (
	// run is the state of one request being executed.
	run struct {
		runner  *Runner
		req     Request
		plan    *plan
		start   time.Time
		retries int
		// mayHaveRun counts the calls that affect the request's [fault.Ran] and
		// that are not known to have done no work. hasRun is set once one of
		// them has returned a complete answer.
		mayHaveRun int
		hasRun     bool
		reports    []StageReport
	}

	// stageCall is one stage of a run, with all its attempts.
	stageCall struct {
		run      *run
		index    int
		stage    *stage.Stage
		decl     *declare.Stage
		input    Payload
		attempts int
		// unsentAttempts is the number of attempts with provably nothing sent.
		unsentAttempts int
		// failedEndpoints lists the indexes of the endpoints of failed attempts.
		failedEndpoints []int
		isLast          bool
		// streamedText and streamedTokens are the text already streamed to the
		// caller and its number of tokens.
		streamedText   strings.Builder
		streamedTokens int
		waited         time.Duration
		// retryReserved is set if an attempt was cancelled after a retry had been
		// taken from the budgets for it.
		retryReserved atomic.Bool
	}

	// attemptResult is the outcome of one attempt.
	attemptResult struct {
		grant  stage.Grant
		result Result
		err    error
	}
)

var errStalled = errors.New("the stream stalled: no token arrived within the limit")

// runStages executes the stages in order, each on the output of the one before.
func (r *run) runStages(ctx context.Context) (Answer, error) {
	input := r.req.Input
	var result Result
	for i, s := range r.plan.stages {
		r.plan.withdrawThrough(r.req.Organisation, i)
		c := &stageCall{run: r, index: i, stage: s, decl: r.req.Kind.Stages()[i], input: input, isLast: i == len(r.plan.stages)-1}
		var err error
		if result, err = c.execute(ctx); err != nil {
			return Answer{}, r.requestError(ctx, c, err)
		}
		if !c.isLast {
			input = nextInput(input, result)
		}
	}
	if result.Documents == nil {
		result.Documents = input.Documents
	}
	return Answer{Text: result.Text, Documents: result.Documents, Stages: r.reports}, nil
}

// nextInput returns the input of the stage that follows the one with input in
// and result r.
func nextInput(in Payload, r Result) Payload {
	out := in
	if r.Documents != nil {
		out.Documents = r.Documents
	}
	if r.Text != "" && r.Documents == nil {
		out.Documents = append(append([]string{}, in.Documents...), r.Text)
	}
	return out
}

// requestError returns the error of the request for the error of one of its
// stages. If ctx is done, ctx.Err() takes precedence, unless the stage refused the
// request.
func (r *run) requestError(ctx context.Context, c *stageCall, err error) error {
	e := fault.From(err)
	if ctx.Err() != nil && e.Kind() != fault.DeadlineTooShort && e.Kind() != fault.Overloaded {
		e = fault.From(ctx.Err())
	}
	return e.WithStage(c.decl.Name()).WithRan(r.ran())
}

func (r *run) ran() fault.Ran {
	switch {
	case r.hasRun:
		return fault.RanYes
	case r.mayHaveRun > 0:
		return fault.RanUnknown
	}
	return fault.RanNo
}

// execute makes attempts until one returns a complete answer or no further
// attempt is allowed.
func (c *stageCall) execute(ctx context.Context) (Result, error) {
	start := c.run.runner.deps.Clock.Now()
	c.stage.RecordCall(c.run.req.Organisation.Name())
	for {
		res := c.attempt(ctx)
		c.recordRan(res)
		if res.err == nil {
			c.appendReport(start, res)
			return res.result, nil
		}
		if !c.shouldRetry(ctx, res) {
			c.observeStage(start, res.err)
			return Result{}, res.err
		}
		c.failedEndpoints = append(c.failedEndpoints, res.grant.Index)
		if err := sleep(ctx, c.run.runner.deps.Clock, c.stage.RetryDelay(c.attempts)); err != nil {
			c.observeStage(start, err)
			return Result{}, res.err
		}
	}
}

// affectsRan reports whether the stage's calls affect the request's [fault.Ran]:
// those of non-idempotent stages, and all calls of an idempotent request.
func (c *stageCall) affectsRan() bool {
	return !c.decl.Idempotent() || c.run.req.Kind.Idempotent()
}

// recordRan updates what is known of whether work ran after an attempt.
func (c *stageCall) recordRan(res attemptResult) {
	switch {
	case !c.affectsRan():
	case res.err == nil:
		c.run.hasRun = true
	case res.grant.Endpoint != nil && provablyNotRun(res.err):
		c.run.mayHaveRun--
	}
}

func provablyNotSent(err error) bool {
	callErr, ok := errors.AsType[*CallError](err)
	return ok && callErr.NotSent
}

func provablyNotRun(err error) bool {
	callErr, ok := errors.AsType[*CallError](err)
	return ok && callErr.NotRun
}

func (c *stageCall) appendReport(start time.Time, res attemptResult) {
	now := c.run.runner.deps.Clock.Now()
	c.run.reports = append(c.run.reports, StageReport{
		Stage:    c.decl.Name(),
		Endpoint: res.grant.Endpoint.Name(),
		Unit:     c.decl.Unit(),
		Units:    res.result.Units,
		Cost:     res.result.Units * c.decl.Price(),
		Attempts: c.attempts,
		WaitedMs: milliseconds(c.waited),
		TookMs:   milliseconds(now.Sub(start)),
	})
	c.observeStage(start, nil)
}

func (c *stageCall) observeStage(start time.Time, err error) {
	now := c.run.runner.deps.Clock.Now()
	c.run.runner.deps.ObserveStage(c.decl.Name(), c.waited, now.Sub(start), err)
}

// attempt waits for a grant of the stage and calls an endpoint. If hedging is
// allowed and the call is slow, it calls a second endpoint.
func (c *stageCall) attempt(ctx context.Context) attemptResult {
	req := c.callRequest()
	g, err := c.stage.Acquire(ctx, req)
	if err != nil {
		return attemptResult{err: err}
	}
	c.waited += g.Waited
	if !c.canHedge() {
		return c.prepareCall(ctx, g, false)()
	}
	return c.hedge(ctx, g)
}

func (c *stageCall) callRequest() stage.CallRequest {
	r := c.run
	cost := r.plan.expectedCost[c.index]
	if stated := statedCost(c.decl, c.input); stated != r.plan.statedCost[c.index] {
		// An earlier stage has changed the size of the input.
		cost *= stated / r.plan.statedCost[c.index]
	}
	q := balance.Query{Exclude: c.failedEndpoints, Model: c.decl.Model(), Adapter: c.decl.Adapter(), NoProbe: !c.decl.Idempotent()}
	if c.decl.Affinity() {
		q.Prefix = balance.Hash(r.req.Organisation.Name(), c.decl.Name(), c.input.Text[:min(maxPrefixBytes, len(c.input.Text))])
	}
	return stage.CallRequest{
		Organisation: r.req.Organisation,
		Priority:     r.req.Kind.Priority(),
		Cost:         cost,
		Deadline:     r.req.Deadline,
		Need:         c.stage.ExpectedTime(cost) + r.plan.durationAfter(c.index),
		Query:        q,
		Arrived:      r.runner.deps.Clock.Now(),
	}
}

// shouldRetry reports whether to call the stage again after a failed attempt,
// and counts the retry. A non-idempotent stage is retried only if the endpoint
// is known to have done no work. Attempts with nothing sent need no retry budget.
func (c *stageCall) shouldRetry(ctx context.Context, res attemptResult) bool {
	r := c.run
	if ctx.Err() != nil || c.attempts == 0 {
		return false
	}
	notRun := provablyNotRun(res.err)
	if !c.decl.Idempotent() && !notRun {
		return false
	}
	if c.streamedTokens > 0 && !res.grant.Endpoint.Resumes() {
		return false
	}
	limit := c.decl.Retries()
	if notRun {
		limit = max(1, limit)
	}
	if r.runner.policy.UnlimitedRetries {
		return true
	}
	if provablyNotSent(res.err) {
		c.unsentAttempts++
		return c.unsentAttempts < maxUnsentAttempts
	}
	if !c.retriesLeft(limit) {
		return false
	}
	if !c.retryReserved.Swap(false) && !c.stage.AllowRetry(r.req.Organisation.Name()) {
		return false
	}
	r.retries++
	return true
}

// retriesLeft reports whether another attempt may follow, apart from the retry budgets,
// if the stage may be retried the given number of times.
func (c *stageCall) retriesLeft(limit int) bool {
	r := c.run
	if r.runner.policy.UnlimitedRetries {
		return true
	}
	if c.attempts-c.unsentAttempts > limit {
		return false
	}
	return !r.req.Kind.Idempotent() || r.retries < max(r.req.Kind.Retries(), limit)
}

// reserveRetry takes the retry of an attempt that is about to be cancelled from the
// budgets, and reports whether there is one.
func (c *stageCall) reserveRetry() bool {
	if c.run.runner.policy.UnlimitedRetries {
		return true
	}
	if !c.stage.AllowRetry(c.run.req.Organisation.Name()) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}

func (c *stageCall) canHedge() bool {
	r := c.run
	return c.decl.Hedge() && c.decl.Idempotent() && !r.runner.policy.NoHedges && !c.streams() && c.attempts == 0
}

// streams reports whether the stage's text is streamed to the caller.
func (c *stageCall) streams() bool { return c.isLast && c.run.req.Emit != nil }

// hedge makes a call and, once it has taken longer than the 95th percentile of
// call durations, a second one. The first complete answer cancels the other call.
func (c *stageCall) hedge(ctx context.Context, g stage.Grant) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make(chan attemptResult, 2)
	launch := func(call func() attemptResult) {
		go func() {
			res := call()
			results <- res
			if res.err == nil {
				cancel(errHedged)
			}
		}()
	}
	p95, known := c.stage.P95(c.run.plan.expectedCost[c.index])
	launch(c.prepareCall(ctx, g, false))
	if !known {
		return <-results
	}
	hedgeDue := make(chan struct{})
	stop := c.run.runner.deps.Clock.AfterFunc(p95, func() { close(hedgeDue) })
	defer stop()
	select {
	case res := <-results:
		return res
	case <-hedgeDue:
	}
	second, ok := c.acquireHedge(g)
	if !ok {
		return <-results
	}
	launch(c.prepareCall(ctx, second, true))
	first := <-results
	if first.err != nil {
		return <-results
	}
	return first
}

// acquireHedge returns the grant for a hedge, if the retry budgets allow one and
// another endpoint is available without waiting.
func (c *stageCall) acquireHedge(first stage.Grant) (stage.Grant, bool) {
	if !c.stage.AllowRetry(c.run.req.Organisation.Name()) {
		return stage.Grant{}, false
	}
	req := c.callRequest()
	req.Query.Exclude = []int{first.Index}
	return c.stage.TryAcquire(req)
}

// sleep waits for d, or until ctx is done and then returns its error.
func sleep(ctx context.Context, clock stage.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	stop := clock.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
