package relay

import (
	"context"
	"errors"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/gather"
	"chervilpath/core/memory"
)

const (
	// maxStageReruns is how often the stages of a request are run again because
	// their results are gone.
	maxStageReruns = 2
)

// serveEngine runs the stages of a request and sends it to a model engine.
func (e *execution) serveEngine(ctx context.Context) error {
	e.stream = &stream{w: e.w, lastEventID: e.req.LastEventID}
	e.beginTrial()
	for {
		if err := e.checkQuarantine(); err != nil {
			return err
		}
		p, err := e.nextPlacement(ctx)
		if err != nil {
			return err
		}
		if err := e.prepare(ctx, p.server.Zone); err != nil {
			e.settle(p, balance.Abandoned)
			if ctx.Err() != nil {
				return e.contextError(ctx)
			}
			if fault.From(err).Kind() == fault.InputGone && e.mayRerunStages() || e.pauseBeforeResuming(ctx) {
				continue
			}
			if ctx.Err() != nil {
				return e.contextError(ctx)
			}
			return e.refusal(fault.From(err))
		}
		// While the stages ran, the engine may have been removed, or have said that it
		// wants no requests.
		current, callable := e.relay.deps.Servers().Callable(e.now(), p.server.ID)
		if !callable {
			e.settle(p, balance.Abandoned)
			e.log("skip", "the engine takes no more requests", p.server.ID)
			continue
		}
		if e.mustNotSend() {
			e.settle(p, balance.Abandoned)
			return e.shutdownError()
		}
		if err := e.checkQuarantine(); err != nil {
			e.settle(p, balance.Abandoned)
			return err
		}
		if !e.admit(ctx, current) {
			if ok, err := e.goToAnotherEngine(ctx, p); !ok {
				return err
			}
			continue
		}
		step, err := e.sendToEngine(ctx, p)
		if step == stepFinish {
			return err
		}
		if step == stepRerunStages && !e.mayRerunStages() {
			return e.refusal(fault.Errorf(fault.InputGone, "results of the request's stages were lost %d times", e.stageReruns))
		}
	}
}

// prepare runs the stages, unless their results are still held.
func (e *execution) prepare(ctx context.Context, engineZone string) error {
	if len(e.held) > 0 {
		return nil
	}
	results, err := e.runStages(ctx, engineZone, e.nextEventDeadline())
	if err != nil {
		return err
	}
	e.useResults(results)
	return nil
}

// useResults replaces the results that are held for the request.
func (e *execution) useResults(results stageResults) {
	e.freeHeld()
	e.inputs, e.held = results.inputs, results.held
}

// mayRerunStages reports whether the stages may be run again, and releases what
// is left of their results.
func (e *execution) mayRerunStages() bool {
	e.freeHeld()
	e.stageReruns++
	return e.stageReruns <= maxStageReruns
}

// nextStep says what follows an attempt at an engine.
type nextStep uint8

const (
	stepFinish nextStep = iota
	stepRetry
	stepRerunStages
)

// zoneWeights returns a weight for each zone: the number of servers there that
// run the stage with the largest results, divided by the number of engines there.
// It returns nil if these results are too small for the zone to matter.
func (e *execution) zoneWeights() map[string]float64 {
	largest := -1
	for i, s := range e.route.Stages {
		if i < len(e.req.Pieces) && e.req.Pieces[i] > 0 && (largest < 0 || s.ResultBytes > e.route.Stages[largest].ResultBytes) {
			largest = i
		}
	}
	if largest < 0 || e.route.Stages[largest].ResultBytes < gather.MinLocalityBytes {
		return nil
	}
	snapshot := e.relay.deps.Servers()
	weights, engines := make(map[string]float64), make(map[string]float64)
	for _, s := range snapshot.Service(e.route.Stages[largest].Service) {
		weights[s.Zone]++
	}
	for _, s := range snapshot.Service(e.service) {
		engines[s.Zone]++
	}
	for zone, n := range engines {
		weights[zone] /= n
	}
	return weights
}

// sendToEngine makes one attempt at an engine.
func (e *execution) sendToEngine(ctx context.Context, p placement) (nextStep, error) {
	e.attempt++
	e.log("send", "engine", p.server.ID)
	attempt := e.newAttempt(p.server, e.inputs)
	attempt.LastEventID = e.stream.lastEventID
	attemptCtx, cancel := context.WithCancelCause(e.callerCtx)
	defer cancel(nil)
	watch := e.watchSilence(p, cancel)
	started := e.stream.started
	defer context.AfterFunc(ctx, func() {
		// A stream that has begun needs no time for another response: it may go on until
		// its caller's deadline.
		if started || watch.anyEvent() {
			e.relay.deps.Clock.AfterFunc(responseMargin, func() { cancel(context.Cause(ctx)) })
			return
		}
		cancel(context.Cause(ctx))
	})()
	step, err := e.relayAttempt(ctx, attemptCtx, p, attempt, watch)
	if next := watch.end(); next != nil {
		// The attempt ended by itself at the moment at which it was to be replaced.
		e.discard(next)
	}
	return step, err
}

// relayAttempt sends an attempt and relays the response. The attempt may be cancelled by
// its watch, and ctx only if the request ends.
func (e *execution) relayAttempt(ctx, attemptCtx context.Context, p placement, attempt Attempt, watch *silenceWatch) (nextStep, error) {
	start := e.now()
	ev := e.newEvidence(p.server)
	e.begun = false
	e.stream.reserve = func(n int64) (memory.Reservation, error) { return e.relay.deps.Answers.Reserve(attemptCtx, n) }
	watch.wait()
	resp, err := e.relay.deps.Send(attemptCtx, attempt)
	watch.pause()
	e.begun = err == nil && !resp.NotRun
	ev.answered(err == nil, e.begun)
	if err != nil {
		return e.handleEngineSendError(ctx, p, watch, ev, err)
	}
	defer func() { _ = resp.Body.Close() }()
	resp.Body = silentReader{resp.Body, watch}
	if resp.NotRun {
		return e.handleEngineNotRun(ctx, p, resp)
	}
	if resp.Status >= 300 {
		return e.handleEngineFailure(ctx, p, watch, ev, resp)
	}
	if err := e.stream.begin(resp); err != nil {
		return e.handleEngineSendError(ctx, p, watch, ev, err)
	}
	awaitingFirst := true
	var pace attemptPace
	err = e.stream.relayEvents(resp.Body, resp.EventStream && resp.EndsWithConnection, func(events int) {
		// Bytes alone are no progress: a server may send some now and then and never
		// complete an event.
		if events == 0 {
			return
		}
		watch.progress()
		ev.progress(events)
		now := e.now()
		pace.add(now, events)
		if awaitingFirst {
			awaitingFirst = false
			e.relay.stats.ObserveFirstEvent(now, e.route.Name, now.Sub(start))
			e.observe(engine.Observation{RequestID: p.id, Server: p.server.ID, FirstEvent: now.Sub(start)})
			e.log("first event", "relayed", p.server.ID)
			e.freeHeld()
		} else {
			e.longestGap = max(e.longestGap, now.Sub(e.lastEvent))
		}
		e.lastEvent = now
	})
	if interval, events := pace.interval(); events >= engine.MinEvents {
		e.observe(engine.Observation{RequestID: p.id, Server: p.server.ID, Interval: interval, Events: events})
	}
	if err != nil {
		return e.handleEngineSendError(ctx, p, watch, ev, err)
	}
	e.sends++
	ev.complete(resp.EndsWithConnection)
	e.settle(p, balance.Succeeded)
	return stepFinish, nil
}

// attemptPace is how fast the events of an attempt come.
type attemptPace struct {
	first, last time.Time
	// later is the number of events that came after those of the first read.
	later int
}

func (a *attemptPace) add(now time.Time, events int) {
	if a.first.IsZero() {
		a.first = now
	} else {
		a.later += events
	}
	a.last = now
}

// interval returns the mean time between two events, and the number of times that it is the
// mean of.
func (a *attemptPace) interval() (time.Duration, int) {
	if a.later == 0 {
		return 0, 0
	}
	return a.last.Sub(a.first) / time.Duration(a.later), a.later
}

// handleEngineNotRun decides what follows an attempt that the engine did not
// run.
func (e *execution) handleEngineNotRun(ctx context.Context, p placement, resp *Response) (nextStep, error) {
	outcome := balance.Abandoned
	if resp.Full {
		outcome = balance.Full
	}
	if resp.Full || e.mustGoOn() && !resp.InputGone {
		e.triedServers = append(e.triedServers, p.server.ID)
	}
	e.settle(p, outcome)
	e.log("notRun", "the engine did not run the request", p.server.ID)
	if !e.mayResend(true) && !(e.mustGoOn() && e.mayResume(ctx, true)) {
		return stepFinish, e.refusal(fault.Errorf(fault.EndpointUnavailable, "the engines of service %q accept no more requests", e.service))
	}
	if resp.InputGone {
		return stepRerunStages, nil
	}
	return stepRetry, nil
}

// handleEngineFailure relays the error response of an engine, or has the
// request retried at another one.
func (e *execution) handleEngineFailure(ctx context.Context, p placement, watch *silenceWatch, ev *evidence, resp *Response) (nextStep, error) {
	body, reserved, err := e.readBody(ctx, resp)
	defer reserved.Release()
	if err != nil {
		return e.handleEngineSendError(ctx, p, watch, ev, err)
	}
	e.sends++
	e.settle(p, balance.Failed)
	e.triedServers = append(e.triedServers, p.server.ID)
	if resp.Status >= 500 && (e.mayRetry() || e.stream.started && e.mayResume(ctx, true)) {
		e.log("repeat", "the engine answered with an error", p.server.ID)
		return stepRetry, nil
	}
	if e.stream.started {
		return stepFinish, fault.Errorf(fault.AnswerIncomplete, "engine %s failed with status %d after the stream had started", p.server.ID, resp.Status)
	}
	return stepFinish, e.respond(p.server.ID, resp, body)
}

// handleEngineSendError decides what follows a send without a complete
// response.
func (e *execution) handleEngineSendError(ctx context.Context, p placement, watch *silenceWatch, ev *evidence, err error) (nextStep, error) {
	next := watch.end()
	// A server that has not broken off must not go on with an answer that nobody reads.
	watch.cancel()
	e.triedServers = append(e.triedServers, p.server.ID)
	if next != nil {
		e.sends++
		e.settle(p, balance.Abandoned)
		e.log("silent", "the stream goes on at another engine", p.server.ID)
		e.next, e.replaced = next, true
		return stepRetry, nil
	}
	var writeErr *callerWriteError
	var sendErr *SendError
	notSent := errors.As(err, &sendErr) && sendErr.NotSent
	outcome := balance.Failed
	switch {
	case errors.As(err, &writeErr) || ctx.Err() != nil:
		outcome = balance.Abandoned
	case notSent:
		outcome = balance.Unreachable
	}
	e.settle(p, outcome)
	if outcome == balance.Failed {
		ev.broke()
	}
	if errors.As(err, &writeErr) {
		return stepFinish, fault.Errorf(fault.Cancelled, "%w", err)
	}
	if !e.stream.started {
		retry, finalErr := e.handleSendError(ctx, p.server.ID, err)
		if retry {
			return stepRetry, nil
		}
		return stepFinish, finalErr
	}
	if notSent {
		e.notRun++
	} else {
		e.sends++
	}
	e.logBroken(err, p.server.ID)
	if ctx.Err() == nil && e.mayResume(ctx, !notSent) {
		return stepRetry, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return stepFinish, fault.Errorf(fault.AnswerIncomplete, "the stream broke after event %q: %w", e.stream.lastEventID, err)
}
