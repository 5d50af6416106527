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
	// maxUnrun is how many sends of a request may end with proof that nothing
	// ran, such as refusals of full servers.
	maxUnrun = 4

	// minLeft is the least time left for which a send is worth its while.
	minLeft = 20 * time.Millisecond

	// defaultWait is how long a caller is taken to wait if neither it nor its
	// route says.
	defaultWait = 30 * time.Second

	// comeBack is the time after which a refused caller is told to come back,
	// if nothing better is known.
	comeBack = 200 * time.Millisecond

	// The worth of a generation is basePart and the rest by its size against
	// the mean of its kind, at most maxRelative times; an output token counts as
	// outputWeight of the prompt (rules of the platform).
	basePart     = 0.3
	maxRelative  = 4
	outputWeight = 10

	// answerMargin is kept free at the end of a request's time, so that its
	// answer reaches the caller.
	answerMargin = 15 * time.Millisecond

	// Callers of streams leave after minPatience, patienceAims times the aim or
	// patienceGaps times the longest pause, whichever is longest (protocol of
	// the platform).
	minPatience  = 2 * time.Second
	patienceAims = 4
	patienceGaps = 8

	// maxWhole is the largest answer that is held until it is whole; a larger
	// one is relayed as it comes.
	maxWhole = 1 << 20
)

type (
	// Relay takes requests to servers. Use New. It is safe for concurrent use.
	Relay struct {
		deps   Deps
		learnt *expect.Stats
	}

	// run is one request on its way.
	run struct {
		relay   *Relay
		req     *Request
		table   *route.Table
		route   *route.Route
		service string
		org     *declare.Organisation
		orgName string
		// priority is the organisation's rank, or -1 if the route's counts.
		priority int
		caller   Caller
		end      time.Time
		aim      time.Time
		// firstBy is when the caller of a stream leaves if no event has come.
		firstBy time.Time

		// sends counts what reached a server and may have run, unrun what
		// provably did not.
		sends, unrun int
		tried        []string
		stream       *stream
		// results are what the stages made for the request, inputs the handles
		// of those that an engine needs.
		results []held
		inputs  []string
		// remakes counts how often the stages were done again.
		remakes int
		attempt int
	}

	// held is results that have to be given up.
	held struct {
		service string
		handles []string
	}
)

var (
	errStalled  = errors.New("no event came for too long")
	errStopping = errors.New("the instance stops before the request's stages are done")
)

// New returns a relay.
func New(deps Deps) *Relay { return &Relay{deps: deps, learnt: expect.New()} }

// Serve takes a request to a server and gives the answer to the caller. An
// error is a *fault.Error or a *Refusal; if the answer has begun, the caller's
// connection has to be broken off.
func (r *Relay) Serve(ctx context.Context, req *Request, caller Caller) (begun bool, err error) {
	run, err := r.begin(req, caller)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithDeadline(ctx, run.end)
	defer cancel()
	defer run.freeAll()
	err = run.serve(ctx)
	begun = run.stream != nil && run.stream.begun
	run.log("end", outcomeName(err), "")
	return begun, err
}

func outcomeName(err error) string {
	if err == nil {
		return "answered"
	}
	return fault.From(err).Kind().String() + ": " + err.Error()
}

// begin matches a request to its route and organisation.
func (r *Relay) begin(req *Request, caller Caller) (*run, error) {
	table := r.deps.Table()
	if table == nil {
		return nil, r.refuse(fault.Errorf(fault.Draining, "the instance knows no configuration yet"), comeBack)
	}
	out := &run{relay: r, req: req, table: table, caller: caller}
	out.route = table.Match(req.Host, req.Path)
	if out.route == nil {
		return nil, r.deny(table, fault.NotFound, "no route of host %q begins path %q in version %d", req.Host, req.Path, table.Version())
	}
	org, ok := table.Authenticate(req.Key)
	if !ok && table.Keyed() && !out.route.Public {
		return nil, r.deny(table, fault.Unauthenticated, "the key belongs to no organisation in version %d", table.Version())
	}
	out.priority = -1
	if ok {
		out.orgName = org.Name
		if org.HasPriority {
			out.priority = org.Priority
		}
	}
	out.org = declare.NewOrganisation(out.orgName, 1)
	if len(req.Pieces) != 0 && len(req.Pieces) != len(out.route.Stages) {
		return nil, fault.Errorf(fault.BadRequest, "the request has pieces of %d stages and its route has %d stages", len(req.Pieces), len(out.route.Stages))
	}
	out.service = out.route.Choose(r.deps.Draw())
	out.end = req.Arrived.Add(out.wait() - answerMargin)
	out.firstBy = out.end
	if by := req.Arrived.Add(patience(out.route) - answerMargin); out.route.Repeat == route.Streaming && by.Before(out.end) {
		out.firstBy = by
	}
	if err := out.fitsStop(); err != nil {
		return nil, err
	}
	out.aim = req.Arrived.Add(out.route.Aim - r.learnt.TimeSpent(out.route.Name, req.Wait))
	out.log("route", "matched", "")
	return out, nil
}

// patience is how long the caller of a stream waits for its next event.
func patience(rt *route.Route) time.Duration {
	return max(minPatience, patienceAims*rt.Aim, patienceGaps*rt.GapAim)
}

// fitsStop refuses a request that a planned stop under way might cut off.
func (u *run) fitsStop() error {
	stop := u.relay.deps.Stop()
	now := u.now()
	if stop.End.IsZero() || now.Before(stop.Late) || u.end.Before(stop.End) {
		return nil
	}
	return u.relay.refuse(fault.Errorf(fault.Draining, "the instance stops in %v and the request may take %v", stop.End.Sub(now).Round(time.Millisecond), u.end.Sub(now).Round(time.Millisecond)), 0)
}

// deny returns the denial, or a refusal if the configuration may be out of date.
func (r *Relay) deny(table *route.Table, kind fault.Kind, format string, args ...any) error {
	if !r.deps.Fresh() {
		return r.refuse(fault.Errorf(fault.Draining, "the configuration of version %d was not confirmed of late", table.Version()), comeBack)
	}
	return fault.Errorf(kind, format, args...)
}

func (r *Relay) refuse(err *fault.Error, after time.Duration) error {
	return &Refusal{Fault: err.WithRan(fault.RanNo), RetryAfter: after}
}

func (u *run) wait() time.Duration {
	wait := u.req.Wait
	if t := u.route.Timeout; t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		wait = defaultWait
	}
	return wait
}

// worth returns what the request is worth to its caller against others, by its
// rank and its size: the configuration says no more.
func (u *run) worth() float64 {
	rank := u.route.Priority
	if u.priority >= 0 {
		rank = u.priority
	}
	size := float64(u.req.PromptTokens + outputWeight*u.req.OutputTokens)
	relative := u.relay.learnt.RelativeSize(u.route.Name, size)
	return (basePart + (1-basePart)*min(relative, maxRelative)) * math.Exp2(-float64(rank))
}

func (u *run) now() time.Time { return u.relay.deps.Clock.Now() }

func (u *run) left() time.Duration { return u.end.Sub(u.now()) }

func (u *run) log(step, outcome, server string) {
	u.relay.deps.Log(Decision{
		RequestID: u.req.ID, Step: step, Version: u.table.Version(), Route: u.route.Name, Service: u.service,
		Organisation: u.orgName, Server: server, Attempt: u.attempt, Outcome: outcome,
		Waited: u.now().Sub(u.req.Arrived), Left: u.left(),
	})
}

func (u *run) serve(ctx context.Context) error {
	svc, ok := u.table.Service(u.service)
	if !ok {
		return u.refused(fault.Errorf(fault.EndpointUnavailable, "service %q is not in version %d", u.service, u.table.Version()))
	}
	u.relay.deps.Count(u.service)
	if svc.Engine != nil {
		return u.serveEngine(ctx)
	}
	return u.servePlain(ctx)
}

// refused returns the refusal of a request of which nothing has run, and the
// error itself if something may have.
func (u *run) refused(err *fault.Error) error {
	if u.sends > 0 || u.stream != nil && u.stream.begun {
		return fault.Errorf(fault.EndpointFailed, "%w", err).WithRan(fault.RanUnknown)
	}
	after := min(max(comeBack, u.left()/8), max(0, u.left()/3))
	return &Refusal{Fault: err.WithRan(fault.RanNo), RetryAfter: after}
}

// ended returns the answer to a request whose time is up or whose caller left.
func (u *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Errorf(fault.Cancelled, "the caller left")
	}
	if u.sends > 0 {
		return fault.Errorf(fault.DeadlineExceeded, "the request's time is up")
	}
	return u.refused(fault.Errorf(fault.DeadlineTooShort, "the request's time is up before it ran"))
}

// mayRepeat reports whether another send is allowed after one that may have run.
func (u *run) mayRepeat() bool {
	return u.route.MayRepeat() && u.sends < u.route.MaxAttempts && u.left() > minLeft && u.relay.deps.Allow(u.service)
}

// mayTryAgain reports whether another send is allowed after one that provably
// did not run.
func (u *run) mayTryAgain(sent bool) bool {
	u.unrun++
	return u.unrun < maxUnrun && u.left() > minLeft && (!sent || u.relay.deps.Allow(u.service))
}

func (u *run) hold(service string, handles []string) {
	u.results = append(u.results, held{service: service, handles: handles})
}

// freeAll gives up all results that were made for the request.
func (u *run) freeAll() {
	for _, h := range u.results {
		u.relay.deps.Free(h.service, h.handles)
	}
	u.results = nil
}
