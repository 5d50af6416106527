package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/expect"
	"chervilpath/core/fault"
	"chervilpath/core/overload"
	"chervilpath/core/route"
)

const (
	// maxNotRun is how many sends of a request may end with proof that it did
	// not run, such as refusals by full servers.
	maxNotRun = 4

	// maxAwaitFraction is the fraction of a request's time for which it is sent again
	// to servers that do not answer requests for connections.
	maxAwaitFraction = 0.5

	// minRemaining is the least time before the deadline at which a request is
	// still sent.
	minRemaining = 20 * time.Millisecond

	// defaultTimeout is how long a caller is assumed to wait if neither the
	// request nor the route specifies it.
	defaultTimeout = 30 * time.Second

	// defaultRetryAfter is the time after which a refused caller is advised to
	// retry if there is no better estimate.
	defaultRetryAfter = 200 * time.Millisecond

	// A caller that is refused because of overload is advised to retry after a
	// random time between these fractions of its remaining time, so that callers
	// that are refused together do not return together. Callers wait for at most a
	// third of their remaining time.
	minOverloadRetryFraction = 0.18
	maxOverloadRetryFraction = 0.33

	// The worth of a generation is baseWorth plus 1-baseWorth times its size
	// relative to the mean size of its route. The relative size is capped at
	// maxRelativeSize. An output token counts as much as outputTokenWeight
	// prompt tokens. These rules are the platform's.
	baseWorth         = 0.3
	maxRelativeSize   = 4
	outputTokenWeight = 10

	// lateWorthFraction is the worth of an answer after its due time as a fraction of that of
	// one in time. The configuration says nothing of it.
	lateWorthFraction = 0.5

	// stagesRunFactor multiplies the worth of a request whose stages have run: it needs only
	// the rest of its work, so its worth for that is higher.
	stagesRunFactor = 2

	// A caller whose timeout is shorter than that of first attempts by minReturnedFraction
	// came back after a refusal: it was told to wait for at least minOverloadRetryFraction
	// of its time if the service was overloaded, and timeouts of first attempts vary less.
	minReturnedFraction = 0.1

	// responseMargin is reserved at the end of a request's time, so that its
	// response reaches the caller before the deadline.
	responseMargin = 15 * time.Millisecond

	// The caller of a stream gives up if no event comes for minEventTimeout,
	// eventTimeoutLatencyFactor times the target latency or
	// eventTimeoutGapFactor times the target gap, whichever is longest. These
	// are rules of the platform's protocol.
	minEventTimeout           = 2 * time.Second
	eventTimeoutLatencyFactor = 4
	eventTimeoutGapFactor     = 8

	// maxBufferedBytes is the largest response that is buffered until it is
	// complete. A larger one counts as a failed send.
	maxBufferedBytes = 1 << 20
)

type (
	// Relay forwards requests to servers. Create one with New. It is safe for
	// concurrent use.
	Relay struct {
		deps  Deps
		stats *expect.Stats
	}

	// execution is the handling of one request.
	execution struct {
		relay   *Relay
		req     *Request
		table   *route.Table
		route   *route.Route
		service string
		org     *declare.Organisation
		orgName string
		// priority is that of the organisation, or -1 if that of the route
		// applies.
		priority int
		// worth weighs the request against others, and relativeSize is its size as a ratio
		// to the mean of its route.
		worth, relativeSize float64
		// returned is set if the caller came back after a refusal.
		returned bool
		w        ResponseWriter
		// callerCtx is cancelled when the caller disconnects, and when a planned shutdown
		// ends the request.
		callerCtx context.Context
		guard     *shutdownGuard
		// deadline is when the response has to be complete, or a stream has to have
		// begun. due is when it is due by the target latency of the route, less the
		// time that earlier attempts of the caller have taken.
		deadline time.Time
		due      time.Time
		// firstEventDeadline is when the caller of a stream gives up if no
		// event has come.
		firstEventDeadline time.Time

		// sends counts the sends that may have run at a server, and notRun the
		// attempts that provably did not.
		sends, notRun int
		triedServers  []string
		// unreachable holds the IDs of the servers of a plain service to which no
		// connection could be opened for the request.
		unreachable []string
		// sentTo holds the IDs of the servers to which the request was sent.
		sentTo []string
		stream *stream
		// placements counts the placements on engines. next is an attempt that is
		// ready to be made, or nil.
		placements int
		next       *nextAttempt
		// replaced is set once an attempt was replaced because its server was silent.
		replaced bool
		// lastEvent is when the last event was relayed to the caller, and longestGap the
		// longest time between two events of one attempt.
		lastEvent  time.Time
		longestGap time.Duration
		// held are the stage results that are kept for the request, and inputs
		// the handles of those that an engine needs.
		held   []heldResults
		inputs []string
		// stageReruns counts how often the stages were run again.
		stageReruns int
		attempt     int
		// begun is set once the server of the attempt in progress has begun to answer.
		begun bool
		// trial is the part that is held back and that the request tries, or "".
		trial string
		// sendBefore is the time after which the next attempt may not be sent any more, or
		// zero. numNotAdmitted counts the cold servers to which the request was not
		// admitted, and coldRetryAfter is when the last of them may get one.
		sendBefore     time.Time
		numNotAdmitted int
		coldRetryAfter time.Duration
	}

	// heldResults are results of one service that have to be released.
	heldResults struct {
		service string
		handles []string
	}
)

var (
	errStalled  = errors.New("the server is silent and the stream goes on at another one")
	errNoEngine = errors.New("no engine is free")
)

// New returns a relay without observations of earlier requests.
func New(deps Deps) *Relay { return &Relay{deps: deps, stats: expect.New()} }

// Serve sends a request to a server and writes the response to w. An error is a
// *fault.Error or a *Refusal. If the response had started by then, the caller's
// connection has to be aborted.
func (r *Relay) Serve(ctx context.Context, req *Request, w ResponseWriter) (started bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := &shutdownGuard{cancel: cancel}
	defer context.AfterFunc(r.deps.ShutdownCtx, guard.end)()
	if !r.deps.AwaitReady(ctx) && r.deps.Table() == nil {
		// It is not known when there will be one, so the caller's only retry is
		// best made late.
		retryAfter := max(defaultRetryAfter, time.Duration(maxOverloadRetryFraction*float64(req.Timeout)))
		return false, r.refuse(fault.Errorf(fault.Draining, "the instance has no configuration yet"), retryAfter)
	}
	e, err := r.newExecution(req, w)
	if err != nil {
		return false, err
	}
	e.guard = guard
	e.w = e.guardStream(e.w)
	e.callerCtx = ctx
	ctx, stop := context.WithDeadline(ctx, e.deadline)
	defer stop()
	defer e.freeHeld()
	err = e.serve(ctx)
	if e.next != nil {
		e.discard(e.next)
	}
	started = guard.hasBegun()
	withheld := e.stream != nil && e.stream.started && !started
	if withheld || err != nil && !started && errors.Is(context.Cause(ctx), errShuttingDown) {
		err = e.shutdownError()
	}
	e.log("end", outcomeText(err), "")
	return started, err
}

func outcomeText(err error) string {
	if err == nil {
		return "answered"
	}
	return fault.From(err).Kind().String() + ": " + err.Error()
}

// newExecution matches a request to its route and organisation. It returns an
// error if the request cannot be accepted.
func (r *Relay) newExecution(req *Request, w ResponseWriter) (*execution, error) {
	table := r.deps.Table()
	if table == nil {
		return nil, r.refuse(fault.Errorf(fault.Draining, "the instance has no configuration yet"), defaultRetryAfter)
	}
	e := &execution{relay: r, req: req, table: table, w: w}
	e.route = table.Match(req.Host, req.Path)
	if e.route == nil {
		return nil, r.deny(table, fault.NotFound, "no route of host %q matches path %q in version %d", req.Host, req.Path, table.Version())
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
		return nil, fault.Errorf(fault.BadRequest, "the request has pieces for %d stages but its route has %d stages", len(req.Pieces), len(e.route.Stages))
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
	spent := r.stats.TimeSpent(e.route.Name, req.Timeout)
	e.returned = float64(spent) > minReturnedFraction*float64(spent+req.Timeout)
	e.due = req.Arrived.Add(e.route.TargetLatency - spent)
	e.worth = e.computeWorth()
	e.relay.deps.Log(e.decision("route", "matched", "", e.due.Sub(req.Arrived)))
	return e, nil
}

// eventTimeout returns how long the caller of a stream waits for its next
// event.
func eventTimeout(rt *route.Route) time.Duration {
	return max(minEventTimeout, eventTimeoutLatencyFactor*rt.TargetLatency, eventTimeoutGapFactor*rt.TargetGap)
}

// deny returns the denial, or a refusal if the configuration may be out of
// date.
func (r *Relay) deny(table *route.Table, kind fault.Kind, format string, args ...any) error {
	if !r.deps.ConfigFresh() {
		return r.refuse(fault.Errorf(fault.Draining, "version %d of the configuration has not been confirmed recently", table.Version()), defaultRetryAfter)
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

// computeWorth returns the weight of the request against others, from its priority
// and its size: the configuration gives nothing else to compare. It adds the size to
// the statistics of the route.
func (e *execution) computeWorth() float64 {
	size := float64(e.req.PromptTokens + outputTokenWeight*e.req.OutputTokens)
	e.relativeSize = e.relay.stats.RelativeSize(e.route.Name, size)
	return (baseWorth + (1-baseWorth)*min(e.relativeSize, maxRelativeSize)) * math.Exp2(-float64(e.effectivePriority()))
}

// effectivePriority returns the priority of the organisation, or else that of the route.
func (e *execution) effectivePriority() int {
	if e.priority >= 0 {
		return e.priority
	}
	return e.route.Priority
}

// demand returns what the request asks of its service.
func (e *execution) demand() overload.Demand {
	worth := e.worth
	if len(e.held) > 0 {
		worth *= stagesRunFactor
	}
	return overload.Demand{
		Class: e.route.Name, Organisation: e.orgName, Priority: e.effectivePriority(), Worth: worth, LateWorth: lateWorthFraction * worth,
		Due: e.due, RelativeSize: e.relativeSize, Returned: e.returned || e.attempt > 0,
	}
}

func (e *execution) now() time.Time { return e.relay.deps.Clock.Now() }

func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.now()) }

func (e *execution) log(step, outcome, server string) {
	e.relay.deps.Log(e.decision(step, outcome, server, 0))
}

// logBroken records that the answer of a server broke off.
func (e *execution) logBroken(err error, server string) {
	d := e.decision(StepBroken, err.Error(), server, 0)
	d.SharedParts, d.Begun = e.req.SharedParts, e.begun
	e.relay.deps.Log(d)
}

func (e *execution) decision(step, outcome, server string, due time.Duration) Decision {
	return Decision{
		RequestID: e.req.ID, Step: step, Version: e.table.Version(), Route: e.route.Name, Service: e.service,
		Organisation: e.orgName, Server: server, Attempt: e.attempt, Outcome: outcome,
		Elapsed: e.now().Sub(e.req.Arrived), Remaining: e.remaining(), Due: due, LongestGap: e.longestGap,
	}
}

func (e *execution) serve(ctx context.Context) error {
	svc, ok := e.table.Service(e.service)
	if !ok {
		return e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q is not in version %d of the configuration", e.service, e.table.Version()))
	}
	e.relay.deps.RecordCall(e.service)
	if svc.Engine != nil {
		e.relay.deps.Quarantine.Arrived(e.service, e.req.SharedParts)
		return e.serveEngine(ctx)
	}
	return e.servePlain(ctx)
}

// refusal returns err as a Refusal if nothing of the request has run, and as an
// error of the endpoint if something may have.
func (e *execution) refusal(err *fault.Error) error {
	if e.sends > 0 || e.stream != nil && e.stream.started {
		return fault.Errorf(fault.EndpointFailed, "%w", err).WithRan(fault.RanUnknown)
	}
	remaining := max(0, e.remaining())
	retryAfter := min(max(defaultRetryAfter, remaining/8), remaining/3)
	if kind := err.Kind(); kind == fault.Overloaded || kind == fault.DeadlineTooShort {
		fraction := minOverloadRetryFraction + (maxOverloadRetryFraction-minOverloadRetryFraction)*e.relay.deps.Random()
		retryAfter = time.Duration(fraction * float64(remaining))
	}
	retryAfter = max(retryAfter, err.RetryAfter(), e.retryAfterReturn(), e.coldRetryAfter)
	return &Refusal{Fault: err.WithRan(fault.RanNo), RetryAfter: retryAfter}
}

// contextError returns the error for a request whose deadline has passed or
// whose caller has disconnected.
func (e *execution) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Errorf(fault.Cancelled, "the caller disconnected")
	}
	if e.sends > 0 {
		return fault.Errorf(fault.DeadlineExceeded, "the request's deadline has passed")
	}
	return e.refusal(fault.Errorf(fault.DeadlineTooShort, "the request's deadline passed before it ran"))
}

// mayRetry reports whether the request may be sent again after a send that may
// have run, and takes the retry from the budget.
func (e *execution) mayRetry() bool {
	reason := ""
	switch {
	case !e.route.MayRunAgain():
		return false
	case e.sends >= e.route.MaxAttempts:
		reason = "all attempts of the route are used"
	case e.remaining() <= minRemaining:
		reason = "too little time remains"
	case e.isSuspected():
		reason = reasonSuspected
	case !e.relay.deps.AllowRetry(e.service):
		reason = "the retry budget is used up"
	default:
		return true
	}
	e.log("noRetry", reason, "")
	return false
}

// mayResend reports whether the request may be sent again after an attempt that
// provably did not run. If it was sent to a server, the retry is taken from the
// budget.
func (e *execution) mayResend(sent bool) bool {
	e.notRun++
	return e.notRun < maxNotRun && e.remaining() > minRemaining && (!sent || e.relay.deps.AllowRetry(e.service))
}

// mayAwaitServer reports whether the request may be sent again, without counting, after
// an attempt to which no server answered.
func (e *execution) mayAwaitServer() bool {
	return float64(e.remaining()) > (1-maxAwaitFraction)*float64(e.timeout())
}

// freeHeld releases all results that are kept for the request.
func (e *execution) freeHeld() {
	e.freeResults(e.held)
	e.held = nil
}

func (e *execution) freeResults(held []heldResults) {
	for _, h := range held {
		e.relay.deps.FreeResults(h.service, h.handles)
	}
}
