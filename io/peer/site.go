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
	"chervilpath/core/relay"
	"chervilpath/io/peer/peerpb"
)

const (
	// followMargin bounds a question for news beyond its wait, placeTimeout the choice of an
	// engine: both are answered from memory.
	followMargin     = 400 * time.Millisecond
	placementTimeout = 250 * time.Millisecond
)

type (
	// FollowReply is what an instance knows of the configuration and the servers, as
	// far as the one who asks does not.
	FollowReply struct {
		// Configuration is compressed by Pack.
		Configuration []byte
		Servers       []byte
		// Confirmed is set if the store ever confirmed the news, Age ago.
		Confirmed bool
		Age       time.Duration
	}

	// FollowRequest says what the one who asks for news has, and how long it waits.
	FollowRequest struct {
		Version         int64
		ServersRevision int64
		// Confirmed is set if the store ever confirmed what the one who asks has,
		// Age ago.
		Confirmed bool
		Age       time.Duration
		Wait      time.Duration
	}

	// PlatformHandler answers what instances on the users' platform ask of each other.
	PlatformHandler struct {
		Follow      func(context.Context, FollowRequest) FollowReply
		RunStage    func(context.Context, relay.StageJob) ([]string, error)
		FreeResults func(service string, handles []string)
		Place       func(service string, q engine.Query) string
		Settle      func(service, request, server string, outcome balance.Outcome)
		Now         func() time.Time
	}
)

// ErrNoAnswer is wrapped by errors of calls that a peer did not answer.
var ErrNoAnswer = errors.New("the instance does not answer")

var errNoPlatform = twirp.NewError(twirp.Unimplemented, "the instance does not run on the platform")

// Follow implements peerpb.Peer.
func (s *Server) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	reply := s.Platform.Follow(ctx, FollowRequest{
		Version: req.Version, ServersRevision: req.ServersRevision, Wait: microseconds(req.WaitMicros),
		Confirmed: req.AgeMicros >= 0, Age: microseconds(req.AgeMicros),
	})
	out := &peerpb.FollowReply{Configuration: reply.Configuration, Servers: reply.Servers, AgeMicros: -1}
	if reply.Confirmed {
		out.AgeMicros = reply.Age.Microseconds()
	}
	return out, nil
}

// Work implements peerpb.Peer.
func (s *Server) Work(ctx context.Context, req *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	pieces := make([]int, len(req.Pieces))
	for i, piece := range req.Pieces {
		pieces[i] = int(piece)
	}
	handles, err := s.Platform.RunStage(ctx, relay.StageJob{
		Service: req.Service, RequestID: req.Request, Stage: int(req.Stage), Class: req.Class, PieceKey: req.Key, Inputs: req.Inputs,
		Pieces: len(pieces), ResultBytes: req.Bytes, Zone: req.Zone, CrossZoneBytes: req.Moved,
		Due: microseconds(req.DueMicros), Remaining: microseconds(req.LeftMicros), Worth: req.Worth,
	})
	if err != nil {
		return &peerpb.WorkReply{Refused: fault.From(err).Kind().String(), Message: err.Error()}, nil
	}
	return &peerpb.WorkReply{Handles: handles}, nil
}

// Free implements peerpb.Peer.
func (s *Server) Free(_ context.Context, req *peerpb.FreeRequest) (*peerpb.FreeReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	s.Platform.FreeResults(req.Service, req.Handles)
	return &peerpb.FreeReply{}, nil
}

// Place implements peerpb.Peer.
func (s *Server) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	q := engine.Query{
		RequestID: req.Request, Affinity: req.Affinity, Exclude: req.Exclude,
		Expires: s.Platform.Now().Add(microseconds(req.LeftMicros)),
	}
	if len(req.Weights) > 0 {
		q.Weights = make(map[string]float64, len(req.Weights))
		for _, w := range req.Weights {
			q.Weights[w.Zone] = w.Weight
		}
	}
	return &peerpb.PlaceReply{Server: s.Platform.Place(req.Service, q)}, nil
}

// Settle implements peerpb.Peer.
func (s *Server) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	s.Platform.Settle(req.Service, req.Request, req.Server, balance.Outcome(req.Outcome))
	return &peerpb.SettleReply{}, nil
}

// Follow asks an instance for news.
func (c *Clients) Follow(ctx context.Context, address string, req FollowRequest) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+followMargin)
	defer cancel()
	age := int64(-1)
	if req.Confirmed {
		age = req.Age.Microseconds()
	}
	resp, err := c.For(address).Follow(ctx, &peerpb.FollowRequest{
		Version: req.Version, ServersRevision: req.ServersRevision, WaitMicros: req.Wait.Microseconds(), AgeMicros: age,
	})
	if err != nil {
		return FollowReply{}, fmt.Errorf("asking %s for news: %w", address, err)
	}
	return FollowReply{
		Configuration: resp.Configuration, Servers: resp.Servers,
		Confirmed: resp.AgeMicros >= 0, Age: microseconds(resp.AgeMicros),
	}, nil
}

// RunStage has an instance make the pieces of a stage. An error that wraps
// ErrSilent says nothing of the pieces.
func (c *Clients) RunStage(ctx context.Context, address string, job relay.StageJob) ([]string, error) {
	pieces := make([]int32, job.Pieces)
	for i := range pieces {
		pieces[i] = int32(i)
	}
	resp, err := c.For(address).Work(ctx, &peerpb.WorkRequest{
		Service: job.Service, Request: job.RequestID, Stage: int32(job.Stage), Class: job.Class, Key: job.PieceKey, Inputs: job.Inputs, Pieces: pieces,
		Bytes: job.ResultBytes, Zone: job.Zone, Moved: job.CrossZoneBytes, DueMicros: job.Due.Microseconds(), LeftMicros: job.Remaining.Microseconds(), Worth: job.Worth,
	})
	if err != nil {
		return nil, fmt.Errorf("asking %s for pieces: %w: %w", address, ErrNoAnswer, err)
	}
	if resp.Refused != "" {
		return nil, fault.Errorf(fault.ParseKind(resp.Refused), "%s", resp.Message)
	}
	return resp.Handles, nil
}

// FreeResults gives results up at the instance that had them made.
func (c *Clients) FreeResults(ctx context.Context, address, service string, handles []string) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	if _, err := c.For(address).Free(ctx, &peerpb.FreeRequest{Service: service, Handles: handles}); err != nil {
		return fmt.Errorf("freeing results at %s: %w: %w", address, ErrNoAnswer, err)
	}
	return nil
}

// Place asks an instance to choose an engine.
func (c *Clients) Place(ctx context.Context, address, service string, q engine.Query, remaining time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	req := &peerpb.PlaceRequest{
		Service: service, Request: q.RequestID, Affinity: q.Affinity, Exclude: q.Exclude, LeftMicros: remaining.Microseconds(),
	}
	for zone, weight := range q.Weights {
		req.Weights = append(req.Weights, &peerpb.ZoneWeight{Zone: zone, Weight: weight})
	}
	resp, err := c.For(address).Place(ctx, req)
	if err != nil {
		return "", fmt.Errorf("asking %s for an engine: %w: %w", address, ErrNoAnswer, err)
	}
	return resp.Server, nil
}

// Settle ends a placement at the instance that made it.
func (c *Clients) Settle(ctx context.Context, address, service, request, server string, outcome balance.Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	_, err := c.For(address).Settle(ctx, &peerpb.SettleRequest{Service: service, Request: request, Server: server, Outcome: int32(outcome)})
	if err != nil {
		return fmt.Errorf("settling a placement at %s: %w: %w", address, ErrNoAnswer, err)
	}
	return nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
