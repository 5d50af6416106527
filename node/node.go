// Package node assembles an entry instance: it creates the services of one
// instance from its settings and registers them with a kernel.
//
// It owns the instance's background loops and the dependencies that determine
// the order in which its services start and drain. It must not make decisions of
// its own; those belong in core.
package node

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/kernel"
	"chervilpath/core/member"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/core/stage"
	"chervilpath/io/caller"
	"chervilpath/io/endpoint"
	"chervilpath/io/objects"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

var errPeerBlocked = errors.New("calls to this peer are blocked")

// Instance is one entry instance. Use New to create one; the kernel starts and
// stops it.
type Instance struct {
	cfg   settings.Entry
	log   *zap.Logger
	owner once.Owner

	platformStore *platform.Store
	objectClient  *objects.Client
	runner        *pipeline.Runner
	tracker       *publish.Tracker
	members       *peer.Members
	peerClients   *peer.Clients
	coordinator   *once.Coordinator
	ledger        *cost.Ledger
	endpoints     *endpoint.Client
	callerServer  *caller.Server
	metrics       *metrics
	registry      *prometheus.Registry
	attainment    *attainmentCounter
	loadReports   loadReports

	httpServers []*http.Server
	draining    atomic.Bool
	// blockedPeers holds the addresses of the peers that BlockPeers blocked, or
	// is nil.
	blockedPeers   atomic.Pointer[map[string]bool]
	newerRevisions chan newerRevision

	// The background loops run until cancelLoops cancels loopCtx. loops waits
	// for them to return.
	cancelLoops context.CancelFunc
	loopCtx     context.Context
	loops       sync.WaitGroup
}

// New returns an instance and adds its services to the kernel.
func New(k *kernel.Kernel, cfg settings.Entry, log *zap.Logger) (*Instance, error) {
	n := &Instance{
		cfg:            cfg,
		log:            log.With(zap.String("instance", cfg.Name())),
		owner:          once.Owner{Incarnation: cfg.Name() + "-" + rand.Text()[:10], Address: cfg.PeerAddress()},
		tracker:        publish.NewTracker(),
		registry:       prometheus.NewRegistry(),
		attainment:     newAttainmentCounter(),
		loadReports:    loadReports{reportedAt: make(map[string]time.Time)},
		newerRevisions: make(chan newerRevision, 1),
	}
	n.loopCtx, n.cancelLoops = context.WithCancel(context.Background())
	security, err := n.loadCerts()
	if err != nil {
		return nil, err
	}
	n.endpoints = endpoint.New(&http.Client{Transport: security.endpointTransport}, n.recordLoad)
	n.platformStore = platform.NewStore(strings.TrimSuffix(cfg.PlatformURL(), "/"), &http.Client{Transport: security.platformTransport})
	n.objectClient = objects.New(n.platformStore.Objects(objects.WatchWait), cfg.ReadsPerSecond(), cfg.WritesPerSecond())
	n.ledger = cost.New(time.Now(), cfg.Name(), n.owner.Incarnation)
	n.metrics = newMetrics(n)
	n.runner = pipeline.New(n.pipelineDeps(), stage.Policy{}, peer.NewRand())
	n.peerClients = peer.NewClients(cfg.Secret(), n.peerTransport(), security.configurePeerTLS, time.Now)
	n.members = peer.NewMembers(n.self(), cfg.Seeds(), n.peerClients, time.Now, peer.NewRand(), n.onNewerRevision, n.onServingChanged)
	n.coordinator = once.New(once.Config{
		Owner: n.owner, Secret: []byte(cfg.Secret()), TicketTTL: cfg.TicketTTL(), Retention: cfg.Retention(), MaxKeys: cfg.MaxKeys(),
	}, once.Deps{
		Now: time.Now, NewID: rand.Text, Store: n.objectClient.Store(), Run: n.runOnce,
		Go: func(f func()) { go f() }, Forward: n.peerClients.Forward,
	})
	n.callerServer = caller.New(caller.Config{MaxBodyBytes: cfg.MaxBody()}, caller.Deps{
		Now: time.Now, NewID: rand.Text, Declarations: n.declarations, Run: n.runner.Run,
		Observe: n.observeRequest, Coordinator: n.coordinator, Log: n.log,
	})
	return n, n.addServices(k, security)
}

// peerTransport returns the transport for calls to peers. It closes idle
// connections early, because with many instances minutes pass between two calls
// to the same peer.
func (n *Instance) peerTransport() *http.Transport {
	t := endpoint.NewTransport()
	t.IdleConnTimeout = peerIdleTimeout
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if blocked := n.blockedPeers.Load(); blocked != nil && (*blocked)[address] {
			return nil, errPeerBlocked
		}
		return dial(ctx, network, address)
	}
	return t
}

func (n *Instance) self() member.Member {
	return member.Member{ID: n.owner.Incarnation, Name: n.cfg.Name(), Address: n.cfg.PeerAddress(), FailureDomain: n.cfg.FailureDomain()}
}

// Name returns the instance's name.
func (n *Instance) Name() string { return n.cfg.Name() }

// CallerAddress returns the address at which the instance serves callers.
func (n *Instance) CallerAddress() string { return n.cfg.CallerAddress() }

// OperatorAddress returns the address at which the instance serves operators.
func (n *Instance) OperatorAddress() string { return n.cfg.OperatorAddress() }

// Revision returns the revision of the declarations in force, or 0 if there are
// none.
func (n *Instance) Revision() int64 { return n.tracker.Revision() }

// PublishedAt returns when the declarations in force were published, by the
// publisher's clock, or the zero time if there are none.
func (n *Instance) PublishedAt() time.Time {
	if s := n.tracker.Current(); s != nil {
		return s.Root().At
	}
	return time.Time{}
}

// Ready reports whether the instance accepts new requests.
func (n *Instance) Ready() bool { return n.ready() == nil }

// ServiceName returns the kernel's name for one of the instance's services, such
// as CallerService.
func (n *Instance) ServiceName(service string) string { return n.cfg.Name() + service }

// declarations returns the declarations in force, or nil if there are none yet.
func (n *Instance) declarations() *declare.Set {
	if s := n.tracker.Current(); s != nil {
		return s.Set()
	}
	return nil
}

// ready returns the reason why the instance accepts no new requests, or nil if
// it accepts them.
func (n *Instance) ready() error {
	switch {
	case n.draining.Load():
		return fault.Errorf(fault.Draining, "the instance is shutting down")
	case n.tracker.Current() == nil:
		return fault.Errorf(fault.Draining, "the instance has no declarations yet")
	}
	return nil
}

func (n *Instance) pipelineDeps() pipeline.Deps {
	return pipeline.Deps{
		Instance: n.cfg.Name(),
		Clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
		Call:         n.endpoints.Call,
		LogDecision:  n.logDecision,
		RecordCharge: n.recordCharge,
		ObserveStage: n.metrics.observeStage,
		ObserveToken: n.metrics.observeToken,
		NewID:        rand.Text,
	}
}

// logDecision logs a routing decision as one line.
func (n *Instance) logDecision(d pipeline.Decision) {
	n.log.Info("call routed",
		zap.String("requestId", d.RequestID),
		zap.String("organisation", d.Organisation),
		zap.String("kind", d.Kind),
		zap.String("stage", d.Stage),
		zap.String("attemptId", d.AttemptID),
		zap.Int("attempt", d.Attempt),
		zap.String("endpoint", d.Endpoint),
		zap.String("failureDomain", d.FailureDomain),
		zap.String("reason", d.Reason),
		zap.Bool("hedge", d.Hedge),
		zap.Duration("waited", d.Waited),
		zap.Duration("remaining", d.Remaining),
	)
}

// recordCharge accounts for the cost of one call to an endpoint.
func (n *Instance) recordCharge(c pipeline.Charge) {
	n.ledger.Record(c)
	n.metrics.calls.WithLabelValues(c.Stage, c.Class.String()).Inc()
}

// observeRequest records how a caller's request ended.
func (n *Instance) observeRequest(completion caller.Completion) {
	n.metrics.observeRequest(completion)
	n.attainment.add(time.Now(), completion)
}

// onServingChanged is called when the number of serving instances changes. They
// share the capacity of the endpoints.
func (n *Instance) onServingChanged(serving int) { n.runner.SetInstances(serving) }

// BlockPeers makes calls from this instance to the peers at the given addresses
// fail, and calls to all other peers possible again. To partition two instances,
// block each of them at the other. Connections with callers, endpoints and the
// platform are not affected. It is for demos and tests.
func (n *Instance) BlockPeers(addresses []string) {
	blocked := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		blocked[a] = true
	}
	n.blockedPeers.Store(&blocked)
	n.peerClients.CloseIdle()
}

// Crash stops the instance as if its process had died: connections break, and
// nothing is handed over or stored. It is for demos and tests.
func (n *Instance) Crash() {
	for _, s := range n.httpServers {
		_ = s.Close()
	}
	n.cancelLoops()
	n.loops.Wait()
}
