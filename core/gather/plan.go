package gather

import (
	"container/heap"
	"slices"
	"time"
)

// sort orders the waiting items: first those that are planned to keep their
// aim, by when they are due, then the others by deadline.
//
// Where not all can keep it, the plan gives up the ones of least worth for
// their time, after Moore and Hodgson's rule for the fewest late jobs.
func (q *Queue) sort(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b *Item) int { return a.Due.Compare(b.Due) })
	able := 0
	for _, s := range q.order {
		if !now.Before(s.until) {
			able += q.pieces.Slots
		}
	}
	share := q.pieces.CallTime.Seconds() / float64(q.pieces.MaxBatch)
	var kept worthHeap
	busy := 0.0
	for _, it := range q.waiting {
		it.late = false
		took := (share + q.itemTime(it.Class)) / float64(max(1, able))
		until := it.Due.Sub(now).Seconds()
		if until < q.pieces.CallTime.Seconds() {
			it.late = true
			continue
		}
		heap.Push(&kept, planned{item: it, took: took})
		for busy += took; busy > until && len(kept) > 0; {
			least := heap.Pop(&kept).(planned)
			least.item.late = true
			busy -= least.took
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
	// planned is an item that is planned to keep its aim, and its time.
	planned struct {
		item *Item
		took float64
	}

	// worthHeap holds planned items, the one of least worth for its time first.
	worthHeap []planned
)

func (h worthHeap) Len() int      { return len(h) }
func (h worthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h worthHeap) Less(i, j int) bool {
	return h[i].item.Worth/h[i].took < h[j].item.Worth/h[j].took
}
func (h *worthHeap) Push(x any) { *h = append(*h, x.(planned)) }
func (h *worthHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}

// waitFor is the time until the servers have worked off what goes before new
// items: everything, or what is planned and due earlier if they can keep their aim.
func (q *Queue) waitFor(now time.Time, items []*Item) time.Duration {
	if len(items) == 0 {
		return 0
	}
	first := items[0]
	wait := q.wait(now, func(it *Item) bool { return !it.late && it.Due.Before(first.Due) })
	if now.Add(wait + q.time(items)).Before(first.Due) {
		return wait
	}
	return q.wait(now, func(it *Item) bool { return !it.late || it.Deadline.Before(first.Deadline) })
}

// wait is the time until the servers have worked off the chosen ones of what waits.
func (q *Queue) wait(now time.Time, chosen func(*Item) bool) time.Duration {
	able := 0
	soonest := time.Duration(-1)
	for _, s := range q.order {
		if now.Before(s.until) {
			continue
		}
		able++
		free := time.Duration(0)
		if len(s.calls) >= q.pieces.Slots {
			free = max(0, s.ends().Sub(now))
		}
		if soonest < 0 || free < soonest {
			soonest = free
		}
	}
	if able == 0 {
		return minPause
	}
	work, n := 0.0, 0
	for _, it := range q.waiting {
		if chosen(it) {
			work += q.itemTime(it.Class)
			n++
		}
	}
	calls := float64(n) / float64(q.pieces.MaxBatch)
	return soonest + time.Duration((calls*q.pieces.CallTime.Seconds()+work)/float64(able*q.pieces.Slots)*float64(time.Second))
}

func (s *server) ends() time.Time {
	var first time.Time
	for _, b := range s.calls {
		if end := b.began.Add(b.expect); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

func (q *Queue) itemTime(class string) float64 {
	if t, ok := q.classes[class]; ok {
		return t
	}
	return q.pieces.ItemTime.Seconds()
}

// time returns how long a call with the items takes.
func (q *Queue) time(items []*Item) time.Duration {
	sum := q.pieces.CallTime.Seconds()
	for _, it := range items {
		sum += q.itemTime(it.Class)
	}
	return time.Duration(sum * float64(time.Second))
}
