package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/gather"
)

const (
	// maxStageReruns is how often the stages of a request are run again because
	// their results are gone.
	maxStageReruns = 2

	// The first event of a stream that may run again is awaited for
	// firstEventTimeoutFactor times the target latency of its route, but at
	// least for minFirstEventTimeout.
	firstEventTimeoutFactor = 1.0
	minFirstEventTimeout    = 1500 * time.Millisecond
)

// serveEngine runs the stages of a request and sends it to a model engine.
func (e *execution) serveEngine(ctx context.Context) error {
	e.stream = &stream{w: e.w, lastEventID: e.req.LastEventID}
	for {
		if err := e.awaitReturn(ctx, e.relay.stats.FirstEventTime(e.now(), e.route.Name)); err != nil {
			return err
		}
		server, placed := e.place(ctx)
		if ctx.Err() != nil {
			if placed {
				e.settle(server, balance.Abandoned)
			}
			return e.contextError(ctx)
		}
		if !placed {
			return e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q: %w", e.service, errNoEngine))
		}
		if err := e.prepare(ctx, server.Zone); err != nil {
			e.settle(server, balance.Abandoned)
			if ctx.Err() != nil {
				return e.contextError(ctx)
			}
			if fault.From(err).Kind() == fault.InputGone && e.mayRerunStages() {
				continue
			}
			return e.refusal(fault.From(err))
		}
		// While the stages ran, the engine may have been removed, or have said that it
		// wants no requests.
		if _, callable := e.relay.deps.Servers().Callable(e.now(), server.ID); !callable {
			e.settle(server, balance.Abandoned)
			e.log("skip", "the engine takes no more requests", server.ID)
			continue
		}
		step, err := e.sendToEngine(ctx, server)
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
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(e.relay.deps.ShutdownCtx, func() { cancel(errShuttingDown) })()
	inputs, err := e.runStages(ctx, engineZone)
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return fault.Errorf(fault.Draining, "%w", errShuttingDown)
	}
	e.inputs = inputs
	return err
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

// place chooses an engine and reports whether there is one.
func (e *execution) place(ctx context.Context) (fleet.Server, bool) {
	q := engine.Query{
		RequestID: e.req.ID, Affinity: e.req.Affinity, Exclude: slices.Concat(e.triedServers, e.relay.deps.Servers().Unwilling(e.now(), e.service)),
		Weights: e.zoneWeights(), Expires: e.deadline, Repeatable: e.route.MayRunAgain(),
	}
	if q.Affinity == "" {
		q.Affinity = e.req.ID
	}
	for range 2 {
		id := e.relay.deps.Place(ctx, e.service, q)
		if id == "" {
			return fleet.Server{}, false
		}
		if s, ok := e.relay.deps.Servers().Callable(e.now(), id); ok {
			e.log("place", "placed", id)
			return s, true
		}
		// The instance that places requests does not know yet that the engine
		// was removed.
		e.relay.deps.Settle(e.service, e.req.ID, id, balance.Abandoned)
		q.Exclude = append(slices.Clone(q.Exclude), id)
	}
	return fleet.Server{}, false
}

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

func (e *execution) settle(server fleet.Server, outcome balance.Outcome) {
	e.relay.deps.Settle(e.service, e.req.ID, server.ID, outcome)
}

// sendToEngine makes one attempt at an engine.
func (e *execution) sendToEngine(ctx context.Context, server fleet.Server) (nextStep, error) {
	e.attempt++
	e.log("send", "engine", server.ID)
	attempt := e.newAttempt(server, e.inputs)
	attempt.LastEventID = e.stream.lastEventID
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	detector := e.newStallDetector(cancel)
	defer detector.stop()
	start := e.now()
	resp, err := e.relay.deps.Send(ctx, attempt)
	if err != nil {
		return e.handleEngineSendError(ctx, server, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.NotRun {
		return e.handleEngineNotRun(server, resp)
	}
	if resp.Status >= 300 {
		return e.handleEngineFailure(ctx, server, resp)
	}
	awaitingFirst := true
	lastEvent := e.now()
	if err := e.stream.start(resp); err != nil {
		return e.handleEngineSendError(ctx, server, err)
	}
	err = e.stream.relayEvents(resp.Body, func(events int) {
		// Bytes alone are no progress: a server may send some now and then and never
		// complete an event.
		if events == 0 {
			return
		}
		detector.reset()
		now := e.now()
		if awaitingFirst {
			awaitingFirst = false
			e.relay.stats.ObserveFirstEvent(now, e.route.Name, now.Sub(start))
			e.log("first event", "relayed", server.ID)
			e.freeHeld()
		} else {
			e.longestGap = max(e.longestGap, now.Sub(lastEvent))
		}
		lastEvent = now
	})
	if err != nil {
		return e.handleEngineSendError(ctx, server, err)
	}
	e.sends++
	e.settle(server, balance.Succeeded)
	return stepFinish, nil
}

// handleEngineNotRun decides what follows an attempt that the engine did not
// run.
func (e *execution) handleEngineNotRun(server fleet.Server, resp *Response) (nextStep, error) {
	outcome := balance.Abandoned
	if resp.Full {
		outcome = balance.Full
		e.triedServers = append(e.triedServers, server.ID)
	}
	e.settle(server, outcome)
	e.log("notRun", "the engine did not run the request", server.ID)
	if !e.mayResend(true) {
		return stepFinish, e.refusal(fault.Errorf(fault.EndpointUnavailable, "the engines of service %q accept no more requests", e.service))
	}
	if resp.InputGone {
		return stepRerunStages, nil
	}
	return stepRetry, nil
}

// handleEngineFailure relays the error response of an engine, or has the
// request retried at another one.
func (e *execution) handleEngineFailure(ctx context.Context, server fleet.Server, resp *Response) (nextStep, error) {
	body, err := readBody(resp)
	if err != nil {
		return e.handleEngineSendError(ctx, server, err)
	}
	e.sends++
	e.settle(server, balance.Failed)
	e.triedServers = append(e.triedServers, server.ID)
	if resp.Status >= 500 && e.mayRetry() {
		e.log("repeat", "the engine answered with an error", server.ID)
		return stepRetry, nil
	}
	if e.stream.started {
		return stepFinish, fault.Errorf(fault.AnswerIncomplete, "engine %s failed with status %d after the stream had started", server.ID, resp.Status)
	}
	e.w.Respond(resp.Status, resp.Header, body)
	return stepFinish, nil
}

// handleEngineSendError decides what follows a send without a complete
// response.
func (e *execution) handleEngineSendError(ctx context.Context, server fleet.Server, err error) (nextStep, error) {
	var writeErr *callerWriteError
	stalled := errors.Is(context.Cause(ctx), errStalled)
	outcome := balance.Failed
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.NotSent {
		outcome = balance.Unreachable
	}
	if errors.As(err, &writeErr) || ctx.Err() != nil && !stalled {
		outcome = balance.Abandoned
	}
	e.settle(server, outcome)
	e.triedServers = append(e.triedServers, server.ID)
	if errors.As(err, &writeErr) {
		return stepFinish, fault.Errorf(fault.Cancelled, "%w", err)
	}
	if stalled {
		err = errStalled
		ctx = context.Background()
	}
	retry, finalErr := e.handleSendError(ctx, err)
	if retry {
		return stepRetry, nil
	}
	if e.stream.started {
		finalErr = fault.Errorf(fault.AnswerIncomplete, "the stream broke after event %q: %w", e.stream.lastEventID, err)
	}
	return stepFinish, finalErr
}
