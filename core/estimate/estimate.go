// Package estimate owns what is known of how long a stage takes and how much
// it produces. It is fed with finished calls and answers with quantiles.
//
// Estimates are of recent calls only: observations older than two windows do
// not count. The package must not refuse or route anything. A Stage is not
// safe for concurrent use.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the time after which the older half of observations is dropped.
	window = 10 * time.Second

	// Durations are held in microseconds.
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 2

	// minSamples is the number of calls below which the initial guess counts.
	minSamples = 8

	// meanWeight is the weight of the newest call in the mean output length.
	meanWeight = 0.1
)

// Estimator estimates one stage. Use New to make one.
type Estimator struct {
	current, previous *hdrhistogram.Histogram
	lastRotation      time.Time
	initial           time.Duration
	costRatio         float64
	meanSeconds       float64
	meanCost          float64
	// median is kept, since it is asked for more often than it changes.
	quantiles      [2]time.Duration
	quantilesCount int
	count          int
}

// New returns an estimate that answers with guess until calls have been observed.
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

// Observe notes a finished call that took d and cost units; asked is the cost
// that was expected before any correction.
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

// Median returns the time that half of the calls stay below.
func (e *Estimator) Median() time.Duration {
	e.refreshQuantiles()
	return e.quantiles[0]
}

// P95 returns the time that 95 of 100 calls stay below.
func (e *Estimator) P95() time.Duration {
	e.refreshQuantiles()
	return e.quantiles[1]
}

// Cost corrects the cost that a caller asked for by how much of what was asked
// recent calls used.
func (e *Estimator) Cost(stated float64) float64 { return stated * e.costRatio }

// ExpectedTime returns the time that a call of the given cost takes. It scales the
// mean by cost, but for a fixed part of a quarter.
func (e *Estimator) ExpectedTime(cost float64) time.Duration {
	if !e.HasSamples() || e.meanCost <= 0 {
		return e.initial
	}
	seconds := e.meanSeconds * (0.25 + 0.75*cost/e.meanCost)
	return time.Duration(seconds * float64(time.Second))
}

// SecondsPerCost returns the mean time of a call for one unit of cost.
func (e *Estimator) SecondsPerCost(typicalCost float64) float64 {
	if !e.HasSamples() || e.meanCost <= 0 {
		return e.initial.Seconds() / max(typicalCost, 1)
	}
	return e.meanSeconds / e.meanCost
}

// HasSamples reports whether enough calls have been observed for the quantiles to
// be more than the initial guess.
func (e *Estimator) HasSamples() bool { return e.count >= minSamples }

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

// refreshQuantiles recomputes the quantiles after the count grew by an eighth.
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
