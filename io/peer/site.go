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
	// followTimeout bounds a question for news beyond its wait, placeTimeout the choice of an
	// engine: both are answered from memory.
	followTimeout = 400 * time.Millisecond
	placeTimeout  = 250 * time.Millisecond
)

type (
	// News is what an instance knows of the configuration and the servers, as
	// far as the one who asks does not.
	News struct {
		// Configuration is compressed by Pack.
		Configuration []byte
		Servers       []byte
		// Confirmed is set if the store ever confirmed the news, Age ago.
		Confirmed bool
		Age       time.Duration
	}

	// Asked says what the one who asks for news has, and how long it waits.
	Asked struct {
		Version         int64
		ServersRevision int64
		// Confirmed is set if the store ever confirmed what the one who asks has,
		// Age ago.
		Confirmed bool
		Age       time.Duration
		Wait      time.Duration
	}

	// Site answers what instances on the users' platform ask of each other.
	Site struct {
		Follow func(context.Context, Asked) News
		Work   func(context.Context, relay.StageJob) ([]string, error)
		Free   func(service string, handles []string)
		Place  func(service string, q engine.Query) string
		Settle func(service, request, server string, outcome balance.Outcome)
		Now    func() time.Time
	}
)

// ErrSilent is wrapped by errors of calls that a peer did not answer.
var ErrSilent = errors.New("the instance does not answer")

var errNoSite = twirp.NewError(twirp.Unimplemented, "the instance does not run on the platform")

// Follow implements peerpb.Peer.
func (s *Server) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if s.Site == nil {
		return nil, errNoSite
	}
	n := s.Site.Follow(ctx, Asked{
		Version: req.Version, ServersRevision: req.ServersRevision, Wait: micros(req.WaitMicros),
		Confirmed: req.AgeMicros >= 0, Age: micros(req.AgeMicros),
	})
	out := &peerpb.FollowReply{Configuration: n.Configuration, Servers: n.Servers, AgeMicros: -1}
	if n.Confirmed {
		out.AgeMicros = n.Age.Microseconds()
	}
	return out, nil
}

// Work implements peerpb.Peer.
func (s *Server) Work(ctx context.Context, req *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	if s.Site == nil {
		return nil, errNoSite
	}
	pieces := make([]int, len(req.Pieces))
	for i, p := range req.Pieces {
		pieces[i] = int(p)
	}
	handles, err := s.Site.Work(ctx, relay.StageJob{
		Service: req.Service, RequestID: req.Request, Stage: int(req.Stage), Class: req.Class, PieceKey: req.Key, Inputs: req.Inputs,
		Pieces: len(pieces), ResultBytes: req.Bytes, Zone: req.Zone, CrossZoneBytes: req.Moved,
		Due: micros(req.DueMicros), Remaining: micros(req.LeftMicros), Worth: req.Worth,
	})
	if err != nil {
		return &peerpb.WorkReply{Refused: fault.From(err).Kind().String(), Message: err.Error()}, nil
	}
	return &peerpb.WorkReply{Handles: handles}, nil
}

// Free implements peerpb.Peer.
func (s *Server) Free(_ context.Context, req *peerpb.FreeRequest) (*peerpb.FreeReply, error) {
	if s.Site == nil {
		return nil, errNoSite
	}
	s.Site.Free(req.Service, req.Handles)
	return &peerpb.FreeReply{}, nil
}

// Place implements peerpb.Peer.
func (s *Server) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	if s.Site == nil {
		return nil, errNoSite
	}
	q := engine.Query{
		RequestID: req.Request, Affinity: req.Affinity, Exclude: req.Exclude,
		Expires: s.Site.Now().Add(micros(req.LeftMicros)),
	}
	if len(req.Weights) > 0 {
		q.Weights = make(map[string]float64, len(req.Weights))
		for _, w := range req.Weights {
			q.Weights[w.Zone] = w.Weight
		}
	}
	return &peerpb.PlaceReply{Server: s.Site.Place(req.Service, q)}, nil
}

// Settle implements peerpb.Peer.
func (s *Server) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if s.Site == nil {
		return nil, errNoSite
	}
	s.Site.Settle(req.Service, req.Request, req.Server, balance.Outcome(req.Outcome))
	return &peerpb.SettleReply{}, nil
}

// Follow asks an instance for news.
func (c *Clients) Follow(ctx context.Context, address string, a Asked) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+followTimeout)
	defer cancel()
	age := int64(-1)
	if a.Confirmed {
		age = a.Age.Microseconds()
	}
	reply, err := c.At(address).Follow(ctx, &peerpb.FollowRequest{
		Version: a.Version, ServersRevision: a.ServersRevision, WaitMicros: a.Wait.Microseconds(), AgeMicros: age,
	})
	if err != nil {
		return News{}, fmt.Errorf("asking %s for news: %w", address, err)
	}
	return News{
		Configuration: reply.Configuration, Servers: reply.Servers,
		Confirmed: reply.AgeMicros >= 0, Age: micros(reply.AgeMicros),
	}, nil
}

// Work has an instance make the pieces of a stage. An error that wraps
// ErrSilent says nothing of the pieces.
func (c *Clients) Work(ctx context.Context, address string, w relay.StageJob) ([]string, error) {
	pieces := make([]int32, w.Pieces)
	for i := range pieces {
		pieces[i] = int32(i)
	}
	reply, err := c.At(address).Work(ctx, &peerpb.WorkRequest{
		Service: w.Service, Request: w.RequestID, Stage: int32(w.Stage), Class: w.Class, Key: w.PieceKey, Inputs: w.Inputs, Pieces: pieces,
		Bytes: w.ResultBytes, Zone: w.Zone, Moved: w.CrossZoneBytes, DueMicros: w.Due.Microseconds(), LeftMicros: w.Remaining.Microseconds(), Worth: w.Worth,
	})
	if err != nil {
		return nil, fmt.Errorf("asking %s for pieces: %w: %w", address, ErrSilent, err)
	}
	if reply.Refused != "" {
		return nil, fault.Errorf(fault.ParseKind(reply.Refused), "%s", reply.Message)
	}
	return reply.Handles, nil
}

// Free gives results up at the instance that had them made.
func (c *Clients) Free(ctx context.Context, address, service string, handles []string) error {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if _, err := c.At(address).Free(ctx, &peerpb.FreeRequest{Service: service, Handles: handles}); err != nil {
		return fmt.Errorf("freeing results at %s: %w: %w", address, ErrSilent, err)
	}
	return nil
}

// Place asks an instance to choose an engine.
func (c *Clients) Place(ctx context.Context, address, service string, q engine.Query, left time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	req := &peerpb.PlaceRequest{
		Service: service, Request: q.RequestID, Affinity: q.Affinity, Exclude: q.Exclude, LeftMicros: left.Microseconds(),
	}
	for zone, weight := range q.Weights {
		req.Weights = append(req.Weights, &peerpb.ZoneWeight{Zone: zone, Weight: weight})
	}
	reply, err := c.At(address).Place(ctx, req)
	if err != nil {
		return "", fmt.Errorf("asking %s for an engine: %w: %w", address, ErrSilent, err)
	}
	return reply.Server, nil
}

// Settle ends a placement at the instance that made it.
func (c *Clients) Settle(ctx context.Context, address, service, request, server string, outcome balance.Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	_, err := c.At(address).Settle(ctx, &peerpb.SettleRequest{Service: service, Request: request, Server: server, Outcome: int32(outcome)})
	if err != nil {
		return fmt.Errorf("settling a placement at %s: %w: %w", address, ErrSilent, err)
	}
	return nil
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
