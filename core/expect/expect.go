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
	// firstGuess is the time from a send to an engine to its first event before
	// any has been observed.
	firstGuess = 300 * time.Millisecond

	// sizeWeight is the weight of the newest request in the mean size.
	sizeWeight = 0.02

	// waitQuantile is the part of callers that wait less than what first attempts
	// are taken to wait, and waitStep moves that by each request, as a part of
	// its wait: the waits of first attempts differ.
	waitQuantile = 0.1
	waitStep     = 0.02
)

type (
	// Routes is what is learnt of all routes. Use New. It is safe for concurrent
	// use.
	Routes struct {
		mu     sync.Mutex
		routes map[string]*learnt
	}

	learnt struct {
		// wait is a low quantile of the times that callers say they wait. Those
		// that come back after a refusal say less.
		wait time.Duration
		// size is the mean size of requests.
		size float64
		// first is the time from the send to an engine to its first event, and
		// stages that of each stage with its wait.
		first  *estimate.Stage
		stages []*estimate.Stage
	}
)

// New returns what is learnt of no route yet.
func New() *Routes { return &Routes{routes: make(map[string]*learnt)} }

// route returns what is learnt of a route. The caller holds mu.
func (r *Routes) route(name string) *learnt {
	l, ok := r.routes[name]
	if !ok {
		l = &learnt{}
		r.routes[name] = l
	}
	return l
}

// Spent returns how much of its time a caller that waits this long has at least
// used up before this attempt.
func (r *Routes) Spent(route string, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.route(route)
	if l.wait == 0 {
		l.wait = wait
	}
	spent := max(0, l.wait-wait)
	step := waitStep * float64(wait)
	if wait < l.wait {
		l.wait -= time.Duration(step * (1 - waitQuantile))
	} else {
		l.wait += time.Duration(step * waitQuantile)
	}
	return spent
}

// Relative returns the size of a request against the mean of its route, which
// learns it.
func (r *Routes) Relative(route string, size float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.route(route)
	if l.size == 0 {
		l.size = size
	}
	l.size += sizeWeight * (size - l.size)
	if l.size <= 0 {
		return 1
	}
	return size / l.size
}

// ObserveFirst learns from the time from a send to an engine to its first event.
func (r *Routes) ObserveFirst(now time.Time, route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route(route).firstEvents(now).Observe(now, took, 1, 1)
}

// First returns the time from a send to the first event, which few requests
// exceed.
func (r *Routes) First(now time.Time, route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route(route).firstEvents(now).High()
}

// ObserveStage learns from the time that a stage took with its wait. The guess
// stands for it until enough have been observed.
func (r *Routes) ObserveStage(now time.Time, route string, stage int, guess, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route(route).stage(now, stage, guess).Observe(now, took, 1, 1)
}

// Stage returns the time that half of the requests need for a stage.
func (r *Routes) Stage(now time.Time, route string, stage int, guess time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route(route).stage(now, stage, guess).Median()
}

func (l *learnt) firstEvents(now time.Time) *estimate.Stage {
	if l.first == nil {
		l.first = estimate.New(now, firstGuess)
	}
	return l.first
}

func (l *learnt) stage(now time.Time, stage int, guess time.Duration) *estimate.Stage {
	for len(l.stages) <= stage {
		l.stages = append(l.stages, nil)
	}
	if l.stages[stage] == nil {
		l.stages[stage] = estimate.New(now, guess)
	}
	return l.stages[stage]
}
