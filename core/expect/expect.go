// Package expect owns the statistics of the requests of each route: how long
// callers wait, how large requests are, and how long stages and first events
// take.
//
// It is fed by core/relay and must not make decisions or read a clock.
package expect

import (
	"sync"
	"time"

	"chervilpath/core/estimate"
)

const (
	// initialFirstEventTime is the expected time from a send to an engine to
	// its first event until enough have been observed.
	initialFirstEventTime = 300 * time.Millisecond

	// sizeWeight is the weight of the newest request in the mean size.
	sizeWeight = 0.02

	// The timeouts of first attempts vary, so a low quantile of all timeouts
	// stands for them. timeoutQuantile is the fraction of callers with a
	// shorter timeout, and timeoutStep how far each request moves the estimate,
	// as a fraction of its own timeout.
	timeoutQuantile = 0.1
	timeoutStep     = 0.02
)

type (
	// Stats holds the statistics of all routes. Create one with New. It is safe
	// for concurrent use.
	Stats struct {
		mu     sync.Mutex
		routes map[string]*routeStats
	}

	routeStats struct {
		// timeout is a low quantile of the timeouts that callers state. A
		// caller that retries after a refusal states a shorter one.
		timeout  time.Duration
		meanSize float64
		// firstEvent estimates the time from a send to an engine to its first
		// event, and stages the time of each stage including its wait.
		firstEvent *estimate.Estimator
		stages     []*estimate.Estimator
	}
)

// New returns statistics without observations.
func New() *Stats { return &Stats{routes: make(map[string]*routeStats)} }

// forRoute returns the statistics of a route. The caller holds mu.
func (s *Stats) forRoute(name string) *routeStats {
	rs, ok := s.routes[name]
	if !ok {
		rs = &routeStats{}
		s.routes[name] = rs
	}
	return rs
}

// TimeSpent returns the least time that a caller with the given timeout has
// spent on earlier attempts: how far its timeout is below the estimate for first
// attempts. It adds the timeout to the statistics.
func (s *Stats) TimeSpent(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rs := s.forRoute(route)
	if rs.timeout == 0 {
		rs.timeout = timeout
	}
	spent := max(0, rs.timeout-timeout)
	step := timeoutStep * float64(timeout)
	if timeout < rs.timeout {
		rs.timeout -= time.Duration(step * (1 - timeoutQuantile))
	} else {
		rs.timeout += time.Duration(step * timeoutQuantile)
	}
	return spent
}

// RelativeSize returns the ratio of the size of a request to the mean of its
// route, and adds the size to the mean.
func (s *Stats) RelativeSize(route string, size float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rs := s.forRoute(route)
	if rs.meanSize == 0 {
		rs.meanSize = size
	}
	rs.meanSize += sizeWeight * (size - rs.meanSize)
	if rs.meanSize <= 0 {
		return 1
	}
	return size / rs.meanSize
}

// ObserveFirstEvent records the time from a send to an engine to its first
// event.
func (s *Stats) ObserveFirstEvent(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forRoute(route).firstEventEstimate(now).Observe(now, took, 1, 1)
}

// FirstEventTime returns the 95th percentile of the time from a send to an
// engine to its first event.
func (s *Stats) FirstEventTime(now time.Time, route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forRoute(route).firstEventEstimate(now).P95()
}

// ObserveStage records the time that a stage took including its wait. The
// initial estimate stands for it until enough have been observed.
func (s *Stats) ObserveStage(now time.Time, route string, stage int, initial, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forRoute(route).stageEstimate(now, stage, initial).Observe(now, took, 1, 1)
}

// StageTime returns the median time of a stage including its wait, or initial
// until enough have been observed.
func (s *Stats) StageTime(now time.Time, route string, stage int, initial time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forRoute(route).stageEstimate(now, stage, initial).Median()
}

func (rs *routeStats) firstEventEstimate(now time.Time) *estimate.Estimator {
	if rs.firstEvent == nil {
		rs.firstEvent = estimate.New(now, initialFirstEventTime)
	}
	return rs.firstEvent
}

func (rs *routeStats) stageEstimate(now time.Time, stage int, initial time.Duration) *estimate.Estimator {
	for len(rs.stages) <= stage {
		rs.stages = append(rs.stages, nil)
	}
	if rs.stages[stage] == nil {
		rs.stages[stage] = estimate.New(now, initial)
	}
	return rs.stages[stage]
}
