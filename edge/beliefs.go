package edge

import (
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
	"chervilpath/core/retry"
	"chervilpath/core/route"
	"chervilpath/core/stage"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

const (
	// plainQueue is how many requests may wait for a plain service here.
	plainQueue = 512

	// freshFor is how long a confirmation of the configuration counts: longer
	// than a watch, shorter than the bound on a configuration.
	freshFor = 1800 * time.Millisecond

	// aloneAfter is how long the store may be silent before peers are asked
	// for the whole list of servers.
	aloneAfter = 1500 * time.Millisecond
)

type (
	// beliefs is what the instance believes of the configuration and the
	// servers, and what it keeps for each service because of that.
	beliefs struct {
		instance *Instance
		current  atomic.Pointer[route.Table]
		snapshot atomic.Pointer[fleet.Snapshot]

		mu   sync.Mutex
		view *fleet.View
		// spec is the configuration in force as it was read.
		spec      []byte
		confirmed time.Time
		answered  time.Time
		instances int
		plains    map[string]*stage.Stage
		repeats   map[string]*retry.Share
	}
)

func newBeliefs(n *Instance) *beliefs {
	b := &beliefs{
		instance: n, view: fleet.New(), instances: 1,
		plains: make(map[string]*stage.Stage), repeats: make(map[string]*retry.Share),
	}
	b.snapshot.Store(b.view.Snapshot())
	return b
}

func (b *beliefs) table() *route.Table      { return b.current.Load() }
func (b *beliefs) servers() *fleet.Snapshot { return b.snapshot.Load() }

// fresh reports whether the configuration was confirmed of late.
func (b *beliefs) fresh() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.confirmed.IsZero() && time.Since(b.confirmed) < freshFor
}

func (b *beliefs) confirm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed = time.Now()
}

// alone reports whether the store does not serve this instance.
func (b *beliefs) alone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.answered) > aloneAfter
}

// accept takes a configuration if it is newer and whole.
func (b *beliefs) accept(spec []byte, from string) {
	table, err := platform.Config(spec)
	if err != nil {
		b.instance.log.Warn("configuration refused", zap.String("from", from), zap.Error(err))
		return
	}
	b.mu.Lock()
	have := b.current.Load()
	if have != nil && table.Version() <= have.Version() {
		b.mu.Unlock()
		return
	}
	b.current.Store(table)
	b.spec = spec
	b.spread()
	b.mu.Unlock()
	b.instance.log.Info("configuration in force", zap.Int64("version", table.Version()), zap.String("from", from))
	b.instance.metrics.version.Set(float64(table.Version()))
	b.noteReady()
	go b.instance.members.SetRevision(b.instance.loopCtx, table.Version())
}

func (b *beliefs) noteReady() {
	if b.current.Load() != nil && b.snapshot.Load().Len() > 0 && b.instance.ready.CompareAndSwap(false, true) {
		b.instance.log.Info("instance ready")
	}
}

// change applies a change to the view of the servers.
func (b *beliefs) change(apply func(v *fleet.View, now time.Time)) {
	b.mu.Lock()
	apply(b.view, time.Now())
	b.snapshot.Store(b.view.Snapshot())
	b.spread()
	b.mu.Unlock()
	b.noteReady()
}

// storeAnswered and storeFailed note what the store did.
func (b *beliefs) storeAnswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = time.Now()
	b.view.Answered(b.answered)
}

func (b *beliefs) storeFailed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Failed(time.Now())
}

func (b *beliefs) setInstances(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count == b.instances {
		return
	}
	b.instances = count
	b.instance.log.Info("instances serving", zap.Int("count", count))
	b.spread()
}

// spread tells every service what changed. The caller holds mu.
func (b *beliefs) spread() {
	table, snapshot := b.current.Load(), b.snapshot.Load()
	if table == nil {
		return
	}
	for _, svc := range table.Services() {
		servers := snapshot.Service(svc.Name)
		switch {
		case svc.Engine != nil:
			b.instance.owners.desk(svc.Name).Replace(servers, svc.Engine.Slots)
		case svc.Pieces != nil:
			b.instance.owners.shop(svc.Name, *svc.Pieces).Replace(servers, *svc.Pieces)
		}
		// A route may send requests to any service.
		b.spreadPlain(svc.Name, servers)
	}
}

func (b *beliefs) spreadPlain(name string, servers []fleet.Server) {
	endpoints := make([]*declare.Endpoint, 0, len(servers))
	for _, s := range servers {
		endpoints = append(endpoints, declare.NewEndpoint(s.ID, s.Address, s.Zone, s.Slots))
	}
	decl := declare.NewStage(name, plainQueue, endpoints)
	s, ok := b.plains[name]
	if !ok {
		s = stage.New(decl, b.instance.name, b.instances, b.instance.clock, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 1)), stage.Policy{})
		b.plains[name] = s
	} else {
		s.Replace(decl)
	}
	s.Share(nil, b.instances)
}

func (b *beliefs) plain(name string) *stage.Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plains[name]
}

// share returns the budget of repeats for a service. The caller holds mu.
func (b *beliefs) share(service string) *retry.Share {
	s, ok := b.repeats[service]
	if !ok {
		bounds := b.instance.cfg.Load().Bounds()
		s = retry.NewShare(bounds.RepeatRatio, bounds.RepeatSlack, bounds.RepeatWindow)
		b.repeats[service] = s
	}
	return s
}

func (b *beliefs) count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share(service).Call(time.Now())
}

func (b *beliefs) allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share(service).Allow(time.Now(), b.instances)
}

// news answers another instance that asks what it does not know.
func (b *beliefs) news(a peer.Asked) peer.News {
	fresh := b.fresh()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := peer.News{ServersRevision: b.view.Revision(), Fresh: fresh}
	if t := b.current.Load(); t != nil && t.Version() > a.Version {
		out.Configuration = b.spec
	}
	for _, s := range b.view.Draining() {
		out.Departures = append(out.Departures, peer.Departure{ID: s.ID, Born: s.Born})
	}
	if a.Alone && b.view.Revision() > a.ServersRevision && time.Since(b.answered) < aloneAfter {
		data, err := json.Marshal(b.view.All())
		if err != nil {
			b.instance.log.Error("encoding the servers for a peer", zap.Error(err))
			return out
		}
		out.Servers = data
	}
	return out
}

// hear takes the news of another instance.
func (b *beliefs) hear(from string, n peer.News) {
	if len(n.Configuration) > 0 {
		b.accept(n.Configuration, from)
	}
	if n.Fresh && len(n.Configuration) == 0 {
		b.confirm()
	}
	b.change(func(v *fleet.View, now time.Time) {
		for _, d := range n.Departures {
			if v.Depart(d.ID, d.Born) {
				b.instance.log.Info("server leaving", zap.String("server", d.ID), zap.String("from", from))
			}
		}
	})
	if len(n.Servers) == 0 {
		return
	}
	var servers []fleet.Server
	if err := json.Unmarshal(n.Servers, &servers); err != nil {
		b.instance.log.Warn("servers of a peer refused", zap.String("from", from), zap.Error(err))
		return
	}
	b.change(func(v *fleet.View, now time.Time) { v.Copy(now, servers, n.ServersRevision) })
}
