package relay

import (
	"context"
	"slices"
	"strconv"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
)

// placement is an engine that was chosen for an attempt. Its ID names it to the instance
// that places requests.
type placement struct {
	id     string
	server fleet.Server
}

// newPlacementID returns the ID of the next placement. Two placements of a request exist
// at a time while an attempt is prepared that may follow the one in progress.
func (e *execution) newPlacementID() string {
	e.placements++
	if e.placements == 1 {
		return e.req.ID
	}
	return e.req.ID + "/" + strconv.Itoa(e.placements)
}

// nextPlacement returns the engine for the next attempt.
func (e *execution) nextPlacement(ctx context.Context) (placement, error) {
	if e.next != nil {
		next := e.next
		e.next = nil
		if next.rerun {
			e.useResults(next.results)
		}
		return next.placement, nil
	}
	if err := e.awaitReturn(ctx, e.relay.stats.FirstEventTime(e.now(), e.route.Name)); err != nil {
		return placement{}, err
	}
	p, ok := e.place(ctx, e.newPlacementID(), e.triedServers)
	if ctx.Err() != nil {
		if ok {
			e.settle(p, balance.Abandoned)
		}
		return placement{}, e.contextError(ctx)
	}
	if !ok {
		return placement{}, e.refusal(fault.Errorf(fault.EndpointUnavailable, "service %q: %w", e.service, errNoEngine))
	}
	e.log("place", "placed", p.server.ID)
	return p, nil
}

// place chooses an engine that is not excluded and reports whether there is one. It may
// be called while an attempt is in progress.
func (e *execution) place(ctx context.Context, id string, exclude []string) (placement, bool) {
	q := engine.Query{
		RequestID: id, Affinity: e.req.Affinity, Exclude: slices.Concat(exclude, e.relay.deps.Servers().Unwilling(e.now(), e.service)),
		Weights: e.zoneWeights(), Expires: e.deadline, Repeatable: e.route.MayRunAgain(),
	}
	if q.Affinity == "" {
		q.Affinity = e.req.ID
	}
	for range 2 {
		server := e.relay.deps.Place(ctx, e.service, q)
		if server == "" {
			return placement{}, false
		}
		if s, ok := e.relay.deps.Servers().Callable(e.now(), server); ok {
			return placement{id: id, server: s}, true
		}
		// The instance that places requests does not know yet that the engine
		// was removed.
		e.relay.deps.Settle(e.service, id, server, balance.Abandoned)
		q.Exclude = append(slices.Clone(q.Exclude), server)
	}
	return placement{}, false
}

func (e *execution) settle(p placement, outcome balance.Outcome) {
	e.relay.deps.Settle(e.service, p.id, p.server.ID, outcome)
}
