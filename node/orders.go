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

	// maxCandidates is how many instances compete for a lease, so that the calls
	// of the store do not grow with the fleet.
	maxCandidates = 3

	// stateReadsPerStep is how many engines of a shard are asked in a step.
	stateReadsPerStep = 10

	// maxOrderDuration bounds an order to an engine.
	maxOrderDuration = 5 * time.Second

	// maxOrdersPerMinute is this instance's part of the weight store's rate, for
	// each shard that it holds.
	maxOrdersPerMinute = 6
)

type (
	// placementController gives orders to engines under the leases that this instance holds.
	placementController struct {
		instance   *Instance
		leases     map[int]*lease.Lease
		movedAt    map[string]time.Time
		orderTimes map[int][]time.Time
		// states is what engines had loaded when they were last asked, and next
		// the place in each shard of the one to ask next.
		states     map[string]endpoint.State
		nextEngine map[int]int
	}
)

func newPlacementController(n *Instance) *placementController {
	return &placementController{
		instance: n, leases: make(map[int]*lease.Lease), movedAt: make(map[string]time.Time), orderTimes: make(map[int][]time.Time),
		states: make(map[string]endpoint.State), nextEngine: make(map[int]int),
	}
}

// ordersService runs the loop that gives orders. Its drain ends the loop before
// it releases the leases, so that no order is in flight then.
func (n *Instance) ordersService() kernel.Service {
	c := newPlacementController(n)
	ctx, cancel := context.WithCancel(n.loopCtx)
	done := make(chan struct{})
	return kernel.Service{
		Name:      OrdersService,
		DependsOn: []string{PlatformService, StagesService, MembersService, DeclarationsService},
		Start: func(context.Context) error {
			n.loops.Go(func() {
				defer close(done)
				c.run(ctx)
			})
			return nil
		},
		Drain: func(drainCtx context.Context) error {
			cancel()
			<-done
			c.releaseLeases(drainCtx)
			return nil
		},
	}
}

// run steps the leases and brings engines to what they are to have loaded. It
// reads their state again and again, so that an order that came late from an earlier
// holder is put right also at an engine that ignores fencing numbers.
func (c *placementController) run(ctx context.Context) {
	for c.instance.sleepJittered(ctx, lease.RenewInterval) {
		set := c.instance.declarations()
		if set == nil {
			continue
		}
		shards := shardEngines(set)
		for i, engines := range shards {
			c.reconcileShard(ctx, i, engines)
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
	numShards := (len(engines) + enginesPerShard - 1) / enginesPerShard
	shards := make([][]*declare.Endpoint, numShards)
	for _, e := range engines {
		i := int(xxhash.Sum64String(e.Name()) % uint64(numShards))
		shards[i] = append(shards[i], e)
	}
	return shards
}

func (c *placementController) reconcileShard(ctx context.Context, shard int, engines []*declare.Endpoint) {
	n := c.instance
	name := fmt.Sprintf("engines-%03d", shard)
	l, ok := c.leases[shard]
	if !ok {
		l = lease.New(n.objectClient.Store(), name, n.owner.Incarnation, maxOrderDuration, rand.Text)
		c.leases[shard] = l
	}
	held := l.Holder() == n.owner.Incarnation
	rank := n.members.Rank(func(id string) uint64 { return xxhash.Sum64String(name + id) })
	if !held && rank >= maxCandidates {
		return
	}
	acquired, err := l.RenewOrAcquire(ctx, time.Now)
	if err != nil {
		n.log.Debug("lease not renewed", zap.String("lease", name), zap.Error(err))
	}
	if acquired {
		n.log.Info("lease taken", zap.String("lease", name), zap.Int64("fence", l.Fence()))
	}
	if _, ok := l.MayOrder(time.Now()); ok {
		c.placeModels(ctx, shard, l, engines)
	}
}

// refreshStates reads the state of some engines of a shard, others in each step, so that
// a large shard costs few bytes.
func (c *placementController) refreshStates(ctx context.Context, shard int, engines []*declare.Endpoint) {
	for range min(stateReadsPerStep, len(engines)) {
		e := engines[c.nextEngine[shard]%len(engines)]
		c.nextEngine[shard]++
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		s, err := c.instance.endpoints.State(callCtx, e)
		cancel()
		if err != nil {
			delete(c.states, e.Name())
			continue
		}
		c.states[e.Name()] = s
	}
}

// placeModels gives the orders that the placement asks for.
func (c *placementController) placeModels(ctx context.Context, shard int, l *lease.Lease, engines []*declare.Endpoint) {
	n := c.instance
	c.refreshStates(ctx, shard, engines)
	byName := make(map[string]*declare.Endpoint)
	var states []place.Engine
	for _, e := range engines {
		state, ok := c.states[e.Name()]
		if !ok {
			continue
		}
		byName[e.Name()] = e
		states = append(states, place.Engine{
			Name: e.Name(), Slots: e.Slots(), Allowed: e.Models(), MaxLoaded: e.ModelSlots(),
			Adapters: e.Adapters(), Role: e.Role(), Loaded: state.Models, LoadedAdapters: state.Adapters, CurrentRole: state.Role,
			MovedAt: c.movedAt[e.Name()],
		})
	}
	var demands []place.Demand
	for model, calls := range n.runner.Demand() {
		// The balancer spreads requests evenly over the instances.
		demands = append(demands, place.Demand{Model: model, Calls: calls * float64(n.members.NumServing())})
	}
	for _, order := range place.Orders(time.Now(), states, demands) {
		c.sendOrder(ctx, shard, l, byName[order.Engine], order)
	}
}

// sendOrder sends one order. The lease is checked at this moment, and the order is
// given up before the lease can end.
func (c *placementController) sendOrder(ctx context.Context, shard int, l *lease.Lease, e *declare.Endpoint, order place.Order) {
	n := c.instance
	now := time.Now()
	if !c.allowOrder(now, shard) {
		return
	}
	fence, ok := l.MayOrder(now)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maxOrderDuration)
	defer cancel()
	err := n.endpoints.SendOrder(callCtx, e, endpoint.Order{Fence: fence, Models: order.Models, Adapters: order.Adapters, Role: order.Role})
	c.movedAt[e.Name()] = now
	// Whatever the order did is seen when the engine is asked again.
	delete(c.states, e.Name())
	n.log.Info("models placed",
		zap.String("engine", e.Name()), zap.Strings("models", order.Models), zap.Strings("adapters", order.Adapters),
		zap.String("role", order.Role), zap.String("reason", string(order.Reason)),
		zap.Int64("fence", fence), zap.Error(err))
}

// allowOrder keeps to this holder's part of the weight store's rate.
func (c *placementController) allowOrder(now time.Time, shard int) bool {
	var recent []time.Time
	for _, at := range c.orderTimes[shard] {
		if now.Sub(at) < time.Minute {
			recent = append(recent, at)
		}
	}
	if len(recent) >= maxOrdersPerMinute {
		c.orderTimes[shard] = recent
		return false
	}
	c.orderTimes[shard] = append(recent, now)
	return true
}

// releaseLeases gives all leases up. No order is in flight: the loop has ended.
func (c *placementController) releaseLeases(ctx context.Context) {
	for shard, l := range c.leases {
		if err := l.Release(ctx, time.Now); err != nil {
			c.instance.log.Warn("lease not released", zap.Int("shard", shard), zap.Error(err))
		}
	}
}
