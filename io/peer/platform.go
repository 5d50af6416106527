package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"chervilpath/core/balance"
	"chervilpath/core/confirm"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/member"
	"chervilpath/core/relay"
	"chervilpath/io/peer/peerpb"
)

const (
	// followMargin is how much longer than its wait a Follow call may take, and
	// placementTimeout limits Place, Settle and FreeResults. Peers serve these
	// calls from memory.
	followMargin     = 400 * time.Millisecond
	placementTimeout = 250 * time.Millisecond
)

type (
	// FollowReply holds the changes of the configuration and of the servers since
	// the state that the requesting instance has.
	FollowReply struct {
		// Held is the time from the arrival of the request to the making of the reply. All
		// ages in the reply are as of the latter.
		Held time.Duration
		// Configuration is compressed by Compress. It is empty unless it is
		// newer than that of the requesting instance.
		Configuration []byte
		// ConfigurationDelta is the compressed difference from the configuration
		// that the requesting instance has, which is sent instead of the whole.
		ConfigurationDelta []byte
		// Servers is the JSON of the changes of the servers, or empty if there
		// are none. CompressedServers is the same compressed by Compress, of which
		// the caller gets only one.
		Servers, CompressedServers []byte
		// Confirmed is set if the store has ever confirmed what the replying instance has,
		// and Confirmation then says when it last did.
		Confirmed    bool
		Confirmation confirm.Report
		// AnswersFromAge and AnswersToAge are the times since the beginning and the
		// end of the latest period in which the store is known to have answered some
		// instance, without an outage. Both are 0 if there is none.
		AnswersFromAge, AnswersToAge time.Duration
		// Evacuations is the JSON of the evacuated failure domains, or empty if they are not
		// newer than what the requesting instance has.
		Evacuations []byte
		// Directory holds the members that work for others, or is empty if it has
		// the digest of the request.
		Directory []member.Member
	}

	// FollowRequest describes the state that the requesting instance has.
	FollowRequest struct {
		// Version is the version of the configuration, and ServersRevision the
		// store's revision of the servers.
		Version         int64
		ServersRevision int64
		// EvacuationsRevision is the store's revision of the evacuations.
		EvacuationsRevision int64
		// Confirmed is set if the store has ever confirmed the configuration,
		// and Age is the time since it last did.
		Confirmed bool
		Age       time.Duration
		// Wait is how long the reply may wait for a change.
		Wait time.Duration
		// DirectoryDigest is the digest of the directory that the requested instance
		// last sent to the requesting one, or 0.
		DirectoryDigest uint64
		// ConfigurationDigest is the digest of the configuration from which the
		// reply may hold a difference, or 0.
		ConfigurationDigest uint64
		// CompressedServers is set if the reply may hold compressed changes of the
		// servers.
		CompressedServers bool
	}

	// PlatformHandler holds the functions that serve the calls of other instances
	// on the platform.
	PlatformHandler struct {
		Follow      func(context.Context, FollowRequest) FollowReply
		RunStage    func(context.Context, relay.StageJob) ([]string, error)
		FreeResults func(service string, handles []string)
		// Place returns "" if no engine is free, an error of kind Draining if this instance
		// cannot place requests of the service, and any other one if it refuses the request.
		Place  func(ctx context.Context, service string, q engine.Query) (string, error)
		Settle func(service, request, server string, outcome balance.Outcome)
		// Observe records how fast an engine serves a request.
		Observe func(service string, o Observation)
		// Admit decides whether a request may be sent to a cold server. It returns an error
		// if this instance cannot decide.
		Admit func(service, request, server string, born int64) (Admission, error)
		// Acquire waits for a place at a server of a plain service. It returns an error of kind
		// Draining if this instance cannot decide, and any other one if it refuses the request.
		Acquire func(ctx context.Context, service string, q PlaceQuery) (server string, err error)
		// Release ends the use of a place.
		Release func(service, request, server string, outcome balance.Outcome, took time.Duration)
		Now     func() time.Time
	}
)

// ErrNoAnswer is wrapped by the errors of calls that a peer did not answer.
var ErrNoAnswer = errors.New("the instance does not answer")

var errNoPlatform = twirp.NewError(twirp.Unimplemented, "the instance does not run on the platform")

// Follow implements peerpb.Peer.
func (s *Server) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	wait := microseconds(req.WaitMicros)
	if s.Members.directoryIfChanged(req.Directory) != nil {
		wait = 0
	}
	reply := s.Platform.Follow(ctx, FollowRequest{
		Version: req.Version, ServersRevision: req.ServersRevision, Wait: wait,
		Confirmed: req.AgeMicros >= 0, Age: microseconds(req.AgeMicros),
		ConfigurationDigest: req.Configuration, CompressedServers: req.CompressedServers, EvacuationsRevision: req.EvacuationsRevision,
	})
	out := &peerpb.FollowReply{Configuration: reply.Configuration, Servers: reply.Servers, CompressedServers: reply.CompressedServers, AgeMicros: -1, Directory: s.Members.directoryIfChanged(req.Directory), ConfigurationDelta: reply.ConfigurationDelta, Evacuations: reply.Evacuations, HeldMicros: reply.Held.Microseconds()}
	if reply.Confirmed {
		c := reply.Confirmation
		out.AgeMicros, out.Origin, out.Hops = c.Age.Microseconds(), c.Origin, int32(c.Hops)
	}
	out.AnswersFromMicros, out.AnswersToMicros = reply.AnswersFromAge.Microseconds(), reply.AnswersToAge.Microseconds()
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
		return &peerpb.WorkReply{Refused: fault.From(err).Kind().String(), Message: err.Error(), RetryAfterMicros: fault.From(err).RetryAfter().Microseconds()}, nil
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
func (s *Server) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	now := s.Platform.Now()
	q := engine.Query{
		RequestID: req.Request, Affinity: req.Affinity, Exclude: req.Exclude, Repeatable: req.Repeatable, Trial: req.Trial,
		Expires: now.Add(microseconds(req.LeftMicros)),
		Parts:   partsFromProto(req.Parts), PromptTokens: int(req.PromptTokens), OutputTokens: int(req.OutputTokens), Demand: demandFromProto(now, req.Demand),
	}
	if len(req.Weights) > 0 {
		q.Weights = make(map[string]float64, len(req.Weights))
		for _, w := range req.Weights {
			q.Weights[w.Zone] = w.Weight
		}
	}
	server, err := s.Platform.Place(ctx, req.Service, q)
	if err != nil {
		kind, message, retryAfter, err := refusalToProto(err)
		return &peerpb.PlaceReply{Refused: kind, Message: message, RetryAfterMicros: retryAfter}, err
	}
	return &peerpb.PlaceReply{Server: server}, nil
}

// Settle implements peerpb.Peer.
func (s *Server) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if s.Platform == nil {
		return nil, errNoPlatform
	}
	s.Platform.Settle(req.Service, req.Request, req.Server, balance.Outcome(req.Outcome))
	return &peerpb.SettleReply{}, nil
}

// Follow asks an instance for the changes since the state in req.
func (c *Clients) Follow(ctx context.Context, address string, req FollowRequest) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+followMargin)
	defer cancel()
	age := int64(-1)
	if req.Confirmed {
		age = req.Age.Microseconds()
	}
	resp, err := c.For(address).Follow(ctx, &peerpb.FollowRequest{
		Version: req.Version, ServersRevision: req.ServersRevision, WaitMicros: req.Wait.Microseconds(), AgeMicros: age,
		Directory: req.DirectoryDigest, Configuration: req.ConfigurationDigest,
		CompressedServers: req.CompressedServers, EvacuationsRevision: req.EvacuationsRevision,
	})
	if err != nil {
		return FollowReply{}, fmt.Errorf("asking %s for changes: %w", address, err)
	}
	return FollowReply{
		Held:          microseconds(resp.HeldMicros),
		Configuration: resp.Configuration, ConfigurationDelta: resp.ConfigurationDelta, Servers: resp.Servers, CompressedServers: resp.CompressedServers,
		Confirmed: resp.AgeMicros >= 0, Confirmation: confirm.Report{Age: microseconds(resp.AgeMicros), Origin: resp.Origin, Hops: int(resp.Hops)},
		AnswersFromAge: microseconds(resp.AnswersFromMicros), AnswersToAge: microseconds(resp.AnswersToMicros),
		Directory: membersFromProto(resp.Directory), Evacuations: resp.Evacuations,
	}, nil
}

// RunStage has an instance compute the pieces of a stage. An error that wraps
// ErrNoAnswer leaves open whether they were computed.
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
		return nil, fmt.Errorf("asking %s to run a stage: %w: %w", address, ErrNoAnswer, err)
	}
	if resp.Refused != "" {
		return nil, fault.Errorf(fault.ParseKind(resp.Refused), "%s", resp.Message).WithRetryAfter(microseconds(resp.RetryAfterMicros))
	}
	return resp.Handles, nil
}

// FreeResults releases results at the instance that had them computed.
func (c *Clients) FreeResults(ctx context.Context, address, service string, handles []string) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	if _, err := c.For(address).Free(ctx, &peerpb.FreeRequest{Service: service, Handles: handles}); err != nil {
		return fmt.Errorf("freeing results at %s: %w: %w", address, ErrNoAnswer, err)
	}
	return nil
}

// Place asks an instance to choose an engine for a request. It returns the
// engine's ID, or "" if none is free. It returns a *fault.Error if the request was refused,
// and an error that wraps ErrNoAnswer if the instance did not answer.
func (c *Clients) Place(ctx context.Context, address, service string, q engine.Query, remaining time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Demand.Wait+placeMargin)
	defer cancel()
	req := &peerpb.PlaceRequest{
		Service: service, Request: q.RequestID, Affinity: q.Affinity, Exclude: q.Exclude, LeftMicros: remaining.Microseconds(),
		Repeatable: q.Repeatable, Trial: q.Trial,
		Parts: partsToProto(q.Parts), PromptTokens: int64(q.PromptTokens), OutputTokens: int64(q.OutputTokens), Demand: demandToProto(c.now(), q.Demand),
	}
	for zone, weight := range q.Weights {
		req.Weights = append(req.Weights, &peerpb.ZoneWeight{Zone: zone, Weight: weight})
	}
	resp, err := c.For(address).Place(ctx, req)
	if err != nil {
		return "", fmt.Errorf("asking %s for an engine: %w: %w", address, ErrNoAnswer, err)
	}
	if resp.Refused != "" {
		return "", refusalFromProto(resp.Refused, resp.Message, resp.RetryAfterMicros)
	}
	return resp.Server, nil
}

// Settle ends a placement at the instance that made it and reports its outcome.
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
