// Package edge puts an entry instance on the users' platform together: it makes
// the services of one instance from its settings and gives them to a kernel.
//
// It owns the instance's loops and the order in which it drains. It must not
// hold decisions of its own: those are in core.
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
	// Instance is one entry instance. Use New; the kernel starts and stops it.
	Instance struct {
		cfg         atomic.Pointer[settings.Site]
		name        string
		incarnation string
		peerAddress string
		log         *zap.Logger
		clock       stage.Clock
		registry    *prometheus.Registry
		metrics     *metrics

		store    *platform.Store
		upstream *upstream.Client
		pieces   *http.Client
		clients  *peer.Clients
		members  *peer.Members
		beliefs  *beliefs
		owners   *owners
		relay    *relay.Relay
		callers  *front.Server

		ready    atomic.Bool
		draining atomic.Bool
		// stop is the planned stop under way, or the zero Stop.
		stop atomic.Pointer[relay.Shutdown]
		// direct is set while this instance watches the store itself.
		direct  atomic.Bool
		servers []*http.Server

		// stopping is done shortly before a planned stop ends.
		stopping    context.Context
		endStopping context.CancelFunc

		loopCtx   context.Context
		stopLoops context.CancelFunc
		running   sync.WaitGroup
	}
)

// New returns an instance whose services have been added to the kernel. dropped
// returns the number of log lines that were dropped.
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
	n.direct.Store(true)
	n.stop.Store(&relay.Shutdown{})
	n.stopping, n.endStopping = context.WithCancel(context.Background())
	n.loopCtx, n.stopLoops = context.WithCancel(context.Background())
	n.metrics = newMetrics(n.registry, dropped)
	n.store = platform.NewStore("http://"+cfg.Store(), &http.Client{Transport: upstream.Transport()})
	n.upstream = upstream.New(upstream.Transport(), platform.OutgoingHeader, platform.ReadResponse)
	n.pieces = &http.Client{Transport: upstream.Transport()}
	n.clients = peer.NewClients("", peerTransport(), nil, time.Now)
	self := member.Member{ID: n.incarnation, Name: cfg.Name(), Address: cfg.PeerAddress(), FailureDomain: cfg.FailureDomain(), Weight: cfg.Weight()}
	n.members = peer.NewMembers(self, cfg.Seeds(), n.clients, time.Now, peer.NewRand(), n.behind, n.serving)
	n.beliefs = newBeliefs(n)
	n.owners = newOwners(n)
	n.relay = relay.New(n.relayDeps())
	n.callers = front.New(front.Deps{
		Now: time.Now, Read: platform.ReadRequest, Serve: n.relay.Serve, MaxBody: n.maxBody,
		Refuse: platform.SetRetryAfter, Failed: n.failed, Done: n.metrics.done,
	})
	return n, n.addServices(k)
}

func peerTransport() *http.Transport {
	t := upstream.Transport()
	t.IdleConnTimeout = peerIdle
	t.MaxIdleConnsPerHost = 128
	return t
}

func (n *Instance) relayDeps() relay.Deps {
	return relay.Deps{
		Clock: n.clock, Table: n.beliefs.table, ConfigFresh: n.beliefs.fresh, Servers: n.beliefs.servers,
		Send: n.upstream.Send, RunStage: n.owners.work, FreeResults: n.owners.free, Place: n.owners.place, Settle: n.owners.settle,
		ResultZone: func(handle string) string { return n.beliefs.servers().Zone(platform.ResultAddress(handle)) },
		PlainStage: n.beliefs.plain, RecordCall: n.beliefs.count, AllowRetry: n.beliefs.allow,
		ShutdownCtx: n.stopping,
		Shutdown:    func() relay.Shutdown { return *n.stop.Load() },
		Random:      mathrand.Float64, Log: n.logDecision,
	}
}

// defaultMaxBody bounds bodies before a configuration is known, in bytes.
const defaultMaxBody = 4 << 20

func (n *Instance) maxBody() int64 {
	if t := n.beliefs.table(); t != nil && t.Limits().BodyBytes > 0 {
		return t.Limits().BodyBytes
	}
	return defaultMaxBody
}

func (n *Instance) failed(id string, err *fault.Error, status int) {
	n.metrics.fault(err.Kind().String())
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

// Ready reports why the instance takes no new connections, or nil.
func (n *Instance) Ready() error {
	switch {
	case n.draining.Load():
		return fault.Errorf(fault.Draining, "the instance is leaving")
	case !n.ready.Load():
		return fault.Errorf(fault.Draining, "the instance does not know the configuration and the servers yet")
	}
	return nil
}

// site answers the other instances.
func (n *Instance) site() *peer.Site {
	return &peer.Site{
		Now: time.Now, Follow: n.beliefs.news, Work: n.owners.workHere, Free: n.owners.freeHere,
		Place: n.owners.placeHere, Settle: n.owners.settleHere,
	}
}

// serving is called when the number of serving instances may have changed.
func (n *Instance) serving(count int) { n.beliefs.setInstances(count) }
