// Package edge assembles an entry instance that runs on the users' platform: it
// creates the services of the instance from its settings and adds them to a
// kernel.
//
// It owns the instance's background loops and the order in which the instance
// drains. It must not make decisions itself: those belong in core.
package edge

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chervilpath/core/fault"
	"chervilpath/core/kernel"
	"chervilpath/core/member"
	"chervilpath/core/relay"
	"chervilpath/core/settings"
	"chervilpath/core/stage"
	"chervilpath/io/front"
	"chervilpath/io/peer"
	"chervilpath/io/upstream"
	"chervilpath/platform"
)

type (
	// Instance is one entry instance. Use New to create one; the kernel starts
	// and stops it.
	Instance struct {
		cfg  atomic.Pointer[settings.Site]
		name string
		// incarnation is unique to this process of the instance.
		incarnation string
		peerAddress string
		log         *zap.Logger
		clock       stage.Clock
		registry    *prometheus.Registry
		metrics     *metrics

		store        *platform.Store
		upstream     *upstream.Client
		stageClient  *http.Client
		peers        *peer.Clients
		members      *peer.Members
		state        *clusterState
		delegator    *delegator
		relay        *relay.Relay
		callerServer *front.Server

		ready    atomic.Bool
		draining atomic.Bool
		// shutdown is the planned shutdown in progress, or the zero Shutdown.
		shutdown atomic.Pointer[relay.Shutdown]
		// watchingStore is set while this instance watches the store itself
		// instead of following peers.
		watchingStore atomic.Bool
		httpServers   []*http.Server

		// shutdownCtx is cancelled shortly before a planned shutdown ends.
		shutdownCtx       context.Context
		cancelShutdownCtx context.CancelFunc

		loopCtx     context.Context
		cancelLoops context.CancelFunc
		loops       sync.WaitGroup
	}
)

// New returns an instance and adds its services to the kernel. dropped returns
// the number of log lines that were dropped.
func New(k *kernel.Kernel, cfg settings.Site, log *zap.Logger, dropped func() int64) (*Instance, error) {
	n := &Instance{
		name: cfg.Name(), incarnation: cfg.Name() + "-" + rand.Text()[:10], peerAddress: cfg.PeerAddress(),
		log:      log.With(zap.String("instance", cfg.Name())),
		registry: prometheus.NewRegistry(),
		clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
	}
	n.cfg.Store(&cfg)
	n.watchingStore.Store(true)
	n.shutdown.Store(&relay.Shutdown{})
	n.shutdownCtx, n.cancelShutdownCtx = context.WithCancel(context.Background())
	n.loopCtx, n.cancelLoops = context.WithCancel(context.Background())
	n.metrics = newMetrics(n.registry, dropped)
	n.store = platform.NewStore("http://"+cfg.Store(), &http.Client{Transport: upstream.NewTransport()})
	n.upstream = upstream.New(upstream.NewTransport(), platform.OutgoingHeader, platform.ReadResponse)
	n.stageClient = &http.Client{Transport: upstream.NewTransport()}
	n.peers = peer.NewClients("", peerTransport(), nil, time.Now)
	self := member.Member{ID: n.incarnation, Name: cfg.Name(), Address: cfg.PeerAddress(), FailureDomain: cfg.FailureDomain(), Weight: cfg.Weight()}
	n.members = peer.NewMembers(self, cfg.Seeds(), n.peers, time.Now, peer.NewRand(), n.onNewerVersion, n.onServingChanged)
	n.state = newClusterState(n)
	n.delegator = newDelegator(n)
	n.relay = relay.New(n.relayDeps())
	n.callerServer = front.New(front.Deps{
		Now: time.Now, ParseRequest: platform.ReadRequest, Serve: n.relay.Serve, MaxBodyBytes: n.maxBody,
		SetRetryAfter: platform.SetRetryAfter, RequestFailed: n.recordFault, RequestDone: n.metrics.recordRequest,
	})
	return n, n.addServices(k)
}

func peerTransport() *http.Transport {
	t := upstream.NewTransport()
	t.IdleConnTimeout = peerIdleTimeout
	t.MaxIdleConnsPerHost = 128
	return t
}

func (n *Instance) relayDeps() relay.Deps {
	return relay.Deps{
		Clock: n.clock, Table: n.state.table, ConfigFresh: n.state.configFresh, Servers: n.state.servers,
		Send: n.upstream.Send, RunStage: n.delegator.runStage, FreeResults: n.delegator.freeResults, Place: n.delegator.place, Settle: n.delegator.settle,
		ResultZone: func(handle string) string { return n.state.servers().Zone(platform.ResultAddress(handle)) },
		PlainStage: n.state.plainStage, RecordCall: n.state.recordCall, AllowRetry: n.state.allowRetry,
		ShutdownCtx: n.shutdownCtx,
		Shutdown:    func() relay.Shutdown { return *n.shutdown.Load() },
		Random:      mathrand.Float64, Log: n.logDecision,
	}
}

// defaultMaxBody is the size in bytes of the largest request body that is
// accepted while no configuration limits it.
const defaultMaxBody = 4 << 20

func (n *Instance) maxBody() int64 {
	if t := n.state.table(); t != nil && t.Limits().BodyBytes > 0 {
		return t.Limits().BodyBytes
	}
	return defaultMaxBody
}

func (n *Instance) recordFault(id string, err *fault.Error, status int) {
	n.metrics.recordFault(err.Kind().String())
	n.log.Info("request refused", zap.String("requestId", id), zap.String("kind", err.Kind().String()),
		zap.Int("status", status), zap.String("ran", err.Ran().String()), zap.String("cause", err.Error()))
}

func (n *Instance) logDecision(d relay.Decision) {
	n.log.Info("decision", zap.String("requestId", d.RequestID), zap.String("step", d.Step), zap.Int64("version", d.Version),
		zap.String("route", d.Route), zap.String("service", d.Service), zap.String("organisation", d.Organisation),
		zap.String("server", d.Server), zap.String("zone", d.Zone),
		zap.Int("attempt", d.Attempt), zap.Int("pieces", d.Pieces), zap.String("outcome", d.Outcome),
		zap.Int64("waitedMs", d.Elapsed.Milliseconds()), zap.Int64("leftMs", d.Remaining.Milliseconds()))
}

// Ready returns the reason why the instance takes no new connections, or nil if
// it takes them.
func (n *Instance) Ready() error {
	switch {
	case n.draining.Load():
		return fault.Errorf(fault.Draining, "the instance is shutting down")
	case !n.ready.Load():
		return fault.Errorf(fault.Draining, "the instance has not received the configuration and the servers yet")
	}
	return nil
}

// platformHandler returns the functions that answer calls of other instances.
func (n *Instance) platformHandler() *peer.PlatformHandler {
	return &peer.PlatformHandler{
		Now: time.Now, Follow: n.state.serveFollow, RunStage: n.delegator.runStageLocally, FreeResults: n.delegator.freeLocally,
		Place: n.delegator.placeLocally, Settle: n.delegator.settleLocally,
	}
}

// onServingChanged is called when the number of serving instances may have
// changed.
func (n *Instance) onServingChanged(count int) { n.state.setNumInstances(count) }
