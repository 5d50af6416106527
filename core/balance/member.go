package balance

import (
	"math"
	"slices"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
)

// member is what is known of one endpoint.
type member struct {
	decl    *declare.Endpoint
	hash    uint64
	leaving bool
	// removed is set once the endpoint is no longer one of the group.
	removed bool
	// loaded lists the models and adapters that are loaded, as reported by the
	// engine or else as declared.
	loaded []string
	// reportsLoaded is set once the engine has reported its models.
	reportsLoaded bool

	inFlight int
	// startSum is the sum of the start times of the calls in flight, in seconds
	// since startBase. expectedSum is the sum of their expected durations in
	// seconds.
	startBase           time.Time
	startSum            float64
	expectedSum         float64
	limit               float64
	slowness            float64
	samples             int
	consecutiveFailures int

	// reportedLoad is the load in the last report, and inFlightAtReport the
	// number of this instance's calls that it includes.
	reportedLoad     float64
	inFlightAtReport int
	reportedAt       time.Time
	// load is what a server reported in its answers, and reportsLoad whether it ever did.
	load        fleet.LoadTracker
	reportsLoad bool
	// callTime is the moving average of the duration of complete calls since then.
	callTime             time.Duration
	ejectedUntil         time.Time
	consecutiveEjections int
	// ejectedSlow is set while the member is ejected for slowness alone.
	ejectedSlow bool
	// fullUntil is the end of the pause after consecutiveFull answers that the
	// endpoint is full.
	fullUntil       time.Time
	consecutiveFull int
	slowStart       bool
	// excludedUntil is until when the endpoint wants no calls from this instance.
	excludedUntil time.Time
	// restsUntil is the later of fullUntil and excludedUntil.
	restsUntil time.Time
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

// initialLimit returns 1.5 times the instance's equal share of the slots, since
// instances are not equally busy, or all slots if that is less.
func initialLimit(slots, instances int) float64 {
	if instances <= 1 {
		return float64(slots)
	}
	return min(float64(slots), math.Ceil(1.5*float64(slots)/float64(instances)))
}

// succeed records a complete answer that took r times the expected duration, and
// reports whether it ended an ejection.
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

// raiseLimit raises the limit after an answer that took r times the expected
// duration: by one per answer in slow start, and otherwise by about one per round
// of answers at the limit that took less than 1.5 times the expected duration.
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

// observeSlowness adds the ratio of a call's duration to the expected one, capped
// at 100, to the moving average.
func (m *member) observeSlowness(r float64) {
	m.samples++
	m.slowness += slownessWeight * (min(r, 100) - m.slowness)
}

// beginSlowStart limits a new or returning endpoint to one call at a time. The limit
// then rises with each answer.
func (m *member) beginSlowStart() {
	m.limit = 1
	m.slowStart = true
}

// maxInFlight returns how many calls the member may have in flight.
func (m *member) maxInFlight() float64 { return max(1, math.Floor(m.limit)) }

// hasLoaded reports whether the member has loaded the query's model and adapter.
func (m *member) hasLoaded(q Query) bool {
	return (q.Model == "" || slices.Contains(m.loaded, q.Model)) && (q.Adapter == "" || slices.Contains(m.loaded, q.Adapter))
}

// declaredModels returns the models and adapters that an endpoint is declared to
// have loaded.
func declaredModels(e *declare.Endpoint) []string {
	return slices.Concat(e.Models(), e.Adapters())
}

// willing reports whether the endpoint itself wants calls: it is not leaving, and a time
// for which it wants none is over.
func (m *member) willing(now time.Time) bool { return !m.leaving && !now.Before(m.excludedUntil) }

// available reports whether the member can take another call that is not a probe.
func (m *member) available(now time.Time) bool {
	return !m.leaving && m.consecutiveEjections == 0 && float64(m.inFlight) < m.maxInFlight() && !now.Before(m.restsUntil)
}

// pause lowers the limit of a member that reported being full and keeps calls from
// it for a time that doubles with each consecutive report.
func (m *member) pause(now time.Time) {
	m.limit = max(1, m.limit*fullLimitFactor)
	m.fullUntil = now.Add(min(maxPause, minPause<<min(m.consecutiveFull, 10)))
	m.consecutiveFull++
	m.updateRest()
}

// exclude keeps calls from a member until the given time. One that returns begins with a
// slow start.
func (m *member) exclude(until time.Time) {
	if until.After(m.excludedUntil) {
		m.beginSlowStart()
	}
	m.excludedUntil = until
	m.updateRest()
}

func (m *member) updateRest() {
	m.restsUntil = m.fullUntil
	if m.excludedUntil.After(m.fullUntil) {
		m.restsUntil = m.excludedUntil
	}
}

// score returns the expected time until a new call would end, as a multiple of the
// expected duration of a call.
func (m *member) score(now time.Time) float64 {
	load := float64(m.inFlight)
	if !m.reportedAt.IsZero() {
		others := max(0, m.reportedLoad-float64(m.inFlightAtReport))
		// The report's time is ahead of now if the endpoint's clock runs ahead.
		age := max(0, now.Sub(m.reportedAt))
		load += others * math.Exp2(-float64(age)/float64(reportHalfLife))
	}
	slowness := m.slowness
	if m.reportsLoad {
		slowness = m.load.Slowness(now, slowness)
		load += othersWeight * min(m.load.Others(now, m.callTime), maxOthersPerSlot*float64(m.decl.Slots()))
	}
	return (1 + load) / float64(m.decl.Slots()) * max(slowness, m.ageRatio(now))
}

// ageRatio returns the ratio of the mean age of the calls in flight to their mean
// expected duration. It reveals a stalled endpoint before any of its calls ends.
func (m *member) ageRatio(now time.Time) float64 {
	if m.inFlight == 0 || m.expectedSum <= 0 {
		return 0
	}
	age := now.Sub(m.startBase).Seconds()*float64(m.inFlight) - m.startSum
	return age / m.expectedSum
}

// ratio returns the ratio of the observed to the expected duration, or 1 if none is
// expected.
func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(took) / float64(expected)
}
