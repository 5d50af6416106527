package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/memory"
	"chervilpath/core/slot"
	"chervilpath/core/stage"
)

// servePlain sends a request to a server of a plain service, one without
// engines.
func (e *execution) servePlain(ctx context.Context) error {
	s := e.relay.deps.PlainStage(e.service)
	if s == nil {
		return e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q has no servers", e.service))
	}
	for {
		if ctx.Err() != nil {
			return e.contextError(ctx)
		}
		if err := e.awaitReturn(ctx, minRemaining); err != nil {
			return err
		}
		granted, err := e.acquireSlot(ctx, s)
		if err != nil {
			if ctx.Err() != nil {
				return e.contextError(ctx)
			}
			return e.refusal(fault.From(err))
		}
		if e.mustNotSend() {
			granted.End(balance.Abandoned, 0)
			return e.shutdownError()
		}
		server, ok := e.relay.deps.Servers().Callable(e.now(), granted.Server)
		if !ok {
			granted.End(balance.Abandoned, 0)
			e.log("skip", "the server takes no more requests", granted.Server)
			// The stage may learn of this a moment later.
			e.unreachable = append(e.unreachable, granted.Server)
			if e.mayResend(false) {
				continue
			}
			return e.refusal(fault.Errorf(fault.EndpointUnavailable, "server %s takes no more requests", granted.Server))
		}
		if !e.admit(ctx, server) {
			if ok, err := e.goElsewhere(ctx, s, granted); !ok {
				return err
			}
			continue
		}
		retry, err := e.sendToPlain(ctx, s, granted, server)
		if !retry {
			return err
		}
	}
}

// plainSlot is a slot for one attempt, with the reason for the choice of its server.
type plainSlot struct {
	Slot
	reason string
	// slowness and pace are those of a grant of the instance's own stage.
	slowness, pace float64
}

// acquireSlot waits for a slot that the owner of the service gives or, without an owner that
// answers, the instance's own stage.
func (e *execution) acquireSlot(ctx context.Context, s *stage.Stage) (plainSlot, error) {
	if e.relay.deps.AcquireSlot != nil {
		granted, ok, err := e.relay.deps.AcquireSlot(ctx, slot.Query{
			Service: e.service, RequestID: e.newPlacementID(), Exclude: slices.Concat(e.triedServers, e.unreachable), Repeatable: e.route.MayRunAgain(),
			Deadline: e.deadline.Add(-minRemaining), Demand: e.demand(),
		})
		if ok || err != nil {
			return plainSlot{Slot: granted, reason: "owner"}, err
		}
	}
	grant, err := e.acquire(ctx, s)
	if err != nil {
		return plainSlot{}, err
	}
	end := func(outcome balance.Outcome, _ time.Duration) {
		if outcome == balance.Succeeded {
			s.Finish(e.org, grant, 1, 1, 1)
			return
		}
		s.Release(grant, outcome)
	}
	return plainSlot{Slot: Slot{Server: grant.Endpoint.Name(), End: end}, reason: grant.Reason.String(), slowness: grant.Slowness, pace: grant.Pace}, nil
}

// acquire waits until the stage grants a server. The first attempt fails at once
// if the expected wait is too long for the deadline. A retry goes to a server
// that was not tried before if one is free at once, and to one that could not be reached
// only if no other may serve it.
func (e *execution) acquire(ctx context.Context, s *stage.Stage) (stage.Grant, error) {
	now := e.now()
	if e.attempt == 0 {
		wait, _, _, err := s.Forecast(now, e.org, 1, 0)
		if err != nil {
			return stage.Grant{}, err
		}
		if now.Add(wait + minRemaining).After(e.deadline) {
			return stage.Grant{}, fault.Errorf(fault.Overloaded, "the expected wait is %v and %v remain until the deadline", wait, e.remaining())
		}
	}
	req := stage.CallRequest{
		Organisation: e.org, Priority: declare.Normal, Cost: 1, Deadline: e.deadline, Need: minRemaining, Arrived: now,
		Query: balance.Query{Exclude: s.EndpointIndexes(e.triedServers), NoProbe: !e.route.MayRunAgain()},
	}
	if len(e.triedServers) > 0 {
		if grant, ok := s.TryAcquire(req); ok {
			return grant, nil
		}
		req.Query.Exclude = nil
	}
	req.Unreachable = e.unreachable
	return s.Acquire(ctx, req)
}

// sendToPlain makes one attempt and reports whether to make another one.
func (e *execution) sendToPlain(ctx context.Context, s *stage.Stage, granted plainSlot, server fleet.Server) (retry bool, err error) {
	e.attempt++
	e.triedServers = append(e.triedServers, server.ID)
	start := e.now()
	d := e.decision("send", granted.reason, server.ID, 0)
	d.Slowness, d.Pace = granted.slowness, granted.pace
	e.relay.deps.Log(d)
	resp, err := e.relay.deps.Send(ctx, e.newAttempt(server, nil))
	e.begun = err == nil
	var body []byte
	if err == nil {
		var reserved memory.Reservation
		body, reserved, err = e.readBody(ctx, resp)
		defer reserved.Release()
	}
	switch {
	case err != nil:
		outcome := balance.Failed
		if ctx.Err() != nil {
			outcome = balance.Abandoned
		}
		granted.End(outcome, 0)
		if e.mayGoElsewhere(ctx, s, server, err) {
			return true, nil
		}
		return e.handleSendError(ctx, server.ID, err)
	case resp.NotRun:
		outcome := balance.Abandoned
		if resp.Full {
			outcome = balance.Full
		}
		granted.End(outcome, 0)
		e.log("notRun", "the server did not run the request", server.ID)
		if e.mayResend(true) {
			return true, nil
		}
		return false, e.refusal(fault.Errorf(fault.EndpointUnavailable, "the servers of service %q accept no more requests", e.service))
	}
	e.sends++
	if resp.Status >= 500 {
		granted.End(balance.Failed, 0)
		if e.mayRetry() {
			e.log("repeat", "the server answered with an error", server.ID)
			return true, nil
		}
	} else {
		granted.End(balance.Succeeded, e.now().Sub(start))
	}
	return false, e.respond(server.ID, resp, body)
}

// respond relays the complete response of a server. If its status promises that the request
// has not run, and the request must not run twice, that takes the server's word that it has
// not run it: without that the caller gets an error that promises nothing.
func (e *execution) respond(server string, resp *Response, body []byte) error {
	if fault.PromisesNotRun(resp.Status) && !e.route.MayRunAgain() {
		e.log("replaced", fmt.Sprintf("status %d promises more than the server said", resp.Status), server)
		return fault.Errorf(fault.EndpointFailed, "server %s answered with status %d and did not say that it has not run the request", server, resp.Status)
	}
	e.w.Respond(resp.Status, resp.Header, body)
	return nil
}

// mayGoElsewhere reports whether a server that could not be reached leaves others that may
// serve the request. Each such server is passed over once without using up an attempt.
func (e *execution) mayGoElsewhere(ctx context.Context, s *stage.Stage, server fleet.Server, err error) bool {
	sendErr, ok := errors.AsType[*SendError](err)
	if !ok || !sendErr.NotSent || ctx.Err() != nil || slices.Contains(e.unreachable, server.ID) {
		return false
	}
	e.unreachable = append(e.unreachable, server.ID)
	if e.remaining() <= minRemaining || !s.MayServe(e.deadline.Add(-minRemaining), e.unreachable) {
		return false
	}
	e.log("notSent", err.Error(), server.ID)
	return true
}

// handleSendError decides what follows a send without a complete response.
func (e *execution) handleSendError(ctx context.Context, server string, err error) (retry bool, finalErr error) {
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.NotSent {
		e.log("notSent", err.Error(), server)
		if ctx.Err() != nil {
			return false, e.contextError(ctx)
		}
		if sendErr.Unanswered && e.mayAwaitServer() || e.mayResend(false) {
			return true, nil
		}
		return false, e.refusal(fault.Errorf(fault.EndpointUnavailable, "%w", err))
	}
	e.sends++
	e.logBroken(err, server)
	if ctx.Err() != nil {
		return false, e.contextError(ctx)
	}
	if e.mayRetry() {
		return true, nil
	}
	return false, fault.Errorf(fault.EndpointFailed, "%w", err)
}

// newAttempt returns the attempt to be sent to a server now.
func (e *execution) newAttempt(server fleet.Server, inputs []string) Attempt {
	again, sendBefore := slices.Contains(e.sentTo, server.ID), e.sendBefore
	e.sendBefore = time.Time{}
	e.sentTo = append(e.sentTo, server.ID)
	return Attempt{
		Request: e.req, Server: server, Remaining: e.remaining(), Organisation: e.orgName,
		Inputs: inputs, LastEventID: e.req.LastEventID, Priority: -1, NewConnection: again, SendBefore: sendBefore,
	}
}

// readBody reads a response to its end and returns it with the room that it takes.
func (e *execution) readBody(ctx context.Context, resp *Response) ([]byte, memory.Reservation, error) {
	defer func() { _ = resp.Body.Close() }()
	length := resp.Length
	if length <= 0 {
		length = -1
	}
	return e.relay.deps.Answers.ReadAll(ctx, resp.Body, length, maxBufferedBytes, 0)
}
