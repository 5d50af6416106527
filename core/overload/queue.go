package overload

import (
	"fmt"
	"math"
	"time"

	"chervilpath/core/backlog"
	"chervilpath/core/fault"
)

const (
	// meanWeight is the weight of the newest observation in the moving averages of a class.
	meanWeight = 0.05

	// A density is the value of a request for its work, relative to the means of its class.
	// It is kept between minDensity and maxDensity, and each level of urgency outweighs the
	// next by densityBase, which is more than the ratio of the two.
	minDensity  = 1.0 / 8
	maxDensity  = 8
	densityBase = 128

	// returnedFactor multiplies the density of a request that came back after a refusal, so
	// that it goes before a newcomer of the same value.
	returnedFactor = 1.5

	// The density halves with each newcomerHalfLife of later arrival, so that a request that
	// has waited is not given up for a newcomer of about the same value. The arrival counts
	// from an epoch that moves after maxEpoch, before the factor leaves the range of floats.
	newcomerHalfLife = 2 * time.Second
	maxEpoch         = 300 * newcomerHalfLife

	// deadlineMargin multiplies the work of a request where its deadline is concerned. Work
	// varies, and what is started and then misses its deadline has taken a place for nothing:
	// without a margin this were a fifth of the large requests in the test of bursts.
	deadlineMargin = 1.4

	// maxRelativeWork bounds what the stated size of a request makes of its work.
	maxRelativeWork = 16

	// ratePeriod is the time constant of the averages of arriving and of refused work.
	ratePeriod = time.Second

	// minSpareFraction is the least fraction of the places that late requests are expected
	// to get. With 0.1, a twentieth of the requests of a burst waited for more than 300 ms
	// and were refused then.
	minSpareFraction = 0.02

	// lateFactor multiplies the density of a request that is planned to be late, so that it
	// seldom gives way to later ones after it was accepted.
	lateFactor = 2

	// Refused callers wait for at most a third of their remaining time, whatever they are
	// told. Where capacity is expected later than maxRetryFraction of it, they are told a
	// random time from minRetryFraction on.
	minRetryFraction = 0.18
	maxRetryFraction = 0.33
)

type (
	// Job is a request that waits for a place. Its exported fields are set before Add and
	// not changed afterwards.
	Job struct {
		ID     string
		Demand Demand
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		// Response is the time from the start of the work to the answer, or 0 if the request
		// is answered at the end of its work. A stream begins long before that.
		Response time.Duration
		// Lane groups requests that the same servers can serve; see Next.
		Lane int

		plan backlog.Job
		// work is the time for which the request is expected to hold a place.
		work         time.Duration
		level        level
		state        state
		class        *class
		organisation *share
		large        bool
		// newcomerFactor multiplies the density.
		newcomerFactor float64
		admitted       Forecast
	}

	// Forecast is what was expected for a request at a time.
	Forecast struct {
		// Wait is the time until it gets a place, and Ahead the number of waiting requests
		// of the service.
		Wait   time.Duration
		Ahead  int
		Places int
		// Late is set if the answer is expected after the due time.
		Late bool
	}

	// Refused is a request that was refused after it had waited.
	Refused struct {
		Job *Job
		Err *fault.Error
	}

	// Queue holds the requests that wait for the places of one service. Use New to create
	// one. It is not safe for concurrent use.
	Queue struct {
		plan         *backlog.Backlog
		random       func() float64
		places, busy int
		initialWork  time.Duration
		shares       shares
		// onTime and late are the work that waits with the aim to be on time, and to be
		// answered by the deadline, in seconds.
		onTime, late levels
		// arriving and arrivingLate are the moving averages of the work that arrives and is
		// planned to be on time and late, and refusedRate that of the work that is refused,
		// in seconds a second, as of ratesAt.
		arriving, arrivingLate levels
		refusedRate            float64
		ratesAt                time.Time
		epoch                  time.Time
		dropped                []Refused
	}

	// levels holds a quantity for each level.
	levels [numLevels]float64

	// level ranks requests; those of a lower one go before all of a higher one if not all
	// can be served.
	level int

	// state says where a request is.
	state uint8
)

const (
	// numLevels is the number of levels: one for requests that are needed for a floor, and
	// two for each priority, the first of which is for such requests of a class that is
	// served better than a more urgent one.
	numLevels   = 2*maxPriority + 3
	maxPriority = 14
)

const (
	outside state = iota
	// waitsForDue and waitsForDeadline are the states of waiting requests that are planned
	// to be on time and late.
	waitsForDue
	waitsForDeadline
	// started requests hold a place.
	started
)

// New returns an empty queue without places. A request is expected to hold a place for
// work until requests of its class have ended. random returns a random number in [0, 1).
func New(work time.Duration, random func() float64) *Queue {
	return &Queue{plan: backlog.New(backlog.Pace{}), random: random, initialWork: work, shares: newShares()}
}

// SetCapacity sets the number of places, including those in use.
func (q *Queue) SetCapacity(now time.Time, places int) {
	if places == q.places {
		return
	}
	q.places = places
	q.setPace()
	q.settle(now)
}

// setPace passes the pace to the plan. If all places are in use, half of a request's work
// is expected to be left in each.
func (q *Queue) setPace() {
	q.plan.SetPace(backlog.Pace{Parallelism: float64(q.places), Lead: q.lead()})
}

func (q *Queue) lead() time.Duration {
	if q.busy < q.places {
		return 0
	}
	return q.shares.meanWork(q.initialWork) / 2
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.plan.Len() }

// Busy returns the number of places in use.
func (q *Queue) Busy() int { return q.busy }

// Add adds a request, or returns an error of kind Overloaded or EndpointUnavailable with
// its RetryAfter if the request cannot be served by its deadline without harm to others
// of more value. It may cause waiting requests to be refused, which Advance returns.
func (q *Queue) Add(now time.Time, j *Job) error {
	if j.Demand.Due.IsZero() || j.Deadline.Before(j.Demand.Due) {
		j.Demand.Due = j.Deadline
	}
	q.shares.arrive(now, j)
	j.work = q.shares.workOf(j, q.initialWork)
	j.level = q.shares.level(j)
	j.plan.Data, j.plan.Lane, j.plan.Units, j.plan.UnitTime = j, j.Lane, 1, max(time.Microsecond, j.work)
	if now.Sub(q.epoch) > maxEpoch {
		q.epoch = now
	}
	j.newcomerFactor = math.Exp2(-now.Sub(q.epoch).Seconds() / newcomerHalfLife.Seconds())
	j.admitted = Forecast{Ahead: q.plan.Len(), Places: q.places}
	if q.places <= 0 {
		return q.refusal(now, j, fault.EndpointUnavailable, "no server of the service takes requests")
	}
	if now.After(q.latestStart(j, j.Deadline, deadlineMargin)) {
		return q.refusal(now, j, fault.Overloaded, fmt.Sprintf("the request takes %v and %v remain until its deadline", j.work, j.Deadline.Sub(now)))
	}
	j.admitted.Wait = q.wait(now, j)
	q.planFor(now, j, waitsForDue)
	q.settle(now)
	if j.state == outside {
		// The last entry is this request, unless others were dropped after it.
		for i := range q.dropped {
			if q.dropped[i].Job == j {
				err := q.dropped[i].Err
				q.dropped = append(q.dropped[:i], q.dropped[i+1:]...)
				return err
			}
		}
	}
	j.admitted.Late = j.state == waitsForDeadline
	return nil
}

// latestStart returns when a request has to get its place to end by a time if its work takes
// margin times as long as expected. The plan counts the work of a request itself at the pace
// of all places together.
func (q *Queue) latestStart(j *Job, by time.Time, margin float64) time.Time {
	response := j.work
	if j.Response > 0 {
		response = j.Response
	}
	return by.Add(-time.Duration(margin*float64(response)) + j.work/time.Duration(max(1, q.places)))
}

// planFor adds a request to the plan with its due time or its deadline as its aim.
func (q *Queue) planFor(now time.Time, j *Job, aim state) {
	worth, deadline := j.Demand.Worth, q.latestStart(j, j.Deadline, deadlineMargin)
	j.state, j.plan.Deadline = aim, deadline
	j.plan.Due = q.latestStart(j, j.Demand.Due, 1)
	if aim == waitsForDeadline {
		worth, j.plan.Due = lateFactor*j.Demand.LateWorth, deadline
	}
	j.plan.Worth = j.density(worth) * math.Pow(densityBase, -float64(j.level)) * j.newcomerFactor * j.plan.UnitTime.Seconds()
	q.count(now, j, 1)
	q.plan.Add(now, &j.plan)
}

// density returns a value for the work of the request, relative to the means of its class.
func (j *Job) density(worth float64) float64 {
	d := worth / max(1e-9, j.class.worth) / max(1e-9, j.relativeWork())
	if j.Demand.Returned {
		d *= returnedFactor
	}
	return min(max(d, minDensity), maxDensity)
}

// relativeWork returns the expected work relative to that of a request of the mean size.
func (j *Job) relativeWork() float64 {
	if j.Demand.RelativeSize <= 0 {
		return 1
	}
	return min(max(j.Demand.RelativeSize, 1.0/maxRelativeWork), maxRelativeWork)
}

// count adds the work of a waiting request to the totals, or subtracts it if sign is -1.
func (q *Queue) count(now time.Time, j *Job, sign float64) {
	work := sign * j.work.Seconds()
	waiting, arriving := &q.onTime[j.level], &q.arriving[j.level]
	if j.state == waitsForDeadline {
		waiting, arriving = &q.late[j.level], &q.arrivingLate[j.level]
	}
	*waiting += work
	if sign > 0 {
		q.decay(now)
		*arriving += work / ratePeriod.Seconds()
	}
}

// decay brings the moving averages up to date.
func (q *Queue) decay(now time.Time) {
	elapsed := now.Sub(q.ratesAt)
	if elapsed <= 0 {
		return
	}
	f := math.Exp(-elapsed.Seconds() / ratePeriod.Seconds())
	for i := range q.arriving {
		q.arriving[i] *= f
		q.arrivingLate[i] *= f
	}
	q.refusedRate *= f
	q.ratesAt = now
}

// upTo returns the sum of the levels up to the given one.
func (l *levels) upTo(last level) float64 {
	sum := 0.0
	for _, v := range l[:last+1] {
		sum += v
	}
	return max(0, sum)
}

// wait returns how long a request would wait as a late one: the on-time work of its level
// and more urgent ones goes first, and late work is done only as fast as the on-time work
// that arrives and the late work of more urgent ones allow.
func (q *Queue) wait(now time.Time, j *Job) time.Duration {
	if q.busy < q.places && q.plan.Len() == 0 {
		return 0
	}
	q.decay(now)
	n := float64(max(1, q.places))
	spare := max(minSpareFraction*n, n-q.arriving.upTo(j.level)-q.arrivingLate.upTo(j.level-1))
	seconds := q.onTime.upTo(j.level)/n + q.late.upTo(j.level)/spare
	return q.lead() + time.Duration(seconds*float64(time.Second))
}

// settle decides about the requests that the plan cannot serve by their aim. One that
// misses its due time is planned for its deadline if it is expected to be served by then,
// and refused otherwise.
func (q *Queue) settle(now time.Time) {
	for late := q.plan.RemoveLate(); len(late) > 0; late = q.plan.RemoveLate() {
		for _, p := range late {
			j := p.Data.(*Job)
			q.count(now, j, -1)
			if j.state == waitsForDue {
				q.decay(now)
				q.arriving[j.level] = max(0, q.arriving[j.level]-j.work.Seconds()/ratePeriod.Seconds())
				if !now.Add(q.wait(now, j)).After(p.Deadline) {
					q.planFor(now, j, waitsForDeadline)
					continue
				}
			}
			q.drop(now, j)
		}
	}
}

// drop refuses a request that has left the plan.
func (q *Queue) drop(now time.Time, j *Job) {
	j.state = outside
	wait := q.wait(now, j)
	text := fmt.Sprintf("the expected wait of %v leaves no time until the deadline in %v", wait.Round(time.Millisecond), j.Deadline.Sub(now).Round(time.Millisecond))
	text += fmt.Sprintf("; on arrival %d requests waited for %d places and the expected wait was %v, now %d wait for %d",
		j.admitted.Ahead, j.admitted.Places, j.admitted.Wait.Round(time.Millisecond), q.plan.Len(), q.places)
	q.dropped = append(q.dropped, Refused{Job: j, Err: q.refusal(now, j, fault.Overloaded, text)})
}

// refusal returns the error for a request that is refused.
func (q *Queue) refusal(now time.Time, j *Job, kind fault.Kind, text string) *fault.Error {
	q.shares.refuse(j)
	q.decay(now)
	q.refusedRate += j.work.Seconds() / ratePeriod.Seconds()
	return fault.Errorf(kind, "%s", text).WithRan(fault.RanNo).WithRetryAfter(q.retryAfter(now, j))
}

// retryAfter returns when a place is expected for a refused request, spread over the time
// that the places need for all that were refused lately.
func (q *Queue) retryAfter(now time.Time, j *Job) time.Duration {
	n := float64(max(1, q.places))
	remaining := max(0, j.Deadline.Sub(now)).Seconds()
	from := (q.onTime.upTo(j.level) + q.late.upTo(j.level)) / n
	from = max(from, q.shares.meanWork(q.initialWork).Seconds())
	to := from + max(from/2, q.refusedRate*ratePeriod.Seconds()/n)
	if limit := maxRetryFraction * remaining; to > limit {
		from, to = min(from, minRetryFraction*remaining), limit
	}
	return time.Duration((from + (to-from)*q.random()) * float64(time.Second))
}

// Advance brings the plan up to date and returns the requests that were refused after they
// had waited.
func (q *Queue) Advance(now time.Time) []Refused {
	for _, p := range q.plan.Advance(now) {
		j := p.Data.(*Job)
		q.count(now, j, -1)
		q.drop(now, j)
	}
	q.settle(now)
	out := q.dropped
	q.dropped = nil
	return out
}

// Next returns the request whose turn it is when a place is free, of those whose lane is not
// blocked, or nil. It goes on waiting until Start or Remove is called.
func (q *Queue) Next(blocked backlog.Lanes) *Job {
	if p := q.plan.First(blocked); p != nil {
		return p.Data.(*Job)
	}
	return nil
}

// Start records that a waiting request has got a place. It must be matched by End.
func (q *Queue) Start(now time.Time, j *Job) {
	q.Remove(now, j)
	j.state = started
	q.busy++
	if q.busy == q.places {
		q.setPace()
	}
}

// End records that a request has given back its place. took is how long its work took, or
// 0 if that says nothing of other requests.
func (q *Queue) End(j *Job, took time.Duration) {
	if j.state != started {
		return
	}
	j.state = outside
	q.busy--
	if took > 0 {
		q.shares.observe(j, took)
	}
	q.setPace()
}

// Remove removes a request that gave up. It has no effect if the request does not wait.
func (q *Queue) Remove(now time.Time, j *Job) {
	if j.state != waitsForDue && j.state != waitsForDeadline {
		return
	}
	q.plan.Remove(&j.plan)
	q.count(now, j, -1)
	j.state = outside
}

// NextChange returns when Advance has to be called next, or the zero time.
func (q *Queue) NextChange() time.Time {
	at, _ := q.plan.NextChange()
	return at
}

// Admitted returns what was expected for the request when it was added.
func (j *Job) Admitted() Forecast { return j.admitted }

// Work returns the time for which the request is expected to hold a place.
func (j *Job) Work() time.Duration { return j.work }
