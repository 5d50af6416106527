// Package expect owns what is learnt of the requests of each route: how long
// callers wait, how large requests are, and how long stages and first events
// take.
//
// It is fed by core/relay and must not decide or read a clock.
package expect

import (
	"sync"
	"time"

	"chervilpath/core/estimate"
)

const (
	// initialFirstEventTime is the time from a send to an engine to its first event before
	// any has been observed.
	initialFirstEventTime = 300 * time.Millisecond

	// sizeWeight is the weight of the newest request in the mean size.
	sizeWeight = 0.02

	// timeoutQuantile is the part of callers that wait less than what first attempts
	// are taken to wait, and waitStep moves that by each request, as a part of
	// its wait: the waits of first attempts differ.
	timeoutQuantile = 0.1
	timeoutStep     = 0.02
)

type (
	// Stats is what is learnt of all routes. Use New. It is safe for concurrent
	// use.
	Stats struct {
		mu     sync.Mutex
		routes map[string]*routeStats
	}

	routeStats struct {
		// timeout is a low quantile of the times that callers say they wait. Those
		// that come back after a refusal say less.
		timeout time.Duration
		// meanSize is the mean size of requests.
		meanSize float64
		// firstEvent is the time from the send to an engine to its first event, and
		// stages that of each stage with its wait.
		firstEvent *estimate.Estimator
		stages     []*estimate.Estimator
	}
)

// New returns what is learnt of no route yet.
func New() *Stats { return &Stats{routes: make(map[string]*routeStats)} }

// forRoute returns what is learnt of a route. The caller holds mu.
func (s *Stats) forRoute(name string) *routeStats {
	rs, ok := s.routes[name]
	if !ok {
		rs = &routeStats{}
		s.routes[name] = rs
	}
	return rs
}

// TimeSpent returns how much of its time a caller that waits this long has at least
// used up before this attempt.
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

// RelativeSize returns the size of a request against the mean of its route, which
// learns it.
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

// ObserveFirstEvent learns from the time from a send to an engine to its first event.
func (s *Stats) ObserveFirstEvent(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forRoute(route).firstEventEstimate(now).Observe(now, took, 1, 1)
}

// FirstEventTime returns the time from a send to the first event, which few requests
// exceed.
func (s *Stats) FirstEventTime(now time.Time, route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forRoute(route).firstEventEstimate(now).P95()
}

// ObserveStage learns from the time that a stage took with its wait. The guess
// stands for it until enough have been observed.
func (s *Stats) ObserveStage(now time.Time, route string, stage int, initial, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forRoute(route).stageEstimate(now, stage, initial).Observe(now, took, 1, 1)
}

// StageTime returns the time that half of the requests need for a stage.
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
