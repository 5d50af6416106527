package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chervilpath/core/status"
	"chervilpath/io/caller"
)

// attainmentWindow is the period over which attainment is reported.
const attainmentWindow = time.Minute

type (
	// attainmentCounter counts the recent requests of each kind and how many of
	// them met their deadline. It counts the two halves of the window separately
	// and drops the older half as a whole, so that it covers between a half and
	// a whole attainmentWindow. It is safe for concurrent use.
	attainmentCounter struct {
		mu sync.Mutex
		// halves holds the tallies by kind, with the current half first.
		halves    [2]map[string]*tally
		rotatedAt time.Time
	}

	// tally counts requests and those of them that met their deadline.
	tally struct{ requests, inTime int }
)

func newAttainmentCounter() *attainmentCounter {
	return &attainmentCounter{halves: [2]map[string]*tally{make(map[string]*tally), make(map[string]*tally)}}
}

// add counts a completed request. Requests of no known kind and those that
// failed through the caller's own fault do not count.
func (c *attainmentCounter) add(now time.Time, completion caller.Completion) {
	if completion.Kind == "" || isCallerFault(completion) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	t, ok := c.halves[0][completion.Kind]
	if !ok {
		t = &tally{}
		c.halves[0][completion.Kind] = t
	}
	t.requests++
	if metDeadline(completion) {
		t.inTime++
	}
}

// rotate drops the older half once the newer one covers half a window. The
// caller must hold c.mu.
func (c *attainmentCounter) rotate(now time.Time) {
	if now.Sub(c.rotatedAt) < attainmentWindow/2 {
		return
	}
	c.halves = [2]map[string]*tally{make(map[string]*tally), c.halves[0]}
	c.rotatedAt = now
}

// report returns the attainment of each kind, sorted by kind.
func (c *attainmentCounter) report(now time.Time) []status.Attainment {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	totals := make(map[string]tally)
	for _, half := range c.halves {
		for kind, t := range half {
			total := totals[kind]
			totals[kind] = tally{total.requests + t.requests, total.inTime + t.inTime}
		}
	}
	fractions := make([]status.Attainment, 0, len(totals))
	for kind, t := range totals {
		fractions = append(fractions, status.Attainment{Kind: kind, Requests: t.requests, Fraction: float64(t.inTime) / float64(t.requests)})
	}
	slices.SortFunc(fractions, func(a, b status.Attainment) int { return cmp.Compare(a.Kind, b.Kind) })
	return fractions
}

// Status returns the instance's state for operators.
func (in *Instance) Status() status.Instance {
	s := status.Instance{
		Name:          in.cfg.Name(),
		Incarnation:   in.owner.Incarnation,
		FailureDomain: in.cfg.FailureDomain(),
		Ready:         in.ready() == nil,
		Draining:      in.draining.Load(),
		Revision:      in.tracker.Revision(),
		InFlight:      in.callerServer.InFlight(),
		Attainment:    in.attainment.report(time.Now()),
		Stages:        in.runner.Status(),
		PeerBytes:     in.peerClients.Bytes(),
		Platform:      status.PlatformCalls(in.objectClient.Counts()),
	}
	if r := in.tracker.Refused(); r != nil {
		s.RefusedRevision, s.RefusedReason = r.Revision, r.Reason
	}
	for _, m := range in.members.List() {
		s.Members = append(s.Members, status.Member{
			Name: m.Name, Incarnation: m.ID, FailureDomain: m.FailureDomain, State: m.State.String(), Revision: m.Revision,
		})
	}
	s.KeysHeld, s.KeysRunning = in.coordinator.Table().Len()
	s.CostsWaiting, _ = in.ledger.Pending(time.Now())
	return s
}
