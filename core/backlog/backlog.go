// Package backlog orders the jobs that wait for one service: first those that are
// planned to finish by their due time, by due time, then the late ones by
// deadline.
//
// If not all jobs can be on time, those with the least worth for their processing
// time are late. This adapts the Moore-Hodgson algorithm, which minimises the
// number of late jobs, to jobs of unequal worth that arrive one after the other.
//
// An operation takes a time that is logarithmic in the number of jobs, except
// SetPace. A Backlog does not choose servers and reads no clock. It is not
// safe for concurrent use.
package backlog

import (
	"container/heap"
	"math"
	"time"
)

const (
	// MaxLanes is the number of lanes.
	MaxLanes = 64

	// parallelismTolerance is the relative change of the parallelism that the
	// plan ignores.
	parallelismTolerance = 0.1

	// arrivalPeriod is the time constant of the average of the work that arrives.
	arrivalPeriod = time.Second

	// minSpareFraction is the least fraction of the parallelism that late jobs are
	// expected to get.
	minSpareFraction = 0.1

	// maxPromotions is the largest number of late jobs that one call of Advance
	// considers for being on time again.
	maxPromotions = 4
)

type (
	// Job is work of one or more units that have the same due time. Its exported
	// fields are set before Add and not changed afterwards, except by SetUnits.
	Job struct {
		// Due is when the job is needed, and Deadline when it is of no more use.
		Due, Deadline time.Time
		// Worth is the value of finishing the job by Due, relative to others.
		Worth float64
		// Units is the number of units that wait, and UnitTime the processing time
		// of each.
		Units    int
		UnitTime time.Duration
		// Lane, from 0 to MaxLanes-1, groups jobs that the same servers can
		// process.
		Lane int
		// Data is for the user of the backlog.
		Data any

		node node
		// place is the list in which the job waits, or nil.
		place *list
		// shedIndex is the job's index in the heap of shed jobs, or -1.
		shedIndex int
	}

	// Lanes is a set of lanes.
	Lanes uint64

	// Pace is how fast a service processes jobs: after Lead, jobs are finished at
	// a rate of Parallelism units, each in its UnitTime. No job finishes earlier
	// than MinTime after its start.
	Pace struct {
		Parallelism   float64
		Lead, MinTime time.Duration
	}

	// Backlog holds the jobs that wait for one service. Use New to create one.
	Backlog struct {
		pace         Pace
		onTime, late list
		// arrivalRate is the moving average, as of arrivalsAt, of the work that
		// arrives and can be on time, in seconds of processing time a second.
		arrivalRate float64
		arrivalsAt  time.Time
		// shed holds the late jobs whose due time has not passed.
		shed shedHeap
	}
)

// Add adds a lane to the set.
func (l *Lanes) Add(lane int) { *l |= 1 << lane }

// New returns an empty backlog.
func New(p Pace) *Backlog {
	b := &Backlog{}
	b.onTime.parallelism, b.late.parallelism = 1, 1
	b.SetPace(p)
	return b
}

// SetPace sets the pace of the service. It takes a time that is linear in the
// number of jobs if the parallelism changes noticeably.
func (b *Backlog) SetPace(p Pace) {
	b.pace = p
	n := max(1, p.Parallelism)
	if math.Abs(n-b.onTime.parallelism) > parallelismTolerance*b.onTime.parallelism {
		b.onTime.setParallelism(n)
	}
}

// Len returns the number of jobs.
func (b *Backlog) Len() int { return b.onTime.len() + b.late.len() }

// Work returns the time in which the service does all the work that waits.
func (b *Backlog) Work() time.Duration { return b.seconds(b.onTime.total() + b.late.total()) }

// Add adds a job. It may cause jobs with less worth for their processing time to be
// late.
func (b *Backlog) Add(now time.Time, j *Job) {
	j.shedIndex = -1
	if j.Deadline.Before(j.Due) {
		j.Due = j.Deadline
	}
	if b.tooLate(now, j.Due) {
		b.late.insert(j, j.Deadline)
		return
	}
	b.onTime.insert(j, j.Due)
	b.countArrival(now, j.work())
	b.shedExcess(now)
}

// countArrival adds work, in seconds, to the average of what arrives and can be on
// time. Work that is shed is subtracted.
func (b *Backlog) countArrival(now time.Time, work float64) {
	elapsed := now.Sub(b.arrivalsAt).Seconds() / arrivalPeriod.Seconds()
	b.arrivalRate = b.arrivalRate*math.Exp(-max(0, elapsed)) + work/arrivalPeriod.Seconds()
	b.arrivalsAt = now
}

// spareParallelism returns the number of units that the service can process at a
// time besides the work that arrives and can be on time.
func (b *Backlog) spareParallelism(now time.Time) float64 {
	elapsed := now.Sub(b.arrivalsAt).Seconds() / arrivalPeriod.Seconds()
	n := b.onTime.parallelism
	return max(minSpareFraction*n, n-b.arrivalRate*math.Exp(-max(0, elapsed)))
}

// Remove removes a job. It has no effect if the job does not wait.
func (b *Backlog) Remove(j *Job) {
	if j.place != nil {
		j.place.remove(j)
	}
	if j.shedIndex >= 0 {
		heap.Remove(&b.shed, j.shedIndex)
	}
}

// RemoveLate removes the late jobs and returns them by deadline, so that the user of the
// backlog decides about them.
func (b *Backlog) RemoveLate() []*Job {
	var out []*Job
	for j := b.late.first(0); j != nil; j = b.late.first(0) {
		b.Remove(j)
		out = append(out, j)
	}
	return out
}

// SetUnits sets the number of a job's units that wait. A job without units is
// removed.
func (b *Backlog) SetUnits(j *Job, units int) {
	if units == 0 {
		b.Remove(j)
		j.Units = 0
		return
	}
	l := j.place
	l.remove(j)
	j.Units = units
	l.attach(j)
	if j.shedIndex >= 0 {
		heap.Fix(&b.shed, j.shedIndex)
	}
}

// First returns the first job whose lane is not in the set, or nil.
func (b *Backlog) First(blocked Lanes) *Job {
	if j := b.onTime.first(blocked); j != nil {
		return j
	}
	return b.late.first(blocked)
}

// FirstFinishing returns the first on-time job whose lane is not in the set and that is not
// late if it finishes at the given time. If there is none, it returns the first late job that
// finishes by its deadline then, or nil.
func (b *Backlog) FirstFinishing(at time.Time, blocked Lanes) *Job {
	if j := b.onTime.firstFrom(at, blocked); j != nil {
		return j
	}
	return b.late.firstFrom(at, blocked)
}

// tooLate reports whether a job that starts now finishes after the given time.
func (b *Backlog) tooLate(now, at time.Time) bool { return now.Add(b.pace.MinTime).After(at) }

// Advance brings the plan up to date: a job that can no longer finish by its due
// time is late, one that cannot finish by its deadline is removed and returned,
// and jobs become late or on time again as time and capacity allow.
func (b *Backlog) Advance(now time.Time) (expired []*Job) {
	for j := b.onTime.first(0); j != nil && b.tooLate(now, j.Due); j = b.onTime.first(0) {
		b.onTime.remove(j)
		b.late.insert(j, j.Deadline)
	}
	for j := b.late.first(0); j != nil && b.tooLate(now, j.Deadline); j = b.late.first(0) {
		b.Remove(j)
		expired = append(expired, j)
	}
	b.shedExcess(now)
	b.promote(now)
	return expired
}

// shedExcess makes jobs late until all others can be on time.
func (b *Backlog) shedExcess(now time.Time) {
	for {
		j := b.onTime.leastDenseToFirstMiss(now.Add(b.pace.Lead))
		if j == nil {
			return
		}
		b.onTime.remove(j)
		b.countArrival(now, -j.work())
		b.late.insert(j, j.Deadline)
		heap.Push(&b.shed, j)
	}
}

// promote makes the shed jobs with the most worth for their processing time on
// time again while no better job becomes late thereby.
func (b *Backlog) promote(now time.Time) {
	for range maxPromotions {
		if len(b.shed) == 0 {
			return
		}
		j := heap.Pop(&b.shed).(*Job)
		if b.tooLate(now, j.Due) {
			continue
		}
		b.late.remove(j)
		b.onTime.insert(j, j.Due)
		b.countArrival(now, j.work())
		b.shedExcess(now)
		if j.shedIndex >= 0 {
			return
		}
	}
}

// Wait returns the time after which the service starts on a new job: the
// processing time of the jobs that go before it. If the job can then finish by due,
// these are the on-time jobs that are due earlier. Otherwise it follows all on-time
// jobs and the late ones with an earlier deadline, and the late ones are processed
// only as fast as the work that arrives and can be on time allows.
func (b *Backlog) Wait(now, due, deadline time.Time) time.Duration {
	wait := b.seconds(b.onTime.secondsBefore(due))
	if !b.tooLate(now.Add(wait), due) {
		return wait
	}
	late := b.late.secondsBefore(deadline) / b.spareParallelism(now)
	return b.seconds(b.onTime.total()) + time.Duration(late*float64(time.Second))
}

// seconds returns the time in which the service does the given work.
func (b *Backlog) seconds(work float64) time.Duration {
	return time.Duration(work / b.onTime.parallelism * float64(time.Second))
}

// NextChange returns the earliest due time of an on-time job and the earliest
// deadline of a late one, or zero times.
func (b *Backlog) NextChange() (due, deadline time.Time) {
	if j := b.onTime.first(0); j != nil {
		due = j.Due
	}
	if j := b.late.first(0); j != nil {
		deadline = j.Deadline
	}
	return due, deadline
}

// density returns the worth of a job for its processing time.
func (j *Job) density() float64 { return j.Worth / max(1e-9, j.work()) }

// work returns the processing time of the job in seconds.
func (j *Job) work() float64 { return float64(j.Units) * j.UnitTime.Seconds() }

// shedHeap is a heap of jobs, the one with the most worth for its processing time
// first.
type shedHeap []*Job

func (h shedHeap) Len() int           { return len(h) }
func (h shedHeap) Less(i, k int) bool { return h[i].density() > h[k].density() }
func (h shedHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].shedIndex, h[k].shedIndex = i, k
}

func (h *shedHeap) Push(x any) {
	j := x.(*Job)
	j.shedIndex = len(*h)
	*h = append(*h, j)
}

func (h *shedHeap) Pop() any {
	n := len(*h) - 1
	j := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	j.shedIndex = -1
	return j
}
