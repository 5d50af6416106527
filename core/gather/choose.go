package gather

import "time"

// canStart reports whether the server can begin a call now.
func (q *Queue) canStart(now time.Time, s *server) bool {
	return len(s.calls) < q.cfg.Slots && !now.Before(s.pausedUntil)
}

func (q *Queue) fits(s *server, bytes int64) bool {
	return float64(s.usedBytes+bytes) <= usableCapacityFraction*float64(q.cfg.ResultCapacity) || s.usedBytes == 0
}

// selectServer returns the open server for an item, or nil if it has to wait. A
// bulky item waits for a server in its own zone as long as it can.
func (q *Queue) selectServer(now time.Time, it *Item) *server {
	prefersZone := it.prefersZone()
	var best *server
	for _, s := range q.servers {
		if !q.canStart(now, s) || !q.fits(s, it.ResultBytes) {
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

func (it *Item) prefersZone() bool { return it.CrossZoneBytes >= MinLocalityBytes && it.Zone != "" }

// better reports whether a is to be preferred to b for the item.
func (q *Queue) better(it *Item, a, b *server) bool {
	if inA, inB := a.Zone == it.Zone, b.Zone == it.Zone; inA != inB && it.Zone != "" {
		return inA
	}
	if a.slowness > 1.5*b.slowness || b.slowness > 1.5*a.slowness {
		return a.slowness < b.slowness
	}
	return a.usedBytes < b.usedBytes
}

// zoneServerFreeInTime reports whether a server in the item's zone will be open early
// enough. An item that cannot keep its aim loses nothing by waiting, as long as
// it is done by its deadline.
func (q *Queue) zoneServerFreeInTime(now time.Time, it *Item) bool {
	limit := it.Due
	if now.Add(q.cfg.CallTime).After(limit) {
		limit = it.Deadline
	}
	for _, s := range q.servers {
		if s.Zone != it.Zone || now.Before(s.pausedUntil) || len(s.calls) == 0 {
			continue
		}
		expected := time.Duration(float64(q.cfg.CallTime+q.cfg.ItemTime) * max(1, s.slowness))
		if end := s.earliestEnd(); end.After(now) && end.Add(expected+zoneWaitMargin).Before(limit) {
			return true
		}
	}
	return false
}

// fill moves waiting items into the batch, the first one in any case.
func (q *Queue) fill(now time.Time, s *server, b *Batch, first *Item) {
	kept := q.waiting[:0]
	for _, it := range q.waiting {
		if len(b.Items) >= q.cfg.MaxBatch || it != first && !q.canJoin(now, s, it) {
			kept = append(kept, it)
			continue
		}
		s.usedBytes += it.ResultBytes
		it.attempts++
		b.Items = append(b.Items, it)
	}
	q.waiting = kept
}

// canJoin reports whether an item goes into a call of the server.
func (q *Queue) canJoin(now time.Time, s *server, it *Item) bool {
	if !q.fits(s, it.ResultBytes) {
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
