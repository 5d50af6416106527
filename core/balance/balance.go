// Package balance owns what one instance knows of the endpoints of a stage and
// the choice among them.
//
// It must not call endpoints or read a clock, and it is not safe for concurrent
// use. The choice takes the better of two random endpoints (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001); the estimate of
// load from requests in flight and latency follows Prequal (Wydrowski et al.,
// NSDI 2024), without its probes, since the endpoints report their load.
package balance

import (
	"math/rand/v2"
	"time"

	"chervilpath/core/declare"
)

const (
	// slowEjectRatio is the ratio of observed to expected time at which an endpoint
	// is ejected, and minSlowSamples the calls that this needs.
	slowEjectRatio = 3.0
	minSlowSamples = 3

	// failuresBeforeEjection is the number of failures in a row at which one is ejected.
	failuresBeforeEjection = 3

	// Ejection lasts minEject, doubles each time in a row, up to maxEject.
	minEjection = 100 * time.Millisecond
	maxEjection = 2 * time.Second

	// maxSlowEjectedFraction is the part of a stage's endpoints that slowness may eject.
	maxSlowEjectedFraction = 0.5

	// slownessWeight is the weight of the newest call in an endpoint's slowness.
	slownessWeight = 0.2

	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second

	// affinityLoadBound is the load, as a ratio to the mean, above which an
	// endpoint is passed over although it has the prefix (Mirrokni, Thorup and
	// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016).
	affinityLoadBound = 1.25

	// An endpoint that says it is full gets no call for minPause, doubled each
	// time in a row, up to maxPause.
	minPause = 20 * time.Millisecond
	maxPause = time.Second

	// fullLimitFactor is the factor on an endpoint's limit when it says it is full.
	fullLimitFactor = 0.75
)

// Reason says why an endpoint was chosen, for the log.
type Reason uint8

// The reasons.
const (
	NoneFree Reason = iota
	LessLoaded
	PrefixHome
	Probe
	OnlyOne
	Baseline
)

var reasonNames = [...]string{NoneFree: "noneFree", LessLoaded: "lessLoaded", PrefixHome: "prefixHome", Probe: "probe", OnlyOne: "onlyOne", Baseline: "baseline"}

// The policies.
const (
	Adaptive Policy = iota
	RoundRobin
	Random
	LeastReported
)

// Outcome says how a call ended, as far as it speaks for the endpoint.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an error, no answer or an answer that is not whole.
	Failed
	// Full is an answer that the endpoint takes no more work.
	Full
	// Abandoned is a call that this side gave up, which says nothing.
	Abandoned
)

type (
	// Group is the endpoints of one stage as one instance sees them. Use New.
	Group struct {
		members     []*member
		indexByName map[string]int
		rng         *rand.Rand
		policy      Policy
		lastPicked  int
		// instances is the number of entry instances that share the endpoints.
		instances int

		// hashes holds the members' hashes side by side, since every choice by
		// prefix reads all of them.
		hashes []uint64
		// slots, inFlight and ejected are sums over the members.
		slots, inFlight, ejected int
	}

	// Policy chooses how endpoints are picked. The zero Policy is the product's;
	// the others are baselines to measure it against.
	Policy uint8

	// EndpointStatus is a copy of what is known of one endpoint.
	EndpointStatus struct {
		Name string `json:"name"`
		// InFlight is the calls of this instance at work at the endpoint, and
		// Limit the most that it sends there at once.
		InFlight int     `json:"inFlight"`
		Limit    float64 `json:"limit"`
		// Slowness is the ratio of observed to expected time of calls.
		Slowness float64 `json:"slowness"`
		// Reported is the load that the endpoint last reported.
		Reported float64 `json:"reported"`
		Ejected  bool    `json:"ejected"`
		Leaving  bool    `json:"leaving"`
	}

	// Query describes the call for which an endpoint is sought.
	Query struct {
		// Prefix is the hash of the prompt's prefix, or 0 for no affinity.
		Prefix uint64
		// Exclude lists the indexes of endpoints not to choose.
		Exclude []int
		// Model and Adapter are what the endpoint has to have loaded, or "".
		Model, Adapter string
		// NoProbe forbids probing a failed endpoint with this call.
		NoProbe bool
	}

	// Call is one call in flight at an endpoint.
	Call struct {
		member   *member
		start    time.Time
		expected time.Duration
	}
)

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// New returns a group of the given endpoints, shared by a number of instances.
func New(endpoints []*declare.Endpoint, instances int, policy Policy, rng *rand.Rand) *Group {
	g := &Group{rng: rng, policy: policy, indexByName: make(map[string]int), instances: max(1, instances)}
	for _, e := range endpoints {
		g.indexByName[e.Name()] = len(g.members)
		g.members = append(g.members, newMember(e, g.instances))
	}
	g.refreshTotals()
	return g
}

// SetEndpoints takes a new list of endpoints and keeps what is known of those that
// stay. Endpoints that are new start slowly.
func (g *Group) SetEndpoints(endpoints []*declare.Endpoint) {
	members := make([]*member, 0, len(endpoints))
	indexByName := make(map[string]int, len(endpoints))
	for _, e := range endpoints {
		indexByName[e.Name()] = len(members)
		members = append(members, g.memberFor(e))
	}
	g.members, g.indexByName = members, indexByName
	g.refreshTotals()
}

// refreshTotals brings the sums over the members up to date.
func (g *Group) refreshTotals() {
	g.slots, g.ejected = 0, 0
	g.hashes = g.hashes[:0]
	for _, m := range g.members {
		g.hashes = append(g.hashes, m.hash)
		if !m.leaving {
			g.slots += m.decl.Slots()
		}
		if m.consecutiveEjections > 0 {
			g.ejected++
		}
	}
}

func (g *Group) memberFor(e *declare.Endpoint) *member {
	i, ok := g.indexByName[e.Name()]
	if !ok || g.members[i].decl.Address() != e.Address() {
		m := newMember(e, g.instances)
		m.beginSlowStart()
		return m
	}
	m := g.members[i]
	if m.decl.Slots() != e.Slots() {
		m.limit = initialLimit(e.Slots(), g.instances)
	}
	m.decl = e
	if !m.reportsLoaded {
		m.loaded = declaredModels(e)
	}
	return m
}

// Len returns the number of endpoints.
func (g *Group) Len() int { return len(g.members) }

// InFlight returns the number of calls in flight.
func (g *Group) InFlight() int { return g.inFlight }

// Endpoint returns the declaration of the endpoint with the given index.
func (g *Group) Endpoint(i int) *declare.Endpoint { return g.members[i].decl }

// SetLeaving marks exactly the named endpoints as leaving.
func (g *Group) SetLeaving(leaving map[string]bool) {
	for _, m := range g.members {
		wasLeaving := m.leaving
		m.leaving = leaving[m.decl.Name()]
		if wasLeaving && !m.leaving {
			m.beginSlowStart()
		}
	}
	g.refreshTotals()
}

// ReportLoad notes an endpoint's own report of its load, which was true at the
// given time.
func (g *Group) ReportLoad(name string, load float64, at time.Time) {
	if i, ok := g.indexByName[name]; ok && at.After(g.members[i].reportedAt) {
		m := g.members[i]
		m.reportedLoad, m.reportedAt, m.inFlightAtReport = load, at, m.inFlight
	}
}

// SetLoaded notes the models and adapters that an engine reports to have loaded.
func (g *Group) SetLoaded(name string, loaded []string) {
	if i, ok := g.indexByName[name]; ok {
		g.members[i].loaded, g.members[i].reportsLoaded = loaded, true
	}
}

// SetInstances notes how many entry instances share the endpoints now.
func (g *Group) SetInstances(n int) {
	if n = max(1, n); n == g.instances {
		return
	}
	previous := g.instances
	g.instances = n
	for _, m := range g.members {
		scaled := m.limit * initialLimit(m.decl.Slots(), n) / initialLimit(m.decl.Slots(), previous)
		m.limit = min(max(1, scaled), float64(m.decl.Slots()))
	}
}

// Capacity returns how many calls the group takes at once, leaving and ejected
// endpoints not counted.
func (g *Group) Capacity() float64 {
	sum := 0.0
	for _, m := range g.members {
		if !m.leaving && m.consecutiveEjections == 0 {
			sum += m.maxInFlight()
		}
	}
	return sum
}

// Usable reports whether any endpoint can be called now, as a probe if need be.
func (g *Group) Usable(now time.Time) bool {
	for _, m := range g.members {
		if !m.leaving && !now.Before(m.ejectedUntil) {
			return true
		}
	}
	return false
}

// NextProbe returns when, after now, the first endpoint that is ejected or said
// it is full may be called, or the zero time if there is none. What is due
// already waits for the end of a call, not for a time.
func (g *Group) NextProbe(now time.Time) time.Time {
	var first time.Time
	for _, m := range g.members {
		at := m.fullUntil
		if m.consecutiveEjections > 0 {
			at = m.ejectedUntil
		}
		if at.After(now) && !m.leaving && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Begin notes a call to the endpoint with the given index.
func (g *Group) Begin(now time.Time, i int, expected time.Duration) Call {
	m := g.members[i]
	if m.inFlight == 0 {
		m.startBase, m.startSum, m.expectedSum = now, 0, 0
	}
	m.inFlight++
	g.inFlight++
	m.startSum += now.Sub(m.startBase).Seconds()
	m.expectedSum += expected.Seconds()
	return Call{member: m, start: now, expected: expected}
}

// End notes the end of a call.
func (g *Group) End(now time.Time, c Call, outcome Outcome) {
	m := c.member
	m.inFlight--
	g.inFlight--
	m.startSum -= c.start.Sub(m.startBase).Seconds()
	m.expectedSum -= c.expected.Seconds()
	took := now.Sub(c.start)
	switch outcome {
	case Succeeded:
		if m.succeed(ratio(took, c.expected)) {
			g.ejected--
		}
	case Failed:
		m.consecutiveFailures++
		if m.consecutiveFailures >= failuresBeforeEjection || m.consecutiveEjections > 0 {
			g.eject(now, m)
		}
		return
	case Full:
		m.pause(now)
		return
	case Abandoned:
		if r := ratio(took, c.expected); r > slowEjectRatio {
			m.observeSlowness(r)
		}
	}
	g.ejectIfSlow(now, m)
}

func (g *Group) eject(now time.Time, m *member) {
	d := min(maxEjection, minEjection<<min(m.consecutiveEjections, 10))
	// Half of the time is random, so that instances do not probe together.
	d = d/2 + time.Duration(g.rng.Int64N(int64(d/2)+1))
	if m.consecutiveEjections == 0 {
		g.ejected++
	}
	m.consecutiveEjections++
	m.ejectedUntil = now.Add(d)
}

// ejectIfSlow ejects a member that is much slower than expected, unless too many
// are ejected already.
func (g *Group) ejectIfSlow(now time.Time, m *member) {
	if m.consecutiveEjections > 0 {
		if m.slowness > slowEjectRatio && !now.Before(m.ejectedUntil) {
			g.eject(now, m)
		}
		return
	}
	if m.samples < minSlowSamples || m.slowness < slowEjectRatio {
		return
	}
	if float64(g.ejected+1) <= maxSlowEjectedFraction*float64(len(g.members)) {
		g.eject(now, m)
	}
}

// Status returns a copy of what is known of every endpoint.
func (g *Group) Status(now time.Time) []EndpointStatus {
	out := make([]EndpointStatus, len(g.members))
	for i, m := range g.members {
		out[i] = EndpointStatus{
			Name: m.decl.Name(), InFlight: m.inFlight, Limit: m.limit, Slowness: max(m.slowness, m.ageRatio(now)),
			Reported: m.reportedLoad, Ejected: m.consecutiveEjections > 0, Leaving: m.leaving,
		}
	}
	return out
}
