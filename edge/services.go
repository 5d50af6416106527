package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/relay"
	"chervilpath/io/arrived"
	"chervilpath/io/front"
	"chervilpath/io/operator"
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
	// peerIdleTimeout is shorter than idleTimeout, so that a call is not sent on a connection
	// that the other instance is closing.
	peerIdleTimeout = 12 * time.Second

	// headerTimeout, idleTimeout and maxHeaderBytes limit the HTTP servers, and that
	// for callers while no configuration is known or it has no such limit.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10

	// maxCallerTimeout is the longest of a configuration's limits for callers that is
	// followed.
	maxCallerTimeout = time.Hour

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
	// reserved for responding to requests whose response has not begun by then.
	responseReserve = 300 * time.Millisecond

	// drainPollInterval is the time between two checks of whether a draining
	// instance still has requests in flight.
	drainPollInterval = 20 * time.Millisecond

	// killMargin is the time between the end of a planned shutdown and the
	// platform's SIGKILL.
	killMargin = 400 * time.Millisecond
)

// listener is that of an HTTP server.
type listener struct {
	net.Listener
	// done is closed when the server accepts no more connections.
	done chan struct{}
}

func (in *Instance) addServices(k *kernel.Kernel) error {
	for _, s := range []kernel.Service{
		in.withHTTPServer(kernel.Service{Name: PeerService, Value: in.peers}, in.cfg.Load().PeerAddress(), in.peerHandler()),
		{Name: StoreService, DependsOn: []string{MembersService}, Value: in.store, Start: in.startLoops(in.followConfig, in.followServers, in.followEvacuations), Stop: in.shutDownLoops},
		{Name: MembersService, DependsOn: []string{PeerService}, Value: in.members, Start: in.startLoops(in.members.Run, in.followPeers, in.shareQuarantine, in.cold.confirmTenures, in.cold.keepContact)},
		in.withHTTPServer(kernel.Service{Name: OperatorService, DependsOn: []string{StoreService}}, in.cfg.Load().OperatorAddress(), in.operatorHandler()),
		in.callerService(),
	} {
		if err := k.Add(s); err != nil {
			return err
		}
	}
	return nil
}

func (in *Instance) peerHandler() http.Handler {
	s := &peer.Server{
		Members: in.members, Now: time.Now, Platform: in.platformHandler(),
		ReadRoot: func() []byte { return nil }, ReadFragment: func(string) ([]byte, bool) { return nil, false },
	}
	return s.Handler("")
}

func (in *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, r *http.Request) {
		if err := in.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", in.serveStatus)
	mux.HandleFunc("POST "+operator.ReleasePath, in.serveRelease)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(in.registry, promhttp.HandlerOpts{}))
	return mux
}

// callerService returns the service that serves callers. It drains in four
// steps: the instance reports that it is not ready, its responses close their
// connections, the requests in flight end, and idle connections are closed.
func (in *Instance) callerService() kernel.Service {
	var conns front.Conns
	server := &http.Server{Handler: in.callerServer, MaxHeaderBytes: front.MaxHeaderBytes, ConnState: conns.Track, ConnContext: front.ConnContext}
	s := in.withServer(kernel.Service{Name: CallerService, DependsOn: []string{OperatorService}, Value: in.callerServer}, in.cfg.Load().CallerAddress(), server,
		func(ln net.Listener) net.Listener { return front.NewListener(ln, in.callerLimits, in.waiting) })
	s.Drain = func(ctx context.Context) error {
		in.draining.Store(true)
		now := time.Now()
		untilEnd := in.ShutdownTimeout() - responseReserve
		in.shutdown.Store(&relay.Shutdown{RestrictFrom: now.Add(restrictDelay), End: now.Add(untilEnd)})
		timer := time.AfterFunc(untilEnd, in.cancelShutdownCtx)
		defer timer.Stop()
		in.log.Info("draining", zap.Int64("inFlight", in.callerServer.InFlight()))
		in.callerServer.DisableKeepAlives()
		in.members.Leave(ctx, "")
		in.sleep(ctx, shutdownDelay)
		// New connections are still accepted meanwhile, so that callers that know
		// no other instance get a response.
		for in.callerServer.InFlight() > 0 && ctx.Err() == nil {
			in.sleep(ctx, drainPollInterval)
		}
		in.closeListener(CallerService)
		for conns.CloseIdle() > 0 {
			if in.sleep(ctx, drainPollInterval); ctx.Err() != nil {
				return fmt.Errorf("waiting for requests in flight: %w", ctx.Err())
			}
		}
		return nil
	}
	return s
}

// callerLimits returns the limits for connections of callers. Limits of time are longer
// by the propagation time of a configuration, since callers may already rely on a version
// that raises them.
func (in *Instance) callerLimits() front.Limits {
	out := front.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if t := in.state.table(); t != nil {
		limits := t.Limits()
		if limits.HeaderBytes > 0 {
			out.HeaderBytes = int(min(limits.HeaderBytes, front.MaxHeaderBytes))
		}
		if limits.HeaderTimeout > 0 {
			out.HeaderTimeout = min(limits.HeaderTimeout, maxCallerTimeout)
		}
		if limits.IdleTimeout > 0 {
			out.IdleTimeout = min(limits.IdleTimeout, maxCallerTimeout)
		}
	}
	propagation := in.cfg.Load().Bounds().ConfigPropagation
	out.HeaderTimeout += propagation
	out.IdleTimeout += propagation
	return out
}

// withHTTPServer returns the service with an HTTP server for other instances or
// operators that starts and stops with it.
func (in *Instance) withHTTPServer(s kernel.Service, address string, h http.Handler) kernel.Service {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return in.withServer(s, address, server, func(ln net.Listener) net.Listener { return ln })
}

// withServer returns the service with an HTTP server that starts and stops with it, on
// the listener that wrap returns.
func (in *Instance) withServer(s kernel.Service, address string, server *http.Server, wrap func(net.Listener) net.Listener) kernel.Service {
	server.ErrorLog = zap.NewStdLog(in.log.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	in.httpServers = append(in.httpServers, server)
	s.Start = func(context.Context) error {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", s.Name, err)
		}
		l := &listener{Listener: ln, done: make(chan struct{})}
		in.listeners[s.Name] = l
		go func() {
			defer close(l.done)
			if err := server.Serve(wrap(arrived.NewListener(ln))); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				in.log.Error("HTTP server stopped unexpectedly", zap.String("service", s.Name), zap.Error(err))
			}
		}()
		return nil
	}
	s.Stop = func(ctx context.Context) error { return server.Close() }
	return s
}

// closeListener makes the HTTP server of a service accept no more connections.
func (in *Instance) closeListener(service string) {
	l := in.listeners[service]
	if err := l.Close(); err != nil {
		in.log.Warn("could not close a listener", zap.String("service", service), zap.Error(err))
		return
	}
	<-l.done
}

// startLoops returns a start function for a service that runs loops in the
// background until the instance stops.
func (in *Instance) startLoops(loops ...func(context.Context)) func(context.Context) error {
	return func(context.Context) error {
		for _, run := range loops {
			in.loops.Go(func() { run(in.loopCtx) })
		}
		return nil
	}
}

func (in *Instance) shutDownLoops(context.Context) error {
	in.cancelLoops()
	in.loops.Wait()
	return nil
}

// ShutdownTimeout returns how long a planned shutdown may take.
func (in *Instance) ShutdownTimeout() time.Duration { return in.cfg.Load().Bounds().Grace - killMargin }
