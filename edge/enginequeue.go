package edge

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/slot"
)

const (
	// engineHold is how long an owner holds a call for an engine before the instance has to
	// call again, so that an owner that has terminated is found soon. It is short compared
	// with the targets of requests for engines, 1,100 ms and more.
	engineHold = 100 * time.Millisecond

	// placeTimeout limits a call for an engine, as one that is not held.
	placeTimeout = 250 * time.Millisecond

	// engineResponse is the expected time from the placement of a request to its first event.
	engineResponse = 300 * time.Millisecond

	// engineRetryInterval is the time after which an owner looks for room again that became
	// free without a report, and the least time between two calls of an instance for the
	// same request.
	engineRetryInterval = 50 * time.Millisecond

	// responseFactor is overload's margin for deadlines, so that a request waits until the
	// time in its demand.
	responseFactor = 1.4
)

// placeAt has an owner choose an engine for a request, which waits there for room up to the
// time in its demand. An owner of a version that knows no waiting answers at once.
func (d *delegator) placeAt(ctx context.Context, address, service string, q engine.Query) (string, error) {
	until := time.Now().Add(q.Demand.Wait)
	for {
		start := time.Now()
		q.Demand.Wait = max(0, until.Sub(start))
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout+min(q.Demand.Wait, engineHold))
		id, err := d.instance.peers.Place(callCtx, address, service, q, time.Until(q.Expires))
		cancel()
		if err != nil || id != "" || !time.Now().Before(until) {
			return id, err
		}
		if left := engineRetryInterval - time.Since(start); left > 0 {
			d.instance.sleep(ctx, left)
		}
		if ctx.Err() != nil {
			return "", nil
		}
	}
}

// placeAsOwner chooses an engine for a request, which waits for room for up to hold and keeps
// its turn for a call that follows soon. It returns "" if there is no room yet, and an error
// if the request is refused.
func (d *delegator) placeAsOwner(ctx context.Context, service string, q engine.Query, hold time.Duration) (string, error) {
	if q.Trial != "" || q.Demand.Wait <= 0 {
		return d.placeLocally(service, q), nil
	}
	response := engineResponse
	sq := slot.Query{
		Service: service, RequestID: q.RequestID, Exclude: q.Exclude, Repeatable: q.Repeatable, Demand: q.Demand, Response: response, Expires: q.Expires, Data: q,
		Deadline: time.Now().Add(q.Demand.Wait + time.Duration(responseFactor*float64(response))),
	}
	sq.Demand.Wait = hold
	return d.engineQueue(service).Acquire(ctx, sq)
}

// engineQueue returns the queue of the requests for the engines of a service, and creates it
// if there is none.
func (d *delegator) engineQueue(service string) *slot.Owner {
	placer := d.placer(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	queue, ok := d.engineQueues[service]
	if !ok {
		queue = slot.New(service, d.engineServers(service, placer), d.instance.clock, mathrand.Float64, d.instance.logSlot)
		d.engineQueues[service] = queue
	}
	return queue
}

// engineServers returns the engines of a service as the servers of a queue.
func (d *delegator) engineServers(service string, placer *engine.Placer) slot.Servers {
	return slot.Servers{
		Check: func(time.Time) error {
			if len(d.instance.state.servers().Service(service)) == 0 {
				return fault.Errorf(fault.EndpointUnavailable, "service %q has no engines", service)
			}
			return nil
		},
		Capacity: func(now time.Time) (int, time.Time) {
			perEngine := 1
			if t := d.instance.state.table(); t != nil {
				if svc, ok := t.Service(service); ok && svc.Engine != nil {
					perEngine = max(1, svc.Engine.Slots)
				}
			}
			return perEngine * len(d.instance.state.servers().Service(service)), now.Add(engineRetryInterval)
		},
		Grant: func(now time.Time, q slot.Query, _ time.Time) (slot.Grant, bool) {
			choice := placer.Choose(now, q.Data.(engine.Query))
			d.recordChoice(service, q.RequestID, choice)
			id := choice.Server
			return slot.Grant{Server: id, End: func(now time.Time, outcome balance.Outcome) {
				placer.Settle(now, q.RequestID, id, outcome)
			}}, id != ""
		},
	}
}
