// Package balance owns what one instance knows of the endpoints of a stage, and
// load balancing across them.
//
// It must not call endpoints or read a clock, and it is not safe for concurrent
// use. It picks the better of two random endpoints (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001). Load is estimated from
// requests in flight and latency as in Prequal (Wydrowski et al., NSDI 2024), but
// without its probes, since the endpoints report their load.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
)

const (
	// slowEjectRatio is the ratio of observed to expected duration at which an
	// endpoint is ejected, and minSlowSamples is the number of calls that must
	// have been observed for that.
	slowEjectRatio = 3.0
	minSlowSamples = 3

	// failuresBeforeEjection is the number of consecutive failures at which an
	// endpoint is ejected.
	failuresBeforeEjection = 3

	// An ejection lasts minEjection. The time doubles with each consecutive
	// ejection, up to maxEjection.
	minEjection = 100 * time.Millisecond
	maxEjection = 2 * time.Second

	// maxSlowEjectedFraction is the fraction of a stage's endpoints, including those
	// ejected for failures and those that want no calls, up to which slowness may
	// eject endpoints.
	maxSlowEjectedFraction = 0.5

	// slownessWeight is the weight of the newest call in the moving average of an
	// endpoint's slowness.
	slownessWeight = 0.2

	// reportHalfLife is the age at which a load report counts for half.
	reportHalfLife = 2 * time.Second

	// othersWeight is the weight of reported calls of others beside this instance's own
	// calls, which it knows exactly. With a weight of 1, 24 instances that got the same
	// reports chose the same servers: 0.984 of requests were on time instead of 0.991 in the
	// model of load_test.go at 0.8 of capacity.
	othersWeight = 0.25

	// maxOthersPerSlot is the largest number of calls of others for each slot that a
	// server's report counts for, so that an absurd one does not outweigh everything else.
	maxOthersPerSlot = 4.0

	// affinityLoadBound is the load, as a ratio to the mean, above which an
	// endpoint is skipped even if it ranks first for a prefix (Mirrokni, Thorup
	// and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016).
	affinityLoadBound = 1.25

	// An endpoint that reports being full gets no calls for minPause. The time
	// doubles with each consecutive such answer, up to maxPause.
	minPause = 20 * time.Millisecond
	maxPause = time.Second

	// fullLimitFactor multiplies an endpoint's limit when it reports being full.
	fullLimitFactor = 0.75
)

// Reason says why an endpoint was picked, for the log.
type Reason uint8

const (
	// NoneFree means that no endpoint was available.
	NoneFree Reason = iota
	// LessLoaded means that the endpoint has a lower score than the others
	// considered.
	LessLoaded
	// PrefixHome means that the endpoint ranks first for the prompt's prefix.
	PrefixHome
	// Probe means that the call probes an ejected endpoint.
	Probe
	// OnlyOne means that no other endpoint was available.
	OnlyOne
	// Baseline means that the endpoint was picked by a baseline policy.
	Baseline
)

var reasonNames = [...]string{NoneFree: "noneFree", LessLoaded: "lessLoaded", PrefixHome: "prefixHome", Probe: "probe", OnlyOne: "onlyOne", Baseline: "baseline"}

const (
	// Adaptive picks by affinity, load, latency and failures.
	Adaptive Policy = iota
	// RoundRobin picks each endpoint in turn.
	RoundRobin
	// Random picks a random endpoint.
	Random
	// LeastReported picks the endpoint with the lowest reported load.
	LeastReported
)

// Outcome says how a call ended, as evidence of the endpoint's health.
type Outcome uint8

const (
	// Succeeded means that the endpoint returned a complete answer.
	Succeeded Outcome = iota
	// Failed means an error, no answer or an incomplete answer.
	Failed
	// Full means that the endpoint refused the call because it is at capacity.
	Full
	// Abandoned means that this instance cancelled the call. It is evidence
	// against the endpoint only if the call was already very slow.
	Abandoned
	// Unreachable means that no connection to the endpoint could be opened, so that
	// it received nothing.
	Unreachable
)

type (
	// Group is the endpoints of one stage as one instance sees them. Use [New] to
	// make one.
	Group struct {
		members     []*member
		indexByName map[string]int
		rng         *rand.Rand
		policy      Policy
		lastPicked  int
		// instances is the number of entry instances that share the endpoints.
		instances int

		// hashes holds the members' hashes contiguously, since every pick by
		// prefix reads all of them.
		hashes []uint64
		// slots, inFlight and ejected are totals over the members. Slots of
		// leaving members do not count.
		slots, inFlight, ejected int
	}

	// Policy selects how endpoints are picked. The zero Policy is used in
	// production. The others are baselines to measure it against.
	Policy uint8

	// EndpointStatus is a snapshot of what is known of one endpoint.
	EndpointStatus struct {
		Name string `json:"name"`
		// InFlight is the number of this instance's calls in flight at the
		// endpoint, and Limit is the most that it sends there at once.
		InFlight int     `json:"inFlight"`
		Limit    float64 `json:"limit"`
		// Slowness is the ratio of the observed to the expected duration of calls.
		Slowness float64 `json:"slowness"`
		// Reported is the load that the endpoint reported last.
		Reported float64 `json:"reported"`
		Ejected  bool    `json:"ejected"`
		Leaving  bool    `json:"leaving"`
	}

	// Query describes the call to pick an endpoint for.
	Query struct {
		// Prefix is the hash of the prompt's prefix, or 0 for no affinity.
		Prefix uint64
		// Exclude lists the indexes of endpoints not to pick.
		Exclude []int
		// Model and Adapter, if not empty, must be loaded by the endpoint.
		Model, Adapter string
		// NoProbe forbids probing an ejected endpoint with this call.
		NoProbe bool
	}

	// Call is a call in flight at an endpoint.
	Call struct {
		member   *member
		start    time.Time
		expected time.Duration
		// pace is the pace that the endpoint had reported, or 0 if none counted.
		pace float64
	}
)

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// New returns a group of endpoints that the given number of instances share.
func New(endpoints []*declare.Endpoint, instances int, policy Policy, rng *rand.Rand) *Group {
	g := &Group{rng: rng, policy: policy, indexByName: make(map[string]int), instances: max(1, instances)}
	for _, e := range endpoints {
		g.indexByName[e.Name()] = len(g.members)
		g.members = append(g.members, newMember(e, g.instances))
	}
	g.refreshTotals()
	return g
}

// SetEndpoints replaces the endpoints and keeps what is known of those that stay.
// New endpoints begin with a slow start.
func (g *Group) SetEndpoints(endpoints []*declare.Endpoint) {
	members := make([]*member, 0, len(endpoints))
	indexByName := make(map[string]int, len(endpoints))
	for _, e := range endpoints {
		indexByName[e.Name()] = len(members)
		members = append(members, g.memberFor(e))
	}
	for _, m := range g.members {
		m.removed = true
	}
	for _, m := range members {
		m.removed = false
	}
	g.members, g.indexByName = members, indexByName
	g.refreshTotals()
}

// refreshTotals recomputes hashes, slots and ejected. inFlight changes with each
// call and is left as it is.
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

// memberFor returns the member for an endpoint's declaration: the existing one if
// name and address are unchanged, else a new one.
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

// SetLeaving marks exactly the named endpoints as leaving. Those that no longer
// leave begin with a slow start.
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

// ReportLoad records the load that an endpoint reported for the given time. A
// report that is not newer than the last one is ignored.
func (g *Group) ReportLoad(name string, load float64, at time.Time) {
	if i, ok := g.indexByName[name]; ok && at.After(g.members[i].reportedAt) {
		m := g.members[i]
		m.reportedLoad, m.reportedAt, m.inFlightAtReport = load, at, m.inFlight
	}
}

// ReportServerLoad records the load that an endpoint reported in an answer that came now
// and whose call has not ended yet.
func (g *Group) ReportServerLoad(now time.Time, name string, l fleet.Load) {
	if i, ok := g.indexByName[name]; ok {
		m := g.members[i]
		m.load.Report(now, l, m.inFlight)
		m.reportsLoad = true
	}
}

// Expected returns how long a call to the endpoint with the given index is expected to take,
// as a multiple of the usual time, and the pace that the endpoint reported, or 0 if none counts.
func (g *Group) Expected(now time.Time, i int) (slowness, pace float64) {
	m := g.members[i]
	return m.load.Slowness(now, m.slowness), m.load.Pace(now)
}

// SetLoaded records the models and adapters that an engine reports as loaded.
func (g *Group) SetLoaded(name string, loaded []string) {
	if i, ok := g.indexByName[name]; ok {
		g.members[i].loaded, g.members[i].reportsLoaded = loaded, true
	}
}

// SetInstances sets the number of entry instances that share the endpoints, and
// scales the limits accordingly.
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

// SetExcluded sets until when each of the named endpoints wants no calls from this
// instance, and that all others want some. Those that return begin with a slow start.
// As fewer are left, some that were ejected for slowness may be readmitted.
func (g *Group) SetExcluded(now time.Time, until map[string]time.Time) {
	for _, m := range g.members {
		m.exclude(until[m.decl.Name()])
	}
	g.readmitSlow(now)
}

// readmitSlow readmits members that were ejected for slowness alone, while too many are
// ejected or want no calls.
func (g *Group) readmitSlow(now time.Time) {
	for _, m := range g.members {
		if m.ejectedSlow && m.willing(now) && float64(g.unavailable(now)) > maxSlowEjectedFraction*float64(len(g.members)) {
			m.consecutiveEjections, m.ejectedSlow, m.ejectedUntil = 0, false, time.Time{}
			g.ejected--
		}
	}
}

// unavailable returns the number of members that are ejected or want no calls.
func (g *Group) unavailable(now time.Time) int {
	n := 0
	for _, m := range g.members {
		if m.consecutiveEjections > 0 || !m.willing(now) {
			n++
		}
	}
	return n
}

// Capacity returns how many calls the group may have in flight at once, not
// counting endpoints that are leaving, ejected or want no calls.
func (g *Group) Capacity(now time.Time) float64 {
	sum := 0.0
	for _, m := range g.members {
		if m.willing(now) && m.consecutiveEjections == 0 {
			sum += m.maxInFlight()
		}
	}
	return sum
}

// Usable reports whether any endpoint may be called now, if only as a probe.
func (g *Group) Usable(now time.Time) bool {
	for _, m := range g.members {
		if m.willing(now) && !now.Before(m.ejectedUntil) {
			return true
		}
	}
	return false
}

// MayServe reports whether an endpoint that is not excluded is free or busy now, or will
// be by the given time, and whether one is ejected and may be probed by then.
func (g *Group) MayServe(by time.Time, exclude []int) (sound, ejected bool) {
	for i, m := range g.members {
		if m.leaving || m.restsUntil.After(by) || slices.Contains(exclude, i) {
			continue
		}
		if m.consecutiveEjections == 0 {
			sound = true
		} else if !m.ejectedUntil.After(by) {
			ejected = true
		}
	}
	return sound, ejected
}

// NextProbe returns the earliest time after now at which an endpoint that is
// ejected, reported being full or wants no calls may be called again, or the zero time if there is
// none. Endpoints that are due already do not count, since they become available
// with the end of a call and not with time.
func (g *Group) NextProbe(now time.Time) time.Time {
	var first time.Time
	for _, m := range g.members {
		at := m.fullUntil
		if m.consecutiveEjections > 0 {
			at = m.ejectedUntil
		}
		if at.Before(m.excludedUntil) {
			at = m.excludedUntil
		}
		if at.After(now) && !m.leaving && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Begin records the start of a call to the endpoint with the given index.
func (g *Group) Begin(now time.Time, i int, expected time.Duration) Call {
	m := g.members[i]
	if m.inFlight == 0 {
		m.startBase, m.startSum, m.expectedSum = now, 0, 0
	}
	m.inFlight++
	g.inFlight++
	m.startSum += now.Sub(m.startBase).Seconds()
	m.expectedSum += expected.Seconds()
	return Call{member: m, start: now, expected: expected, pace: m.load.Pace(now)}
}

// End records the end of a call.
func (g *Group) End(now time.Time, c Call, outcome Outcome) {
	m := c.member
	m.inFlight--
	g.inFlight--
	m.startSum -= c.start.Sub(m.startBase).Seconds()
	m.expectedSum -= c.expected.Seconds()
	if m.removed {
		return
	}
	took := now.Sub(c.start)
	switch outcome {
	case Succeeded:
		if m.reportsLoad {
			m.load.ObserveCall(now, c.pace, ratio(took, c.expected))
			m.callTime += time.Duration(slownessWeight * float64(took-m.callTime))
		}
		if m.succeed(ratio(took, c.expected)) {
			g.ejected--
		}
	case Failed, Unreachable:
		m.consecutiveFailures++
		if m.consecutiveFailures >= failuresBeforeEjection || m.consecutiveEjections > 0 {
			g.eject(now, m)
			g.readmitSlow(now)
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

// eject excludes a member from ordinary calls until a probe is due.
func (g *Group) eject(now time.Time, m *member) {
	d := min(maxEjection, minEjection<<min(m.consecutiveEjections, 10))
	// Half of the time is random, so that instances do not probe in step.
	d = d/2 + time.Duration(g.rng.Int64N(int64(d/2)+1))
	if m.consecutiveEjections == 0 {
		g.ejected++
	}
	m.consecutiveEjections++
	m.ejectedSlow = false
	m.ejectedUntil = now.Add(d)
}

// ejectIfSlow ejects a member that is much slower than expected, unless too many
// members are ejected already. A member whose probe was too slow is ejected again.
func (g *Group) ejectIfSlow(now time.Time, m *member) {
	if m.consecutiveEjections > 0 {
		if m.slowness > slowEjectRatio && !now.Before(m.ejectedUntil) {
			slowAlone := m.ejectedSlow
			g.eject(now, m)
			m.ejectedSlow = slowAlone
		}
		return
	}
	if m.samples < minSlowSamples || m.slowness < slowEjectRatio {
		return
	}
	if float64(g.unavailable(now)+1) <= maxSlowEjectedFraction*float64(len(g.members)) {
		g.eject(now, m)
		m.ejectedSlow = true
	}
}

// Status returns a snapshot of what is known of every endpoint.
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
