// Package admit owns the order in which waiting requests get a stage.
//
// A Queue is one stage's waiting requests at one instance. It shares the stage
// between organisations by weight and, within that, serves higher priority
// classes first. It holds state only for organisations with work waiting or
// announced, or that are ahead of their share. It must not call endpoints or
// read a clock, and it is not safe for concurrent use.
//
// The virtual time of an organisation is the start-time fair queueing of Goyal,
// Vin and Cheng (SIGCOMM 1996), with one virtual time for all classes.
package admit

import (
	"container/heap"
	"math"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
)

const (
	// allowanceItems bounds how far priority may put an organisation ahead of
	// the least served one, in requests of mean cost.
	allowanceItems = 8

	// meanCostWeight is the weight of the newest cost in the mean cost.
	meanCostWeight = 0.05

	// sweepInterval is the number of pushes between two sweeps for idle organisations.
	sweepInterval = 4096

	// maxFree bounds the state that is kept to be used again.
	maxFree = 1024
)

type (
	// Item is one waiting request. The exported fields are set before Push and
	// not changed after.
	Item struct {
		Organisation string
		Share        float64
		Priority     declare.Priority
		// Cost is the expected cost in the stage's unit.
		Cost float64
		// Deadline is the end of the whole request.
		Deadline time.Time
		// Need is the time that the request needs once it has the stage, for
		// this stage and all later ones.
		Need time.Duration
		// Wake is called once: with nil when the item is granted, or with the
		// reason why it is refused.
		Wake func(error)

		org       *organisation
		heapIndex int
	}

	// Queue is the waiting requests of one stage. Use New to make one.
	Queue struct {
		limit       int
		length      int
		queuedCost  float64
		pendingCost float64
		virtualTime float64
		// maxVirtualTime is the highest virtual time of any organisation.
		maxVirtualTime float64
		meanCost       float64
		activeShares   float64
		pushes         int
		classes        [declare.NumPriorities]orgHeap
		orgs           map[string]*organisation
		// free holds state of organisations that went, to be used again.
		free []*organisation
	}

	organisation struct {
		name        string
		share       float64
		virtualTime float64
		queuedCost  float64
		pendingCost float64
		length      int
		items       [declare.NumPriorities]itemHeap
		heapIndex   [declare.NumPriorities]int
	}

	// orgHeap orders organisations with waiting items of one class by virtual time.
	orgHeap struct {
		class declare.Priority
		orgs  []*organisation
	}

	// itemHeap orders an organisation's items of one class by deadline.
	itemHeap []*Item
)

// New returns an empty queue that holds at most limit items.
func New(limit int) *Queue {
	q := &Queue{limit: limit, orgs: make(map[string]*organisation)}
	for c := range q.classes {
		q.classes[c].class = declare.Priority(c)
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Organisations returns the number of organisations for which state is held.
func (q *Queue) Organisations() int { return len(q.orgs) }

// Announce notes cost that an admitted request will bring to the stage when
// its earlier stages are done. Each call is matched by one of Withdraw.
func (q *Queue) Announce(org string, share, cost float64) {
	o := q.organisation(org, share)
	q.activate(o, func() { o.pendingCost += cost })
	q.pendingCost += cost
}

// Withdraw takes back announced cost: the request has come or will not come.
func (q *Queue) Withdraw(org string, cost float64) {
	o, ok := q.orgs[org]
	if !ok {
		return
	}
	q.pendingCost = max(0, q.pendingCost-cost)
	q.deactivate(o, func() { o.pendingCost = max(0, o.pendingCost-cost) })
}

// ExpectedWait predicts how long a new request of the organisation waits, when the
// stage serves rate units of cost a second. An organisation waits for no more
// than all work that is queued or announced, and for no more than its own
// work at its own share of the rate.
func (q *Queue) ExpectedWait(org string, share, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	work := q.queuedCost + q.pendingCost
	ownWork, shares := 0.0, q.activeShares
	if o, ok := q.orgs[org]; ok {
		ownWork = o.queuedCost + o.pendingCost
		if ownWork == 0 {
			shares += share
		}
	} else {
		shares += share
	}
	work = min(work, ownWork*shares/share)
	return time.Duration(work / rate * float64(time.Second))
}

// Push adds an item. It returns an error of kind Overloaded if the queue is
// full or one organisation holds more than half of a queue that others use
// too, and of kind DeadlineTooShort if the item cannot finish in time.
func (q *Queue) Push(now time.Time, it *Item) error {
	if remaining := it.Deadline.Sub(now); remaining < it.Need {
		return fault.Errorf(fault.DeadlineTooShort, "%v remain and the rest of the pipeline needs %v", remaining, it.Need)
	}
	if q.length >= q.limit {
		return fault.Errorf(fault.Overloaded, "%d requests wait already, as many as the queue holds", q.length)
	}
	o := q.organisation(it.Organisation, it.Share)
	if q.length >= q.limit/2 && o.length >= q.limit/2 {
		return fault.Errorf(fault.Overloaded, "organisation %q has %d waiting requests, half of the queue", o.name, o.length)
	}
	q.activate(o, func() {
		o.queuedCost += it.Cost
		o.length++
	})
	q.queuedCost += it.Cost
	q.length++
	q.observeCost(it.Cost)
	it.org = o
	heap.Push(&o.items[it.Priority], it)
	if len(o.items[it.Priority]) == 1 {
		heap.Push(&q.classes[it.Priority], o)
	}
	if q.pushes++; q.pushes%sweepInterval == 0 {
		q.sweep()
	}
	return nil
}

// Pop removes and returns the item to serve next, or nil if none waits. Items
// that can no longer finish in time are removed and woken with an error of
// kind DeadlineTooShort.
func (q *Queue) Pop(now time.Time) *Item {
	for q.length > 0 {
		o, class := q.next()
		it := o.items[class][0]
		if now.Add(it.Need).After(it.Deadline) {
			q.Remove(it)
			it.Wake(fault.Errorf(fault.DeadlineTooShort, "%v remain after waiting and the rest of the pipeline needs %v", it.Deadline.Sub(now), it.Need))
			continue
		}
		q.virtualTime = max(q.virtualTime, o.virtualTime)
		// The account is charged first: once its last item is out, an
		// organisation that is not ahead is forgotten.
		q.charge(o, it.Cost)
		q.Remove(it)
		if q.length == 0 {
			// Nobody waits, so nobody is ahead any more.
			q.virtualTime = q.maxVirtualTime
		}
		return it
	}
	return nil
}

// Remove takes a waiting item out, for example because its caller has gone. It
// reports whether the item was waiting.
func (q *Queue) Remove(it *Item) bool {
	o := it.org
	if o == nil {
		return false
	}
	it.org = nil
	items := &o.items[it.Priority]
	heap.Remove(items, it.heapIndex)
	if len(*items) == 0 {
		heap.Remove(&q.classes[it.Priority], o.heapIndex[it.Priority])
	}
	q.length--
	q.queuedCost = max(0, q.queuedCost-it.Cost)
	q.deactivate(o, func() {
		o.queuedCost = max(0, o.queuedCost-it.Cost)
		if o.length--; o.length == 0 {
			o.queuedCost = 0
		}
	})
	return true
}

// Correct adds to an organisation's account the difference between the cost
// that a request had and the cost that was expected when it was granted.
func (q *Queue) Correct(org string, share, delta float64) {
	if delta <= 0 {
		if o, ok := q.orgs[org]; ok {
			q.charge(o, max(delta, (q.virtualTime-o.virtualTime)*o.share))
		}
		return
	}
	q.charge(q.organisation(org, share), delta)
}

// next returns the organisation and class to serve: the highest class whose
// least served organisation is not ahead by more than the allowance.
func (q *Queue) next() (*organisation, declare.Priority) {
	minVirtualTime := math.Inf(1)
	for c := range q.classes {
		if h := q.classes[c].orgs; len(h) > 0 {
			minVirtualTime = min(minVirtualTime, h[0].virtualTime)
		}
	}
	allowance := allowanceItems * q.meanCost
	for c := range q.classes {
		if h := q.classes[c].orgs; len(h) > 0 && h[0].virtualTime <= minVirtualTime+allowance/h[0].share {
			return h[0], declare.Priority(c)
		}
	}
	panic("admit: items wait but no organisation holds them")
}

func (q *Queue) charge(o *organisation, cost float64) {
	o.virtualTime += cost / o.share
	q.maxVirtualTime = max(q.maxVirtualTime, o.virtualTime)
	for c := range q.classes {
		if len(o.items[c]) > 0 {
			heap.Fix(&q.classes[c], o.heapIndex[c])
		}
	}
}

// organisation returns the state for a name. An organisation that comes back
// starts at the present virtual time: unused share is not saved up.
func (q *Queue) organisation(name string, share float64) *organisation {
	o, ok := q.orgs[name]
	if !ok {
		o = q.newOrganisation(name)
		o.virtualTime = q.virtualTime
		q.orgs[name] = o
	}
	if o.queuedCost == 0 && o.pendingCost == 0 {
		o.share = share
		o.virtualTime = max(o.virtualTime, q.virtualTime)
	}
	return o
}

func (q *Queue) newOrganisation(name string) *organisation {
	n := len(q.free)
	if n == 0 {
		return &organisation{name: name}
	}
	o := q.free[n-1]
	q.free = q.free[:n-1]
	o.name = name
	return o
}

// drop forgets an organisation that is not active.
func (q *Queue) drop(o *organisation) {
	delete(q.orgs, o.name)
	if len(q.free) < maxFree {
		o.queuedCost, o.pendingCost = 0, 0
		q.free = append(q.free, o)
	}
}

// activate runs change and counts the organisation's share if it became active.
func (q *Queue) activate(o *organisation, change func()) {
	wasActive := o.active()
	change()
	if !wasActive && o.active() {
		q.activeShares += o.share
	}
}

// deactivate runs change and drops the organisation's share, and its state if
// it is not ahead, when it is no longer active.
func (q *Queue) deactivate(o *organisation, change func()) {
	wasActive := o.active()
	change()
	if !wasActive || o.active() {
		return
	}
	o.pendingCost = 0
	q.activeShares = max(0, q.activeShares-o.share)
	if o.virtualTime <= q.virtualTime {
		q.drop(o)
	}
}

func (o *organisation) active() bool { return o.length > 0 || o.pendingCost > 1e-9 }

// sweep drops organisations that are idle and no longer ahead.
func (q *Queue) sweep() {
	for _, o := range q.orgs {
		if !o.active() && o.virtualTime <= q.virtualTime {
			q.drop(o)
		}
	}
}

func (q *Queue) observeCost(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanCostWeight * (cost - q.meanCost)
}

func (h *orgHeap) Len() int           { return len(h.orgs) }
func (h *orgHeap) Less(i, j int) bool { return h.orgs[i].virtualTime < h.orgs[j].virtualTime }
func (h *orgHeap) Swap(i, j int) {
	h.orgs[i], h.orgs[j] = h.orgs[j], h.orgs[i]
	h.orgs[i].heapIndex[h.class] = i
	h.orgs[j].heapIndex[h.class] = j
}
func (h *orgHeap) Push(x any) {
	o := x.(*organisation)
	o.heapIndex[h.class] = len(h.orgs)
	h.orgs = append(h.orgs, o)
}
func (h *orgHeap) Pop() any {
	n := len(h.orgs) - 1
	o := h.orgs[n]
	h.orgs[n] = nil
	h.orgs = h.orgs[:n]
	return o
}

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}
func (h *itemHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	return it
}
