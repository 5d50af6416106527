// Package admit owns the order in which requests queued for a stage are served.
//
// A [Queue] holds the requests that wait for one stage at one instance. It shares
// the stage between organisations by weight and, within that, serves higher
// priority classes first. It keeps state only for organisations that have
// requests queued or announced, or that have used more than their share. It must
// not call endpoints or read a clock, and it is not safe for concurrent use.
//
// Virtual times follow start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
// 1996), with a single virtual time across all priority classes.
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
	// the least served one, as a number of requests of mean cost.
	allowanceItems = 8

	// meanCostWeight is the weight of the newest item in the moving average of
	// item costs.
	meanCostWeight = 0.05

	// sweepInterval is the number of pushes between two sweeps that drop idle
	// organisations.
	sweepInterval = 4096

	// maxFree bounds the free list of organisations.
	maxFree = 1024
)

type (
	// Item is one waiting request. Its exported fields must be set before
	// [Queue.Push] and not be changed afterwards.
	Item struct {
		Organisation string
		Share        float64
		Priority     declare.Priority
		// Cost is the expected cost in the stage's unit.
		Cost float64
		// Deadline is the deadline of the whole request.
		Deadline time.Time
		// Need is the time that the request needs from the grant on, for this
		// stage and all later ones.
		Need time.Duration
		// Wake is called at most once: with nil by the queue's user when it grants
		// the item, or with an error by [Queue.Pop] when it refuses the item.
		Wake func(error)

		org       *organisation
		heapIndex int
	}

	// Queue holds the waiting requests of one stage. Use [New] to make one.
	Queue struct {
		limit       int
		length      int
		queuedCost  float64
		pendingCost float64
		virtualTime float64
		// maxVirtualTime is the highest virtual time that any organisation has
		// reached.
		maxVirtualTime float64
		meanCost       float64
		activeShares   float64
		pushes         int
		classes        [declare.NumPriorities]orgHeap
		orgs           map[string]*organisation
		// free holds dropped organisations for reuse.
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

	// orgHeap orders the organisations with waiting items of one class by virtual
	// time.
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

// Announce adds the cost that an admitted request will bring to the stage once
// its earlier stages are done. Each call must be matched by one to Withdraw.
func (q *Queue) Announce(org string, share, cost float64) {
	o := q.organisation(org, share)
	q.activate(o, func() { o.pendingCost += cost })
	q.pendingCost += cost
}

// Withdraw removes announced cost, because the request has arrived at the stage or
// will not arrive.
func (q *Queue) Withdraw(org string, cost float64) {
	o, ok := q.orgs[org]
	if !ok {
		return
	}
	q.pendingCost = max(0, q.pendingCost-cost)
	q.deactivate(o, func() { o.pendingCost = max(0, o.pendingCost-cost) })
}

// ExpectedWait predicts how long a new request of the organisation will wait if
// the stage serves rate units of cost per second. It is the smaller of two
// bounds: the time to serve everything queued or announced, and the time to serve
// the organisation's own part of that at its share of the rate.
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

// Push adds an item. It returns an error of kind Overloaded if the queue is full
// or if the item's organisation already occupies half of the queue's limit, and of
// kind DeadlineTooShort if the item cannot finish in time.
func (q *Queue) Push(now time.Time, it *Item) error {
	if remaining := it.Deadline.Sub(now); remaining < it.Need {
		return fault.Errorf(fault.DeadlineTooShort, "only %v remain, but the rest of the pipeline needs %v", remaining, it.Need)
	}
	if q.length >= q.limit {
		return fault.Errorf(fault.Overloaded, "the queue is full with %d waiting requests", q.length)
	}
	o := q.organisation(it.Organisation, it.Share)
	if q.length >= q.limit/2 && o.length >= q.limit/2 {
		return fault.Errorf(fault.Overloaded, "organisation %q already has %d waiting requests, half of the queue's limit", o.name, o.length)
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

// Pop removes and returns the item to serve next, or nil if none is waiting. Items
// that can no longer finish in time are removed and woken with an error of kind
// DeadlineTooShort.
func (q *Queue) Pop(now time.Time) *Item {
	for q.length > 0 {
		o, class := q.next()
		it := o.items[class][0]
		if now.Add(it.Need).After(it.Deadline) {
			q.Remove(it)
			it.Wake(fault.Errorf(fault.DeadlineTooShort, "only %v remain after waiting, but the rest of the pipeline needs %v", it.Deadline.Sub(now), it.Need))
			continue
		}
		q.virtualTime = max(q.virtualTime, o.virtualTime)
		// The charge comes before Remove, which drops an organisation without
		// further items unless it is ahead of the virtual time.
		q.charge(o, it.Cost)
		q.Remove(it)
		if q.length == 0 {
			// Without waiting requests, no organisation is ahead of another.
			q.virtualTime = q.maxVirtualTime
		}
		return it
	}
	return nil
}

// Remove removes a waiting item, for example because its caller has gone. It
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

// RefuseUnserved refuses the waiting items that have too little time left if none is
// served before the given time.
func (q *Queue) RefuseUnserved(before time.Time) {
	var refused []*Item
	for _, o := range q.orgs {
		for _, items := range o.items {
			for _, it := range items {
				if before.Add(it.Need).After(it.Deadline) {
					refused = append(refused, it)
				}
			}
		}
	}
	for _, it := range refused {
		q.Remove(it)
		it.Wake(fault.Errorf(fault.EndpointUnavailable, "no endpoint takes calls before the request's deadline"))
	}
}

// Correct charges an organisation the difference between the actual cost of a
// request and the cost that was expected when it was granted. A negative
// difference credits the organisation, down to the current virtual time.
func (q *Queue) Correct(org string, share, delta float64) {
	if delta <= 0 {
		if o, ok := q.orgs[org]; ok {
			q.charge(o, max(delta, (q.virtualTime-o.virtualTime)*o.share))
		}
		return
	}
	q.charge(q.organisation(org, share), delta)
}

// next returns the organisation and class to serve: the highest class whose least
// served organisation is not ahead of the least served one of all classes by more
// than the allowance.
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
	panic("admit: the queue has items, but no organisation does")
}

// charge advances an organisation's virtual time by a cost.
func (q *Queue) charge(o *organisation, cost float64) {
	o.virtualTime += cost / o.share
	q.maxVirtualTime = max(q.maxVirtualTime, o.virtualTime)
	for c := range q.classes {
		if len(o.items[c]) > 0 {
			heap.Fix(&q.classes[c], o.heapIndex[c])
		}
	}
}

// organisation returns the state of an organisation. One that returns after being
// idle starts at the current virtual time, so unused share does not accumulate.
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

// drop removes the state of an organisation that is not active.
func (q *Queue) drop(o *organisation) {
	delete(q.orgs, o.name)
	if len(q.free) < maxFree {
		o.queuedCost, o.pendingCost = 0, 0
		q.free = append(q.free, o)
	}
}

// activate runs change and adds the organisation's share to the active shares if
// it became active.
func (q *Queue) activate(o *organisation, change func()) {
	wasActive := o.active()
	change()
	if !wasActive && o.active() {
		q.activeShares += o.share
	}
}

// deactivate runs change. If the organisation is then no longer active, it removes
// its share from the active shares, and its state unless it is ahead of the
// virtual time.
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

// active reports whether the organisation has requests queued or announced.
// Announced cost below 1e-9 is taken for a rounding error.
func (o *organisation) active() bool { return o.length > 0 || o.pendingCost > 1e-9 }

// sweep drops organisations that are not active and no longer ahead of the virtual
// time.
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
