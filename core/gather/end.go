package gather

import (
	"slices"
	"time"

	"chervilpath/core/fault"
)

// End takes what became of a call. It returns the items that are done, which
// the caller tells, and the handles of results that nobody wants any more.
func (q *Queue) End(now time.Time, b *Batch, ending Ending, outcomes []Outcome) (done []Finished, unwanted []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.servers[b.Server.ID]
	if s == nil {
		s = &server{Server: b.Server, gone: true}
	}
	s.calls = slices.DeleteFunc(s.calls, func(c *Batch) bool { return c == b })
	if ending != Answered || len(outcomes) != len(b.Items) {
		q.failed(now, s, b, ending)
		for _, it := range b.Items {
			s.used -= it.Bytes
			if ending == Refused {
				it.tries--
			}
			done = q.again(done, it, fault.Errorf(fault.EndpointFailed, "server %s failed %d times to make the piece", b.Server.ID, it.tries))
		}
		return done, nil
	}
	q.answered(now, s, b)
	for i, it := range b.Items {
		o := outcomes[i]
		switch {
		case o.Reason == Made && it.dropped:
			unwanted = append(unwanted, o.Handle)
			q.results[o.Handle] = result{server: s.ID, bytes: it.Bytes, until: now.Add(q.pieces.ResultTTL)}
		case o.Reason == Made:
			q.results[o.Handle] = result{server: s.ID, bytes: it.Bytes, until: now.Add(q.pieces.ResultTTL)}
			done = append(done, Finished{Item: it, Handle: o.Handle})
		default:
			s.used -= it.Bytes
			done = q.refused(now, s, done, it, o.Reason)
		}
	}
	return done, unwanted
}

// Finished is an item that needs no more work.
type Finished struct {
	Item   *Item
	Handle string
	Err    error
}

func (q *Queue) refused(now time.Time, s *server, done []Finished, it *Item, why Reason) []Finished {
	switch why {
	case Late:
		return append(done, Finished{Item: it, Err: fault.Errorf(fault.DeadlineTooShort, "the piece's turn came too late").WithRan(fault.RanNo)})
	case InputGone:
		return append(done, Finished{Item: it, Err: fault.Errorf(fault.InputGone, "an input of the piece no longer exists").WithRan(fault.RanNo)})
	case NoRoom:
		s.until = now.Add(retryAfterFull)
		it.tries--
	}
	return q.again(done, it, fault.Errorf(fault.EndpointFailed, "server %s could not make the piece", s.ID))
}

// again puts an item back, or ends it with the error after too many tries.
func (q *Queue) again(done []Finished, it *Item, err *fault.Error) []Finished {
	if it.dropped {
		return done
	}
	if it.tries >= maxTries {
		return append(done, Finished{Item: it, Err: err.WithRan(fault.RanNo)})
	}
	q.waiting = append(q.waiting, it)
	return done
}

func (q *Queue) failed(now time.Time, s *server, b *Batch, ending Ending) {
	if ending == Refused {
		s.refusals++
		s.until = now.Add(min(maxAfterFull, retryAfterFull<<min(s.refusals-1, 8)))
		return
	}
	s.failures++
	s.until = now.Add(min(maxPause, minPause<<min(s.failures-1, 8)))
}

// answered learns from the time of a call.
func (q *Queue) answered(now time.Time, s *server, b *Batch) {
	s.failures, s.refusals = 0, 0
	took := now.Sub(b.began).Seconds()
	planned := q.time(b.Items).Seconds()
	s.slowness += 0.3 * (took/planned - s.slowness)
	if s.slowness > 1.5 || len(b.Items) == 0 {
		return
	}
	over := (took - planned) / float64(len(b.Items))
	seen := make(map[string]bool)
	for _, it := range b.Items {
		if seen[it.Class] {
			continue
		}
		seen[it.Class] = true
		have := q.itemTime(it.Class)
		q.classes[it.Class] = max(0.1*q.pieces.ItemTime.Seconds(), have+learn*over)
	}
}

// Freed notes that results were given up at their server.
func (q *Queue) Freed(handles []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range handles {
		q.release(h)
	}
}

func (q *Queue) release(handle string) {
	r, ok := q.results[handle]
	if !ok {
		return
	}
	delete(q.results, handle)
	if s := q.servers[r.server]; s != nil {
		s.used = max(0, s.used-r.bytes)
	}
}

// expire forgets results that their server no longer holds.
func (q *Queue) expire(now time.Time) {
	for h, r := range q.results {
		if now.After(r.until) {
			q.release(h)
		}
	}
}
