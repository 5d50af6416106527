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
	// maxRemakes is how often the stages of a request are done again because
	// their results are gone.
	maxRemakes = 2

	// firstSilence bounds the time to the first event of a stream that may run
	// again, as a multiple of the route's aim.
	firstSilence = 1.0
	minFirst     = 1500 * time.Millisecond
)

// serveEngine does the stages of a request and sends it to a model engine.
func (u *run) serveEngine(ctx context.Context) error {
	u.stream = &stream{caller: u.caller, last: u.req.LastEvent}
	for {
		server, ok := u.place(ctx)
		if ctx.Err() != nil {
			if ok {
				u.settle(server, balance.Abandoned)
			}
			return u.ended(ctx)
		}
		if !ok {
			return u.refused(fault.Errorf(fault.EndpointUnavailable, "no engine of service %q is free", u.service))
		}
		if err := u.prepare(ctx, server.Zone); err != nil {
			u.settle(server, balance.Abandoned)
			if ctx.Err() != nil {
				return u.ended(ctx)
			}
			if fault.From(err).Kind() == fault.InputGone && u.mayRemake() {
				continue
			}
			return u.refused(fault.From(err))
		}
		// The engine may have left while the stages were done.
		if _, still := u.relay.deps.Servers().Server(server.ID); !still {
			u.settle(server, balance.Abandoned)
			continue
		}
		next, err := u.sendEngine(ctx, server)
		if next == finish {
			return err
		}
		if next == remake && !u.mayRemake() {
			return u.refused(fault.Errorf(fault.InputGone, "results of the request's stages went %d times", u.remakes))
		}
	}
}

// prepare does the stages, unless their results are still held.
func (u *run) prepare(ctx context.Context, zone string) error {
	if len(u.results) > 0 {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(u.relay.deps.Stopping, func() { cancel(errStopping) })()
	inputs, err := u.doStages(ctx, zone)
	if errors.Is(context.Cause(ctx), errStopping) {
		return fault.Errorf(fault.Draining, "%w", errStopping)
	}
	u.inputs = inputs
	return err
}

// mayRemake reports whether the stages may be done again, and gives up what is
// left of their results.
func (u *run) mayRemake() bool {
	u.freeAll()
	u.remakes++
	return u.remakes <= maxRemakes
}

// next says what follows an attempt at an engine.
type next uint8

const (
	finish next = iota
	again
	remake
)

// place chooses an engine.
func (u *run) place(ctx context.Context) (fleet.Server, bool) {
	q := engine.Query{
		Request: u.req.ID, Affinity: u.req.Affinity, Exclude: u.tried,
		Weights: u.zoneWeights(), Expires: u.end,
	}
	if q.Affinity == "" {
		q.Affinity = u.req.ID
	}
	for range 2 {
		id := u.relay.deps.Place(ctx, u.service, q)
		if id == "" {
			return fleet.Server{}, false
		}
		if s, ok := u.relay.deps.Servers().Server(id); ok {
			u.log("place", "placed", id)
			return s, true
		}
		// The owner has not heard yet that the engine left.
		u.relay.deps.Settle(u.service, u.req.ID, id, balance.Abandoned)
		q.Exclude = append(slices.Clone(q.Exclude), id)
	}
	return fleet.Server{}, false
}

// zoneWeights returns the capacity of the zones for the request's bulky stage.
func (u *run) zoneWeights() map[string]float64 {
	largest := -1
	for i, s := range u.route.Stages {
		if i < len(u.req.Pieces) && u.req.Pieces[i] > 0 && (largest < 0 || s.Bytes > u.route.Stages[largest].Bytes) {
			largest = i
		}
	}
	if largest < 0 || u.route.Stages[largest].Bytes < gather.BulkBytes {
		return nil
	}
	snapshot := u.relay.deps.Servers()
	stages, engines := make(map[string]float64), make(map[string]float64)
	for _, s := range snapshot.Service(u.route.Stages[largest].Service) {
		stages[s.Zone]++
	}
	for _, s := range snapshot.Service(u.service) {
		engines[s.Zone]++
	}
	for zone, n := range engines {
		stages[zone] /= n
	}
	return stages
}

func (u *run) settle(server fleet.Server, outcome balance.Outcome) {
	u.relay.deps.Settle(u.service, u.req.ID, server.ID, outcome)
}

// sendEngine makes one attempt at an engine.
func (u *run) sendEngine(ctx context.Context, server fleet.Server) (next, error) {
	u.attempt++
	u.log("send", "engine", server.ID)
	a := u.toServer(server, u.inputs)
	a.LastEvent = u.stream.last
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := u.watchSilence(cancel)
	defer watch.stop()
	began := u.now()
	reply, err := u.relay.deps.Send(ctx, a)
	if err != nil {
		return u.engineError(ctx, server, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return u.engineNotRun(server, reply)
	}
	if reply.Status >= 300 {
		return u.engineFailed(ctx, server, reply)
	}
	first := true
	u.stream.begin(reply.Status, reply.Header)
	err = u.stream.pump(reply.Body, func(events int) {
		watch.seen()
		if events > 0 && first {
			first = false
			u.relay.learnt.ObserveFirstEvent(u.now(), u.route.Name, u.now().Sub(began))
			u.freeAll()
		}
	})
	if err != nil {
		return u.engineError(ctx, server, err)
	}
	u.sends++
	u.settle(server, balance.Succeeded)
	return finish, nil
}

func (u *run) engineNotRun(server fleet.Server, reply *Reply) (next, error) {
	outcome := balance.Abandoned
	if reply.Full {
		outcome = balance.Full
		u.tried = append(u.tried, server.ID)
	}
	u.settle(server, outcome)
	u.log("notRun", "the engine did not run it", server.ID)
	if !u.mayTryAgain(true) {
		return finish, u.refused(fault.Errorf(fault.EndpointUnavailable, "the engines of service %q take no more", u.service))
	}
	if reply.InputGone {
		return remake, nil
	}
	return again, nil
}

// engineFailed relays a server's own failure, or tries again elsewhere.
func (u *run) engineFailed(ctx context.Context, server fleet.Server, reply *Reply) (next, error) {
	body, err := readWhole(reply)
	if err != nil {
		return u.engineError(ctx, server, err)
	}
	u.sends++
	u.settle(server, balance.Failed)
	u.tried = append(u.tried, server.ID)
	if reply.Status >= 500 && u.mayRepeat() {
		u.log("repeat", "the engine failed", server.ID)
		return again, nil
	}
	if u.stream.begun {
		return finish, fault.Errorf(fault.AnswerIncomplete, "engine %s failed with status %d after the stream had begun", server.ID, reply.Status)
	}
	u.caller.Answer(reply.Status, reply.Header, body)
	return finish, nil
}

// engineError decides after a send without a whole answer.
func (u *run) engineError(ctx context.Context, server fleet.Server, err error) (next, error) {
	var caller *callerError
	stalled := errors.Is(context.Cause(ctx), errStalled)
	outcome := balance.Failed
	if errors.As(err, &caller) || ctx.Err() != nil && !stalled {
		outcome = balance.Abandoned
	}
	u.settle(server, outcome)
	u.tried = append(u.tried, server.ID)
	if errors.As(err, &caller) {
		return finish, fault.Errorf(fault.Cancelled, "%w", err)
	}
	if stalled {
		err = errStalled
		ctx = context.Background()
	}
	more, final := u.afterError(ctx, err)
	if more {
		return again, nil
	}
	if u.stream.begun {
		final = fault.Errorf(fault.AnswerIncomplete, "the stream broke after event %q: %w", u.stream.last, err)
	}
	return finish, final
}
