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
	minMicros = 1
	maxMicros = 600_000_000
	digits    = 2

	// minSamples is the number of calls below which the initial guess counts.
	minSamples = 8

	// lengthWeight is the weight of the newest call in the mean output length.
	lengthWeight = 0.1
)

// Stage estimates one stage. Use New to make one.
type Stage struct {
	current, previous *hdrhistogram.Histogram
	rotated           time.Time
	guess             time.Duration
	lengthRatio       float64
	meanSeconds       float64
	meanCost          float64
	// median is kept, since it is asked for more often than it changes.
	cached      [2]time.Duration
	cachedCount int
	count       int
}

// New returns an estimate that answers with guess until calls have been observed.
func New(now time.Time, guess time.Duration) *Stage {
	return &Stage{
		current:     hdrhistogram.New(minMicros, maxMicros, digits),
		previous:    hdrhistogram.New(minMicros, maxMicros, digits),
		rotated:     now,
		guess:       guess,
		lengthRatio: 1,
		cached:      [2]time.Duration{guess, guess},
	}
}

// Observe notes a finished call that took d and cost units; asked is the cost
// that was expected before any correction.
func (s *Stage) Observe(now time.Time, d time.Duration, cost, asked float64) {
	s.rotate(now)
	_ = s.current.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
	s.count++
	weight := max(lengthWeight, 1/float64(s.count))
	s.meanSeconds += weight * (d.Seconds() - s.meanSeconds)
	s.meanCost += weight * (cost - s.meanCost)
	if asked > 0 {
		s.lengthRatio += lengthWeight * (cost/asked - s.lengthRatio)
	}
}

// Median returns the time that half of the calls stay below.
func (s *Stage) Median() time.Duration {
	s.refresh()
	return s.cached[0]
}

// High returns the time that 95 of 100 calls stay below.
func (s *Stage) High() time.Duration {
	s.refresh()
	return s.cached[1]
}

// Cost corrects the cost that a caller asked for by how much of what was asked
// recent calls used.
func (s *Stage) Cost(asked float64) float64 { return asked * s.lengthRatio }

// Expect returns the time that a call of the given cost takes. It scales the
// mean by cost, but for a fixed part of a quarter.
func (s *Stage) Expect(cost float64) time.Duration {
	if !s.Known() || s.meanCost <= 0 {
		return s.guess
	}
	seconds := s.meanSeconds * (0.25 + 0.75*cost/s.meanCost)
	return time.Duration(seconds * float64(time.Second))
}

// SecondsPerCost returns the mean time of a call for one unit of cost.
func (s *Stage) SecondsPerCost(typical float64) float64 {
	if !s.Known() || s.meanCost <= 0 {
		return s.guess.Seconds() / max(typical, 1)
	}
	return s.meanSeconds / s.meanCost
}

// Known reports whether enough calls have been observed for the quantiles to
// be more than the initial guess.
func (s *Stage) Known() bool { return s.count >= minSamples }

func (s *Stage) rotate(now time.Time) {
	if now.Sub(s.rotated) < window {
		return
	}
	if now.Sub(s.rotated) >= 2*window {
		s.current.Reset()
	}
	s.current, s.previous = s.previous, s.current
	s.current.Reset()
	s.rotated = now
}

// refresh recomputes the quantiles after the count grew by an eighth.
func (s *Stage) refresh() {
	if !s.Known() || s.count < s.cachedCount+max(1, min(s.cachedCount/8, 64)) {
		return
	}
	s.cachedCount = s.count
	both := s.current
	if s.previous.TotalCount() > 0 && s.current.TotalCount() < s.previous.TotalCount() {
		both = hdrhistogram.Import(s.current.Export())
		both.Merge(s.previous)
	}
	s.cached[0] = time.Duration(both.ValueAtQuantile(50)) * time.Microsecond
	s.cached[1] = time.Duration(both.ValueAtQuantile(95)) * time.Microsecond
}
