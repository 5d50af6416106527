package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chervilpath/core/status"
	"chervilpath/io/caller"
)

// attainmentWindow is the time over which attainment is stated.
const attainmentWindow = time.Minute

type (
	// attainmentCounter counts attainment in two halves of a window.
	attainmentCounter struct {
		mu        sync.Mutex
		halves    [2]map[string]*tally
		rotatedAt time.Time
	}

	tally struct{ requests, inTime int }
)

func newAttainmentCounter() *attainmentCounter {
	return &attainmentCounter{halves: [2]map[string]*tally{make(map[string]*tally), make(map[string]*tally)}}
}

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

// rotate drops the older half when the newer one is full. The caller holds mu.
func (c *attainmentCounter) rotate(now time.Time) {
	if now.Sub(c.rotatedAt) < attainmentWindow/2 {
		return
	}
	c.halves = [2]map[string]*tally{make(map[string]*tally), c.halves[0]}
	c.rotatedAt = now
}

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

// Status returns the instance's state.
func (n *Instance) Status() status.Instance {
	s := status.Instance{
		Name:          n.cfg.Name(),
		Incarnation:   n.owner.Incarnation,
		FailureDomain: n.cfg.FailureDomain(),
		Ready:         n.ready() == nil,
		Draining:      n.draining.Load(),
		Revision:      n.tracker.Revision(),
		InFlight:      n.callerServer.InFlight(),
		Attainment:    n.attainment.report(time.Now()),
		Stages:        n.runner.Status(),
		PeerBytes:     n.peerClients.Bytes(),
		Platform:      status.PlatformCalls(n.objectClient.Counts()),
	}
	if r := n.tracker.Refused(); r != nil {
		s.RefusedRevision, s.RefusedReason = r.Revision, r.Reason
	}
	for _, m := range n.members.List() {
		s.Members = append(s.Members, status.Member{
			Name: m.Name, Incarnation: m.ID, FailureDomain: m.FailureDomain, State: m.State.String(), Revision: m.Revision,
		})
	}
	s.KeysHeld, s.KeysRunning = n.coordinator.Table().Len()
	s.CostsWaiting, _ = n.ledger.Pending(time.Now())
	return s
}
