package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSampleTries bounds the random draws for an available endpoint before all
	// endpoints are scanned.
	maxSampleTries = 8

	// stalledAgeRatio is the ageRatio above which an endpoint counts as stalled.
	// It then gets no calls by affinity, and others only if it has the lowest
	// score of all available endpoints.
	stalledAgeRatio = 4.0
)

// hashName returns the hash of an endpoint's or instance's name for rendezvous
// hashing.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// Hash returns the hash of the given parts, for [Query.Prefix]. It is never 0.
func Hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return max(1, d.Sum64())
}

// Mix combines two hashes for rendezvous hashing, with the finaliser of Appleby's
// MurmurHash3.
func Mix(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the index of the endpoint for a call and the reason for the choice,
// or -1 and [NoneFree] if no endpoint is available.
func (g *Group) Pick(now time.Time, q Query) (int, Reason) {
	if g.policy != Adaptive {
		return g.pickBaseline(q)
	}
	if !q.NoProbe {
		if i := g.pickProbe(now, q); i >= 0 {
			return i, Probe
		}
	}
	if q.Prefix != 0 {
		if i := g.pickByPrefix(now, q); i >= 0 {
			return i, PrefixHome
		}
	}
	return g.pickLessLoaded(now, q)
}

// pickProbe returns the index of an ejected endpoint whose probe is due and that has
// no call in flight, or -1.
func (g *Group) pickProbe(now time.Time, q Query) int {
	if g.ejected == 0 {
		return -1
	}
	for i, m := range g.members {
		if m.consecutiveEjections > 0 && m.inFlight == 0 && m.willing(now) && !slices.Contains(q.Exclude, i) && !now.Before(m.ejectedUntil) && m.hasLoaded(q) {
			return i
		}
	}
	return -1
}

// pickByPrefix returns the index of the available endpoint that ranks first for the
// prefix among those within the load bound, or -1. All instances rank the endpoints
// alike.
func (g *Group) pickByPrefix(now time.Time, q Query) int {
	if g.slots == 0 {
		return -1
	}
	maxPerSlot := affinityLoadBound * float64(g.inFlight+1) / float64(g.slots)
	best, bestRank := -1, uint64(0)
	for i, h := range g.hashes {
		rank := Mix(h, q.Prefix)
		if rank < bestRank || slices.Contains(q.Exclude, i) {
			continue
		}
		if m := g.members[i]; m.available(now) && m.hasLoaded(q) && m.withinLoadBound(now, maxPerSlot) {
			best, bestRank = i, rank
		}
	}
	return best
}

// withinLoadBound reports whether the member may take another call for a prefix, at
// no more than maxPerSlot calls per slot and if it is not stalled.
func (m *member) withinLoadBound(now time.Time, maxPerSlot float64) bool {
	return float64(m.inFlight) < max(1, maxPerSlot*float64(m.decl.Slots())) && m.ageRatio(now) <= stalledAgeRatio
}

// pickLessLoaded returns the better of two random available endpoints. It scans all
// endpoints if the draws do not find two or the better one is stalled.
func (g *Group) pickLessLoaded(now time.Time, q Query) (int, Reason) {
	a := g.sample(now, q, -1)
	if a < 0 {
		return g.pickLeastLoaded(now, q)
	}
	b := g.sample(now, q, a)
	if b < 0 {
		return g.pickLeastLoaded(now, q)
	}
	best := a
	if g.members[b].score(now) < g.members[a].score(now) {
		best = b
	}
	if g.members[best].ageRatio(now) > stalledAgeRatio {
		return g.pickLeastLoaded(now, q)
	}
	return best, LessLoaded
}

// sample returns the index of a random available endpoint other than the given
// one, or -1 if it draws none.
func (g *Group) sample(now time.Time, q Query, other int) int {
	n := len(g.members)
	for range min(maxSampleTries, 2*n) {
		i := g.rng.IntN(n)
		if i != other && !slices.Contains(q.Exclude, i) && g.members[i].available(now) && g.members[i].hasLoaded(q) {
			return i
		}
	}
	return -1
}

// pickLeastLoaded scans all endpoints and returns the available one with the lowest
// score.
func (g *Group) pickLeastLoaded(now time.Time, q Query) (int, Reason) {
	best, bestScore := -1, 0.0
	candidates := 0
	for i, m := range g.members {
		if slices.Contains(q.Exclude, i) || !m.available(now) || !m.hasLoaded(q) {
			continue
		}
		candidates++
		if s := m.score(now); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	switch candidates {
	case 0:
		return -1, NoneFree
	case 1:
		return best, OnlyOne
	}
	return best, LessLoaded
}

// pickBaseline picks without regard to limits, failures or latency.
func (g *Group) pickBaseline(q Query) (int, Reason) {
	n := len(g.members)
	if n == 0 {
		return -1, NoneFree
	}
	switch g.policy {
	case Random:
		return g.rng.IntN(n), Baseline
	case LeastReported:
		best := 0
		for i := range g.members {
			if g.members[i].reportedLoad < g.members[best].reportedLoad {
				best = i
			}
		}
		return best, Baseline
	}
	g.lastPicked = (g.lastPicked + 1) % n
	return g.lastPicked, Baseline
}
