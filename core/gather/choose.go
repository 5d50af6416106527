package gather

import "time"

// open reports whether the server can begin a call now.
func (q *Queue) open(now time.Time, s *server) bool {
	return len(s.calls) < q.pieces.Slots && !now.Before(s.until)
}

func (q *Queue) fits(s *server, bytes int64) bool {
	return float64(s.used+bytes) <= roomPart*float64(q.pieces.ResultCapacity) || s.used == 0
}

// serverFor returns the open server for an item, or nil if it has to wait. A
// bulky item waits for a server in its own zone as long as it can.
func (q *Queue) serverFor(now time.Time, it *Item) *server {
	bulky := it.bulky()
	var best *server
	for _, s := range q.order {
		if !q.open(now, s) || !q.fits(s, it.Bytes) {
			continue
		}
		if best == nil || q.better(it, s, best) {
			best = s
		}
	}
	if best == nil || !bulky || best.Zone == it.Zone {
		return best
	}
	if q.zoneLater(now, it) {
		return nil
	}
	return best
}

func (it *Item) bulky() bool { return it.Moved >= BulkBytes && it.Zone != "" }

// better reports whether a is to be preferred to b for the item.
func (q *Queue) better(it *Item, a, b *server) bool {
	if inA, inB := a.Zone == it.Zone, b.Zone == it.Zone; inA != inB && it.Zone != "" {
		return inA
	}
	if a.slowness > 1.5*b.slowness || b.slowness > 1.5*a.slowness {
		return a.slowness < b.slowness
	}
	return a.used < b.used
}

// zoneLater reports whether a server in the item's zone will be open early
// enough. An item that cannot keep its aim loses nothing by waiting, as long as
// it is done by its deadline.
func (q *Queue) zoneLater(now time.Time, it *Item) bool {
	by := it.Due
	if now.Add(q.pieces.CallTime).After(by) {
		by = it.Deadline
	}
	for _, s := range q.order {
		if s.Zone != it.Zone || now.Before(s.until) || len(s.calls) == 0 {
			continue
		}
		took := time.Duration(float64(q.pieces.CallTime+q.pieces.ItemTime) * max(1, s.slowness))
		if end := s.ends(); end.After(now) && end.Add(took+zoneMargin).Before(by) {
			return true
		}
	}
	return false
}

// fill moves waiting items into the batch, the first one in any case.
func (q *Queue) fill(now time.Time, s *server, b *Batch, first *Item) {
	rest := q.waiting[:0]
	for _, it := range q.waiting {
		if len(b.Items) >= q.pieces.MaxBatch || it != first && !q.joins(now, s, it) {
			rest = append(rest, it)
			continue
		}
		s.used += it.Bytes
		it.tries++
		b.Items = append(b.Items, it)
	}
	q.waiting = rest
}

// joins reports whether an item goes into a call of the server.
func (q *Queue) joins(now time.Time, s *server, it *Item) bool {
	if !q.fits(s, it.Bytes) {
		return false
	}
	if !it.bulky() || it.Zone == s.Zone {
		return true
	}
	if best := q.serverFor(now, it); best != nil && best != s {
		return false
	}
	return !q.zoneLater(now, it)
}
