package node

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/lease"
	"chervilpath/core/place"
	"chervilpath/io/endpoint"
)

const (
	// enginesPerShard bounds the engines for which one lease stands.
	enginesPerShard = 50

	// candidates is how many instances compete for a lease, so that the calls
	// of the store do not grow with the fleet.
	candidates = 3

	// statesPerStep is how many engines of a shard are asked in a step.
	statesPerStep = 10

	// longestOrder bounds an order to an engine.
	longestOrder = 5 * time.Second

	// ordersPerMinute is this instance's part of the weight store's rate, for
	// each shard that it holds.
	ordersPerMinute = 6
)

type (
	// orders gives orders to engines under the leases that this instance holds.
	orders struct {
		instance *Instance
		leases   map[int]*lease.Lease
		moved    map[string]time.Time
		sent     map[int][]time.Time
		// states is what engines had loaded when they were last asked, and next
		// the place in each shard of the one to ask next.
		states map[string]endpoint.State
		next   map[int]int
	}
)

func newOrders(n *Instance) *orders {
	return &orders{
		instance: n, leases: make(map[int]*lease.Lease), moved: make(map[string]time.Time), sent: make(map[int][]time.Time),
		states: make(map[string]endpoint.State), next: make(map[int]int),
	}
}

// ordersService runs the loop that gives orders. Its drain ends the loop before
// it releases the leases, so that no order is in flight then.
func (n *Instance) ordersService() kernel.Service {
	o := newOrders(n)
	ctx, cancel := context.WithCancel(n.loopCtx)
	done := make(chan struct{})
	return kernel.Service{
		Name:      OrdersService,
		DependsOn: []string{PlatformService, StagesService, MembersService, DeclarationsService},
		Start: func(context.Context) error {
			n.running.Go(func() {
				defer close(done)
				o.run(ctx)
			})
			return nil
		},
		Drain: func(drainCtx context.Context) error {
			cancel()
			<-done
			o.release(drainCtx)
			return nil
		},
	}
}

// run steps the leases and brings engines to what they are to have loaded. It
// reads their state again and again, so that an order that came late from an earlier
// holder is put right also at an engine that ignores fencing numbers.
func (o *orders) run(ctx context.Context) {
	for o.instance.every(ctx, lease.RenewInterval) {
		set := o.instance.declarations()
		if set == nil {
			continue
		}
		shards := shardEngines(set)
		for i, engines := range shards {
			o.step(ctx, i, engines)
		}
	}
}

// shardEngines splits the engines, ordered by name, into shards.
func shardEngines(set *declare.Set) [][]*declare.Endpoint {
	var engines []*declare.Endpoint
	for _, name := range set.EndpointNames() {
		if e, _ := set.Endpoint(name); e.Kind() == "engine" && len(e.Models()) > 0 {
			engines = append(engines, e)
		}
	}
	n := (len(engines) + enginesPerShard - 1) / enginesPerShard
	shards := make([][]*declare.Endpoint, n)
	for _, e := range engines {
		i := int(xxhash.Sum64String(e.Name()) % uint64(n))
		shards[i] = append(shards[i], e)
	}
	return shards
}

func (o *orders) step(ctx context.Context, shard int, engines []*declare.Endpoint) {
	n := o.instance
	name := fmt.Sprintf("engines-%03d", shard)
	l, ok := o.leases[shard]
	if !ok {
		l = lease.New(n.platform.Store(), name, n.owner.Incarnation, longestOrder, rand.Text)
		o.leases[shard] = l
	}
	held := l.Holder() == n.owner.Incarnation
	rank := n.members.Rank(func(id string) uint64 { return xxhash.Sum64String(name + id) })
	if !held && rank >= candidates {
		return
	}
	taken, err := l.RenewOrAcquire(ctx, time.Now)
	if err != nil {
		n.log.Debug("lease not renewed", zap.String("lease", name), zap.Error(err))
	}
	if taken {
		n.log.Info("lease taken", zap.String("lease", name), zap.Int64("fence", l.Fence()))
	}
	if _, ok := l.MayOrder(time.Now()); ok {
		o.place(ctx, shard, l, engines)
	}
}

// ask reads the state of some engines of a shard, others in each step, so that
// a large shard costs few bytes.
func (o *orders) ask(ctx context.Context, shard int, engines []*declare.Endpoint) {
	for range min(statesPerStep, len(engines)) {
		e := engines[o.next[shard]%len(engines)]
		o.next[shard]++
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		s, err := o.instance.endpoints.State(callCtx, e)
		cancel()
		if err != nil {
			delete(o.states, e.Name())
			continue
		}
		o.states[e.Name()] = s
	}
}

// place gives the orders that the placement asks for.
func (o *orders) place(ctx context.Context, shard int, l *lease.Lease, engines []*declare.Endpoint) {
	n := o.instance
	o.ask(ctx, shard, engines)
	byName := make(map[string]*declare.Endpoint)
	var states []place.Engine
	for _, e := range engines {
		state, ok := o.states[e.Name()]
		if !ok {
			continue
		}
		byName[e.Name()] = e
		states = append(states, place.Engine{
			Name: e.Name(), Slots: e.Slots(), Allowed: e.Models(), MaxLoaded: e.ModelSlots(),
			Adapters: e.Adapters(), Role: e.Role(), Loaded: state.Models, LoadedAdapters: state.Adapters, CurrentRole: state.Role,
			MovedAt: o.moved[e.Name()],
		})
	}
	var demands []place.Demand
	for model, calls := range n.runner.Demand() {
		// The balancer spreads requests evenly over the instances.
		demands = append(demands, place.Demand{Model: model, Calls: calls * float64(n.members.Serving())})
	}
	for _, order := range place.Orders(time.Now(), states, demands) {
		o.give(ctx, shard, l, byName[order.Engine], order)
	}
}

// give sends one order. The lease is checked at this moment, and the order is
// given up before the lease can end.
func (o *orders) give(ctx context.Context, shard int, l *lease.Lease, e *declare.Endpoint, order place.Order) {
	n := o.instance
	now := time.Now()
	if !o.withinRate(now, shard) {
		return
	}
	fence, ok := l.MayOrder(now)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, longestOrder)
	defer cancel()
	err := n.endpoints.Order(callCtx, e, endpoint.Order{Fence: fence, Models: order.Models, Adapters: order.Adapters, Role: order.Role})
	o.moved[e.Name()] = now
	// Whatever the order did is seen when the engine is asked again.
	delete(o.states, e.Name())
	n.log.Info("models placed",
		zap.String("engine", e.Name()), zap.Strings("models", order.Models), zap.Strings("adapters", order.Adapters),
		zap.String("role", order.Role), zap.String("reason", string(order.Reason)),
		zap.Int64("fence", fence), zap.Error(err))
}

// withinRate keeps to this holder's part of the weight store's rate.
func (o *orders) withinRate(now time.Time, shard int) bool {
	var recent []time.Time
	for _, at := range o.sent[shard] {
		if now.Sub(at) < time.Minute {
			recent = append(recent, at)
		}
	}
	if len(recent) >= ordersPerMinute {
		o.sent[shard] = recent
		return false
	}
	o.sent[shard] = append(recent, now)
	return true
}

// release gives all leases up. No order is in flight: the loop has ended.
func (o *orders) release(ctx context.Context) {
	for shard, l := range o.leases {
		if err := l.Release(ctx, time.Now); err != nil {
			o.instance.log.Warn("lease not released", zap.Int("shard", shard), zap.Error(err))
		}
	}
}
