package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/relay"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

// Names of the services of one instance.
const (
	PeerService     = "peer"
	MembersService  = "members"
	StoreService    = "store"
	OperatorService = "operator"
	CallerService   = "caller"
)

const (
	peerIdle = 20 * time.Second

	// headerTimeout, idleTimeout and headerBytes bound callers before a
	// configuration is known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10

	// noticeFor is how long a stopping instance still takes new connections:
	// the platform asks for readiness each second and acts after two misses.
	noticeFor = 2800 * time.Millisecond

	// lateAfter is the time from the start of a planned stop from which requests
	// have to fit before its end: the rules excuse a cut only of those that were
	// sent within 3 s.
	lateAfter = 2500 * time.Millisecond

	// answerTime is kept at the end of a planned stop to answer the requests
	// that were not sent to a server.
	answerTime = 300 * time.Millisecond

	// idleEvery is the time between two looks at whether a stopping instance
	// still has requests in flight.
	idleEvery = 20 * time.Millisecond

	// stopMargin is kept free before the end of the grace time.
	stopMargin = 400 * time.Millisecond
)

func (n *Instance) addServices(k *kernel.Kernel) error {
	for _, s := range []kernel.Service{
		n.listen(kernel.Service{Name: PeerService, Value: n.clients}, n.cfg.Load().PeerAddress(), n.peerHandler()),
		{Name: MembersService, DependsOn: []string{PeerService}, Value: n.members, Start: n.loop(n.members.Run, n.followPeers)},
		{Name: StoreService, DependsOn: []string{MembersService}, Value: n.store, Start: n.loop(n.followConfig, n.followServers), Stop: n.endLoops},
		n.listen(kernel.Service{Name: OperatorService, DependsOn: []string{StoreService}}, n.cfg.Load().OperatorAddress(), n.operatorHandler()),
		n.callerService(),
	} {
		if err := k.Add(s); err != nil {
			return err
		}
	}
	return nil
}

func (n *Instance) peerHandler() http.Handler {
	s := &peer.Server{
		Members: n.members, Now: time.Now, Site: n.site(),
		ReadRoot: func() []byte { return nil }, ReadFragment: func(string) ([]byte, bool) { return nil, false },
	}
	return s.Handler("")
}

func (n *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, r *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}

// callerService serves callers. It drains in three steps: not ready, answers
// that end their connections, and the end of requests in flight.
func (n *Instance) callerService() kernel.Service {
	s := n.listen(kernel.Service{Name: CallerService, DependsOn: []string{OperatorService}, Value: n.callers}, n.cfg.Load().CallerAddress(), n.callers)
	server := n.servers[len(n.servers)-1]
	s.Drain = func(ctx context.Context) error {
		n.draining.Store(true)
		now := time.Now()
		n.stop.Store(&relay.Shutdown{RestrictFrom: now.Add(lateAfter), End: now.Add(n.StopTimeout())})
		last := time.AfterFunc(n.StopTimeout()-answerTime, n.endStopping)
		defer last.Stop()
		n.log.Info("instance leaving", zap.Int64("inFlight", n.callers.Active()))
		n.callers.Leave()
		n.members.Leave(ctx, "")
		n.pause(ctx, noticeFor)
		// Callers that have nowhere else to go are still taken and told so.
		for n.callers.Active() > 0 && ctx.Err() == nil {
			n.pause(ctx, idleEvery)
		}
		if err := server.Shutdown(ctx); err != nil {
			return fmt.Errorf("ending requests in flight: %w", err)
		}
		return nil
	}
	s.Stop = func(context.Context) error { return server.Close() }
	return s
}

// listen returns the service with an HTTP server that starts and stops with it.
func (n *Instance) listen(s kernel.Service, address string, h http.Handler) kernel.Service {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(n.log.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	n.servers = append(n.servers, server)
	s.Start = func(context.Context) error {
		open, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", s.Name, err)
		}
		go func() {
			if err := server.Serve(open); err != http.ErrServerClosed {
				n.log.Error("listener ended", zap.String("service", s.Name), zap.Error(err))
			}
		}()
		return nil
	}
	s.Stop = func(ctx context.Context) error { return server.Close() }
	return s
}

// loop returns a start that runs loops until the instance stops.
func (n *Instance) loop(loops ...func(context.Context)) func(context.Context) error {
	return func(context.Context) error {
		for _, run := range loops {
			n.running.Go(func() { run(n.loopCtx) })
		}
		return nil
	}
}

func (n *Instance) endLoops(context.Context) error {
	n.stopLoops()
	n.running.Wait()
	return nil
}

// StopTimeout returns how long a planned stop may take.
func (n *Instance) StopTimeout() time.Duration { return n.cfg.Load().Bounds().Grace - stopMargin }
