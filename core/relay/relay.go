package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/expect"
	"chervilpath/core/fault"
	"chervilpath/core/route"
)

const (
	// maxNotRun is how many sends of a request may end with proof that nothing
	// ran, such as refusals of full servers.
	maxNotRun = 4

	// minRemaining is the least time left for which a send is worth its while.
	minRemaining = 20 * time.Millisecond

	// defaultTimeout is how long a caller is taken to wait if neither it nor its
	// route says.
	defaultTimeout = 30 * time.Second

	// defaultRetryAfter is the time after which a refused caller is told to come back,
	// if nothing better is known.
	defaultRetryAfter = 200 * time.Millisecond

	// The worth of a generation is basePart and the rest by its size against
	// the mean of its kind, at most maxRelative times; an output token counts as
	// outputWeight of the prompt (rules of the platform).
	baseWorth         = 0.3
	maxRelativeSize   = 4
	outputTokenWeight = 10

	// responseMargin is kept free at the end of a request's time, so that its
	// answer reaches the caller.
	responseMargin = 15 * time.Millisecond

	// Callers of streams leave after minPatience, patienceAims times the aim or
	// patienceGaps times the longest pause, whichever is longest (protocol of
	// the platform).
	minEventTimeout           = 2 * time.Second
	eventTimeoutLatencyFactor = 4
	eventTimeoutGapFactor     = 8

	// maxBufferedBytes is the largest answer that is held until it is whole; a larger
	// one is relayed as it comes.
	maxBufferedBytes = 1 << 20
)

type (
	// Relay takes requests to servers. Use New. It is safe for concurrent use.
	Relay struct {
		deps  Deps
		stats *expect.Stats
	}

	// execution is one request on its way.
	execution struct {
		relay   *Relay
		req     *Request
		table   *route.Table
		route   *route.Route
		service string
		org     *declare.Organisation
		orgName string
		// priority is the organisation's rank, or -1 if the route's counts.
		priority int
		w        ResponseWriter
		deadline time.Time
		target   time.Time
		// firstEventDeadline is when the caller of a stream leaves if no event has come.
		firstEventDeadline time.Time

		// sends counts what reached a server and may have run, unrun what
		// provably did not.
		sends, notRun int
		triedServers  []string
		stream        *stream
		// held are what the stages made for the request, inputs the handles
		// of those that an engine needs.
		held   []heldResults
		inputs []string
		// stageReruns counts how often the stages were done again.
		stageReruns int
		attempt     int
	}

	// heldResults is results that have to be given up.
	heldResults struct {
		service string
		handles []string
	}
)

var (
	errStalled      = errors.New("no event came for too long")
	errShuttingDown = errors.New("the instance stops before the request's stages are done")
)

// New returns a relay.
func New(deps Deps) *Relay { return &Relay{deps: deps, stats: expect.New()} }

// Serve takes a request to a server and gives the answer to the caller. An
// error is a *fault.Error or a *Refusal; if the answer has begun, the caller's
// connection has to be broken off.
func (r *Relay) Serve(ctx context.Context, req *Request, w ResponseWriter) (started bool, err error) {
	e, err := r.newExecution(req, w)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	defer e.freeHeld()
	err = e.serve(ctx)
	started = e.stream != nil && e.stream.started
	e.log("end", outcomeText(err), "")
	return started, err
}

func outcomeText(err error) string {
	if err == nil {
		return "answered"
	}
	return fault.From(err).Kind().String() + ": " + err.Error()
}

// newExecution matches a request to its route and organisation.
func (r *Relay) newExecution(req *Request, w ResponseWriter) (*execution, error) {
	table := r.deps.Table()
	if table == nil {
		return nil, r.refuse(fault.Errorf(fault.Draining, "the instance knows no configuration yet"), defaultRetryAfter)
	}
	e := &execution{relay: r, req: req, table: table, w: w}
	e.route = table.Match(req.Host, req.Path)
	if e.route == nil {
		return nil, r.deny(table, fault.NotFound, "no route of host %q begins path %q in version %d", req.Host, req.Path, table.Version())
	}
	org, ok := table.Authenticate(req.APIKey)
	if !ok && table.RequiresKey() && !e.route.Public {
		return nil, r.deny(table, fault.Unauthenticated, "the key belongs to no organisation in version %d", table.Version())
	}
	e.priority = -1
	if ok {
		e.orgName = org.Name
		if org.HasPriority {
			e.priority = org.Priority
		}
	}
	e.org = declare.NewOrganisation(e.orgName, 1)
	if len(req.Pieces) != 0 && len(req.Pieces) != len(e.route.Stages) {
		return nil, fault.Errorf(fault.BadRequest, "the request has pieces of %d stages and its route has %d stages", len(req.Pieces), len(e.route.Stages))
	}
	e.service = e.route.ChooseService(r.deps.Random())
	e.deadline = req.Arrived.Add(e.timeout() - responseMargin)
	e.firstEventDeadline = e.deadline
	if eventDeadline := req.Arrived.Add(eventTimeout(e.route) - responseMargin); e.route.Kind == route.Streaming && eventDeadline.Before(e.deadline) {
		e.firstEventDeadline = eventDeadline
	}
	if err := e.checkShutdown(); err != nil {
		return nil, err
	}
	e.target = req.Arrived.Add(e.route.TargetLatency - r.stats.TimeSpent(e.route.Name, req.Timeout))
	e.log("route", "matched", "")
	return e, nil
}

// eventTimeout is how long the caller of a stream waits for its next event.
func eventTimeout(rt *route.Route) time.Duration {
	return max(minEventTimeout, eventTimeoutLatencyFactor*rt.TargetLatency, eventTimeoutGapFactor*rt.TargetGap)
}

// checkShutdown refuses a request that a planned stop under way might cut off.
func (e *execution) checkShutdown() error {
	shutdown := e.relay.deps.Shutdown()
	now := e.now()
	if shutdown.End.IsZero() || now.Before(shutdown.RestrictFrom) || e.deadline.Before(shutdown.End) {
		return nil
	}
	return e.relay.refuse(fault.Errorf(fault.Draining, "the instance stops in %v and the request may take %v", shutdown.End.Sub(now).Round(time.Millisecond), e.deadline.Sub(now).Round(time.Millisecond)), 0)
}

// deny returns the denial, or a refusal if the configuration may be out of date.
func (r *Relay) deny(table *route.Table, kind fault.Kind, format string, args ...any) error {
	if !r.deps.ConfigFresh() {
		return r.refuse(fault.Errorf(fault.Draining, "the configuration of version %d was not confirmed of late", table.Version()), defaultRetryAfter)
	}
	return fault.Errorf(kind, format, args...)
}

func (r *Relay) refuse(err *fault.Error, retryAfter time.Duration) error {
	return &Refusal{Fault: err.WithRan(fault.RanNo), RetryAfter: retryAfter}
}

func (e *execution) timeout() time.Duration {
	timeout := e.req.Timeout
	if t := e.route.Timeout; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// worth returns what the request is worth to its caller against others, by its
// rank and its size: the configuration says no more.
func (e *execution) worth() float64 {
	priority := e.route.Priority
	if e.priority >= 0 {
		priority = e.priority
	}
	size := float64(e.req.PromptTokens + outputTokenWeight*e.req.OutputTokens)
	relativeSize := e.relay.stats.RelativeSize(e.route.Name, size)
	return (baseWorth + (1-baseWorth)*min(relativeSize, maxRelativeSize)) * math.Exp2(-float64(priority))
}

func (e *execution) now() time.Time { return e.relay.deps.Clock.Now() }

func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.now()) }

func (e *execution) log(step, outcome, server string) {
	e.relay.deps.Log(Decision{
		RequestID: e.req.ID, Step: step, Version: e.table.Version(), Route: e.route.Name, Service: e.service,
		Organisation: e.orgName, Server: server, Attempt: e.attempt, Outcome: outcome,
		Elapsed: e.now().Sub(e.req.Arrived), Remaining: e.remaining(),
	})
}

func (e *execution) serve(ctx context.Context) error {
	svc, ok := e.table.Service(e.service)
	if !ok {
		return e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q is not in version %d", e.service, e.table.Version()))
	}
	e.relay.deps.RecordCall(e.service)
	if svc.Engine != nil {
		return e.serveEngine(ctx)
	}
	return e.servePlain(ctx)
}

// refusal returns the refusal of a request of which nothing has run, and the
// error itself if something may have.
func (e *execution) refusal(err *fault.Error) error {
	if e.sends > 0 || e.stream != nil && e.stream.started {
		return fault.Errorf(fault.EndpointFailed, "%w", err).WithRan(fault.RanUnknown)
	}
	retryAfter := min(max(defaultRetryAfter, e.remaining()/8), max(0, e.remaining()/3))
	return &Refusal{Fault: err.WithRan(fault.RanNo), RetryAfter: retryAfter}
}

// contextError returns the answer to a request whose time is up or whose caller left.
func (e *execution) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Errorf(fault.Cancelled, "the caller left")
	}
	if e.sends > 0 {
		return fault.Errorf(fault.DeadlineExceeded, "the request's time is up")
	}
	return e.refusal(fault.Errorf(fault.DeadlineTooShort, "the request's time is up before it ran"))
}

// mayRetry reports whether another send is allowed after one that may have run.
func (e *execution) mayRetry() bool {
	return e.route.MayRunAgain() && e.sends < e.route.MaxAttempts && e.remaining() > minRemaining && e.relay.deps.AllowRetry(e.service)
}

// mayResend reports whether another send is allowed after one that provably
// did not run.
func (e *execution) mayResend(sent bool) bool {
	e.notRun++
	return e.notRun < maxNotRun && e.remaining() > minRemaining && (!sent || e.relay.deps.AllowRetry(e.service))
}

func (e *execution) holdResults(service string, handles []string) {
	e.held = append(e.held, heldResults{service: service, handles: handles})
}

// freeHeld gives up all results that were made for the request.
func (e *execution) freeHeld() {
	for _, h := range e.held {
		e.relay.deps.FreeResults(h.service, h.handles)
	}
	e.held = nil
}
