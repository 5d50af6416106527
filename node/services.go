package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"chervilpath/core/kernel"
	"chervilpath/io/arrived"
	"chervilpath/io/operator"
	"chervilpath/io/peer"
)

// The names of an instance's services. In the kernel the instance's name precedes
// them; see Instance.ServiceName.
const (
	PlatformService     = "/platform"
	StagesService       = "/stages"
	DeclarationsService = "/declarations"
	MembersService      = "/members"
	OnceService         = "/once"
	CostService         = "/cost"
	EndpointsService    = "/endpoints"
	OrdersService       = "/orders"
	PeerService         = "/peer"
	OperatorService     = "/operator"
	CallerService       = "/caller"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute

	// peerIdleTimeout is how long an idle connection to a peer is kept open.
	peerIdleTimeout = 20 * time.Second
)

// listenConfig describes how a service listens for and serves HTTP requests.
type listenConfig struct {
	address string
	handler http.Handler
	// tlsConfig is nil for plain TCP.
	tlsConfig *tls.Config
	// maxConnections bounds the number of concurrent connections; 0 means that
	// there is no bound.
	maxConnections int
	// drains makes the service's drain wait for its requests in flight and accept
	// no more. Other services are served until they are stopped.
	drains bool
}

// addServices adds the instance's services to the kernel.
func (in *Instance) addServices(k *kernel.Kernel, security *transportSecurity) error {
	services := []kernel.Service{
		{Name: PlatformService, Value: in.objectClient},
		{Name: StagesService, Value: in.runner},
		{Name: MembersService, DependsOn: []string{PeerService}, Value: in.members, Start: in.startLoop(in.members.Run), Drain: in.announceLeave},
		{Name: DeclarationsService, DependsOn: []string{PlatformService, StagesService, MembersService}, Value: in.tracker, Start: in.startDeclarations},
		{Name: OnceService, DependsOn: []string{PlatformService, MembersService, StagesService, CostService}, Value: in.coordinator, Start: in.startLoop(in.flushOutcomes), Drain: in.handOver},
		{Name: CostService, DependsOn: []string{PlatformService}, Value: in.ledger, Start: in.startLoop(in.flushCosts), Drain: in.flushBeforeStop, Stop: in.shutDownLoops},
		{Name: EndpointsService, DependsOn: []string{StagesService, DeclarationsService}, Value: in.endpoints, Start: in.startEndpointUpdates},
		in.ordersService(),
		in.peerService(security),
		in.operatorService(security),
		in.callerService(security),
	}
	for _, s := range services {
		s.Name = in.ServiceName(s.Name)
		for i, dependency := range s.DependsOn {
			s.DependsOn[i] = in.ServiceName(dependency)
		}
		if err := k.Add(s); err != nil {
			return err
		}
	}
	return nil
}

func (in *Instance) peerService(security *transportSecurity) kernel.Service {
	server := &peer.Server{
		Members: in.members, Coordinator: in.coordinator, Now: time.Now,
		ReadRoot: in.tracker.RootJSON, ReadFragment: in.tracker.Fragment,
		KeysAdopted: func(incarnations []string) {
			in.log.Info("keys taken over", zap.Strings("from", incarnations))
		},
	}
	s := kernel.Service{Name: PeerService, DependsOn: []string{PlatformService}, Value: server}
	return in.withHTTPServer(s, listenConfig{
		address: in.cfg.PeerAddress(), handler: server.Handler(in.cfg.Secret()), tlsConfig: security.peerTLS,
	})
}

func (in *Instance) operatorService(security *transportSecurity) kernel.Service {
	server := operator.New(operator.Deps{Ready: in.ready, Status: in.Status, Registry: in.registry, Token: in.cfg.OperatorToken()})
	s := kernel.Service{Name: OperatorService, DependsOn: []string{DeclarationsService, CostService}, Value: server}
	return in.withHTTPServer(s, listenConfig{address: in.cfg.OperatorAddress(), handler: server.Handler(), tlsConfig: security.operatorTLS})
}

func (in *Instance) callerService(security *transportSecurity) kernel.Service {
	s := kernel.Service{
		Name:      CallerService,
		DependsOn: []string{OperatorService, OnceService, CostService, EndpointsService},
		Value:     in.callerServer, Drain: in.drainCallers,
	}
	return in.withHTTPServer(s, listenConfig{
		address: in.cfg.CallerAddress(), handler: in.callerServer.Handler(), tlsConfig: security.callerTLS,
		maxConnections: in.cfg.MaxConnections(), drains: true,
	})
}

// withHTTPServer returns the service with an HTTP server that starts and stops
// with it. If l.drains is set, the service must have a drain function.
func (in *Instance) withHTTPServer(s kernel.Service, l listenConfig) kernel.Service {
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(in.cfg.MaxHeader()),
		ErrorLog:          zap.NewStdLog(in.log.Named("http")),
	}
	in.httpServers = append(in.httpServers, server)
	name := s.Name
	s.Start = func(context.Context) error {
		ln, err := l.listen()
		if err != nil {
			return fmt.Errorf("listening for %s: %w", name, err)
		}
		go func() { _ = server.Serve(ln) }()
		return nil
	}
	if !l.drains {
		s.Stop = func(ctx context.Context) error {
			if server.Shutdown(ctx) != nil {
				return server.Close()
			}
			return nil
		}
		return s
	}
	drain := s.Drain
	s.Drain = func(ctx context.Context) error {
		if err := drain(ctx); err != nil {
			return err
		}
		return server.Shutdown(ctx)
	}
	s.Stop = func(context.Context) error { return server.Close() }
	return s
}

// listen opens the listener.
func (l listenConfig) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return nil, err
	}
	ln = arrived.NewListener(ln)
	if l.maxConnections > 0 {
		ln = netutil.LimitListener(ln, l.maxConnections)
	}
	if l.tlsConfig != nil {
		ln = tls.NewListener(ln, l.tlsConfig)
	}
	return ln, nil
}

// startLoop returns a service's start function that runs f in the background
// until the background loops are shut down.
func (in *Instance) startLoop(f func(context.Context)) func(context.Context) error {
	return func(context.Context) error {
		in.loops.Go(func() { f(in.loopCtx) })
		return nil
	}
}

// shutDownLoops cancels the background loops and waits for them to return.
func (in *Instance) shutDownLoops(context.Context) error {
	in.cancelLoops()
	in.loops.Wait()
	return nil
}
