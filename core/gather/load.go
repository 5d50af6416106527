package gather

import (
	"time"

	"chervilpath/core/fleet"
)

const (
	// slowPace is the reported pace from which a server counts as slow.
	slowPace = 1.25

	// maxQueueing bounds how much the calls of others lengthen a call, as a multiple of
	// its own time. Servers have one or two slots, so more is soon over or nonsense.
	maxQueueing = 1.0
)

// ReportLoad records the load that an incarnation of a server reported in an answer to
// this instance.
func (q *Queue) ReportLoad(now time.Time, inc fleet.Incarnation, l fleet.Load) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.byID[inc.ID]; ok && s.Born == inc.Born {
		s.load.Report(now, l, len(s.calls))
	}
}

// ReportLoad records the load that an incarnation of a server reported in an answer to
// this instance.
func (d *Dispatcher) ReportLoad(inc fleet.Incarnation, l fleet.Load) {
	d.queue.ReportLoad(d.clock.Now(), inc, l)
}

// Expected returns how long the call was expected to take when it started.
func (b *Batch) Expected() time.Duration { return b.expected }

// Pace returns the pace that the server had reported when the call started, as a multiple
// of the usual time, or 0 if there was no recent report.
func (b *Batch) Pace() float64 { return b.pace }

// slownessAt returns how long a call that starts now is expected to take at a server, as a
// multiple of the usual time, with the wait for calls of others.
func (q *Queue) slownessAt(now time.Time, s *server) float64 {
	if !s.load.Reports(now) {
		return s.slowness
	}
	slowness := s.load.Slowness(now, s.slowness)
	slots := float64(q.cfg.Slots)
	if others := s.load.Others(now); others > 0 {
		excess := others + float64(len(s.calls)) + 1 - slots
		slowness *= 1 + min(maxQueueing, max(0, excess)/slots)
	}
	return slowness
}

// parallelism returns how many calls a server processes at a time, as a multiple of the
// calls that it would at the usual pace.
func (q *Queue) parallelism(now time.Time, s *server) float64 {
	slots := float64(q.cfg.Slots)
	if s.load.Pace(now) == 0 {
		return slots
	}
	return slots / max(1, s.load.Slowness(now, s.slowness))
}

// reportsSlow reports whether the server said lately that it is slow, so that a call there
// is expected to take noticeably longer than usual.
func (q *Queue) reportsSlow(now time.Time, s *server) bool {
	return s.load.Reports(now) && q.slownessAt(now, s) > slowPace
}

// worthStarting reports whether an item gains by a call to the server now. If the server
// reported that it is slow, the item is better off at the next free server that is not as
// long as its call ends earlier there. It waits for that if all that waits is done earlier
// than the slow server's call, or if it would be late only here. The report is worth
// nothing soon, and is renewed by the next answer only, so this lasts a fraction of a second.
func (q *Queue) worthStarting(now time.Time, s *server, it *Item) bool {
	if !q.reportsSlow(now, s) {
		return true
	}
	call := q.callTime([]*Item{it})
	endHere := now.Add(time.Duration(q.slownessAt(now, s) * float64(call)))
	next, ok := q.nextUsual(now, s, it)
	if !ok || !endHere.After(next.Add(call)) {
		return true
	}
	endElsewhere := next.Add(call)
	if now.Add(q.backlog.Work()).Add(call).Before(endHere) {
		return false
	}
	return !endHere.After(it.Due) || endElsewhere.After(it.Due) && !endHere.After(it.Deadline)
}

// nextUsual returns when the first of the other servers that did not report to be slow is
// expected to be free for an item, and whether there is one. For an item that prefers its
// zone, only servers there count.
func (q *Queue) nextUsual(now time.Time, except *server, it *Item) (at time.Time, ok bool) {
	prefersZone := it.prefersZone()
	for _, s := range q.servers {
		if s == except || now.Before(s.restsUntil()) || prefersZone && s.Zone != it.Zone || q.reportsSlow(now, s) {
			continue
		}
		free := now
		if len(s.calls) >= q.cfg.Slots {
			if end := s.earliestEnd(); end.After(now) {
				free = end
			}
		}
		if !ok || free.Before(at) {
			at, ok = free, true
		}
	}
	return at, ok
}

// slowRoom returns how large a batch with an item may be. A server that reported to be slow
// gets no more than it is expected to finish by the item's due time, or by its deadline if
// it is late anyway.
func (q *Queue) slowRoom(now time.Time, s *server, it *Item) int {
	if !q.reportsSlow(now, s) {
		return q.cfg.MaxBatch
	}
	slowness := q.slownessAt(now, s)
	left := it.Due.Sub(now).Seconds()/slowness - q.cfg.CallTime.Seconds()
	if each := q.itemSeconds(it.Class); left < each {
		left = it.Deadline.Sub(now).Seconds()/slowness - q.cfg.CallTime.Seconds()
	}
	return min(q.cfg.MaxBatch, max(1, int(left/max(1e-6, q.itemSeconds(it.Class)))))
}
