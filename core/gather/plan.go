package gather

import (
	"container/heap"
	"slices"
	"time"
)

// schedule orders the waiting items: first those that it plans to finish by
// their due time, in that order, then the late ones by deadline.
//
// If not all items can be on time, those with the least worth for their
// processing time are late. This adapts the Moore-Hodgson algorithm, which
// minimises the number of late jobs, to items of unequal worth.
func (q *Queue) schedule(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b *Item) int { return a.Due.Compare(b.Due) })
	slots := 0
	for _, s := range q.servers {
		if !now.Before(s.pausedUntil) {
			slots += q.cfg.Slots
		}
	}
	callShare := q.cfg.CallTime.Seconds() / float64(q.cfg.MaxBatch)
	var onTime worthHeap
	scheduled := 0.0
	for _, it := range q.waiting {
		it.late = false
		seconds := (callShare + q.itemSeconds(it.Class)) / float64(max(1, slots))
		remaining := it.Due.Sub(now).Seconds()
		if remaining < q.cfg.CallTime.Seconds() {
			it.late = true
			continue
		}
		heap.Push(&onTime, plannedItem{item: it, seconds: seconds})
		for scheduled += seconds; scheduled > remaining && len(onTime) > 0; {
			lowest := heap.Pop(&onTime).(plannedItem)
			lowest.item.late = true
			scheduled -= lowest.seconds
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *Item) int {
		switch {
		case a.late != b.late && a.late:
			return 1
		case a.late != b.late:
			return -1
		case a.late:
			return a.Deadline.Compare(b.Deadline)
		}
		return a.Due.Compare(b.Due)
	})
}

type (
	// plannedItem is an item that is planned to be on time. seconds is its
	// processing time with its share of the fixed cost of a call, divided by the
	// number of slots that work in parallel.
	plannedItem struct {
		item    *Item
		seconds float64
	}

	// worthHeap is a heap of planned items, the one with the least worth for its
	// processing time first.
	worthHeap []plannedItem
)

func (h worthHeap) Len() int      { return len(h) }
func (h worthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h worthHeap) Less(i, j int) bool {
	return h[i].item.Worth/h[i].seconds < h[j].item.Worth/h[j].seconds
}
func (h *worthHeap) Push(x any) { *h = append(*h, x.(plannedItem)) }
func (h *worthHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}

// queueDelay returns the time until the servers have processed the waiting items
// that go before new ones: the on-time items that are due earlier if the new
// items can then be on time too, and otherwise all on-time items and the late
// ones with an earlier deadline.
func (q *Queue) queueDelay(now time.Time, items []*Item) time.Duration {
	if len(items) == 0 {
		return 0
	}
	first := items[0]
	wait := q.backlogTime(now, func(it *Item) bool { return !it.late && it.Due.Before(first.Due) })
	if now.Add(wait + q.callTime(items)).Before(first.Due) {
		return wait
	}
	return q.backlogTime(now, func(it *Item) bool { return !it.late || it.Deadline.Before(first.Deadline) })
}

// backlogTime returns the time until the servers have processed the waiting
// items that include selects.
func (q *Queue) backlogTime(now time.Time, include func(*Item) bool) time.Duration {
	available := 0
	earliestFree := time.Duration(-1)
	for _, s := range q.servers {
		if now.Before(s.pausedUntil) {
			continue
		}
		available++
		free := time.Duration(0)
		if len(s.calls) >= q.cfg.Slots {
			free = max(0, s.earliestEnd().Sub(now))
		}
		if earliestFree < 0 || free < earliestFree {
			earliestFree = free
		}
	}
	if available == 0 {
		// All servers are paused. Assume the shortest pause after a failure.
		return minFailureBackoff
	}
	workSeconds, n := 0.0, 0
	for _, it := range q.waiting {
		if include(it) {
			workSeconds += q.itemSeconds(it.Class)
			n++
		}
	}
	calls := float64(n) / float64(q.cfg.MaxBatch)
	return earliestFree + time.Duration((calls*q.cfg.CallTime.Seconds()+workSeconds)/float64(available*q.cfg.Slots)*float64(time.Second))
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
