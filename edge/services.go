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

// The names of an instance's services in the kernel.
const (
	PeerService     = "peer"
	MembersService  = "members"
	StoreService    = "store"
	OperatorService = "operator"
	CallerService   = "caller"
)

const (
	peerIdleTimeout = 20 * time.Second

	// headerTimeout, idleTimeout and maxHeaderBytes limit the HTTP servers. They
	// are fixed, since the servers start before a configuration is known.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10

	// shutdownDelay is how long an instance still accepts new connections after
	// its shutdown began: the platform probes readiness every second and acts
	// after two failed probes.
	shutdownDelay = 2800 * time.Millisecond

	// restrictDelay is the time after the start of a planned shutdown from which
	// requests are accepted only if their deadline is before its end. The
	// platform's rules tolerate that requests are cut off only if they were sent
	// within 3 s of the start.
	restrictDelay = 2500 * time.Millisecond

	// responseReserve is the time at the end of a planned shutdown that is
	// reserved for responding to requests that were not sent to a server.
	responseReserve = 300 * time.Millisecond

	// drainPollInterval is the time between two checks of whether a draining
	// instance still has requests in flight.
	drainPollInterval = 20 * time.Millisecond

	// killMargin is the time between the end of a planned shutdown and the
	// platform's SIGKILL.
	killMargin = 400 * time.Millisecond
)

func (n *Instance) addServices(k *kernel.Kernel) error {
	for _, s := range []kernel.Service{
		n.withHTTPServer(kernel.Service{Name: PeerService, Value: n.peers}, n.cfg.Load().PeerAddress(), n.peerHandler()),
		{Name: MembersService, DependsOn: []string{PeerService}, Value: n.members, Start: n.startLoops(n.members.Run, n.followPeers)},
		{Name: StoreService, DependsOn: []string{MembersService}, Value: n.store, Start: n.startLoops(n.followConfig, n.followServers), Stop: n.shutDownLoops},
		n.withHTTPServer(kernel.Service{Name: OperatorService, DependsOn: []string{StoreService}}, n.cfg.Load().OperatorAddress(), n.operatorHandler()),
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
		Members: n.members, Now: time.Now, Platform: n.platformHandler(),
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

// callerService returns the service that serves callers. It drains in three
// steps: the instance reports that it is not ready, its responses close their
// connections, and the requests in flight end.
func (n *Instance) callerService() kernel.Service {
	s := n.withHTTPServer(kernel.Service{Name: CallerService, DependsOn: []string{OperatorService}, Value: n.callerServer}, n.cfg.Load().CallerAddress(), n.callerServer)
	server := n.httpServers[len(n.httpServers)-1]
	s.Drain = func(ctx context.Context) error {
		n.draining.Store(true)
		now := time.Now()
		n.shutdown.Store(&relay.Shutdown{RestrictFrom: now.Add(restrictDelay), End: now.Add(n.ShutdownTimeout())})
		timer := time.AfterFunc(n.ShutdownTimeout()-responseReserve, n.cancelShutdownCtx)
		defer timer.Stop()
		n.log.Info("instance shutting down", zap.Int64("inFlight", n.callerServer.InFlight()))
		n.callerServer.DisableKeepAlives()
		n.members.Leave(ctx, "")
		n.sleep(ctx, shutdownDelay)
		// New connections are still accepted meanwhile, so that callers that know
		// no other instance get a response.
		for n.callerServer.InFlight() > 0 && ctx.Err() == nil {
			n.sleep(ctx, drainPollInterval)
		}
		if err := server.Shutdown(ctx); err != nil {
			return fmt.Errorf("waiting for requests in flight: %w", err)
		}
		return nil
	}
	s.Stop = func(context.Context) error { return server.Close() }
	return s
}

// withHTTPServer returns the service with an HTTP server that starts and stops
// with it.
func (n *Instance) withHTTPServer(s kernel.Service, address string, h http.Handler) kernel.Service {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(n.log.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	n.httpServers = append(n.httpServers, server)
	s.Start = func(context.Context) error {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", s.Name, err)
		}
		go func() {
			if err := server.Serve(ln); err != http.ErrServerClosed {
				n.log.Error("HTTP server stopped unexpectedly", zap.String("service", s.Name), zap.Error(err))
			}
		}()
		return nil
	}
	s.Stop = func(ctx context.Context) error { return server.Close() }
	return s
}

// startLoops returns a start function for a service that runs loops in the
// background until the instance stops.
func (n *Instance) startLoops(loops ...func(context.Context)) func(context.Context) error {
	return func(context.Context) error {
		for _, run := range loops {
			n.loops.Go(func() { run(n.loopCtx) })
		}
		return nil
	}
}

func (n *Instance) shutDownLoops(context.Context) error {
	n.cancelLoops()
	n.loops.Wait()
	return nil
}

// ShutdownTimeout returns how long a planned shutdown may take.
func (n *Instance) ShutdownTimeout() time.Duration { return n.cfg.Load().Bounds().Grace - killMargin }
