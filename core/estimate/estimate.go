// Package estimate owns the estimates of how long the calls of a stage take and
// how much they cost, from observations of finished calls.
//
// Estimates follow recent calls: quantiles exclude observations older than two
// windows, and means are exponentially weighted. The package must not refuse or
// route anything. An Estimator is not safe for concurrent use.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the time after which the current observations become the
	// previous ones, and the previous ones are dropped.
	window = 10 * time.Second

	// The range and the precision of the histograms, which hold microseconds.
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 2

	// minSamples is the number of calls below which the initial estimate is used.
	minSamples = 8

	// meanWeight is the weight of the newest call in the means and in the ratio
	// of observed to stated cost.
	meanWeight = 0.1
)

// Estimator estimates the duration and the cost of calls. Use New to create one.
type Estimator struct {
	current, previous *hdrhistogram.Histogram
	lastRotation      time.Time
	initial           time.Duration
	// costRatio is the mean ratio of observed to stated cost.
	costRatio   float64
	meanSeconds float64
	meanCost    float64
	// quantiles caches the median and the 95th percentile, since they are read
	// more often than they change. quantilesCount is the count of calls when
	// they were computed.
	quantiles      [2]time.Duration
	quantilesCount int
	count          int
}

// New returns an estimator that uses the initial estimate of a call's duration
// until enough calls have been observed.
func New(now time.Time, initial time.Duration) *Estimator {
	return &Estimator{
		current:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		previous:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
		lastRotation: now,
		initial:      initial,
		costRatio:    1,
		quantiles:    [2]time.Duration{initial, initial},
	}
}

// Observe records a finished call that took d and had the given cost. stated is
// the cost that was expected before any correction.
func (e *Estimator) Observe(now time.Time, d time.Duration, cost, stated float64) {
	e.rotate(now)
	_ = e.current.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
	e.count++
	weight := max(meanWeight, 1/float64(e.count))
	e.meanSeconds += weight * (d.Seconds() - e.meanSeconds)
	e.meanCost += weight * (cost - e.meanCost)
	if stated > 0 {
		e.costRatio += meanWeight * (cost/stated - e.costRatio)
	}
}

// Median returns the median duration of recent calls.
func (e *Estimator) Median() time.Duration {
	e.refreshQuantiles()
	return e.quantiles[0]
}

// P95 returns the 95th percentile of the durations of recent calls.
func (e *Estimator) P95() time.Duration {
	e.refreshQuantiles()
	return e.quantiles[1]
}

// Cost returns the expected cost of a call: the stated cost, corrected by the
// ratio of observed to stated cost of recent calls.
func (e *Estimator) Cost(stated float64) float64 { return stated * e.costRatio }

// ExpectedTime returns the expected duration of a call of the given cost. A
// quarter of the mean duration is taken as fixed, and the rest is scaled by cost.
func (e *Estimator) ExpectedTime(cost float64) time.Duration {
	if !e.HasSamples() || e.meanCost <= 0 {
		return e.initial
	}
	seconds := e.meanSeconds * (0.25 + 0.75*cost/e.meanCost)
	return time.Duration(seconds * float64(time.Second))
}

// SecondsPerCost returns the mean duration of calls per unit of cost. Until
// enough calls have been observed, it assumes that calls have typicalCost.
func (e *Estimator) SecondsPerCost(typicalCost float64) float64 {
	if !e.HasSamples() || e.meanCost <= 0 {
		return e.initial.Seconds() / max(typicalCost, 1)
	}
	return e.meanSeconds / e.meanCost
}

// HasSamples reports whether enough calls have been observed to replace the
// initial estimate.
func (e *Estimator) HasSamples() bool { return e.count >= minSamples }

// rotate starts a new current histogram after each window.
func (e *Estimator) rotate(now time.Time) {
	if now.Sub(e.lastRotation) < window {
		return
	}
	if now.Sub(e.lastRotation) >= 2*window {
		e.current.Reset()
	}
	e.current, e.previous = e.previous, e.current
	e.current.Reset()
	e.lastRotation = now
}

// refreshQuantiles recomputes the quantiles once the number of calls has grown by
// an eighth, or by 64 if that is less. They are those of the current histogram,
// merged with the previous one while that has more calls.
func (e *Estimator) refreshQuantiles() {
	if !e.HasSamples() || e.count < e.quantilesCount+max(1, min(e.quantilesCount/8, 64)) {
		return
	}
	e.quantilesCount = e.count
	merged := e.current
	if e.previous.TotalCount() > 0 && e.current.TotalCount() < e.previous.TotalCount() {
		merged = hdrhistogram.Import(e.current.Export())
		merged.Merge(e.previous)
	}
	e.quantiles[0] = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
	e.quantiles[1] = time.Duration(merged.ValueAtQuantile(95)) * time.Microsecond
}
