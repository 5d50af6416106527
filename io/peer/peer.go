// Package peer implements the protocol between entry instances, which uses Twirp.
//
// It owns how instances authenticate each other, and carries membership,
// declarations and attempts at requests whose keys another instance owns. It must
// not decide on any of these: core/member, core/publish and core/once do. Between
// instances on the platform it also carries the configuration, and calls to the
// instances that own services.
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"chervilpath/core/fault"
	"chervilpath/core/member"
	"chervilpath/core/once"
	"chervilpath/io/http1"
	"chervilpath/io/peer/peerpb"
)

const (
	// pingTimeout limits a ping, probeTimeout a ping through another instance,
	// and syncTimeout a sync.
	pingTimeout  = 500 * time.Millisecond
	probeTimeout = 2 * pingTimeout
	syncTimeout  = 5 * time.Second

	bearerPrefix = "Bearer "
)

type (
	// Clients holds a client for each peer address. Use NewClients to create it.
	// It is safe for concurrent use.
	Clients struct {
		http        *http.Client
		now         func() time.Time
		scheme      string
		transferred atomic.Int64

		mu      sync.Mutex
		clients map[string]peerpb.Peer
	}

	// Server serves the other instances. Its fields must be set before Handler is
	// called.
	Server struct {
		Members *Members
		// Coordinator serves attempts whose keys this instance owns. It is nil
		// if the instance owns no keys.
		Coordinator *once.Coordinator
		// ReadRoot returns the JSON of the root in force, or nil.
		ReadRoot func() []byte
		// ReadFragment returns the data of a fragment in force.
		ReadFragment func(hash string) ([]byte, bool)
		// KeysAdopted is called after the keys of other incarnations were taken
		// over.
		KeysAdopted func(incarnations []string)
		Now         func() time.Time
		// Platform serves the calls that only instances on the platform
		// make to each other. It is nil if the instance does not run there.
		Platform *PlatformHandler
	}

	// countingConn counts the bytes that are read and written.
	countingConn struct {
		net.Conn
		transferred *atomic.Int64
	}

	// authTransport adds the shared secret to requests and limits replies.
	authTransport struct {
		secret string
		next   *http1.Transport
	}
)

// NewClients returns clients that authenticate with the shared secret and use the
// given transport, whose bytes they count. If configureTLS is not nil, it sets up
// the transport for TLS, and the clients use HTTPS.
func NewClients(secret string, transport *http.Transport, configureTLS func(*http.Transport), now func() time.Time) *Clients {
	c := &Clients{now: now, clients: make(map[string]peerpb.Peer), scheme: "http://"}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, transferred: &c.transferred}, nil
	}
	if configureTLS != nil {
		c.scheme = "https://"
		configureTLS(transport)
	}
	c.http = &http.Client{Transport: authTransport{secret: secret, next: http1.NewTransport(transport)}}
	return c
}

// Bytes returns the number of bytes sent and received by calls to peers. Calls from
// peers are counted by the peers.
func (c *Clients) Bytes() int64 { return c.transferred.Load() }

// NetConn returns the connection whose bytes are counted.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transferred.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transferred.Add(int64(n))
	return n, err
}

// RoundTrip implements http.RoundTripper.
func (t authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+t.secret)
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		err = limitReply(resp, r.URL.Path)
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections lets http.Client close the idle connections of the
// underlying transport.
func (t authTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// For returns the client for an address. It creates one if there is none.
func (c *Clients) For(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.clients[address]
	if !ok {
		p = peerpb.NewPeerProtobufClient(c.scheme+address, c.http)
		c.clients[address] = p
	}
	return p
}

// CloseIdle closes the connections that are not in use.
func (c *Clients) CloseIdle() { c.http.CloseIdleConnections() }

// Retain removes the clients of all addresses but the given ones.
func (c *Clients) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.clients {
		if !addresses[a] {
			delete(c.clients, a)
		}
	}
}

// Forward forwards an attempt to the owner of its key. The error wraps
// once.ErrOwnerGone if the owner's incarnation does not answer or no longer
// exists.
func (c *Clients) Forward(ctx context.Context, owner once.Owner, a once.Attempt) (once.Outcome, error) {
	resp, err := c.For(owner.Address).Serve(ctx, &peerpb.ServeRequest{
		OwnerIncarnation: owner.Incarnation,
		OwnerAddress:     owner.Address,
		Organisation:     a.Organisation,
		Kind:             a.Kind,
		Key:              a.Key,
		Body:             a.Body,
		RemainingMillis:  a.Deadline.Sub(c.now()).Milliseconds(),
		AskOnly:          a.QueryOnly,
	})
	if err != nil {
		return once.Outcome{}, forwardError(owner, err)
	}
	var o once.Outcome
	if err := json.Unmarshal(resp.Outcome, &o); err != nil {
		return o, fault.Errorf(fault.Internal, "decoding the outcome from instance %s: %w", owner.Address, err)
	}
	return o, nil
}

// forwardError restores the kind of an error that the owner returned. An owner
// that did not answer may have run the request, so it must not be run elsewhere.
func forwardError(owner once.Owner, err error) error {
	twirpErr, ok := errors.AsType[twirp.Error](err)
	if ok && twirpErr.Meta("kind") != "" {
		kind := fault.ParseKind(twirpErr.Meta("kind"))
		return fault.Errorf(kind, "%s", twirpErr.Msg()).WithRan(fault.ParseRan(twirpErr.Meta("ran")))
	}
	return fmt.Errorf("forwarding to %s: %w: %w", owner.Address, err, once.ErrOwnerGone)
}

// Handler returns the HTTP handler for peers. A request without the secret is
// rejected before its body is read. If the secret is "", none is required.
func (s *Server) Handler(secret string) http.Handler {
	h := peerpb.NewPeerServer(s)
	mux := http.NewServeMux()
	mux.HandleFunc(h.PathPrefix(), func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if secret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(secret)) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the peer secret is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, messageLimit(r.URL.Path))
		h.ServeHTTP(w, r)
	})
	return mux
}

// Ping implements peerpb.Peer.
func (s *Server) Ping(ctx context.Context, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	s.Members.mergeUpdates(append(req.News, req.From))
	self, updates := s.Members.pingContents()
	reply := &peerpb.PingReply{From: self, News: updates}
	s.Members.answerQuarantine(req, reply)
	return reply, nil
}

// Probe implements peerpb.Peer.
func (s *Server) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return &peerpb.ProbeReply{Answered: s.Members.ping(ctx, req.Address, req.Id) == nil}, nil
}

// Sync implements peerpb.Peer.
func (s *Server) Sync(ctx context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.Members.mergeUpdates([]*peerpb.Member{req.From})
	members := s.Members.List()
	if req.Directory {
		members, _ = s.Members.Directory()
	}
	return &peerpb.SyncReply{
		Members: membersToProto(members), Serving: int32(s.Members.NumServing()), Settled: s.Members.isSettled(),
	}, nil
}

// Serve implements peerpb.Peer.
func (s *Server) Serve(ctx context.Context, req *peerpb.ServeRequest) (*peerpb.ServeReply, error) {
	if s.Coordinator == nil {
		return nil, twirp.NewError(twirp.NotFound, "this instance owns no keys")
	}
	owner := once.Owner{Incarnation: req.OwnerIncarnation, Address: req.OwnerAddress}
	deadline := s.Now().Add(time.Duration(req.RemainingMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o, err := s.Coordinator.ServePeer(ctx, owner, once.Attempt{
		Organisation: req.Organisation, Kind: req.Kind, Key: req.Key, Body: req.Body, Deadline: deadline, QueryOnly: req.AskOnly,
	})
	if errors.Is(err, once.ErrOwnerGone) {
		return nil, twirp.NewError(twirp.NotFound, "this incarnation does not own the key")
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	data, err := json.Marshal(o)
	if err != nil {
		return nil, toTwirp(fault.Errorf(fault.Internal, "encoding an outcome: %w", err))
	}
	return &peerpb.ServeReply{Outcome: data}, nil
}

// Root implements peerpb.Peer.
func (s *Server) Root(context.Context, *peerpb.RootRequest) (*peerpb.RootReply, error) {
	return &peerpb.RootReply{Root: s.ReadRoot()}, nil
}

// Fragment implements peerpb.Peer.
func (s *Server) Fragment(_ context.Context, req *peerpb.FragmentRequest) (*peerpb.FragmentReply, error) {
	data, ok := s.ReadFragment(req.Hash)
	if !ok {
		return nil, toTwirp(fault.Errorf(fault.NotFound, "fragment %.12s is not in force here", req.Hash))
	}
	return &peerpb.FragmentReply{Data: data}, nil
}

// HandOver implements peerpb.Peer.
func (s *Server) HandOver(_ context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	if s.Coordinator == nil {
		return nil, twirp.NewError(twirp.NotFound, "this instance owns no keys")
	}
	var records []once.Record
	if err := json.Unmarshal(req.Records, &records); err != nil {
		return nil, toTwirp(fault.Errorf(fault.BadRequest, "decoding records: %w", err))
	}
	s.Coordinator.Adopt(req.Incarnations, records)
	s.KeysAdopted(req.Incarnations)
	return &peerpb.HandOverReply{}, nil
}

// toTwirp returns err as a Twirp error with the code of its kind. The metadata
// holds the kind and whether the request ran.
func toTwirp(err error) error {
	e := fault.From(err)
	return twirp.NewError(e.Kind().Properties().TwirpCode, e.Error()).WithMeta("kind", e.Kind().String()).WithMeta("ran", e.Ran().String())
}

func toProto(m member.Member) *peerpb.Member {
	return &peerpb.Member{
		Id: m.ID, Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain,
		State: uint32(m.State), Sequence: m.Sequence, Revision: m.Revision, Successor: m.Successor, Weight: m.Weight,
	}
}

// fromProto converts a member received from a peer, and returns an error if it is
// invalid.
func fromProto(pb *peerpb.Member) (member.Member, error) {
	if pb == nil || pb.Id == "" || pb.State > uint32(member.Gone) {
		return member.Member{}, errors.New("member without an id or with an unknown state")
	}
	if _, _, err := net.SplitHostPort(pb.Address); err != nil {
		return member.Member{}, fmt.Errorf("member %q: %w", pb.Id, err)
	}
	return member.Member{
		ID: pb.Id, Name: pb.Name, Address: pb.Address, FailureDomain: pb.FailureDomain,
		State: member.State(pb.State), Sequence: pb.Sequence, Revision: pb.Revision, Successor: pb.Successor, Weight: pb.Weight,
	}, nil
}
