package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chervilpath/core/status"
	"chervilpath/io/caller"
)

// scoreWindow is the time over which attainment is stated.
const scoreWindow = time.Minute

type (
	// score counts attainment in two halves of a window.
	score struct {
		mu       sync.Mutex
		halves   [2]map[string]*tally
		switched time.Time
	}

	tally struct{ requests, attained int }
)

func newScore() *score {
	return &score{halves: [2]map[string]*tally{make(map[string]*tally), make(map[string]*tally)}}
}

func (s *score) add(now time.Time, e caller.End) {
	if e.Kind == "" || refusedByCaller(e) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	t, ok := s.halves[0][e.Kind]
	if !ok {
		t = &tally{}
		s.halves[0][e.Kind] = t
	}
	t.requests++
	if attained(e) {
		t.attained++
	}
}

// turn drops the older half when the newer one is full. The caller holds mu.
func (s *score) turn(now time.Time) {
	if now.Sub(s.switched) < scoreWindow/2 {
		return
	}
	s.halves = [2]map[string]*tally{make(map[string]*tally), s.halves[0]}
	s.switched = now
}

func (s *score) attainment(now time.Time) []status.Attainment {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	sums := make(map[string]tally)
	for _, half := range s.halves {
		for kind, t := range half {
			sum := sums[kind]
			sums[kind] = tally{sum.requests + t.requests, sum.attained + t.attained}
		}
	}
	out := make([]status.Attainment, 0, len(sums))
	for kind, t := range sums {
		out = append(out, status.Attainment{Kind: kind, Requests: t.requests, Fraction: float64(t.attained) / float64(t.requests)})
	}
	slices.SortFunc(out, func(a, b status.Attainment) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// Status returns the instance's state.
func (n *Instance) Status() status.Instance {
	s := status.Instance{
		Name:          n.cfg.Name(),
		Incarnation:   n.owner.Incarnation,
		FailureDomain: n.cfg.FailureDomain(),
		Ready:         n.ready() == nil,
		Draining:      n.draining.Load(),
		Revision:      n.holder.Revision(),
		InFlight:      n.callers.InFlight(),
		Attainment:    n.score.attainment(time.Now()),
		Stages:        n.runner.Status(),
		PeerBytes:     n.clients.Bytes(),
		Platform:      status.PlatformCalls(n.platform.Counts()),
	}
	if r := n.holder.Refused(); r != nil {
		s.RefusedRevision, s.RefusedReason = r.Revision, r.Reason
	}
	for _, m := range n.members.List() {
		s.Members = append(s.Members, status.Member{
			Name: m.Name, Incarnation: m.ID, FailureDomain: m.FailureDomain, State: m.State.String(), Revision: m.Revision,
		})
	}
	s.KeysHeld, s.KeysRunning = n.keeper.Table().Len()
	s.CostsWaiting, _ = n.ledger.Pending(time.Now())
	return s
}
