package member

import "time"

const (
	// settleTime is how long after its start an instance that finds no settled
	// one waits for others that start at the same time.
	settleTime = 300 * time.Millisecond

	// maxSettleTime is how long after its start an instance that hears from no
	// other one acts on its own.
	maxSettleTime = 1500 * time.Millisecond

	// joinInterval is the time between two syncs with a seed during the start.
	joinInterval = 100 * time.Millisecond
)

// Join decides when an instance that has just started knows the others well
// enough to work for them or to have them work for it. Until then it is not
// settled. An instance that joins a running fleet settles with the first answer
// of a settled one. Instances that start together settle after settleTime, when
// each has announced itself to the seeds that answer.
//
// Use NewJoin to create one. It is not safe for concurrent use.
type Join struct {
	started time.Time
	seeds   map[string]*seedState
	settled bool
}

// seedState is what an instance knows of a seed during its start.
type seedState struct {
	// nextSync is when to sync with the seed next, or zero if not any more.
	nextSync time.Time
	answered bool
}

// NewJoin returns the state of an instance that starts now. Seeds are the
// addresses of other instances.
func NewJoin(now time.Time, seeds []string) *Join {
	j := &Join{started: now, seeds: make(map[string]*seedState, len(seeds))}
	for _, s := range seeds {
		j.seeds[s] = &seedState{nextSync: now}
	}
	return j
}

// Due returns the seeds to sync with now.
func (j *Join) Due(now time.Time) []string {
	var out []string
	for address, s := range j.seeds {
		if !s.nextSync.IsZero() && !now.Before(s.nextSync) {
			out = append(out, address)
			// A sync that is not answered is repeated, and one that is answered
			// early is repeated once more instances have started.
			s.nextSync = now.Add(joinInterval)
			if s.answered {
				s.nextSync = time.Time{}
			}
		}
	}
	return out
}

// Answered records that a seed answered a sync that began at requestedAt, and
// whether the seed is settled.
func (j *Join) Answered(requestedAt time.Time, address string, settled bool) {
	s, ok := j.seeds[address]
	if !ok {
		return
	}
	last := !requestedAt.Before(j.started.Add(settleTime))
	if settled || last {
		j.settled = true
	}
	if !s.answered {
		s.answered = true
		if s.nextSync.Before(j.started.Add(settleTime)) {
			s.nextSync = j.started.Add(settleTime)
		}
	}
}

// Settled reports whether the instance is settled. others is the number of other
// instances that it knows. A seed whose fellow seeds are down knows those that
// have announced themselves to it.
func (j *Join) Settled(now time.Time, others int) bool {
	elapsed := now.Sub(j.started)
	noAnswer := true
	for _, s := range j.seeds {
		noAnswer = noAnswer && !s.answered
	}
	if elapsed >= settleTime && (len(j.seeds) == 0 || noAnswer && others > 0) || elapsed >= maxSettleTime {
		j.settled = true
	}
	return j.settled
}

// NextWakeup returns the time at which Due or Settled may have changed.
func (j *Join) NextWakeup() time.Time {
	next := j.started.Add(maxSettleTime)
	if len(j.seeds) == 0 {
		next = j.started.Add(settleTime)
	}
	for _, s := range j.seeds {
		if !s.nextSync.IsZero() && s.nextSync.Before(next) {
			next = s.nextSync
		}
	}
	return next
}
