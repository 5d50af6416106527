package fleet

import "time"

const (
	// paceHorizon is the age from which a reported pace is worth nothing. Servers are
	// slow for about this long at a time.
	paceHorizon = 600 * time.Millisecond

	// A reported pace counts as at least minPace and at most maxPace, so that a server
	// that reports nonsense does not draw all work, and calls of it have time-outs of
	// seconds. Nothing depends on how slow a server is beyond that.
	minPace = 0.5
	maxPace = 5.0

	// residualWeight is the weight of the newest call in the moving average of the
	// residual, and steadyPace the largest ratio of the paces before and after a call
	// at which the call counts.
	residualWeight = 0.2
	steadyPace     = 1.25
)

type (
	// Load is the load that a server reported in an answer.
	Load struct {
		// Running and Waiting are the numbers of calls that the server processes and
		// that wait there, those of other instances included. Slots is how many it
		// processes at once.
		Running, Waiting, Slots int
		// Pace is how long work takes there now as a multiple of the usual time, or 0 if
		// the server does not say.
		Pace float64
	}

	// LoadTracker holds the last load that a server reported, and what it is worth at
	// its age. The zero LoadTracker has no report. It is not safe for concurrent use.
	LoadTracker struct {
		load Load
		at   time.Time
		// others is the number of calls in the report that are not this instance's.
		others int
		// residual is the moving average of the duration of calls as a multiple of the
		// one that the reported pace explains, less 1.
		residual float64
	}
)

// Report records a report that came now. own is the number of this instance's calls
// that were in progress at the server, including the one that was answered. The answered
// call may or may not be among those that the server counted; to count it as another
// instance's would make the servers that answered last look the busiest.
func (t *LoadTracker) Report(now time.Time, l Load, own int) {
	if now.Before(t.at) {
		return
	}
	t.load, t.at = l, now
	t.others = max(0, l.Running+l.Waiting-own)
}

// Reports reports whether the server has reported anything that still counts.
func (t *LoadTracker) Reports(now time.Time) bool {
	return !t.at.IsZero() && now.Sub(t.at) < paceHorizon
}

// PaceEnds returns when the last report is worth nothing any more.
func (t *LoadTracker) PaceEnds() time.Time { return t.at.Add(paceHorizon) }

// weight returns what a report that is worth nothing from the age horizon on is worth
// now. A server that is slow for a fixed time is found slow at any moment of it with the
// same probability, so the probability that it still is falls linearly with the age.
func (t *LoadTracker) weight(now time.Time, horizon time.Duration) float64 {
	age := now.Sub(t.at)
	if t.at.IsZero() || age >= horizon {
		return 0
	}
	return 1 - float64(max(0, age))/float64(horizon)
}

// Slowness returns how long a call that starts now is expected to take, as a multiple of
// the usual time. learned is the same as learned from the durations of calls, which is
// what counts without a recent report.
func (t *LoadTracker) Slowness(now time.Time, learned float64) float64 {
	w := t.weight(now, paceHorizon)
	if w == 0 || t.load.Pace == 0 {
		return learned
	}
	return learned + w*(min(maxPace, t.pace()*(1+t.residual))-learned)
}

// Pace returns the reported pace if it is recent enough to count, and otherwise 0.
func (t *LoadTracker) Pace(now time.Time) float64 {
	if t.load.Pace == 0 || t.weight(now, paceHorizon) == 0 {
		return 0
	}
	return t.pace()
}

func (t *LoadTracker) pace() float64 { return min(maxPace, max(minPace, t.load.Pace)) }

// Others returns the expected number of calls of other instances that were at the server
// when it reported and still are, if a call takes callTime there. A call in progress has
// half of its time left on average. Those that have come since are not known, and all
// instances that still counted the ones that have ended would choose the same servers.
func (t *LoadTracker) Others(now time.Time, callTime time.Duration) float64 {
	if t.others == 0 || callTime <= 0 {
		return 0
	}
	return float64(t.others) * t.weight(now, callTime/2)
}

// ObserveCall records that a call that ended now took ratio times the usual time, and that
// the server's reported pace was pace at its start, or 0 if that was not known. A server
// that is always slow may report this as its usual pace; the residual holds what its
// reports leave out. A call during which the pace changed says nothing of that.
func (t *LoadTracker) ObserveCall(now time.Time, pace, ratio float64) {
	end := t.Pace(now)
	if pace == 0 || end == 0 || pace > steadyPace*end || end > steadyPace*pace {
		return
	}
	t.residual += residualWeight * (min(maxPace, max(minPace, ratio/end)) - 1 - t.residual)
}
