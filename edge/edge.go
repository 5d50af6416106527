// Package edge assembles an entry instance that the platform hosts: it creates
// the services of the instance from its settings and adds them to a kernel.
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
	"golang.org/x/time/rate"

	"chervilpath/core/fault"
	"chervilpath/core/kernel"
	"chervilpath/core/member"
	"chervilpath/core/memory"
	"chervilpath/core/quarantine"
	"chervilpath/core/relay"
	"chervilpath/core/settings"
	"chervilpath/core/stage"
	"chervilpath/io/boottime"
	"chervilpath/io/front"
	"chervilpath/io/http1"
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
		// bootTime returns the time by a clock that also runs while the machine is
		// suspended. Confirmations by the store are dated by it.
		bootTime func() time.Time
		registry *prometheus.Registry
		metrics  *metrics

		store      *platform.Store
		upstream   *upstream.Client
		quarantine *quarantine.Tracker
		// quarantineChanged wakes the loop that shares changes of the quarantine.
		quarantineChanged chan struct{}
		stageClient       *platform.StageClient
		peers             *peer.Clients
		members           *peer.Members
		state             *clusterState
		delegator         *delegator
		cold              *coldAdmission
		relay             *relay.Relay
		callerServer      *front.Server
		// waiting bounds what waits for callers that read slowly.
		waiting *memory.Waiting

		// ready is closed once this instance is settled among the others and knows
		// a configuration and at least one server.
		ready     chan struct{}
		readyOnce sync.Once
		startedAt time.Time
		draining  atomic.Bool
		// shutdown is the planned shutdown in progress, or the zero Shutdown.
		shutdown atomic.Pointer[relay.Shutdown]
		// watchingStore is set while this instance watches the store itself
		// instead of following peers.
		watchingStore atomic.Bool
		// numLostKinds is the number of kinds of object whose last call of the store
		// failed, while this instance watches the store.
		numLostKinds atomic.Int32
		// settledAt is when this instance was settled among the others, or nil if
		// it is not yet.
		settledAt        atomic.Pointer[time.Time]
		directoryDigests digests
		// noticeLog limits the log lines about headers of servers.
		noticeLog rate.Sometimes
		// loadLog limits the log lines about load headers of servers.
		loadLog rate.Sometimes
		refused *refusedEntries
		// refusedZones are the objects that name no zone to evacuate.
		refusedZones *refusedEntries
		// lastReplyAt is when a peer last answered a request for changes, or nil.
		lastReplyAt atomic.Pointer[time.Time]
		httpServers []*http.Server
		// listeners holds the listeners of the started HTTP servers by service.
		listeners map[string]*listener

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
	return newInstance(k, cfg, log, dropped, peerTransport())
}

// newInstance is New with the transport of calls to other instances.
func newInstance(k *kernel.Kernel, cfg settings.Site, log *zap.Logger, dropped func() int64, peers *http.Transport) (*Instance, error) {
	in := &Instance{
		name: cfg.Name(), incarnation: cfg.Name() + "-" + rand.Text()[:10], peerAddress: cfg.PeerAddress(),
		log:      log.With(zap.String("instance", cfg.Name()), zap.String("failureDomain", cfg.FailureDomain())),
		registry: prometheus.NewRegistry(), refused: newRefusedEntries(), refusedZones: newRefusedEntries(), ready: make(chan struct{}), listeners: make(map[string]*listener), startedAt: time.Now(),
		bootTime: boottime.Now,
		clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
	}
	in.noticeLog.Interval, in.loadLog.Interval = noticeLogInterval, noticeLogInterval
	in.cfg.Store(&cfg)
	in.shutdown.Store(&relay.Shutdown{})
	in.shutdownCtx, in.cancelShutdownCtx = context.WithCancel(context.Background())
	in.loopCtx, in.cancelLoops = context.WithCancel(context.Background())
	in.waiting = memory.NewWaiting(int64(waitingFraction * float64(cfg.Memory())))
	in.metrics = newMetrics(in.registry, dropped, in.waiting)
	in.store = platform.NewStore("http://"+cfg.Store(), &http.Client{Transport: http1.NewTransport(upstream.NewTransport())})
	in.upstream = upstream.New(upstream.NewTransport(), platform.OutgoingHeader, platform.ReadResponse, in.observeResponse)
	in.stageClient = platform.NewStageClient(upstream.NewTransport(), in.observeResponse)
	in.peers = peer.NewClients("", peers, nil, time.Now)
	self := member.Member{ID: in.incarnation, Name: cfg.Name(), Address: cfg.PeerAddress(), FailureDomain: cfg.FailureDomain(), Weight: cfg.Weight()}
	in.members = peer.NewMembers(self, cfg.Seeds(), in.peers, time.Now, peer.NewRand(), in.onNewerVersion, in.onServingChanged)
	in.quarantine, in.quarantineChanged = quarantine.New(in.incarnation), make(chan struct{}, 1)
	in.members.ShareQuarantine(peer.Quarantine{Digest: in.quarantine.Digest, Whole: in.wholeQuarantine, Merge: in.mergeQuarantine})
	in.state = newClusterState(in)
	in.state.registerMetrics(in.registry)
	in.delegator = newDelegator(in)
	in.cold = newColdAdmission(in)
	in.relay = relay.New(in.relayDeps())
	in.callerServer = front.New(front.Deps{
		Now: time.Now, RequestID: platform.RequestID, ParseRequest: platform.ReadRequest, Serve: in.relay.Serve, MaxBodyBytes: in.maxBody,
		Bodies:        memory.New(int64(bodyFraction * float64(cfg.Memory()))),
		SetRetryAfter: platform.SetRetryAfter, RequestFailed: in.recordFault, RequestAborted: in.recordAbort, RequestDone: in.metrics.recordRequest,
	})
	return in, in.addServices(k)
}

func peerTransport() *http.Transport {
	t := upstream.NewTransport()
	t.IdleConnTimeout = peerIdleTimeout
	t.MaxIdleConnsPerHost = 128
	return t
}

func (in *Instance) relayDeps() relay.Deps {
	return relay.Deps{
		Clock: in.clock, AwaitReady: in.awaitReady, Table: in.state.table, ConfigFresh: in.state.configFresh, Servers: in.state.servers,
		Send: in.upstream.Send, Answers: memory.New(int64(answerFraction * float64(in.cfg.Load().Memory()))), RunStage: in.delegator.runStage, FreeResults: in.delegator.freeResults, Place: in.delegator.place, Settle: in.delegator.settle, Suspect: in.delegator.suspect, Observe: in.delegator.observe,
		ResultZone: func(handle string) string { return in.state.servers().Zone(platform.ResultAddress(handle)) },
		PlainStage: in.state.plainStage, AcquireSlot: in.delegator.acquireSlot, RecordCall: in.state.recordCall, AllowRetry: in.state.allowRetry,
		ColdLimited: in.cold.limited, Admit: in.cold.admit,
		Quarantine: in.quarantine, QuarantineChanged: in.notifyQuarantine,
		ShutdownCtx: in.shutdownCtx,
		Shutdown:    func() relay.Shutdown { return *in.shutdown.Load() },
		Random:      mathrand.Float64, Log: in.logDecision,
	}
}

// The bodies of large requests take at most bodyFraction of the machine's memory together, and
// large answers of servers answerFraction. What waits for callers that read slowly takes
// waitingFraction, the buffers of their sockets included. The rest is for everything else, and for what the
// garbage collector has not freed yet.
const (
	bodyFraction   = 0.25
	answerFraction = 0.125

	waitingFraction = 0.125
)

// maxStartTime is the time after the start for which requests wait for an instance
// that is not ready.
const maxStartTime = 1500 * time.Millisecond

// defaultMaxBody is the size in bytes of the largest request body that is
// accepted while no configuration limits it.
const defaultMaxBody = 4 << 20

func (in *Instance) maxBody() int64 {
	if t := in.state.table(); t != nil && t.Limits().BodyBytes > 0 {
		return t.Limits().BodyBytes
	}
	return defaultMaxBody
}

func (in *Instance) recordFault(id string, err *fault.Error, status int) {
	in.metrics.recordFault(err.Kind().String())
	in.log.Info("request refused", zap.String("requestId", id), zap.String("kind", err.Kind().String()),
		zap.Int("status", status), zap.String("ran", err.Ran().String()), zap.String("cause", err.Error()))
}

// recordAbort records a connection that is closed without a complete response. The time
// since the configuration came into force and whether the instance is shutting down are
// logged, so that ends beside planned work can be told from others.
func (in *Instance) recordAbort(id string, err error) {
	cause := relay.CauseOfAbort(err, in.shutdownCtx.Err() != nil)
	in.metrics.recordAbort(string(cause))
	in.log.Warn("connection closed without a complete response", zap.String("requestId", id), zap.String("kind", fault.From(err).Kind().String()),
		zap.String("abortCause", string(cause)), zap.Error(err), zap.Int64("configAgeMs", in.state.configAge(time.Now()).Milliseconds()), zap.Bool("draining", in.draining.Load()))
}

func (in *Instance) logDecision(d relay.Decision) {
	fields := []zap.Field{zap.String("requestId", d.RequestID), zap.String("step", d.Step), zap.Int64("version", d.Version),
		zap.String("route", d.Route), zap.String("service", d.Service), zap.String("organisation", d.Organisation),
		zap.String("server", d.Server), zap.String("zone", d.Zone),
		zap.Int("attempt", d.Attempt), zap.Int("pieces", d.Pieces), zap.String("outcome", d.Outcome),
		zap.Int64("waitedMs", d.Elapsed.Milliseconds()), zap.Int64("leftMs", d.Remaining.Milliseconds()),
	}
	if d.Due != 0 {
		fields = append(fields, zap.Int64("dueMs", d.Due.Milliseconds()))
	}
	if d.LongestGap > 0 {
		fields = append(fields, zap.Int64("longestGapMs", d.LongestGap.Milliseconds()))
	}
	if d.Pace > 0 {
		fields = append(fields, zap.Float64("reportedPace", d.Pace), zap.Float64("expectedSlowness", d.Slowness))
	}
	if d.Step == relay.StepBroken {
		fields = append(fields, zap.Strings("sharedParts", d.SharedParts), zap.Bool("begun", d.Begun))
	}
	in.log.Info("decision", fields...)
}

// Ready returns the reason why the instance takes no new connections, or nil if
// it takes them.
func (in *Instance) Ready() error {
	switch {
	case in.draining.Load():
		return fault.Errorf(fault.Draining, "the instance is shutting down")
	case !in.isReady():
		return fault.Errorf(fault.Draining, "the instance has not joined the others or not received the configuration and the servers yet")
	}
	return nil
}

func (in *Instance) isReady() bool {
	select {
	case <-in.ready:
		return true
	default:
		return false
	}
}

// awaitReady waits until this instance is ready, as long as it may still be
// starting, and reports whether it is.
func (in *Instance) awaitReady(ctx context.Context) bool {
	if in.isReady() {
		return true
	}
	timer := time.NewTimer(time.Until(in.startedAt.Add(maxStartTime)))
	defer timer.Stop()
	select {
	case <-in.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// platformHandler returns the functions that answer calls of other instances.
func (in *Instance) platformHandler() *peer.PlatformHandler {
	return &peer.PlatformHandler{
		Now: time.Now, Follow: in.state.serveFollow, RunStage: in.delegator.runStageForPeer, FreeResults: in.delegator.freeLocally,
		Place: in.delegator.placeForPeer, Settle: in.delegator.settleLocally, Admit: in.cold.decide, Observe: in.delegator.observeForPeer,
		Acquire: in.delegator.acquireForPeer, Release: in.delegator.releaseLocally,
	}
}

// onServingChanged is called when the number of serving instances may have
// changed.
func (in *Instance) onServingChanged(count int) { in.state.setNumInstances(count) }
