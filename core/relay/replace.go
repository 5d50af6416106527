package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/overload"
)

type (
	// nextAttempt is an attempt that is ready to follow the one in progress.
	nextAttempt struct {
		placement placement
		// results are those of the stages, if they had to run again.
		results stageResults
		rerun   bool
	}

	// replacement prepares the attempt that may follow one whose server is silent. It is
	// used while that one is in progress, from another goroutine, so it holds what it
	// needs of the request's state, and uses nothing of the execution that changes.
	replacement struct {
		exec *execution
		// current is the placement of the attempt in progress, and id names the next one.
		current placement
		id      string
		exclude []string
		// demand is that of the request, which does not wait for room: an attempt is in progress.
		demand overload.Demand
		// resultsHeld is set if the results of the stages are held until the first event.
		resultsHeld bool
		// started is set if the stream had begun before the attempt in progress, with its
		// last event at lastEvent.
		started   bool
		lastEvent time.Time
		// reserved is set once a retry has been taken from the budget.
		reserved bool
		decision Decision
	}
)

var errNoRetryBudget = errors.New("the retry budget is used up")

// watchSilence returns the watch of an attempt, which cancels the attempt once another
// one is ready to follow it.
func (e *execution) watchSilence(p placement, cancel context.CancelCauseFunc) *silenceWatch {
	now := e.now()
	w := &silenceWatch{
		clock:         e.relay.deps.Clock,
		limits:        limitsBeforeFirstEvent(e.route.TargetLatency, e.relay.stats.FirstEventTime(now, e.route.Name), e.firstEventDeadline.Sub(now)),
		betweenEvents: limitsBetweenEvents(e.route.TargetGap, eventTimeout(e.route)),
		discard:       e.discard, cancel: func() { cancel(errStalled) },
	}
	if e.stream.started {
		w.limits = w.betweenEvents
	}
	if !e.route.MayRunAgain() || e.sends+1 >= e.route.MaxAttempts {
		w.ended = true
		return w
	}
	r := &replacement{
		exec: e, current: p, id: e.newPlacementID(), exclude: append(slices.Clone(e.triedServers), p.server.ID), resultsHeld: len(e.held) > 0, demand: e.demand(),
		started: e.stream.started, lastEvent: e.lastEvent, decision: e.decision("silence", "", p.server.ID, 0),
	}
	w.suspect, w.prepare, w.commit = r.suspect, r.prepare, r.commit
	return w
}

// suspect reports the server of the attempt in progress.
func (r *replacement) suspect(silent time.Duration) {
	r.log("no event for " + silent.Round(time.Millisecond).String())
	r.exec.relay.deps.Suspect(r.exec.service, r.current.id, r.current.server.ID)
}

// prepare places another attempt and, if a retry can be reserved, runs the stages again if
// their results are no longer held. anyEvent is set if the attempt in progress has
// completed an event.
func (r *replacement) prepare(ctx context.Context, anyEvent bool, silent time.Duration) (*nextAttempt, bool) {
	next, err := r.prepareAttempt(ctx, r.resultsHeld && !anyEvent, r.deadline(anyEvent, silent))
	if err != nil {
		r.log("goes on waiting: " + err.Error())
	}
	return next, err == nil
}

func (r *replacement) prepareAttempt(ctx context.Context, resultsHeld bool, deadline time.Time) (*nextAttempt, error) {
	if r.exec.isSuspected() {
		return nil, errSuspected
	}
	p, ok, _ := r.exec.place(ctx, r.id, slices.Concat(r.exclude, r.exec.coldServers()), r.demand)
	if !ok {
		return nil, errNoEngine
	}
	next := &nextAttempt{placement: p}
	if resultsHeld || r.exec.pieces() == 0 {
		return next, nil
	}
	if !r.reserveRetry() {
		r.exec.settle(p, balance.Abandoned)
		return nil, errNoRetryBudget
	}
	results, err := r.exec.runStages(ctx, p.server.Zone, deadline)
	if err != nil {
		r.exec.settle(p, balance.Abandoned)
		return nil, fmt.Errorf("running the stages again: %w", err)
	}
	next.results, next.rerun = results, true
	return next, nil
}

// deadline returns when the caller gives up if no event comes.
func (r *replacement) deadline(anyEvent bool, silent time.Duration) time.Time {
	switch {
	case anyEvent:
		return r.exec.now().Add(eventTimeout(r.exec.route) - silent)
	case r.started:
		return r.lastEvent.Add(eventTimeout(r.exec.route))
	}
	return r.exec.firstEventDeadline
}

// commit reports whether the next attempt may be made now.
func (r *replacement) commit() bool {
	if r.exec.relay.deps.ShutdownCtx.Err() != nil || r.exec.remaining() <= minRemaining {
		return false
	}
	if r.exec.isSuspected() {
		r.log("goes on waiting: " + errSuspected.Error())
		return false
	}
	if !r.reserveRetry() {
		r.log("goes on waiting: " + errNoRetryBudget.Error())
		return false
	}
	return true
}

// reserveRetry takes a retry from the budget, unless that has been done.
func (r *replacement) reserveRetry() bool {
	r.reserved = r.reserved || r.exec.relay.deps.AllowRetry(r.exec.service)
	return r.reserved
}

func (r *replacement) log(outcome string) {
	now := r.exec.now()
	d := r.decision
	d.Outcome, d.Elapsed, d.Remaining = outcome, now.Sub(r.exec.req.Arrived), r.exec.deadline.Sub(now)
	r.exec.relay.deps.Log(d)
}

// discard gives up an attempt that was ready.
func (e *execution) discard(next *nextAttempt) {
	e.settle(next.placement, balance.Abandoned)
	e.freeResults(next.results.held)
}
