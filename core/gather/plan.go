package gather

import "time"

// queueDelay returns the time until the servers start on a new item that needs
// the given time.
func (q *Queue) queueDelay(now time.Time, it *Item, needed time.Duration) time.Duration {
	active := 0
	earliestFree := time.Duration(-1)
	for _, s := range q.servers {
		if now.Before(s.pausedUntil) {
			continue
		}
		active++
		free := time.Duration(0)
		if len(s.calls) >= q.cfg.Slots {
			free = max(0, s.earliestEnd().Sub(now))
		}
		if earliestFree < 0 || free < earliestFree {
			earliestFree = free
		}
	}
	if active == 0 {
		// All servers are paused. Assume the shortest pause after a failure.
		return minFailureBackoff
	}
	q.backlog.SetParallelism(float64(active * q.cfg.Slots))
	return earliestFree + q.backlog.Wait(now, it.Due, it.Deadline, earliestFree+needed)
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
