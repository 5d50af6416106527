package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/overload"
	"chervilpath/io/peer/peerpb"
)

type (
	// Observation is how fast an engine serves a request that was placed on it.
	Observation struct {
		RequestID, Server string
		// FirstEvent is the time from the send to the first event, or 0.
		FirstEvent time.Duration
		// EventInterval is the mean time between two events, or 0, and Events their number.
		EventInterval time.Duration
		Events        int
	}

	// Admission is the reply to the question whether a request may be sent to a cold server.
	Admission struct {
		Granted bool
		// Valid is how long the permission holds, and RetryAfter the time after which one
		// may be granted.
		Valid, RetryAfter time.Duration
	}

	// PlaceQuery describes a request that needs a place at a server of a plain service.
	PlaceQuery struct {
		RequestID string
		// Exclude lists the IDs of servers that must not be chosen.
		Exclude []string
		// Repeatable is set if the request may run again at another server.
		Repeatable bool
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		Demand   overload.Demand
	}
)

// placeMargin is how much longer than its wait for room a call for an engine or a place at
// a plain server may take.
const placeMargin = placementTimeout

// Observe implements peerpb.Peer.
func (s *Server) Observe(_ context.Context, req *peerpb.ObserveRequest) (*peerpb.ObserveReply, error) {
	if s.Platform == nil || s.Platform.Observe == nil {
		return nil, errNoPlatform
	}
	s.Platform.Observe(req.Service, Observation{
		RequestID: req.Request, Server: req.Server, FirstEvent: microseconds(req.FirstEventMicros),
		EventInterval: microseconds(req.EventMicros), Events: int(req.Events),
	})
	return &peerpb.ObserveReply{}, nil
}

// Admit implements peerpb.Peer.
func (s *Server) Admit(_ context.Context, req *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	if s.Platform == nil || s.Platform.Admit == nil {
		return nil, errNoPlatform
	}
	a, err := s.Platform.Admit(req.Service, req.Request, req.Server, req.Born)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.AdmitReply{Granted: a.Granted, ValidMicros: a.Valid.Microseconds(), RetryAfterMicros: a.RetryAfter.Microseconds()}, nil
}

// Acquire implements peerpb.Peer.
func (s *Server) Acquire(ctx context.Context, req *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if s.Platform == nil || s.Platform.Acquire == nil {
		return nil, errNoPlatform
	}
	now := s.Platform.Now()
	server, err := s.Platform.Acquire(ctx, req.Service, PlaceQuery{
		RequestID: req.Request, Exclude: req.Exclude, Repeatable: req.Repeatable, Deadline: now.Add(microseconds(req.LeftMicros)),
		Demand: demandFromProto(now, req.Demand),
	})
	if err != nil {
		kind, message, retryAfter, err := refusalToProto(err)
		return &peerpb.AcquireReply{Refused: kind, Message: message, RetryAfterMicros: retryAfter}, err
	}
	return &peerpb.AcquireReply{Server: server}, nil
}

// Release implements peerpb.Peer.
func (s *Server) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	if s.Platform == nil || s.Platform.Release == nil {
		return nil, errNoPlatform
	}
	s.Platform.Release(req.Service, req.Request, req.Server, balance.Outcome(req.Outcome), microseconds(req.TookMicros))
	return &peerpb.ReleaseReply{}, nil
}

// Observe reports how fast an engine serves a request.
func (c *Clients) Observe(ctx context.Context, address, service string, o Observation) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	_, err := c.For(address).Observe(ctx, &peerpb.ObserveRequest{
		Service: service, Request: o.RequestID, Server: o.Server, FirstEventMicros: o.FirstEvent.Microseconds(),
		EventMicros: o.EventInterval.Microseconds(), Events: int64(o.Events),
	})
	if err != nil {
		return fmt.Errorf("reporting an engine's speed to %s: %w: %w", address, ErrNoAnswer, err)
	}
	return nil
}

// Admit asks an instance whether a request may be sent to a cold server. An error means
// that it must not.
func (c *Clients) Admit(ctx context.Context, address, service, request, server string, born int64) (Admission, error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	resp, err := c.For(address).Admit(ctx, &peerpb.AdmitRequest{Service: service, Request: request, Server: server, Born: born})
	if err != nil {
		return Admission{}, fmt.Errorf("asking %s for a permission: %w: %w", address, ErrNoAnswer, err)
	}
	return Admission{Granted: resp.Granted, Valid: microseconds(resp.ValidMicros), RetryAfter: microseconds(resp.RetryAfterMicros)}, nil
}

// Acquire waits until an instance gives a request a place at a server of a plain service, and
// returns the server's ID. It returns a *fault.Error if the request was refused, and an error
// that wraps ErrNoAnswer if the instance did not answer. The former is of kind Draining if the
// instance cannot decide. The server is empty if the request still waits when the time in its
// demand is over; it keeps its turn if it is sent again soon.
func (c *Clients) Acquire(ctx context.Context, address, service string, q PlaceQuery) (string, error) {
	now := c.now()
	ctx, cancel := context.WithTimeout(ctx, q.Demand.Wait+placeMargin)
	defer cancel()
	resp, err := c.For(address).Acquire(ctx, &peerpb.AcquireRequest{
		Service: service, Request: q.RequestID, Exclude: q.Exclude, LeftMicros: q.Deadline.Sub(now).Microseconds(), Repeatable: q.Repeatable,
		Demand: demandToProto(now, q.Demand),
	})
	if twerr, ok := errors.AsType[twirp.Error](err); ok && twerr.Code() == twirp.Unavailable {
		return "", fault.Errorf(fault.Draining, "%s gives no places: %w", address, err).WithRan(fault.RanNo)
	}
	if err != nil {
		return "", fmt.Errorf("asking %s for a place: %w: %w", address, ErrNoAnswer, err)
	}
	if resp.Refused != "" {
		return "", refusalFromProto(resp.Refused, resp.Message, resp.RetryAfterMicros)
	}
	return resp.Server, nil
}

// Release ends the use of a place at the instance that gave it.
func (c *Clients) Release(ctx context.Context, address, service, request, server string, outcome balance.Outcome, took time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	_, err := c.For(address).Release(ctx, &peerpb.ReleaseRequest{Service: service, Request: request, Server: server, Outcome: int32(outcome), TookMicros: took.Microseconds()})
	if err != nil {
		return fmt.Errorf("releasing a place at %s: %w: %w", address, ErrNoAnswer, err)
	}
	return nil
}

// refusalToProto returns the fields of a reply that reports a refusal. An error of kind
// Draining stands for an instance that cannot decide, and is returned as an error of the call.
func refusalToProto(err error) (kind, message string, retryAfterMicros int64, callErr error) {
	e := fault.From(err)
	if e.Kind() == fault.Draining {
		return "", "", 0, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return e.Kind().String(), err.Error(), e.RetryAfter().Microseconds(), nil
}

// refusalFromProto returns the refusal that a reply reports.
func refusalFromProto(kind, message string, retryAfterMicros int64) *fault.Error {
	return fault.Errorf(fault.ParseKind(kind), "%s", message).WithRan(fault.RanNo).WithRetryAfter(microseconds(retryAfterMicros))
}

func demandToProto(now time.Time, d overload.Demand) *peerpb.Demand {
	out := &peerpb.Demand{
		Class: d.Class, Organisation: d.Organisation, Priority: int32(d.Priority), Worth: d.Worth, LateWorth: d.LateWorth,
		RelativeSize: d.RelativeSize, Returned: d.Returned, WaitMicros: d.Wait.Microseconds(),
	}
	if !d.Due.IsZero() {
		out.DueMicros = d.Due.Sub(now).Microseconds()
	}
	return out
}

// demandFromProto returns the demand of a call that arrived at the given time. An instance of
// another version sends none.
func demandFromProto(now time.Time, pb *peerpb.Demand) overload.Demand {
	if pb == nil {
		return overload.Demand{}
	}
	return overload.Demand{
		Class: pb.Class, Organisation: pb.Organisation, Priority: int(pb.Priority), Worth: pb.Worth, LateWorth: pb.LateWorth,
		Due: now.Add(microseconds(pb.DueMicros)), RelativeSize: pb.RelativeSize, Returned: pb.Returned, Wait: microseconds(pb.WaitMicros),
	}
}

func partsToProto(parts []engine.Part) []*peerpb.PromptPart {
	out := make([]*peerpb.PromptPart, len(parts))
	for i, p := range parts {
		out[i] = &peerpb.PromptPart{Id: p.ID, Tokens: int64(p.Tokens)}
	}
	return out
}

func partsFromProto(pbs []*peerpb.PromptPart) []engine.Part {
	out := make([]engine.Part, 0, len(pbs))
	for _, pb := range pbs {
		if pb != nil {
			out = append(out, engine.Part{ID: pb.Id, Tokens: int(pb.Tokens)})
		}
	}
	return out
}
