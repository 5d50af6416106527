package pipeline

import (
	"context"
	"errors"
	"strings"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

const (
	// An attempt that may be repeated is given up after attemptFactor times the
	// time that 95 of 100 calls stay below, but not before minAttempt.
	attemptFactor = 3
	minAttempt    = 50 * time.Millisecond

	// maxUnsent is the number of attempts of which nothing was sent that ends a
	// stage.
	maxUnsent = 4

	// A stream is stalled if no token comes for stallFactor times the expected
	// time of the call, but not before minStall.
	stallFactor = 2
	minStall    = 500 * time.Millisecond

	// correctTokens is the number of tokens beyond the expected after which the
	// organisation's account is corrected while the call runs.
	correctTokens = 64
)

type (
	// run is one request on its way.
	run struct {
		runner  *Runner
		req     Request
		plan    *plan
		began   time.Time
		repeats int
		// open is the number of calls that count for the answer to "has it
		// run?" and that are not known to have done nothing; done is set once
		// one of them gave a whole answer.
		open    int
		done    bool
		reports []StageReport
	}

	// stageCall is one stage of a run with all its attempts.
	stageCall struct {
		run      *run
		index    int
		stage    *stage.Stage
		decl     *declare.Stage
		input    Payload
		attempts int
		// unsent is the number of attempts of which provably nothing was sent.
		unsent int
		// tried lists the indexes of endpoints whose attempts failed.
		tried []int
		last  bool
		// text and tokens are what has been streamed to the caller.
		text   strings.Builder
		tokens int
		waited time.Duration
	}

	// ended is the end of one attempt.
	ended struct {
		grant  stage.Grant
		result Result
		err    error
	}
)

var errStalled = errors.New("no token came for too long")

// all runs the stages in order.
func (r *run) all(ctx context.Context) (Answer, error) {
	input := r.req.Input
	var result Result
	for i, s := range r.plan.stages {
		r.plan.arrive(r.req.Organisation, i)
		c := &stageCall{run: r, index: i, stage: s, decl: r.req.Kind.Stages()[i], input: input, last: i == len(r.plan.stages)-1}
		var err error
		if result, err = c.run1(ctx); err != nil {
			return Answer{}, r.explain(ctx, c, err)
		}
		if !c.last {
			input = next(input, result)
		}
	}
	if result.Documents == nil {
		result.Documents = input.Documents
	}
	return Answer{Text: result.Text, Documents: result.Documents, Stages: r.reports}, nil
}

// next returns the input of the stage after one that gave the result.
func next(in Payload, r Result) Payload {
	out := in
	if r.Documents != nil {
		out.Documents = r.Documents
	}
	if r.Text != "" && r.Documents == nil {
		out.Documents = append(append([]string{}, in.Documents...), r.Text)
	}
	return out
}

// explain makes the error of a stage the error of the request.
func (r *run) explain(ctx context.Context, c *stageCall, err error) error {
	e := fault.From(err)
	if ctx.Err() != nil && e.Kind() != fault.DeadlineTooShort && e.Kind() != fault.Overloaded {
		e = fault.From(ctx.Err())
	}
	return e.At(c.decl.Name()).WithRan(r.ran())
}

func (r *run) ran() fault.Ran {
	switch {
	case r.done:
		return fault.RanYes
	case r.open > 0:
		return fault.RanUnknown
	}
	return fault.RanNo
}

// run1 runs the stage until an attempt gives a whole answer or no further
// attempt is allowed.
func (c *stageCall) run1(ctx context.Context) (Result, error) {
	began := c.run.runner.deps.Clock.Now()
	c.stage.RecordCall(c.run.req.Organisation.Name())
	for {
		end := c.attempt(ctx)
		c.account(end)
		if end.err == nil {
			c.report(began, end)
			return end.result, nil
		}
		if !c.mayRepeat(ctx, end) {
			c.observe(began, end.err)
			return Result{}, end.err
		}
		c.tried = append(c.tried, end.grant.Index)
		if err := sleep(ctx, c.run.runner.deps.Clock, c.stage.RetryDelay(c.attempts)); err != nil {
			c.observe(began, err)
			return Result{}, end.err
		}
	}
}

// counts reports whether the stage's calls count for the answer to "has it run?".
func (c *stageCall) counts() bool {
	return !c.decl.Idempotent() || c.run.req.Kind.Idempotent()
}

// account notes what the end of an attempt says of whether work ran.
func (c *stageCall) account(end ended) {
	switch {
	case !c.counts():
	case end.err == nil:
		c.run.done = true
	case end.grant.Endpoint != nil && provablyNotRun(end.err):
		c.run.open--
	}
}

func provablyNotSent(err error) bool {
	call, ok := errors.AsType[*CallError](err)
	return ok && call.NotSent
}

func provablyNotRun(err error) bool {
	call, ok := errors.AsType[*CallError](err)
	return ok && call.NotRun
}

func (c *stageCall) report(began time.Time, end ended) {
	now := c.run.runner.deps.Clock.Now()
	c.run.reports = append(c.run.reports, StageReport{
		Stage:    c.decl.Name(),
		Endpoint: end.grant.Endpoint.Name(),
		Unit:     c.decl.Unit(),
		Units:    end.result.Units,
		Cost:     end.result.Units * c.decl.Price(),
		Attempts: c.attempts,
		WaitedMs: milliseconds(c.waited),
		TookMs:   milliseconds(now.Sub(began)),
	})
	c.observe(began, nil)
}

func (c *stageCall) observe(began time.Time, err error) {
	now := c.run.runner.deps.Clock.Now()
	c.run.runner.deps.Observe(c.decl.Name(), c.waited, now.Sub(began), err)
}

// attempt waits for the stage, calls one endpoint, and a second one if the
// first is slow and a hedge is allowed.
func (c *stageCall) attempt(ctx context.Context) ended {
	w := c.want()
	g, err := c.stage.Acquire(ctx, w)
	if err != nil {
		return ended{err: err}
	}
	c.waited += g.Waited
	if !c.mayHedge() {
		return c.prepare(ctx, g, false)()
	}
	return c.hedge(ctx, g)
}

func (c *stageCall) want() stage.CallRequest {
	r := c.run
	cost := r.plan.cost[c.index]
	if asked := askedCost(c.decl, c.input); asked != r.plan.asked[c.index] {
		// An earlier stage changed the size of the input.
		cost *= asked / r.plan.asked[c.index]
	}
	q := balance.Query{Exclude: c.tried, Model: c.decl.Model(), Adapter: c.decl.Adapter(), NoProbe: !c.decl.Idempotent()}
	if c.decl.Affinity() {
		q.Prefix = balance.Hash(r.req.Organisation.Name(), c.decl.Name(), c.input.Text[:min(prefixBytes, len(c.input.Text))])
	}
	return stage.CallRequest{
		Organisation: r.req.Organisation,
		Priority:     r.req.Kind.Priority(),
		Cost:         cost,
		Deadline:     r.req.Deadline,
		Need:         c.stage.ExpectedTime(cost) + r.plan.after(c.index),
		Query:        q,
		Arrived:      r.runner.deps.Clock.Now(),
	}
}

// mayRepeat decides whether the stage is called again after a failed attempt.
func (c *stageCall) mayRepeat(ctx context.Context, end ended) bool {
	r := c.run
	if ctx.Err() != nil || c.attempts == 0 {
		return false
	}
	notRun := provablyNotRun(end.err)
	if !c.decl.Idempotent() && !notRun {
		return false
	}
	if c.tokens > 0 && !end.grant.Endpoint.Resumes() {
		return false
	}
	limit := c.decl.Retries()
	if notRun {
		limit = max(1, limit)
	}
	if r.runner.policy.UnlimitedRetries {
		return true
	}
	if provablyNotSent(end.err) {
		c.unsent++
		return c.unsent < maxUnsent
	}
	if c.attempts-c.unsent > limit {
		return false
	}
	if r.req.Kind.Idempotent() && r.repeats >= max(r.req.Kind.Retries(), limit) {
		return false
	}
	if !c.stage.AllowRetry(r.req.Organisation.Name()) {
		return false
	}
	r.repeats++
	return true
}

func (c *stageCall) mayHedge() bool {
	r := c.run
	return c.decl.Hedge() && c.decl.Idempotent() && !r.runner.policy.NoHedges && !c.streams() && c.attempts == 0
}

// streams reports whether the stage's text goes to the caller as it comes.
func (c *stageCall) streams() bool { return c.last && c.run.req.Emit != nil }

// hedge makes a call and sends a second one when the first has taken longer
// than 95 of 100 calls do. The first whole answer cancels the other call.
func (c *stageCall) hedge(ctx context.Context, g stage.Grant) ended {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan ended, 2)
	start := func(call func() ended) {
		go func() {
			end := call()
			done <- end
			if end.err == nil {
				cancel(errHedged)
			}
		}()
	}
	high, known := c.stage.P95(c.run.plan.cost[c.index])
	start(c.prepare(ctx, g, false))
	if !known {
		return <-done
	}
	slow := make(chan struct{})
	stop := c.run.runner.deps.Clock.AfterFunc(high, func() { close(slow) })
	defer stop()
	select {
	case end := <-done:
		return end
	case <-slow:
	}
	second, ok := c.second(g)
	if !ok {
		return <-done
	}
	start(c.prepare(ctx, second, true))
	first := <-done
	if first.err != nil {
		return <-done
	}
	return first
}

// second returns the grant for a hedge, if the budgets allow one and another
// endpoint is free at once.
func (c *stageCall) second(first stage.Grant) (stage.Grant, bool) {
	if !c.stage.AllowRetry(c.run.req.Organisation.Name()) {
		return stage.Grant{}, false
	}
	w := c.want()
	w.Query.Exclude = []int{first.Index}
	return c.stage.TryAcquire(w)
}

// sleep waits for d or until ctx is done.
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
