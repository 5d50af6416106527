package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/memory"
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
		grant, err := e.acquire(ctx, s)
		if err != nil {
			if ctx.Err() != nil {
				return e.contextError(ctx)
			}
			return e.refusal(fault.From(err))
		}
		if e.mustNotSend() {
			s.Release(grant, balance.Abandoned)
			return e.shutdownError()
		}
		server, ok := e.relay.deps.Servers().Callable(e.now(), grant.Endpoint.Name())
		if !ok {
			s.Release(grant, balance.Abandoned)
			e.log("skip", "the server takes no more requests", grant.Endpoint.Name())
			// The stage may learn of this a moment later.
			e.unreachable = append(e.unreachable, grant.Endpoint.Name())
			if e.mayResend(false) {
				continue
			}
			return e.refusal(fault.Errorf(fault.EndpointUnavailable, "server %s takes no more requests", grant.Endpoint.Name()))
		}
		retry, err := e.sendToPlain(ctx, s, grant, server)
		if !retry {
			return err
		}
	}
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
func (e *execution) sendToPlain(ctx context.Context, s *stage.Stage, grant stage.Grant, server fleet.Server) (retry bool, err error) {
	e.attempt++
	e.triedServers = append(e.triedServers, server.ID)
	d := e.decision("send", grant.Reason.String(), server.ID, 0)
	d.Slowness, d.Pace = grant.Slowness, grant.Pace
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
		s.Release(grant, outcome)
		if e.mayGoElsewhere(ctx, s, server, err) {
			return true, nil
		}
		return e.handleSendError(ctx, server.ID, err)
	case resp.NotRun:
		outcome := balance.Abandoned
		if resp.Full {
			outcome = balance.Full
		}
		s.Release(grant, outcome)
		e.log("notRun", "the server did not run the request", server.ID)
		if e.mayResend(true) {
			return true, nil
		}
		return false, e.refusal(fault.Errorf(fault.EndpointUnavailable, "the servers of service %q accept no more requests", e.service))
	}
	e.sends++
	if resp.Status >= 500 {
		s.Release(grant, balance.Failed)
		if e.mayRetry() {
			e.log("repeat", "the server answered with an error", server.ID)
			return true, nil
		}
	} else {
		s.Finish(e.org, grant, 1, 1, 1)
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
	again := slices.Contains(e.sentTo, server.ID)
	e.sentTo = append(e.sentTo, server.ID)
	return Attempt{
		Request: e.req, Server: server, Remaining: e.remaining(), Organisation: e.orgName,
		Inputs: inputs, LastEventID: e.req.LastEventID, Priority: -1, NewConnection: again,
	}
}

// readBody reads a response to its end and returns it with the room that it takes.
func (e *execution) readBody(ctx context.Context, resp *Response) ([]byte, memory.Reservation, error) {
	defer func() { _ = resp.Body.Close() }()
	return e.relay.deps.Answers.ReadAll(ctx, resp.Body, -1, maxBufferedBytes, 0)
}
