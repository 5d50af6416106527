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
	"chervilpath/io/operator"
	"chervilpath/io/peer"
)

// Names of the services of one instance, after the instance's own name.
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
	peerIdle          = 20 * time.Second
)

// listener is how a service is reached.
type listener struct {
	address string
	handler http.Handler
	// secure is nil for plain TCP.
	secure *tls.Config
	// connections bounds those at once; 0 means no bound.
	connections int
	// drains is set for a service whose requests in flight a planned stop waits
	// for. Others are served to the end.
	drains bool
}

// addServices adds the instance's services to the kernel, with the instance's
// name before their own.
func (n *Instance) addServices(k *kernel.Kernel, secure *secured) error {
	services := []kernel.Service{
		{Name: PlatformService, Value: n.platform},
		{Name: StagesService, Value: n.runner},
		{Name: MembersService, DependsOn: []string{PeerService}, Value: n.members, Start: n.loop(n.members.Run), Drain: n.announceLeave},
		{Name: DeclarationsService, DependsOn: []string{PlatformService, StagesService, MembersService}, Value: n.holder, Start: n.startDeclarations},
		{Name: OnceService, DependsOn: []string{PlatformService, MembersService, StagesService, CostService}, Value: n.keeper, Start: n.loop(n.flushOutcomes), Drain: n.handOver},
		{Name: CostService, DependsOn: []string{PlatformService}, Value: n.ledger, Start: n.loop(n.flushCosts), Drain: n.flushAll, Stop: n.endLoops},
		{Name: EndpointsService, DependsOn: []string{StagesService, DeclarationsService}, Value: n.endpoints, Start: n.startWatching},
		n.ordersService(),
		n.peerService(secure),
		n.operatorService(secure),
		n.callerService(secure),
	}
	for _, s := range services {
		s.Name = n.ServiceName(s.Name)
		for i, need := range s.DependsOn {
			s.DependsOn[i] = n.ServiceName(need)
		}
		if err := k.Add(s); err != nil {
			return err
		}
	}
	return nil
}

func (n *Instance) peerService(secure *secured) kernel.Service {
	server := &peer.Server{
		Members: n.members, Keeper: n.keeper, Now: time.Now,
		ReadRoot: n.holder.RootJSON, ReadFragment: n.holder.Fragment,
		HandedOver: func(incarnations []string) {
			n.log.Info("keys taken over", zap.Strings("from", incarnations))
		},
	}
	s := kernel.Service{Name: PeerService, DependsOn: []string{PlatformService}, Value: server}
	return n.serve(s, listener{
		address: n.cfg.PeerAddress(), handler: server.Handler(n.cfg.Secret()), secure: secure.peerServer,
	})
}

func (n *Instance) operatorService(secure *secured) kernel.Service {
	server := operator.New(operator.Deps{Ready: n.ready, Status: n.Status, Registry: n.registry, Token: n.cfg.OperatorToken()})
	s := kernel.Service{Name: OperatorService, DependsOn: []string{DeclarationsService, CostService}, Value: server}
	return n.serve(s, listener{address: n.cfg.OperatorAddress(), handler: server.Handler(), secure: secure.operatorServer})
}

func (n *Instance) callerService(secure *secured) kernel.Service {
	s := kernel.Service{
		Name:      CallerService,
		DependsOn: []string{OperatorService, OnceService, CostService, EndpointsService},
		Value:     n.callers, Drain: n.drainCallers,
	}
	return n.serve(s, listener{
		address: n.cfg.CallerAddress(), handler: n.callers.Handler(), secure: secure.callerServer,
		connections: n.cfg.MaxConnections(), drains: true,
	})
}

// serve returns the service with an HTTP server that starts and stops with it.
func (n *Instance) serve(s kernel.Service, l listener) kernel.Service {
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(n.cfg.MaxHeader()),
		ErrorLog:          zap.NewStdLog(n.log.Named("http")),
	}
	n.servers = append(n.servers, server)
	name := s.Name
	s.Start = func(context.Context) error {
		open, err := l.open()
		if err != nil {
			return fmt.Errorf("listening for %s: %w", name, err)
		}
		go func() { _ = server.Serve(open) }()
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
	before := s.Drain
	s.Drain = func(ctx context.Context) error {
		if err := before(ctx); err != nil {
			return err
		}
		return server.Shutdown(ctx)
	}
	s.Stop = func(context.Context) error { return server.Close() }
	return s
}

// open listens at the address.
func (l listener) open() (net.Listener, error) {
	open, err := net.Listen("tcp", l.address)
	if err != nil {
		return nil, err
	}
	if l.connections > 0 {
		open = netutil.LimitListener(open, l.connections)
	}
	if l.secure != nil {
		open = tls.NewListener(open, l.secure)
	}
	return open, nil
}

// loop returns a start function that runs f in the background until the
// instance stops.
func (n *Instance) loop(f func(context.Context)) func(context.Context) error {
	return func(context.Context) error {
		n.running.Go(func() { f(n.loopCtx) })
		return nil
	}
}

func (n *Instance) endLoops(context.Context) error {
	n.stopLoops()
	n.running.Wait()
	return nil
}
