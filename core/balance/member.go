package balance

import (
	"math"
	"slices"
	"time"

	"chervilpath/core/declare"
)

// member is what is known of one endpoint.
type member struct {
	decl    *declare.Endpoint
	hash    uint64
	leaving bool
	// loaded is the engine's models and adapters, as reported or declared.
	loaded []string
	// reportsLoaded is set once the engine reported its models.
	reportsLoaded bool

	inFlight int
	// startSum is the sum of the start times of calls in flight, in seconds
	// since base, and expectSum the sum of their expected seconds.
	startBase           time.Time
	startSum            float64
	expectedSum         float64
	limit               float64
	slowness            float64
	samples             int
	consecutiveFailures int

	reportedLoad         float64
	inFlightAtReport     int
	reportedAt           time.Time
	ejectedUntil         time.Time
	consecutiveEjections int
	// fullUntil is the end of the time without calls after fulls answers in a
	// row that the member is full.
	fullUntil       time.Time
	consecutiveFull int
	slowStart       bool
}

func newMember(e *declare.Endpoint, instances int) *member {
	return &member{
		decl:     e,
		hash:     hashName(e.Name()),
		limit:    initialLimit(e.Slots(), instances),
		slowness: 1,
		loaded:   declaredModels(e),
	}
}

// initialLimit gives an instance its part of the slots and half as much again,
// since instances are not equally busy.
func initialLimit(slots, instances int) float64 {
	if instances <= 1 {
		return float64(slots)
	}
	return min(float64(slots), math.Ceil(1.5*float64(slots)/float64(instances)))
}

// succeed notes a whole answer and reports whether it ended an ejection.
func (m *member) succeed(r float64) bool {
	m.consecutiveFailures, m.consecutiveFull = 0, 0
	m.observeSlowness(r)
	if m.consecutiveEjections > 0 {
		if r > slowEjectRatio {
			return false
		}
		m.consecutiveEjections = 0
		m.ejectedUntil = time.Time{}
		m.slowness = r
		m.samples = 1
		m.beginSlowStart()
		return true
	}
	m.raiseLimit(r)
	return false
}

// raiseLimit lifts the limit: by one for each answer after a return, and else by one
// for each round of answers at the limit.
func (m *member) raiseLimit(r float64) {
	slots := float64(m.decl.Slots())
	switch {
	case m.slowStart:
		m.limit = min(slots, m.limit+1)
		m.slowStart = m.limit < slots
	case float64(m.inFlight+1) >= m.limit && r < 1.5:
		m.limit = min(slots, m.limit+1/m.limit)
	}
}

func (m *member) observeSlowness(r float64) {
	m.samples++
	m.slowness += slownessWeight * (min(r, 100) - m.slowness)
}

// beginSlowStart makes a new or returned endpoint start with one call at a time.
func (m *member) beginSlowStart() {
	m.limit = 1
	m.slowStart = true
}

// maxInFlight returns how many calls the member takes at once.
func (m *member) maxInFlight() float64 { return max(1, math.Floor(m.limit)) }

// hasLoaded reports whether the member has loaded what a call needs.
func (m *member) hasLoaded(q Query) bool {
	return (q.Model == "" || slices.Contains(m.loaded, q.Model)) && (q.Adapter == "" || slices.Contains(m.loaded, q.Adapter))
}

// declaredModels returns what an endpoint is to have loaded.
func declaredModels(e *declare.Endpoint) []string {
	return slices.Concat(e.Models(), e.Adapters())
}

// available reports whether the member takes one more ordinary call.
func (m *member) available(now time.Time) bool {
	return !m.leaving && m.consecutiveEjections == 0 && float64(m.inFlight) < m.maxInFlight() && !now.Before(m.fullUntil)
}

// pause keeps a member that said it is full free of calls for a while, longer
// each time in a row.
func (m *member) pause(now time.Time) {
	m.limit = max(1, m.limit*fullLimitFactor)
	m.fullUntil = now.Add(min(maxPause, minPause<<min(m.consecutiveFull, 10)))
	m.consecutiveFull++
}

// score is the expected time until a new call ends, in units of an expected call.
func (m *member) score(now time.Time) float64 {
	load := float64(m.inFlight)
	if !m.reportedAt.IsZero() {
		others := max(0, m.reportedLoad-float64(m.inFlightAtReport))
		// An endpoint's clock may run ahead.
		age := max(0, now.Sub(m.reportedAt))
		load += others * math.Exp2(-float64(age)/float64(reportHalfLife))
	}
	return (1 + load) / float64(m.decl.Slots()) * max(m.slowness, m.ageRatio(now))
}

// ageRatio is how long the calls in flight have run on average, compared with
// how long they were expected to. It shows a stalled endpoint before any of
// its calls ends.
func (m *member) ageRatio(now time.Time) float64 {
	if m.inFlight == 0 || m.expectedSum <= 0 {
		return 0
	}
	age := now.Sub(m.startBase).Seconds()*float64(m.inFlight) - m.startSum
	return age / m.expectedSum
}

func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(took) / float64(expected)
}
