package relay

import (
	"context"
	"errors"
	"io"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/stage"
)

// servePlain sends a request to a server of a service without engines.
func (u *run) servePlain(ctx context.Context) error {
	s := u.relay.deps.Plain(u.service)
	if s == nil {
		return u.refused(fault.Errorf(fault.EndpointUnavailable, "service %q has no servers", u.service))
	}
	for {
		if ctx.Err() != nil {
			return u.ended(ctx)
		}
		grant, err := u.acquire(ctx, s)
		if err != nil {
			if ctx.Err() != nil {
				return u.ended(ctx)
			}
			return u.refused(fault.From(err))
		}
		server, ok := u.relay.deps.Servers().Server(grant.Endpoint.Name())
		if !ok {
			s.Release(grant, balance.Abandoned)
			if u.mayTryAgain(false) {
				continue
			}
			return u.refused(fault.Errorf(fault.EndpointUnavailable, "server %s has left", grant.Endpoint.Name()))
		}
		again, err := u.sendPlain(ctx, s, grant, server)
		if !again {
			return err
		}
	}
}

func (u *run) acquire(ctx context.Context, s *stage.Stage) (stage.Grant, error) {
	now := u.now()
	if u.attempt == 0 {
		wait, _, _, err := s.Forecast(now, u.org, 1, 0)
		if err != nil {
			return stage.Grant{}, err
		}
		if now.Add(wait + minLeft).After(u.end) {
			return stage.Grant{}, fault.Errorf(fault.Overloaded, "the wait is %v and %v remain", wait, u.left())
		}
	}
	w := stage.Want{
		Organisation: u.org, Priority: declare.Normal, Cost: 1, Deadline: u.end, Need: minLeft, Arrived: now,
		Query: balance.Query{Exclude: s.Indexes(u.tried), Fresh: !u.route.MayRepeat()},
	}
	if len(u.tried) > 0 {
		if grant, ok := s.TryAcquire(w); ok {
			return grant, nil
		}
		w.Query.Exclude = nil
	}
	return s.Acquire(ctx, w)
}

// sendPlain makes one attempt. It reports whether another one is to be made.
func (u *run) sendPlain(ctx context.Context, s *stage.Stage, grant stage.Grant, server fleet.Server) (again bool, err error) {
	u.attempt++
	u.tried = append(u.tried, server.ID)
	u.log("send", grant.Reason.String(), server.ID)
	reply, err := u.relay.deps.Send(ctx, u.toServer(server, nil))
	var body []byte
	if err == nil {
		body, err = readWhole(reply)
	}
	switch {
	case err != nil:
		outcome := balance.Failed
		if ctx.Err() != nil {
			outcome = balance.Abandoned
		}
		s.Release(grant, outcome)
		return u.afterError(ctx, err)
	case reply.NotRun:
		outcome := balance.Abandoned
		if reply.Full {
			outcome = balance.Full
		}
		s.Release(grant, outcome)
		u.log("notRun", "the server did not run it", server.ID)
		if u.mayTryAgain(true) {
			return true, nil
		}
		return false, u.refused(fault.Errorf(fault.EndpointUnavailable, "the servers of service %q take no more", u.service))
	}
	u.sends++
	if reply.Status >= 500 {
		s.Release(grant, balance.Abandoned)
		if u.mayRepeat() {
			u.log("repeat", "the server failed", server.ID)
			return true, nil
		}
	} else {
		s.Finish(u.org, grant, 1, 1, 1)
	}
	u.caller.Answer(reply.Status, reply.Header, body)
	return false, nil
}

// afterError decides after a send without a whole answer.
func (u *run) afterError(ctx context.Context, err error) (again bool, final error) {
	var send *SendError
	if errors.As(err, &send) && send.NotSent {
		u.log("notSent", err.Error(), "")
		if ctx.Err() != nil {
			return false, u.ended(ctx)
		}
		if u.mayTryAgain(false) {
			return true, nil
		}
		return false, u.refused(fault.Errorf(fault.EndpointUnavailable, "%w", err))
	}
	u.sends++
	u.log("broken", err.Error(), "")
	if ctx.Err() != nil {
		return false, u.ended(ctx)
	}
	if u.mayRepeat() {
		return true, nil
	}
	return false, fault.Errorf(fault.EndpointFailed, "%w", err)
}

func (u *run) toServer(server fleet.Server, inputs []string) Attempt {
	return Attempt{
		Request: u.req, Server: server, Left: u.left(), Organisation: u.orgName,
		Inputs: inputs, LastEvent: u.req.LastEvent, Priority: -1,
	}
}

// readWhole reads an answer to its end.
func readWhole(reply *Reply) ([]byte, error) {
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxWhole {
		return nil, errors.New("the answer is larger than 1 MB")
	}
	return body, nil
}
