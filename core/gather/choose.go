package gather

import (
	"time"

	"chervilpath/core/backlog"
)

// canStart reports whether a call to the server can start now.
func (q *Queue) canStart(now time.Time, s *server) bool {
	return len(s.calls) < q.cfg.Slots && !s.rests(now)
}

// rests reports whether the server gets no calls now.
func (s *server) rests(now time.Time) bool {
	return now.Before(s.pausedUntil) || now.Before(s.ExcludedUntil)
}

// restsUntil returns until when the server gets no calls, after failures or because it
// wants none.
func (s *server) restsUntil() time.Time {
	if s.ExcludedUntil.After(s.pausedUntil) {
		return s.ExcludedUntil
	}
	return s.pausedUntil
}

// fits reports whether the server has capacity for a result of the given size.
// A server whose capacity is all free takes a result of any size.
func (q *Queue) fits(s *server, bytes int64) bool {
	return float64(s.usedBytes+bytes) <= usableCapacityFraction*float64(q.cfg.ResultCapacity) || s.usedBytes == 0
}

// selectServer returns the server for an item, or nil if the item has to wait.
// An item that prefers its zone waits for a server there as long as it can.
func (q *Queue) selectServer(now time.Time, it *Item) *server {
	prefersZone := it.prefersZone()
	var best *server
	for _, s := range q.servers {
		if !q.canStart(now, s) || !q.fits(s, it.ResultBytes) || s.reportsSlow && !q.worthStarting(now, s, it) {
			continue
		}
		if best == nil || q.better(it, s, best) {
			best = s
		}
	}
	if best == nil || !prefersZone || best.Zone == it.Zone {
		return best
	}
	if q.zoneServerFreeInTime(now, it) {
		return nil
	}
	return best
}

// prefersZone reports whether processing the item in another zone would transfer
// enough bytes to make it worth waiting for its own.
func (it *Item) prefersZone() bool { return it.CrossZoneBytes >= MinLocalityBytes && it.Zone != "" }

// better reports whether a is to be preferred to b for the item. The item's zone
// comes first, then a slowness that is lower by a factor of more than 1.5, then
// the capacity in use.
func (q *Queue) better(it *Item, a, b *server) bool {
	if inA, inB := a.Zone == it.Zone, b.Zone == it.Zone; inA != inB && it.Zone != "" {
		return inA
	}
	if a.expected > 1.5*b.expected || b.expected > 1.5*a.expected {
		return a.expected < b.expected
	}
	return a.usedBytes < b.usedBytes
}

// zoneServerFreeInTime reports whether a server in the item's zone will finish a
// call early enough to process the item by its due time. An item that misses its
// due time anyway loses nothing by waiting, as long as it finishes by its
// deadline.
func (q *Queue) zoneServerFreeInTime(now time.Time, it *Item) bool {
	limit := it.Due
	if now.Add(q.cfg.CallTime).After(limit) {
		limit = it.Deadline
	}
	for _, s := range q.servers {
		if s.Zone != it.Zone || s.rests(now) || len(s.calls) == 0 {
			continue
		}
		end := s.earliestEnd()
		expected := time.Duration(float64(q.cfg.CallTime+q.cfg.ItemTime) * max(1, s.load.Slowness(end, s.slowness)))
		if end.After(now) && end.Add(expected+zoneWaitMargin).Before(limit) {
			return true
		}
	}
	return false
}

// fill moves waiting items into a batch for the server: those of the first job in
// any case, and others that can join while the batch is not full. A batch for a server
// that reported to be slow ends before it would make its items late.
func (q *Queue) fill(now time.Time, s *server, b *Batch, first *backlog.Job) {
	var blocked backlog.Lanes
	room := q.cfg.MaxBatch
	if s.reportsSlow {
		room = q.slowRoom(now, s, q.waiting[first][0])
	}
	for j := first; j != nil && len(b.Items) < room; j = q.backlog.First(blocked) {
		if j != first && s.reportsSlow {
			room = min(room, q.slowRoom(now, s, q.waiting[j][0]))
		}
		if j != first && !q.canJoin(now, s, q.waiting[j][0]) || !q.take(s, b, j, room) {
			blocked.Add(j.Lane)
		}
	}
}

// take moves as many items of a job into the batch as room, the size of the batch, and
// the server allow, and reports whether these were all.
func (q *Queue) take(s *server, b *Batch, j *backlog.Job, room int) bool {
	items := q.waiting[j]
	n := 0
	for n < len(items) && len(b.Items) < room && (len(b.Items) == 0 || q.fits(s, items[n].ResultBytes)) {
		it := items[n]
		s.usedBytes += it.ResultBytes
		it.attempts++
		it.job = nil
		b.Items = append(b.Items, it)
		n++
	}
	q.setWaiting(j, items[n:])
	return n == len(items)
}

// canJoin reports whether an item can be added to a batch for the server. An
// item that prefers another zone joins only if no better server can take it now
// and none in its zone will be free in time.
func (q *Queue) canJoin(now time.Time, s *server, it *Item) bool {
	if !q.fits(s, it.ResultBytes) || s.reportsSlow && !q.worthStarting(now, s, it) {
		return false
	}
	if !it.prefersZone() || it.Zone == s.Zone {
		return true
	}
	if best := q.selectServer(now, it); best != nil && best != s {
		return false
	}
	return !q.zoneServerFreeInTime(now, it)
}
