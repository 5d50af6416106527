package relay

import (
	"context"
	"slices"
	"strconv"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/overload"
)

// placement is an engine that was chosen for an attempt. Its ID names it to the instance
// that places requests.
type placement struct {
	id     string
	server fleet.Server
}

// newPlacementID returns the ID of the next placement. Two placements of a request exist
// at a time while an attempt is prepared that may follow the one in progress.
func (e *execution) newPlacementID() string {
	e.placements++
	if e.placements == 1 {
		return e.req.ID
	}
	return e.req.ID + "/" + strconv.Itoa(e.placements)
}

// nextPlacement returns the engine for the next attempt. For a stream that must go on it
// waits until there is one, as long as the caller may still wait for the next event.
func (e *execution) nextPlacement(ctx context.Context) (placement, error) {
	if e.next != nil {
		next := e.next
		e.next = nil
		if next.rerun {
			e.useResults(next.results)
		}
		return next.placement, nil
	}
	if err := e.awaitReturn(ctx, e.relay.stats.FirstEventTime(e.now(), e.route.Name)); err != nil {
		return placement{}, err
	}
	for {
		d := e.demand()
		if !e.mustGoOn() && e.trial == "" {
			// A stream that must go on asks again and again itself.
			d.Wait = max(0, e.nextEventDeadline().Add(-e.relay.stats.FirstEventTime(e.now(), e.route.Name)).Sub(e.now()))
		}
		p, ok, refused := e.place(ctx, e.newPlacementID(), e.triedServers, d)
		if !ok && e.mustGoOn() {
			// Any other one is better than none.
			p, ok, refused = e.place(ctx, e.newPlacementID(), e.triedServers[len(e.triedServers)-1:], d)
		}
		if ctx.Err() != nil {
			if ok {
				e.settle(p, balance.Abandoned)
			}
			return placement{}, e.contextError(ctx)
		}
		if ok {
			e.log("place", "placed", p.server.ID)
			return p, nil
		}
		if e.trial != "" {
			return placement{}, e.quarantineError(e.trial, 0)
		}
		if !e.pauseBeforeResuming(ctx) {
			if ctx.Err() != nil {
				return placement{}, e.contextError(ctx)
			}
			if refused != nil {
				return placement{}, e.refusal(fault.From(refused))
			}
			return placement{}, e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q: %w", e.service, errNoEngine))
		}
	}
}

// place chooses an engine that is not excluded and reports whether there is one. An error is
// the reason why whoever places requests refused this one. It may be called while an attempt
// is in progress.
func (e *execution) place(ctx context.Context, id string, exclude []string, d overload.Demand) (placement, bool, error) {
	q := engine.Query{
		RequestID: id, Affinity: e.req.Affinity, Exclude: slices.Concat(exclude, e.relay.deps.Servers().Unwilling(e.now(), e.service)),
		Weights: e.zoneWeights(), Expires: e.deadline, Repeatable: e.route.MayRunAgain(), Trial: e.trial,
		Parts: e.req.Parts, PromptTokens: e.req.PromptTokens, OutputTokens: e.req.ExpectedTokens, Demand: d,
	}
	if q.Affinity == "" {
		q.Affinity = e.req.ID
	}
	for range 2 {
		server, err := e.relay.deps.Place(ctx, e.service, q)
		if err != nil || server == "" {
			return placement{}, false, err
		}
		if s, ok := e.relay.deps.Servers().Callable(e.now(), server); ok {
			return placement{id: id, server: s}, true, nil
		}
		// The instance that places requests does not know yet that the engine
		// was removed.
		e.relay.deps.Settle(e.service, id, server, balance.Abandoned)
		q.Exclude = append(slices.Clone(q.Exclude), server)
	}
	return placement{}, false, nil
}

func (e *execution) observe(o engine.Observation) {
	if e.relay.deps.Observe != nil {
		e.relay.deps.Observe(e.service, o)
	}
}

func (e *execution) settle(p placement, outcome balance.Outcome) {
	e.relay.deps.Settle(e.service, p.id, p.server.ID, outcome)
}

// mustGoOn reports whether the caller would lose an answer that was on its way: its stream
// has begun, or a server that may have been sound was given up.
func (e *execution) mustGoOn() bool { return e.stream.started || e.replaced }

// mayResume reports whether a stream that must go on may do so at another engine. It waits for the retry budget as long as the caller may still wait for the next
// event. sent is set if the engine may have run the request.
func (e *execution) mayResume(ctx context.Context, sent bool) bool {
	if sent && e.isSuspected() {
		e.log("noRetry", reasonSuspected, "")
		return false
	}
	for e.route.MayRunAgain() && e.sends < e.route.MaxAttempts && e.remaining() > minRemaining {
		if !sent && e.notRun < maxNotRun || sent && e.relay.deps.AllowRetry(e.service) {
			return true
		}
		if !e.pauseBeforeResuming(ctx) {
			return false
		}
		e.notRun = 0
	}
	return false
}

// pauseBeforeResuming waits before the next try to go on with a stream. It reports false if
// the stream need not go on, or its caller does not wait long enough.
func (e *execution) pauseBeforeResuming(ctx context.Context) bool {
	if !e.mustGoOn() || e.now().Add(replaceInterval).After(e.resumeDeadline()) {
		return false
	}
	return e.sleep(ctx, replaceInterval) == nil
}

// nextEventDeadline returns when an attempt that follows has to have its first event.
func (e *execution) nextEventDeadline() time.Time {
	if e.stream != nil && e.stream.started {
		return e.resumeDeadline()
	}
	return e.firstEventDeadline
}

// resumeDeadline returns when a stream that must go on has to do so at the latest.
func (e *execution) resumeDeadline() time.Time {
	if !e.stream.started {
		return e.firstEventDeadline.Add(-e.relay.stats.FirstEventTime(e.now(), e.route.Name))
	}
	at := e.lastEvent.Add(resumeBy(eventTimeout(e.route)))
	if latest := e.deadline.Add(-minRemaining); latest.Before(at) {
		return latest
	}
	return at
}
