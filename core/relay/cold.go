package relay

import (
	"context"
	"slices"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/stage"
)

// maxNotAdmitted is how many cold servers a request is chosen for in a row, before it is
// refused or, if it must go on, pauses. Each costs a call to the instance that grants
// permissions.
const maxNotAdmitted = 8

// isColdLimited reports whether requests to cold servers of the service are limited.
func (e *execution) isColdLimited() bool {
	return e.relay.deps.ColdLimited != nil && e.relay.deps.ColdLimited(e.service)
}

// admit reports whether the request may be sent to a server now. It has to be called right
// before the send: a permission is valid only for a moment. The next attempt is not sent
// after that.
func (e *execution) admit(ctx context.Context, server fleet.Server) bool {
	e.sendBefore = time.Time{}
	if !e.now().Before(server.ColdUntil) || !e.isColdLimited() {
		return true
	}
	p := e.relay.deps.Admit(ctx, e.service, server, e.req.ID)
	if p.Granted {
		e.sendBefore = p.SendBefore
		e.log("admitted", "the server is cold", server.ID)
		return true
	}
	e.numNotAdmitted++
	e.coldRetryAfter = time.Duration(float64(p.RetryAfter) * (1 + maxReturnSpread*e.relay.deps.Random()))
	e.log("notAdmitted", "the server is cold and may get the next request in "+p.RetryAfter.Round(time.Millisecond).String(), server.ID)
	return false
}

// goElsewhere gives back the slot at a server of a plain service to which the request was
// not admitted, and reports whether another one may serve the request.
func (e *execution) goElsewhere(ctx context.Context, s *stage.Stage, granted plainSlot) (bool, error) {
	name := granted.Server
	granted.End(balance.Abandoned, 0)
	if ctx.Err() != nil {
		return false, e.contextError(ctx)
	}
	again := slices.Contains(e.unreachable, name)
	e.unreachable, e.triedServers = append(e.unreachable, name), append(e.triedServers, name)
	if again || e.numNotAdmitted >= maxNotAdmitted || e.remaining() <= minRemaining || !s.MayServe(e.deadline.Add(-minRemaining), e.unreachable) {
		return false, e.notAdmittedError()
	}
	return true, nil
}

// goToAnotherEngine gives back the placement on an engine to which the request was not
// admitted, and reports whether another one may be chosen.
func (e *execution) goToAnotherEngine(ctx context.Context, p placement) (bool, error) {
	e.settle(p, balance.Abandoned)
	e.triedServers = append(e.triedServers, p.server.ID)
	if e.numNotAdmitted%maxNotAdmitted != 0 || e.pauseBeforeResuming(ctx) {
		return true, nil
	}
	if ctx.Err() != nil {
		return false, e.contextError(ctx)
	}
	return false, e.notAdmittedError()
}

// notAdmittedError returns the refusal of a request for which there are only cold servers.
func (e *execution) notAdmittedError() error {
	return e.refusal(fault.Errorf(fault.EndpointUnavailable, "the servers of service %q are cold and take no more requests now", e.service))
}

// coldServers returns the IDs of the servers that need a permission now. A stream is not
// moved to one of them: it might get none, after the attempt in progress was given up.
func (e *execution) coldServers() []string {
	if !e.isColdLimited() {
		return nil
	}
	var out []string
	now := e.now()
	for _, s := range e.relay.deps.Servers().Service(e.service) {
		if now.Before(s.ColdUntil) {
			out = append(out, s.ID)
		}
	}
	return out
}
