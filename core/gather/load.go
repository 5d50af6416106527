package gather

import (
	"time"

	"chervilpath/core/backlog"
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
		if end := s.load.PaceEnds(); end.After(q.reportsEnd) {
			q.reportsEnd = end
		}
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

// updateExpected updates how long calls are expected to take at each server.
func (q *Queue) updateExpected(now time.Time) {
	reported := q.reporting
	q.reporting, q.slowServers = now.Before(q.reportsEnd), false
	clear(q.usualFree)
	if !q.reporting && !reported {
		return
	}
	for _, s := range q.servers {
		s.expected, s.pace, s.reportsSlow = s.slowness, 1, false
		if q.reporting && s.load.Reports(now) {
			q.expect(now, s)
			q.slowServers = q.slowServers || s.reportsSlow
		}
	}
}

// firstUsualFree returns when the first server of a zone, or of all if zone is "", that did
// not report to be slow is expected to be free, or the zero time if there is none.
func (q *Queue) firstUsualFree(now time.Time, zone string) time.Time {
	if at, ok := q.usualFree[zone]; ok {
		return at
	}
	var first time.Time
	for _, s := range q.servers {
		if s.reportsSlow || zone != "" && s.Zone != zone || s.rests(now) {
			continue
		}
		if len(s.calls) < q.cfg.Slots {
			first = now
			break
		}
		if free := s.earliestEnd(); first.IsZero() || free.Before(first) {
			first = free
		}
	}
	if !first.IsZero() && first.Before(now) {
		first = now
	}
	q.usualFree[zone] = first
	return first
}

// expect updates how long a call that starts now is expected to take at a server that
// reports its load.
func (q *Queue) expect(now time.Time, s *server) {
	slowness, others := s.load.Slowness(now, s.slowness), s.load.Others(now, q.cfg.CallTime)
	s.expected, s.pace = slowness, max(1, slowness)
	if others > 0 {
		slots := float64(q.cfg.Slots)
		excess := others + float64(len(s.calls)) + 1 - slots
		s.expected *= 1 + min(maxQueueing, max(0, excess)/slots)
	}
	// A server that reports no pace is not avoided for what was learned of it alone.
	s.reportsSlow = s.expected > slowPace && (s.load.Pace(now) > 0 || s.expected > slowPace*slowness)
}

// worthStarting reports whether an item gains by a call now to a server that reported to be
// slow. The item is better off at the next free server that did not, if its call ends earlier
// there. For an item that prefers its zone only servers there count. The report is worth
// nothing soon and is renewed by an answer only, so a server is avoided for a fraction of a
// second.
func (q *Queue) worthStarting(now time.Time, s *server, it *Item) bool {
	zone := ""
	if it.prefersZone() {
		zone = it.Zone
	}
	next := q.firstUsualFree(now, zone)
	call := q.cfg.CallTime + time.Duration(q.itemSeconds(it.Class)*float64(time.Second))
	return next.IsZero() || !now.Add(time.Duration(s.expected*float64(call))).After(next.Add(call))
}

// nextSlow returns a batch for a server that reported to be slow, or nil if there is none.
// Such a server gets the items that wait longer than its call takes, and of these the
// first that it finishes in time.
func (q *Queue) nextSlow(now time.Time) *Batch {
	if !q.slowServers {
		return nil
	}
	for _, s := range q.servers {
		if !s.reportsSlow || !q.canStart(now, s) {
			continue
		}
		b := q.newBatch(now, s)
		q.fillSlow(now, b)
		if len(b.Items) > 0 {
			q.begin(b)
			return b
		}
	}
	return nil
}

// fillSlow moves items into a batch for a server that reported to be slow, as long as what
// is left waits longer than the call takes.
func (q *Queue) fillSlow(now time.Time, b *Batch) {
	s := b.server
	itemTime := q.itemTime()
	takes := func(items int) time.Duration {
		return time.Duration(s.expected * float64(q.cfg.CallTime+time.Duration(items)*itemTime))
	}
	full := takes(q.cfg.MaxBatch)
	var blocked backlog.Lanes
	for len(b.Items) < q.cfg.MaxBatch {
		if q.backlog.Work()+q.cfg.CallTime < takes(len(b.Items)+1) {
			return
		}
		j := q.backlog.FirstFinishing(now.Add(full), blocked)
		if j == nil {
			return
		}
		it := q.waiting[j][0]
		if !q.fits(s, it.ResultBytes) || it.prefersZone() && it.Zone != s.Zone || !q.take(s, b, j, q.cfg.MaxBatch) {
			blocked.Add(j.Lane)
		}
	}
}

// itemTime returns the mean processing time of an item over the classes that were observed.
func (q *Queue) itemTime() time.Duration {
	if len(q.classSeconds) == 0 {
		return q.cfg.ItemTime
	}
	sum := 0.0
	for _, t := range q.classSeconds {
		sum += t
	}
	return time.Duration(sum / float64(len(q.classSeconds)) * float64(time.Second))
}

// slowRoom returns how large a batch with an item may be for a server that reported to be
// slow. It gets no more than it is expected to finish by the item's due time, or by its
// deadline if it is late anyway.
func (q *Queue) slowRoom(now time.Time, s *server, it *Item) int {
	left := it.Due.Sub(now).Seconds()/s.expected - q.cfg.CallTime.Seconds()
	if each := q.itemSeconds(it.Class); left < each {
		left = it.Deadline.Sub(now).Seconds()/s.expected - q.cfg.CallTime.Seconds()
	}
	return min(q.cfg.MaxBatch, max(1, int(left/max(1e-6, q.itemSeconds(it.Class)))))
}
