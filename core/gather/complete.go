package gather

import (
	"slices"
	"time"

	"chervilpath/core/fault"
)

// Complete records the outcome of a call. It returns the items that need no more
// work, whose Done the caller has to call, and the handles of orphaned results,
// whose items were cancelled during the call and which the caller has to free.
func (q *Queue) Complete(now time.Time, b *Batch, status CallStatus, outcomes []ItemOutcome) (completed []Completion, orphaned []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// The server may have been removed, or have started again, while the call ran.
	s := b.server
	s.calls = slices.DeleteFunc(s.calls, func(c *Batch) bool { return c == b })
	if status != CallAnswered || len(outcomes) != len(b.Items) {
		q.callFailed(now, s, b, status)
		for _, it := range b.Items {
			s.usedBytes -= it.ResultBytes
			if status == CallRefused {
				it.attempts--
			}
			completed = q.retry(now, completed, it, fault.Errorf(fault.EndpointFailed, "server %s failed to process the piece on attempt %d", b.Server.ID, it.attempts))
		}
		return completed, nil
	}
	q.callAnswered(now, s, b)
	for i, it := range b.Items {
		outcome := outcomes[i]
		switch {
		case outcome.Status == ItemDone && it.cancelled:
			orphaned = append(orphaned, outcome.Handle)
			q.recordResult(now, s, outcome.Handle, it.ResultBytes)
		case outcome.Status == ItemDone:
			q.recordResult(now, s, outcome.Handle, it.ResultBytes)
			completed = append(completed, Completion{Item: it, Handle: outcome.Handle})
		default:
			s.usedBytes -= it.ResultBytes
			completed = q.itemFailed(now, s, completed, it, outcome.Status)
		}
	}
	return completed, orphaned
}

// Withhold puts the items of a call that was not made back into the queue. The server gets
// no calls for the given time.
func (q *Queue) Withhold(now time.Time, b *Batch, pause time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := b.server
	s.calls = slices.DeleteFunc(s.calls, func(c *Batch) bool { return c == b })
	if at := now.Add(max(minFullBackoff, pause)); at.After(s.pausedUntil) {
		s.pausedUntil = at
	}
	for _, it := range b.Items {
		s.usedBytes -= it.ResultBytes
		it.attempts--
		if !it.cancelled {
			q.enqueue(now, []*Item{it})
		}
	}
}

// Completion is the final outcome of an item: a handle or an error.
type Completion struct {
	Item   *Item
	Handle string
	Err    error
}

// itemFailed completes an item that has no result with an error, or retries it.
func (q *Queue) itemFailed(now time.Time, s *server, completed []Completion, it *Item, status ItemStatus) []Completion {
	switch status {
	case ItemExpired:
		return append(completed, Completion{Item: it, Err: fault.Errorf(fault.DeadlineTooShort, "the server reached the piece too late").WithRan(fault.RanNo)})
	case ItemInputGone:
		return append(completed, Completion{Item: it, Err: fault.Errorf(fault.InputGone, "an input of the piece no longer exists").WithRan(fault.RanNo)})
	case ItemNoCapacity:
		// Like a refused call, this is not counted as an attempt.
		s.pausedUntil = now.Add(minFullBackoff)
		it.attempts--
	}
	return q.retry(now, completed, it, fault.Errorf(fault.EndpointFailed, "server %s could not process the piece", s.ID))
}

// retry puts an item back into the queue, or completes it with err after
// maxAttempts.
func (q *Queue) retry(now time.Time, completed []Completion, it *Item, err *fault.Error) []Completion {
	if it.cancelled {
		return completed
	}
	if it.attempts >= maxAttempts {
		return append(completed, Completion{Item: it, Err: err.WithRan(fault.RanNo)})
	}
	q.enqueue(now, []*Item{it})
	return completed
}

// callFailed pauses a server whose call was refused or failed.
func (q *Queue) callFailed(now time.Time, s *server, b *Batch, status CallStatus) {
	if status == CallRefused {
		s.consecutiveRefusals++
		s.pausedUntil = now.Add(min(maxFullBackoff, minFullBackoff<<min(s.consecutiveRefusals-1, 8)))
		return
	}
	s.consecutiveFailures++
	s.pausedUntil = now.Add(min(maxFailureBackoff, minFailureBackoff<<min(s.consecutiveFailures-1, 8)))
}

// callAnswered updates the server's slowness, and the processing times of the
// items' classes unless the server is slow or reported to be.
func (q *Queue) callAnswered(now time.Time, s *server, b *Batch) {
	s.consecutiveFailures, s.consecutiveRefusals = 0, 0
	took := now.Sub(b.started).Seconds()
	expected := q.callTime(b.Items).Seconds()
	s.slowness += 0.3 * (took/expected - s.slowness)
	s.expected = s.slowness
	s.load.ObserveCall(now, b.pace, took/expected)
	if s.slowness > 1.5 || len(b.Items) == 0 || max(b.pace, s.load.Pace(now)) > slowPace {
		return
	}
	if q.meanCall == 0 {
		q.meanCall = q.cfg.CallTime
	}
	q.meanCall += time.Duration(callWeight * float64(now.Sub(b.started)-q.meanCall))
	excess := (took - expected) / float64(len(b.Items))
	seen := make(map[string]bool)
	for _, it := range b.Items {
		if seen[it.Class] {
			continue
		}
		seen[it.Class] = true
		current := q.itemSeconds(it.Class)
		q.classSeconds[it.Class] = max(0.1*q.cfg.ItemTime.Seconds(), current+itemTimeWeight*excess)
	}
}

// ReleaseResults releases the capacity of results that their servers have freed.
func (q *Queue) ReleaseResults(handles []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range handles {
		q.releaseResult(h)
	}
}

// releaseResult releases the capacity of a result. Its handle is known until it
// expires, so that a copy of the answer that named it is recognised.
func (q *Queue) releaseResult(handle string) {
	r, ok := q.results[handle]
	if !ok || r.freed {
		return
	}
	r.freed = true
	q.results[handle] = r
	r.server.usedBytes = max(0, r.server.usedBytes-r.bytes)
}

// IsCopy reports whether the outcomes of a call name a result that an earlier call has
// returned. A server names each result once, so the answer is a copy of an earlier
// one, which arrived late on a connection in use again.
func (q *Queue) IsCopy(outcomes []ItemOutcome) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(outcomes, func(o ItemOutcome) bool {
		_, known := q.results[o.Handle]
		return o.Handle != "" && known
	})
}

// recordResult records that a result occupies capacity of a server.
func (q *Queue) recordResult(now time.Time, s *server, handle string, bytes int64) {
	r := result{server: s, bytes: bytes, expires: now.Add(q.cfg.ResultTTL)}
	q.results[handle] = r
	q.expiries = append(q.expiries, expiry{handle: handle, at: r.expires})
}

// expireResults releases the capacity of results that their servers no longer
// hold.
func (q *Queue) expireResults(now time.Time) {
	n := 0
	for n < len(q.expiries) && now.After(q.expiries[n].at) {
		e := q.expiries[n]
		if r, ok := q.results[e.handle]; ok && r.expires.Equal(e.at) {
			q.releaseResult(e.handle)
			delete(q.results, e.handle)
		}
		n++
	}
	q.expiries = q.expiries[n:]
}
