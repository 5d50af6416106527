// Package gather owns the queue of pieces for the servers of one stage service:
// which pieces wait, which server gets which batch, and the room that results
// take until they are freed.
//
// The instance that owns the service holds one Queue for all instances. It must
// not call servers or read a clock. A Queue is safe for concurrent use.
package gather

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

const (
	// maxTries is how often a piece is given to a server before its request is
	// told that it failed.
	maxTries = 4

	// bulkBytes is the number of bytes moved between zones from which the zone
	// of a server matters: fewer cost less than the wait.
	bulkBytes = 100_000

	// roomPart is the part of a server's room that is planned with, since the
	// sizes of results are approximate.
	roomPart = 0.95

	// learn is the weight of the newest call in the times of a class of pieces.
	learn = 0.1

	// zoneMargin is kept free before an item is due when it waits for a server
	// in its own zone.
	zoneMargin = 50 * time.Millisecond

	// A server that failed is left alone for minPause, doubled each time in a
	// row, up to maxPause.
	minPause = 200 * time.Millisecond
	maxPause = 3 * time.Second

	// retryAfterFull is how long a server without room is left alone.
	retryAfterFull = 30 * time.Millisecond
)

type (
	// Item is one piece of a request's stage. Its fields are set before Add and
	// not changed after.
	Item struct {
		Request string
		Stage   int
		Piece   int
		// Key names the input of a first stage, Inputs the handles of others.
		Key    string
		Inputs []string
		Bytes  int64
		// Zone is where the item is best made, or "", and Moved the bytes that
		// move between zones if it is made elsewhere.
		Zone  string
		Moved int64
		// Class groups pieces that take alike.
		Class string
		// Due is when the result is needed for the request to keep its aim, and
		// Deadline when it is of no use any more.
		Due, Deadline time.Time
		Worth         float64
		// Done is called once, without the queue's lock.
		Done func(handle string, err error)

		tries   int
		added   time.Time
		dropped bool
		running bool
		// late is set if the item is not planned to keep its aim.
		late bool
	}

	// Outcome is what became of an item in a call.
	Outcome struct {
		Handle string
		Reason Reason
	}

	// Reason says why an item of a call has no handle.
	Reason uint8

	// Ending says how a call ended as a whole.
	Ending uint8

	// Batch is one call of a server.
	Batch struct {
		Server fleet.Server
		Items  []*Item
		began  time.Time
		expect time.Duration
	}

	// Queue is the pieces and servers of one service. Use New.
	Queue struct {
		mu      sync.Mutex
		pieces  route.Pieces
		servers map[string]*server
		order   []*server
		waiting []*Item
		// classes holds the time of a piece of each class.
		classes map[string]float64
		results map[string]result
	}

	server struct {
		fleet.Server
		calls    []*Batch
		used     int64
		failures int
		until    time.Time
		// slowness is the ratio of observed to expected time.
		slowness float64
		gone     bool
	}

	result struct {
		server string
		bytes  int64
		until  time.Time
	}
)

// The reasons.
const (
	Made Reason = iota
	Late
	InputGone
	NoRoom
	Broken
)

// The endings of a call.
const (
	Answered Ending = iota
	// Refused calls did not run.
	Refused
	// Failed calls may have run.
	Failed
)

// New returns a queue without servers.
func New(pieces route.Pieces) *Queue {
	return &Queue{
		pieces: pieces, servers: make(map[string]*server),
		classes: make(map[string]float64), results: make(map[string]result),
	}
}

// Replace takes the servers that may get calls and what they can do.
func (q *Queue) Replace(servers []fleet.Server, pieces route.Pieces) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pieces = pieces
	listed := make(map[string]bool, len(servers))
	q.order = q.order[:0]
	for _, s := range servers {
		listed[s.ID] = true
		have, ok := q.servers[s.ID]
		if !ok || have.Born != s.Born || have.Address != s.Address {
			have = &server{slowness: 1}
			q.servers[s.ID] = have
		}
		have.Server = s
		q.order = append(q.order, have)
	}
	for id, s := range q.servers {
		if !listed[id] {
			s.gone = true
			delete(q.servers, id)
		}
	}
}

// Add puts items into the queue, or returns an error of kind Overloaded if
// they cannot be done before their deadline.
func (q *Queue) Add(now time.Time, items []*Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 {
		return fault.Errorf(fault.EndpointUnavailable, "the stage has no servers")
	}
	wait := q.waitFor(now, items)
	if need := wait + q.time(items); len(items) > 0 && now.Add(need).After(items[0].Deadline) {
		return fault.Errorf(fault.Overloaded, "the stage needs %v, of which %v is the wait, and %v remain", need.Round(time.Millisecond), wait.Round(time.Millisecond), items[0].Deadline.Sub(now).Round(time.Millisecond))
	}
	for _, it := range items {
		it.added = now
		q.waiting = append(q.waiting, it)
	}
	return nil
}

// Drop takes items out whose request is given up. Those in a call end with it,
// and their results are to be freed.
func (q *Queue) Drop(items []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range items {
		it.dropped = true
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(it *Item) bool { return it.dropped })
}

// Wait predicts how long a new piece waits.
func (q *Queue) Wait(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wait(now, func(*Item) bool { return true })
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
	calls := float64(n) / float64(q.pieces.Batch)
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

// Next returns the next call to make, or nil if nothing can be started now. It
// returns items that can no longer be done in time with their calls of Done.
func (q *Queue) Next(now time.Time) (*Batch, []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	late := q.takeLate(now)
	if len(q.waiting) == 0 || !slices.ContainsFunc(q.order, func(s *server) bool { return q.open(now, s) }) {
		return nil, late
	}
	q.sort(now)
	for _, it := range q.waiting {
		s := q.serverFor(now, it)
		if s == nil {
			continue
		}
		b := &Batch{Server: s.Server, began: now}
		q.fill(now, s, b, it)
		b.expect = time.Duration(float64(q.time(b.Items)) * max(1, s.slowness))
		s.calls = append(s.calls, b)
		return b, late
	}
	return nil, late
}

// takeLate removes the items that cannot end by their deadline.
func (q *Queue) takeLate(now time.Time) []*Item {
	least := q.pieces.CallTime
	var late []*Item
	q.waiting = slices.DeleteFunc(q.waiting, func(it *Item) bool {
		if now.Add(least).After(it.Deadline) {
			late = append(late, it)
			return true
		}
		return false
	})
	return late
}

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
	share := q.pieces.CallTime.Seconds() / float64(q.pieces.Batch)
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

// open reports whether the server can begin a call now.
func (q *Queue) open(now time.Time, s *server) bool {
	return len(s.calls) < q.pieces.Slots && !now.Before(s.until)
}

func (q *Queue) fits(s *server, bytes int64) bool {
	return float64(s.used+bytes) <= roomPart*float64(q.pieces.Room) || s.used == 0
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

func (it *Item) bulky() bool { return it.Moved >= bulkBytes && it.Zone != "" }

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
// enough.
func (q *Queue) zoneLater(now time.Time, it *Item) bool {
	for _, s := range q.order {
		if s.Zone != it.Zone || now.Before(s.until) || len(s.calls) == 0 {
			continue
		}
		took := time.Duration(float64(q.pieces.CallTime+q.pieces.ItemTime) * max(1, s.slowness))
		if end := s.ends(); end.After(now) && end.Add(took+zoneMargin).Before(it.Due) {
			return true
		}
	}
	return false
}

// fill moves waiting items into the batch, the first one in any case.
func (q *Queue) fill(now time.Time, s *server, b *Batch, first *Item) {
	rest := q.waiting[:0]
	for _, it := range q.waiting {
		if len(b.Items) >= q.pieces.Batch || it != first && !q.joins(now, s, it) {
			rest = append(rest, it)
			continue
		}
		s.used += it.Bytes
		it.running = true
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
			q.results[o.Handle] = result{server: s.ID, bytes: it.Bytes, until: now.Add(q.pieces.ResultLife)}
		case o.Reason == Made:
			q.results[o.Handle] = result{server: s.ID, bytes: it.Bytes, until: now.Add(q.pieces.ResultLife)}
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
	it.running = false
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
		s.until = now.Add(retryAfterFull)
		return
	}
	s.failures++
	s.until = now.Add(min(maxPause, minPause<<min(s.failures-1, 8)))
}

// answered learns from the time of a call.
func (q *Queue) answered(now time.Time, s *server, b *Batch) {
	s.failures = 0
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

// NextAt returns when a paused server may be tried again, or the zero time if
// nothing waits for that.
func (q *Queue) NextAt(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	var first time.Time
	if len(q.waiting) == 0 {
		return first
	}
	note := func(at time.Time) {
		if at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	for _, s := range q.order {
		note(s.until)
	}
	for _, it := range q.waiting {
		if it.bulky() {
			note(it.Due.Add(-q.pieces.CallTime - zoneMargin))
		}
		note(it.Deadline.Add(-q.pieces.CallTime))
	}
	return first
}
