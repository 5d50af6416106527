package edge

import (
	"context"
	"encoding/json"
	"math"
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

	// freshPart is how long a confirmation of the configuration counts, as a part
	// of the time in which news have to be in force: shorter than that, so that
	// nothing is denied by a version that is no longer in force.
	freshPart = 0.9

	// stalePart is the age of the store's last confirmation at which an instance
	// watches the store itself, as a part of the same time: early enough to read
	// the store within it.
	stalePart = 0.65

	// Entries of live servers lapse after three heartbeats of silence, one of
	// which may pass before an outage of the store: one of lapseBeats is needed.
	lapseBeats = 2

	// fresher is how much later the store has to have confirmed what an instance
	// has, that this alone is news: above the time between two instances.
	fresher = 100 * time.Millisecond

	// maxSpec is the largest configuration that is taken from another instance,
	// in bytes: above the largest value of the store.
	maxSpec = 4 << 20

	// maxNewsWait bounds the wait of a peer for news.
	maxNewsWait = time.Second
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
		// spec is the configuration in force as it was read, and packed what
		// other instances are told of it; one of them may be nil.
		spec, packed []byte
		confirmed    time.Time
		// changed is closed and replaced at each change and each confirmation that
		// peers are told of.
		changed   chan struct{}
		instances int
		plains    map[string]*stage.Stage
		repeats   map[string]*retry.Share
	}
)

func newBeliefs(n *Instance) *beliefs {
	b := &beliefs{
		instance: n, view: fleet.New(lapseBeats * n.cfg.Load().Bounds().HeartbeatInterval), instances: 1, changed: make(chan struct{}),
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
	return !b.confirmed.IsZero() && time.Since(b.confirmed) < b.part(freshPart)
}

// part returns a part of the time in which news have to be in force: the
// shorter one of the bounds on a configuration and on a server's departure.
func (b *beliefs) part(of float64) time.Duration {
	bounds := b.instance.cfg.Load().Bounds()
	return time.Duration(of * float64(min(bounds.ConfigPropagation, bounds.Drain)))
}

// stale reports whether the store's last confirmation is too old to rely on peers.
func (b *beliefs) stale() bool { return b.age() >= b.part(stalePart) }

// confirm notes that the store confirmed the configuration at a time.
func (b *beliefs) confirm(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.StoreAnswered(time.Now(), at)
	if at.After(b.confirmed) {
		b.confirmed = at
		b.wake()
	}
}

// age returns the time since the store confirmed the configuration.
func (b *beliefs) age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmed.IsZero() {
		return math.MaxInt64
	}
	return time.Since(b.confirmed)
}

// acceptPacked takes a configuration that another instance tells.
func (b *beliefs) acceptPacked(packed []byte, from string) {
	spec, err := peer.Unpack(packed, maxSpec)
	if err != nil {
		b.instance.log.Warn("configuration of a peer refused", zap.String("from", from), zap.Error(err))
		return
	}
	b.accept(spec, from)
}

// accept takes a configuration if it is newer and whole.
func (b *beliefs) accept(spec []byte, from string) {
	table, err := platform.DecodeConfig(spec)
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
	b.spec, b.packed = spec, nil
	b.wake()
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
	before, generation := b.view.Revision(), b.view.Generation()
	now := time.Now()
	apply(b.view, now)
	for _, id := range b.view.Expire(now) {
		b.instance.log.Info("server gone", zap.String("server", id), zap.String("from", "lapse"))
	}
	if b.view.Generation() != generation {
		b.snapshot.Store(b.view.Snapshot())
		b.spread()
	}
	if b.view.Revision() != before {
		b.wake()
	}
	b.mu.Unlock()
	b.noteReady()
}

// expire removes the servers that did not come back after an outage.
func (b *beliefs) expire() {
	b.mu.Lock()
	waiting := b.view.MissingCount() > 0
	b.mu.Unlock()
	if waiting {
		b.change(func(*fleet.View, time.Time) {})
	}
}

// storeAnswered notes that the store answered this instance.
func (b *beliefs) storeAnswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.view.StoreAnswered(now, now)
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
		if svc.Engine != nil {
			b.instance.owners.desk(svc.Name).SetServers(servers, svc.Engine.Slots)
			continue
		}
		if svc.Pieces != nil {
			b.instance.owners.shop(svc.Name, *svc.Pieces).SetServers(servers, *svc.Pieces)
		}
		// A route may send requests to a service of stages too.
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
		s.SetDeclaration(decl)
	}
	s.UpdateMembership(nil, b.instances)
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
		s = retry.NewShare(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
		b.repeats[service] = s
	}
	return s
}

func (b *beliefs) count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share(service).RecordCall(time.Now())
}

func (b *beliefs) allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share(service).Allow(time.Now(), b.instances)
}

// news answers another instance that asks what it does not know. It waits for
// news, which a later confirmation of the store is too, as long as the question
// says.
func (b *beliefs) news(ctx context.Context, a peer.Asked) peer.News {
	out, any, changed := b.newsNow(a)
	if any {
		return out
	}
	timer := time.NewTimer(min(a.Wait, maxNewsWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	out, _, _ = b.newsNow(a)
	return out
}

// newsNow returns the news, whether there are any, and a channel that is closed
// at the next change.
func (b *beliefs) newsNow(a peer.Asked) (out peer.News, any bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out.Confirmed, out.Age = !b.confirmed.IsZero(), time.Since(b.confirmed)
	any = out.Confirmed && (!a.Confirmed || a.Age-out.Age > fresher)
	if t := b.current.Load(); t != nil && t.Version() > a.Version {
		if b.packed == nil {
			b.packed = peer.Pack(b.spec)
		}
		out.Configuration, any = b.packed, true
	}
	if changes := b.view.ChangesSince(a.ServersRevision); changes.Revision > a.ServersRevision {
		data, err := json.Marshal(changes)
		if err != nil {
			b.instance.log.Error("encoding the servers for a peer", zap.Error(err))
		}
		out.Servers, any = data, true
	}
	return out, any, b.changed
}

// hear takes the news of another instance.
func (b *beliefs) hear(from string, n peer.News) {
	if len(n.Configuration) > 0 {
		b.acceptPacked(n.Configuration, from)
	}
	if n.Confirmed {
		b.confirm(time.Now().Add(-n.Age))
	}
	if len(n.Servers) == 0 {
		b.expire()
		return
	}
	var changes fleet.Changes
	if err := json.Unmarshal(n.Servers, &changes); err != nil {
		b.instance.log.Warn("servers of a peer refused", zap.String("from", from), zap.Error(err))
		return
	}
	b.change(func(v *fleet.View, now time.Time) {
		for _, id := range v.Apply(now, changes) {
			b.instance.log.Info("server gone", zap.String("server", id), zap.String("from", from))
		}
	})
}

// wake tells those who wait for news of a change. The caller holds mu.
func (b *beliefs) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
