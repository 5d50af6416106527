package edge

import (
	"context"
	"errors"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/overload"
	"chervilpath/core/relay"
	"chervilpath/core/slot"
	"chervilpath/core/stage"
	"chervilpath/core/status"
	"chervilpath/io/peer"
)

const (
	// slotHold is how long an owner may hold a call for a slot, and slotMargin how much
	// longer the call may take. Together they bound what an owner that does not answer costs
	// a request, and are below the target latencies of plain services, 150 ms. An instance
	// with a seventh of a core answers late by up to a period of the scheduler, 100 ms, less
	// its share.
	slotHold   = 40 * time.Millisecond
	slotMargin = 80 * time.Millisecond

	// An owner that did not answer is not asked for a slot for minSlotPause. The time
	// doubles with each consecutive such call, up to maxSlotPause, and after it one request
	// at a time asks again.
	minSlotPause = 500 * time.Millisecond
	maxSlotPause = 4 * time.Second
)

// slotPause is the time for which an owner is not asked for slots.
type slotPause struct {
	until    time.Time
	failures int
	// asking is set while one request asks again.
	asking bool
}

// slotOwner gives the slots of a plain service as its owner.
type slotOwner struct {
	*slot.Owner
	stage *stage.Stage
}

// sharesSlots reports whether the slots of a plain service are given by its owner: the settings
// ask for it and there are fewer than instances, so that an instance's own share would be less
// than one.
func (c *clusterState) sharesSlots(service string) bool {
	if !c.instance.cfg.Load().SharesSlots() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if use := c.uses[service]; !use.plain || use.engine != nil || use.pieces != nil {
		return false
	}
	slots := 0
	for _, s := range c.snapshot.Load().Service(service) {
		slots += s.Slots
	}
	return slots > 0 && slots < c.numInstances
}

// slotOwner returns the owner of the slots of a plain service at this instance, or nil if
// the service is unknown.
func (c *clusterState) slotOwner(service string) *slotOwner {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.slotOwners[service]; ok {
		return o
	}
	if _, ok := c.plainStages[service]; !ok {
		return nil
	}
	rng := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 1))
	s := stage.New(declare.NewStage(service, plainQueue, nil), c.instance.name, 1, c.instance.clock, rng, stage.Policy{})
	o := &slotOwner{slot.New(service, slot.PlainServers(s), c.instance.clock, mathrand.Float64, c.instance.logSlot), s}
	c.slotOwners[service] = o
	c.updatePlainStage(service, c.snapshot.Load().Service(service))
	return o
}

// acquireSlot has the owner of a plain service give a request a slot, if its slots are
// given by an owner and that one answers.
func (d *delegator) acquireSlot(ctx context.Context, q slot.Query) (relay.Slot, bool, error) {
	if !d.instance.state.sharesSlots(q.Service) {
		return relay.Slot{}, false, nil
	}
	address, ok := d.owner(q.Service)
	if !ok || address != "" && !d.mayAskForSlot(address) {
		return relay.Slot{}, false, nil
	}
	if address == "" {
		return d.acquireOwnSlot(ctx, q)
	}
	for time.Now().Before(q.Deadline) {
		q.Demand.Wait = min(slotHold, time.Until(q.Deadline))
		callCtx, cancel := context.WithTimeout(ctx, q.Demand.Wait+slotMargin)
		server, err := d.instance.peers.Acquire(callCtx, address, q.Service, peer.PlaceQuery{
			RequestID: q.RequestID, Exclude: q.Exclude, Repeatable: q.Repeatable, Deadline: q.Deadline, Demand: q.Demand,
		})
		cancel()
		refusal, refused := errors.AsType[*fault.Error](err)
		switch {
		case err == nil && server == "":
			d.slotAnswered(address)
			continue
		case err == nil:
			d.slotAnswered(address)
			return relay.Slot{Server: server, End: func(outcome balance.Outcome, took time.Duration) {
				go d.releaseSlot(address, q, server, outcome, took)
			}}, true, nil
		case refused && refusal.Kind() != fault.Draining:
			d.slotAnswered(address)
			return relay.Slot{}, false, err
		case refused:
			// It does not take itself for the owner or is not ready.
			d.slotAnswered(address)
			return relay.Slot{}, false, nil
		}
		go d.releaseSlot(address, q, "", balance.Abandoned, 0)
		if ctx.Err() != nil {
			d.slotNotDecided(address)
			return relay.Slot{}, false, ctx.Err()
		}
		d.pauseSlots(address, err)
		return relay.Slot{}, false, nil
	}
	d.slotNotDecided(address)
	go d.releaseSlot(address, q, "", balance.Abandoned, 0)
	return relay.Slot{}, false, fault.Errorf(fault.DeadlineTooShort, "the request got no slot before its deadline").WithRan(fault.RanNo)
}

// acquireOwnSlot gives a request a slot as the owner.
func (d *delegator) acquireOwnSlot(ctx context.Context, q slot.Query) (relay.Slot, bool, error) {
	o := d.instance.state.slotOwner(q.Service)
	if o == nil {
		return relay.Slot{}, false, nil
	}
	q.Demand.Wait = max(0, time.Until(q.Deadline))
	server, err := o.Acquire(ctx, q)
	if err == nil && server == "" {
		o.Release(q.RequestID, balance.Abandoned, 0)
		err = fault.Errorf(fault.DeadlineTooShort, "the request got no slot before its deadline").WithRan(fault.RanNo)
	}
	if err != nil {
		return relay.Slot{}, false, err
	}
	return relay.Slot{Server: server, End: func(outcome balance.Outcome, took time.Duration) {
		o.Release(q.RequestID, outcome, took)
	}}, true, nil
}

// acquireForPeer gives another instance's request a slot. It returns an error of kind
// Draining if this instance does not take itself for the owner, so that there are not two
// that give the same slots.
func (d *delegator) acquireForPeer(ctx context.Context, service string, q peer.PlaceQuery) (string, error) {
	if !d.instance.isReady() || d.instance.draining.Load() {
		return "", fault.Errorf(fault.Draining, "the owner of service %q is not ready", service)
	}
	if address, ok := d.owner(service); !ok || address != "" {
		return "", fault.Errorf(fault.Draining, "service %q has another owner", service)
	}
	o := d.instance.state.slotOwner(service)
	if o == nil {
		return "", fault.Errorf(fault.Draining, "service %q is not known at its owner yet", service)
	}
	q.Demand.Wait = min(q.Demand.Wait, slotHold)
	return o.Acquire(ctx, slot.Query{
		Service: service, RequestID: q.RequestID, Exclude: q.Exclude, Repeatable: q.Repeatable, Deadline: q.Deadline, Demand: q.Demand,
	})
}

// releaseLocally ends the use of a slot that this instance gave as the owner.
func (d *delegator) releaseLocally(service, request, _ string, outcome balance.Outcome, took time.Duration) {
	d.instance.state.mu.Lock()
	o := d.instance.state.slotOwners[service]
	d.instance.state.mu.Unlock()
	if o != nil {
		o.Release(request, outcome, took)
	}
}

// releaseSlot ends the use of a slot at the owner that gave it. Without an answer the slot
// counts as free shortly after the request's deadline.
func (d *delegator) releaseSlot(address string, q slot.Query, server string, outcome balance.Outcome, took time.Duration) {
	if err := d.instance.peers.Release(d.instance.loopCtx, address, q.Service, q.RequestID, server, outcome, took); err != nil {
		d.instance.log.Info("owner did not release slot", zap.String("peer", address), zap.String("requestId", q.RequestID), zap.Error(err))
	}
}

// mayAskForSlot reports whether an owner may be asked for a slot now.
func (d *delegator) mayAskForSlot(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.slotPauses[address]
	if p == nil {
		return true
	}
	if p.asking || time.Now().Before(p.until) {
		return false
	}
	p.asking = true
	return true
}

// slotAnswered ends the pause of an owner that has answered.
func (d *delegator) slotAnswered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.slotPauses, address)
}

// slotNotDecided ends a call for a slot that shows nothing of the owner.
func (d *delegator) slotNotDecided(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.slotPauses[address]; p != nil {
		p.asking = false
	}
}

// pauseSlots keeps an owner that did not answer from being asked for slots for a while.
func (d *delegator) pauseSlots(address string, err error) {
	d.mu.Lock()
	p := d.slotPauses[address]
	if p == nil {
		p = &slotPause{}
		d.slotPauses[address] = p
	}
	now := time.Now()
	if !now.Before(p.until) {
		// Calls that began before the pause do not prolong it.
		p.until = now.Add(min(maxSlotPause, minSlotPause<<min(p.failures, 10)))
		p.failures++
	}
	p.asking = false
	d.mu.Unlock()
	d.instance.log.Warn("owner does not answer requests for slots", zap.String("peer", address), zap.Error(err))
}

// addQueueStatus adds the queues that this instance keeps as an owner to its status.
func (in *Instance) addQueueStatus(out *status.Instance) {
	owners := make(map[string]*slot.Owner)
	in.state.mu.Lock()
	for service, o := range in.state.slotOwners {
		owners[service] = o.Owner
	}
	in.state.mu.Unlock()
	in.delegator.mu.Lock()
	maps.Copy(owners, in.delegator.engineQueues)
	in.delegator.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(owners)) {
		waiting, inUse := owners[service].Counts()
		out.Queues = append(out.Queues, status.Queue{Service: service, Waiting: waiting, InUse: inUse})
	}
	for _, c := range in.delegator.delayed.List() {
		out.DelayedOrganisations = append(out.DelayedOrganisations, status.DelayedOrganisation{
			Name: c.Name, Delayed: c.Delayed, Refused: c.Refused, Dropped: c.Dropped, GaveUp: c.GaveUp, Uncounted: c.Uncounted,
		})
	}
}

// logSlot logs a decision about a request that needs a slot at this instance as the owner,
// and counts it. A request that gets a slot at once is only counted.
func (in *Instance) logSlot(e slot.Event) {
	in.metrics.recordSlot(e)
	if e.Step == slot.Granted && e.Waited == 0 {
		return
	}
	if c := countsOf(e.Step); c != (overload.Counts{}) {
		in.delegator.delayed.Add(e.Job.Demand.Organisation, c)
	}
	d, f := &e.Job.Demand, e.Job.Admitted()
	fields := []zap.Field{zap.String("step", string(e.Step)), zap.String("service", e.Service), zap.String("requestId", e.Job.ID),
		zap.String("class", d.Class), zap.String("organisation", d.Organisation), zap.String("server", e.Server),
		zap.Int("priority", d.Priority), zap.Float64("value", d.Worth), zap.Float64("lateValue", d.LateWorth), zap.Bool("returned", d.Returned),
		zap.Int64("workMs", e.Job.Work().Milliseconds()), zap.Int64("dueMs", time.Until(d.Due).Milliseconds()),
		zap.Int64("leftMs", time.Until(e.Job.Deadline).Milliseconds()), zap.Int64("forecastMs", f.Wait.Milliseconds()),
		zap.Int("ahead", f.Ahead), zap.Int("slots", f.Places), zap.Bool("late", f.Late), zap.Int64("waitedMs", e.Waited.Milliseconds()),
	}
	if e.Err != nil {
		fields = append(fields, zap.Int64("retryAfterMs", e.Err.RetryAfter().Milliseconds()), zap.Error(e.Err))
	}
	in.log.Info("slot", fields...)
}

// countsOf returns the counts of one step.
func countsOf(step slot.Step) overload.Counts {
	switch step {
	case slot.Delayed:
		return overload.Counts{Delayed: 1}
	case slot.Refused:
		return overload.Counts{Refused: 1}
	case slot.Dropped:
		return overload.Counts{Dropped: 1}
	case slot.GaveUp:
		return overload.Counts{GaveUp: 1}
	}
	return overload.Counts{}
}
