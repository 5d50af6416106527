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
	// enginesPerShard is the maximum mean number of engines in a shard. Each
	// shard has a lease of its own.
	enginesPerShard = 50

	// maxCandidates is how many instances compete for a lease. It keeps the calls
	// to the store from growing with the number of instances.
	maxCandidates = 3

	// stateReadsPerStep is how many engines of a shard are queried for their
	// state in one step.
	stateReadsPerStep = 10

	// maxOrderDuration is the longest time that an order to an engine may take.
	maxOrderDuration = 5 * time.Second

	// maxOrdersPerMinute is this instance's share, for each shard whose lease it
	// holds, of the rate that the engines' store of model weights sustains.
	maxOrdersPerMinute = 6
)

type (
	// placementController sends orders to the engines of the shards whose leases
	// this instance holds, so that they load the models for which there is demand.
	// It is not safe for concurrent use.
	placementController struct {
		instance *Instance
		// leases holds the leases by shard.
		leases map[int]*lease.Lease
		// movedAt is when each engine, by name, was last sent an order.
		movedAt map[string]time.Time
		// orderTimes holds the times of the last minute's orders to each shard.
		orderTimes map[int][]time.Time
		// states holds the state of each engine, by name, when it was last read.
		states map[string]endpoint.State
		// nextEngine counts the state reads of each shard. Modulo the number of
		// engines it is the index of the engine to query next.
		nextEngine map[int]int
	}
)

func newPlacementController(in *Instance) *placementController {
	return &placementController{
		instance: in, leases: make(map[int]*lease.Lease), movedAt: make(map[string]time.Time), orderTimes: make(map[int][]time.Time),
		states: make(map[string]endpoint.State), nextEngine: make(map[int]int),
	}
}

// ordersService returns the service that sends orders to engines. Its drain ends
// the loop before it releases the leases, so that no order is then in flight.
func (in *Instance) ordersService() kernel.Service {
	c := newPlacementController(in)
	ctx, cancel := context.WithCancel(in.loopCtx)
	done := make(chan struct{})
	return kernel.Service{
		Name:      OrdersService,
		DependsOn: []string{PlatformService, StagesService, MembersService, DeclarationsService},
		Start: func(context.Context) error {
			in.loops.Go(func() {
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

// run renews or acquires leases and reconciles the engines of the shards whose
// leases this instance holds, until ctx is done. Because it keeps reading the
// engines' state, it also corrects the effect of a late order by an earlier holder
// at an engine that ignores fencing numbers.
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

// shardEngines assigns the engines that have models to shards by the hash of their
// names. Each shard is sorted by name.
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

// reconcileShard renews or acquires the lease of a shard and, if this instance
// holds it, places models on the shard's engines.
func (c *placementController) reconcileShard(ctx context.Context, shard int, engines []*declare.Endpoint) {
	in := c.instance
	name := fmt.Sprintf("engines-%03d", shard)
	l, ok := c.leases[shard]
	if !ok {
		l = lease.New(in.objectClient.Store(), name, in.owner.Incarnation, maxOrderDuration, rand.Text)
		c.leases[shard] = l
	}
	held := l.Holder() == in.owner.Incarnation
	rank := in.members.Rank(func(id string) uint64 { return xxhash.Sum64String(name + id) })
	if !held && rank >= maxCandidates {
		return
	}
	acquired, err := l.RenewOrAcquire(ctx, time.Now)
	if err != nil {
		in.log.Debug("lease not renewed", zap.String("lease", name), zap.Error(err))
	}
	if acquired {
		in.log.Info("lease acquired", zap.String("lease", name), zap.Int64("fence", l.Fence()))
	}
	if _, ok := l.MayOrder(time.Now()); ok {
		c.placeModels(ctx, shard, l, engines)
	}
}

// refreshStates reads the state of the next stateReadsPerStep engines of a shard.
// It does not read all of them in each step, to limit the traffic of a large
// shard.
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

// placeModels decides what each engine of a shard should have loaded and sends the
// orders that this requires. Engines of unknown state are left out.
func (c *placementController) placeModels(ctx context.Context, shard int, l *lease.Lease, engines []*declare.Endpoint) {
	in := c.instance
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
	for model, calls := range in.runner.Demand() {
		// The load balancer spreads requests evenly over the instances, so this
		// instance's demand times their number estimates the total.
		demands = append(demands, place.Demand{Model: model, Calls: calls * float64(in.members.NumServing())})
	}
	for _, order := range place.Orders(time.Now(), states, demands) {
		c.sendOrder(ctx, shard, l, byName[order.Engine], order)
	}
}

// sendOrder sends one order, unless the rate limit or the lease forbids it. The
// lease is checked just before the order is sent, and the order times out before
// the lease can expire.
func (c *placementController) sendOrder(ctx context.Context, shard int, l *lease.Lease, e *declare.Endpoint, order place.Order) {
	in := c.instance
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
	err := in.endpoints.SendOrder(callCtx, e, endpoint.Order{Fence: fence, Models: order.Models, Adapters: order.Adapters, Role: order.Role})
	c.movedAt[e.Name()] = now
	// The effect of the order is unknown until the engine's state is read again.
	delete(c.states, e.Name())
	in.log.Info("placement order sent",
		zap.String("engine", e.Name()), zap.Strings("models", order.Models), zap.Strings("adapters", order.Adapters),
		zap.String("role", order.Role), zap.String("reason", string(order.Reason)),
		zap.Int64("fence", fence), zap.Error(err))
}

// allowOrder reports whether another order may be sent to the shard within
// maxOrdersPerMinute, and counts the order if so.
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

// releaseLeases releases all leases. The loop must have ended, so that no order is
// in flight.
func (c *placementController) releaseLeases(ctx context.Context) {
	for shard, l := range c.leases {
		if err := l.Release(ctx, time.Now); err != nil {
			c.instance.log.Warn("lease not released", zap.Int("shard", shard), zap.Error(err))
		}
	}
}
