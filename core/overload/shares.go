package overload

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time after which an arrival counts for half in the shares of
	// requests that are served. With 10 s, a floor took effect only at the end of a burst of
	// 5 s.
	shareHalfLife = 2 * time.Second

	// An organisation is below its floor if it is served less often than organisationFloor
	// times as often as all, and large requests are if they are served less often than
	// largeFloor times as often as their class. The promised floors are a quarter and a
	// half.
	organisationFloor = 0.4
	largeFloor        = 0.75

	// largeFraction is the fraction of the requests of a class that count as large, and
	// sizeStep how far each request moves the estimate of the least large size.
	largeFraction = 0.1
	sizeStep      = 0.02

	// maxShares is the number of organisations above which those without recent requests
	// are forgotten. It is above the number in steady use by the design, and minOffered is
	// what counts as recent.
	maxShares  = 1 << 16
	minOffered = 0.1

	// maxClasses is the number of classes above which all are forgotten. The names of routes
	// change with the configuration.
	maxClasses = 1 << 10
)

type (
	// share counts the requests of a group and those of them that were not refused. Both
	// decay with time.
	share struct {
		offered, admitted float64
		at                time.Time
	}

	// classKey identifies a class. Organisations may have priorities of their own, and the
	// requests of a route that differ in priority are served differently.
	classKey struct {
		name     string
		priority int
	}

	// class holds what is known of the requests of a class.
	class struct {
		all, large share
		priority   int
		// worth and work are the means of the value of an answer on time, and of the
		// work of a request of the mean size in seconds.
		worth, work float64
		// largeSize is the estimate of the least size of a large request.
		largeSize float64
	}

	// shares holds the shares of the classes and organisations of a service.
	shares struct {
		all           share
		work          float64
		classes       map[classKey]*class
		organisations map[string]*share
	}
)

func newShares() shares {
	return shares{classes: make(map[classKey]*class), organisations: make(map[string]*share)}
}

func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		f := math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
		s.offered, s.admitted, s.at = s.offered*f, s.admitted*f, now
	}
}

// arrive counts a request as admitted.
func (s *share) arrive(now time.Time) {
	s.decay(now)
	s.offered++
	s.admitted++
}

// refuse subtracts a request that was counted as admitted.
func (s *share) refuse() { s.admitted = max(0, s.admitted-1) }

// below reports whether the latest request is needed for the group to be served factor
// times as often as another one.
func (s *share) below(factor float64, other *share) bool {
	return (s.admitted-1)*other.offered < factor*s.offered*other.admitted
}

// arrive counts a request and sets its class, its organisation and whether it is large.
func (s *shares) arrive(now time.Time, j *Job) {
	key := classKey{j.Demand.Class, min(max(j.Demand.Priority, 0), maxPriority-1)}
	c, ok := s.classes[key]
	if !ok {
		if len(s.classes) >= maxClasses {
			clear(s.classes)
		}
		c = &class{priority: key.priority, worth: j.Demand.Worth, largeSize: 1}
		s.classes[key] = c
	}
	o, ok := s.organisations[j.Demand.Organisation]
	if !ok {
		s.forget(now)
		o = &share{}
		s.organisations[j.Demand.Organisation] = o
	}
	j.class, j.organisation = c, o
	c.worth += meanWeight * (j.Demand.Worth - c.worth)
	size := j.relativeWork()
	j.large = size > c.largeSize
	if j.large {
		c.largeSize *= 1 + sizeStep*(1-largeFraction)
	} else {
		c.largeSize *= 1 - sizeStep*largeFraction
	}
	s.all.arrive(now)
	c.all.arrive(now)
	o.arrive(now)
	if j.large {
		c.large.arrive(now)
	}
}

// forget removes organisations without recent requests if there are too many.
func (s *shares) forget(now time.Time) {
	if len(s.organisations) < maxShares {
		return
	}
	for name, o := range s.organisations {
		if o.decay(now); o.offered < minOffered {
			delete(s.organisations, name)
		}
	}
	if len(s.organisations) >= maxShares {
		clear(s.organisations)
	}
}

func (s *shares) refuse(j *Job) {
	s.all.refuse()
	j.class.all.refuse()
	j.organisation.refuse()
	if j.large {
		j.class.large.refuse()
	}
}

// level returns the level of a request that was just counted. One that is needed for a floor
// goes before all others, unless its class would then be served better than a more urgent
// one: where a more urgent class leaves almost nothing, going first within the own class is
// not enough.
func (s *shares) level(j *Job) level {
	needed := j.organisation.below(organisationFloor, &s.all) || j.large && j.class.large.below(largeFloor, &j.class.all)
	if needed && s.servedWorse(j.class) {
		return 0
	}
	l := level(2 + 2*j.class.priority)
	if needed {
		l--
	}
	return l
}

// servedWorse reports whether a class is served no better than any more urgent one.
func (s *shares) servedWorse(c *class) bool {
	for _, other := range s.classes {
		if other.priority < c.priority && c.all.admitted*other.all.offered > other.all.admitted*c.all.offered {
			return false
		}
	}
	return true
}

// workOf returns the expected work of a request.
func (s *shares) workOf(j *Job, initial time.Duration) time.Duration {
	mean := j.class.work
	if mean == 0 {
		mean = s.meanWork(initial).Seconds()
	}
	return time.Duration(mean * j.relativeWork() * float64(time.Second))
}

// meanWork returns the mean work of all requests.
func (s *shares) meanWork(initial time.Duration) time.Duration {
	if s.work == 0 {
		return initial
	}
	return time.Duration(s.work * float64(time.Second))
}

// observe records the work of a request that has ended.
func (s *shares) observe(j *Job, took time.Duration) {
	learn(&s.work, took.Seconds())
	learn(&j.class.work, took.Seconds()/j.relativeWork())
}

// learn moves a mean towards an observation. The first one stands for it.
func learn(mean *float64, v float64) {
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += meanWeight * (v - *mean)
}
