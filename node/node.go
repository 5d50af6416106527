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
	"chervilpath/io/http1"
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
	in := &Instance{
		cfg:            cfg,
		log:            log.With(zap.String("instance", cfg.Name())),
		owner:          once.Owner{Incarnation: cfg.Name() + "-" + rand.Text()[:10], Address: cfg.PeerAddress()},
		tracker:        publish.NewTracker(),
		registry:       prometheus.NewRegistry(),
		attainment:     newAttainmentCounter(),
		loadReports:    loadReports{reportedAt: make(map[string]time.Time)},
		newerRevisions: make(chan newerRevision, 1),
	}
	in.loopCtx, in.cancelLoops = context.WithCancel(context.Background())
	security, err := in.loadCerts()
	if err != nil {
		return nil, err
	}
	in.endpoints = endpoint.New(security.endpointTransport, in.recordLoad)
	in.platformStore = platform.NewStore(strings.TrimSuffix(cfg.PlatformURL(), "/"), &http.Client{Transport: http1.NewTransport(security.platformTransport)})
	in.objectClient = objects.New(in.platformStore.Objects(objects.WatchWait), cfg.ReadsPerSecond(), cfg.WritesPerSecond())
	in.ledger = cost.New(time.Now(), cfg.Name(), in.owner.Incarnation)
	in.metrics = newMetrics(in)
	in.runner = pipeline.New(in.pipelineDeps(), stage.Policy{}, peer.NewRand())
	in.peerClients = peer.NewClients(cfg.Secret(), in.peerTransport(), security.configurePeerTLS, time.Now)
	in.members = peer.NewMembers(in.self(), cfg.Seeds(), in.peerClients, time.Now, peer.NewRand(), in.onNewerRevision, in.onServingChanged)
	in.coordinator = once.New(once.Config{
		Owner: in.owner, Secret: []byte(cfg.Secret()), TicketTTL: cfg.TicketTTL(), Retention: cfg.Retention(), MaxKeys: cfg.MaxKeys(),
	}, once.Deps{
		Now: time.Now, NewID: rand.Text, Store: in.objectClient.Store(), Run: in.runOnce,
		Go: func(f func()) { go f() }, Forward: in.peerClients.Forward,
	})
	in.callerServer = caller.New(caller.Config{MaxBodyBytes: cfg.MaxBody()}, caller.Deps{
		Now: time.Now, NewID: rand.Text, Declarations: in.declarations, Run: in.runner.Run,
		Observe: in.observeRequest, Coordinator: in.coordinator, Log: in.log,
	})
	return in, in.addServices(k, security)
}

// peerTransport returns the transport for calls to peers. It closes idle
// connections early, because with many instances minutes pass between two calls
// to the same peer.
func (in *Instance) peerTransport() *http.Transport {
	t := endpoint.NewTransport()
	t.IdleConnTimeout = peerIdleTimeout
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if blocked := in.blockedPeers.Load(); blocked != nil && (*blocked)[address] {
			return nil, errPeerBlocked
		}
		return dial(ctx, network, address)
	}
	return t
}

func (in *Instance) self() member.Member {
	return member.Member{ID: in.owner.Incarnation, Name: in.cfg.Name(), Address: in.cfg.PeerAddress(), FailureDomain: in.cfg.FailureDomain()}
}

// Name returns the instance's name.
func (in *Instance) Name() string { return in.cfg.Name() }

// CallerAddress returns the address at which the instance serves callers.
func (in *Instance) CallerAddress() string { return in.cfg.CallerAddress() }

// OperatorAddress returns the address at which the instance serves operators.
func (in *Instance) OperatorAddress() string { return in.cfg.OperatorAddress() }

// Revision returns the revision of the declarations in force, or 0 if there are
// none.
func (in *Instance) Revision() int64 { return in.tracker.Revision() }

// PublishedAt returns when the declarations in force were published, by the
// publisher's clock, or the zero time if there are none.
func (in *Instance) PublishedAt() time.Time {
	if s := in.tracker.Current(); s != nil {
		return s.Root().At
	}
	return time.Time{}
}

// Ready reports whether the instance accepts new requests.
func (in *Instance) Ready() bool { return in.ready() == nil }

// ServiceName returns the kernel's name for one of the instance's services, such
// as CallerService.
func (in *Instance) ServiceName(service string) string { return in.cfg.Name() + service }

// declarations returns the declarations in force, or nil if there are none yet.
func (in *Instance) declarations() *declare.Set {
	if s := in.tracker.Current(); s != nil {
		return s.Set()
	}
	return nil
}

// ready returns the reason why the instance accepts no new requests, or nil if
// it accepts them.
func (in *Instance) ready() error {
	switch {
	case in.draining.Load():
		return fault.Errorf(fault.Draining, "the instance is shutting down")
	case in.tracker.Current() == nil:
		return fault.Errorf(fault.Draining, "the instance has no declarations yet")
	}
	return nil
}

func (in *Instance) pipelineDeps() pipeline.Deps {
	return pipeline.Deps{
		Instance: in.cfg.Name(),
		Clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
		Call:         in.endpoints.Call,
		LogDecision:  in.logDecision,
		RecordCharge: in.recordCharge,
		ObserveStage: in.metrics.observeStage,
		ObserveToken: in.metrics.observeToken,
		NewID:        rand.Text,
	}
}

// logDecision logs a routing decision as one line.
func (in *Instance) logDecision(d pipeline.Decision) {
	in.log.Info("call routed",
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
func (in *Instance) recordCharge(c pipeline.Charge) {
	in.ledger.Record(c)
	in.metrics.calls.WithLabelValues(c.Stage, c.Class.String()).Inc()
}

// observeRequest records how a caller's request ended.
func (in *Instance) observeRequest(completion caller.Completion) {
	in.metrics.observeRequest(completion)
	in.attainment.add(time.Now(), completion)
}

// onServingChanged is called when the number of serving instances changes. They
// share the capacity of the endpoints.
func (in *Instance) onServingChanged(serving int) { in.runner.SetInstances(serving) }

// BlockPeers makes calls from this instance to the peers at the given addresses
// fail, and calls to all other peers possible again. To partition two instances,
// block each of them at the other. Connections with callers, endpoints and the
// platform are not affected. It is for demos and tests.
func (in *Instance) BlockPeers(addresses []string) {
	blocked := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		blocked[a] = true
	}
	in.blockedPeers.Store(&blocked)
	in.peerClients.CloseIdle()
}

// Crash stops the instance as if its process had died: connections break, and
// nothing is handed over or stored. It is for demos and tests.
func (in *Instance) Crash() {
	for _, s := range in.httpServers {
		_ = s.Close()
	}
	in.cancelLoops()
	in.loops.Wait()
}
