package gather

import (
	"time"

	"chervilpath/core/backlog"
)

// updatePace passes the pace of the servers that are not paused to the backlog, and
// returns the time until the first of them is free.
//
// Servers that work in parallel finish their calls evenly distributed over the
// duration of a call, so the work before an item delays it by its share of the
// servers, and its own call ends a full duration later.
func (q *Queue) updatePace(now time.Time) (free time.Duration) {
	active, slots := 0, 0.0
	q.updateExpected(now)
	free = -1
	for _, s := range q.servers {
		if s.rests(now) {
			continue
		}
		active++
		if q.slowServers {
			slots += float64(q.cfg.Slots) / s.pace
		}
		ownFree := time.Duration(0)
		if len(s.calls) >= q.cfg.Slots {
			ownFree = max(0, s.earliestEnd().Sub(now))
		}
		if free < 0 || ownFree < free {
			free = ownFree
		}
	}
	if active == 0 {
		// All servers are paused. Assume the shortest pause after a failure.
		free = max(minFailureBackoff, q.earliestReturn(now).Sub(now))
	}
	if !q.slowServers {
		slots = float64(active * q.cfg.Slots)
	}
	slots = max(1, slots)
	call := max(q.meanCall, q.cfg.CallTime)
	q.backlog.SetPace(backlog.Pace{
		Parallelism: slots, Lead: free + time.Duration(float64(call)*(slots-1)/slots), MinTime: q.cfg.CallTime,
	})
	return free
}

// earliestEnd returns when the first of the server's calls is expected to end.
func (s *server) earliestEnd() time.Time {
	var first time.Time
	for _, b := range s.calls {
		if end := b.started.Add(b.expected); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// itemSeconds returns the processing time of an item of the class, without the
// fixed cost of a call.
func (q *Queue) itemSeconds(class string) float64 {
	if t, ok := q.classSeconds[class]; ok {
		return t
	}
	return q.cfg.ItemTime.Seconds()
}

// callTime returns the expected duration of a call with the items.
func (q *Queue) callTime(items []*Item) time.Duration {
	seconds := q.cfg.CallTime.Seconds()
	for _, it := range items {
		seconds += q.itemSeconds(it.Class)
	}
	return time.Duration(seconds * float64(time.Second))
}
