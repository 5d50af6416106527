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

	// meanWeight is the weight of the newest cost in the mean cost.
	meanWeight = 0.05

	// sweepPushes is the number of pushes between two sweeps for idle organisations.
	sweepPushes = 4096

	// maxIdle bounds the state that is kept to be used again.
	maxIdle = 1024
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

		org   *organisation
		index int
	}

	// Queue is the waiting requests of one stage. Use New to make one.
	Queue struct {
		limit   int
		length  int
		queued  float64
		pending float64
		virtual float64
		// latest is the highest virtual time of any organisation.
		latest   float64
		meanCost float64
		shares   float64
		pushes   int
		classes  [declare.Priorities]orgHeap
		orgs     map[string]*organisation
		// idle holds state of organisations that went, to be used again.
		idle []*organisation
	}

	organisation struct {
		name    string
		share   float64
		virtual float64
		queued  float64
		pending float64
		length  int
		items   [declare.Priorities]itemHeap
		index   [declare.Priorities]int
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
	q.activate(o, func() { o.pending += cost })
	q.pending += cost
}

// Withdraw takes back announced cost: the request has come or will not come.
func (q *Queue) Withdraw(org string, cost float64) {
	o, ok := q.orgs[org]
	if !ok {
		return
	}
	q.pending = max(0, q.pending-cost)
	q.deactivate(o, func() { o.pending = max(0, o.pending-cost) })
}

// Wait predicts how long a new request of the organisation waits, when the
// stage serves rate units of cost a second. An organisation waits for no more
// than all work that is queued or announced, and for no more than its own
// work at its own share of the rate.
func (q *Queue) Wait(org string, share, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	work := q.queued + q.pending
	own, shares := 0.0, q.shares
	if o, ok := q.orgs[org]; ok {
		own = o.queued + o.pending
		if own == 0 {
			shares += share
		}
	} else {
		shares += share
	}
	work = min(work, own*shares/share)
	return time.Duration(work / rate * float64(time.Second))
}

// Push adds an item. It returns an error of kind Overloaded if the queue is
// full or one organisation holds more than half of a queue that others use
// too, and of kind DeadlineTooShort if the item cannot finish in time.
func (q *Queue) Push(now time.Time, it *Item) error {
	if left := it.Deadline.Sub(now); left < it.Need {
		return fault.Errorf(fault.DeadlineTooShort, "%v remain and the rest of the pipeline needs %v", left, it.Need)
	}
	if q.length >= q.limit {
		return fault.Errorf(fault.Overloaded, "%d requests wait already, as many as the queue holds", q.length)
	}
	o := q.organisation(it.Organisation, it.Share)
	if q.length >= q.limit/2 && o.length >= q.limit/2 {
		return fault.Errorf(fault.Overloaded, "organisation %q has %d waiting requests, half of the queue", o.name, o.length)
	}
	q.activate(o, func() {
		o.queued += it.Cost
		o.length++
	})
	q.queued += it.Cost
	q.length++
	q.observeCost(it.Cost)
	it.org = o
	heap.Push(&o.items[it.Priority], it)
	if len(o.items[it.Priority]) == 1 {
		heap.Push(&q.classes[it.Priority], o)
	}
	if q.pushes++; q.pushes%sweepPushes == 0 {
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
		q.virtual = max(q.virtual, o.virtual)
		// The account is charged first: once its last item is out, an
		// organisation that is not ahead is forgotten.
		q.charge(o, it.Cost)
		q.Remove(it)
		if q.length == 0 {
			// Nobody waits, so nobody is ahead any more.
			q.virtual = q.latest
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
	heap.Remove(items, it.index)
	if len(*items) == 0 {
		heap.Remove(&q.classes[it.Priority], o.index[it.Priority])
	}
	q.length--
	q.queued = max(0, q.queued-it.Cost)
	q.deactivate(o, func() {
		o.queued = max(0, o.queued-it.Cost)
		if o.length--; o.length == 0 {
			o.queued = 0
		}
	})
	return true
}

// Correct adds to an organisation's account the difference between the cost
// that a request had and the cost that was expected when it was granted.
func (q *Queue) Correct(org string, share, delta float64) {
	if delta <= 0 {
		if o, ok := q.orgs[org]; ok {
			q.charge(o, max(delta, (q.virtual-o.virtual)*o.share))
		}
		return
	}
	q.charge(q.organisation(org, share), delta)
}

// next returns the organisation and class to serve: the highest class whose
// least served organisation is not ahead by more than the allowance.
func (q *Queue) next() (*organisation, declare.Priority) {
	least := math.Inf(1)
	for c := range q.classes {
		if h := q.classes[c].orgs; len(h) > 0 {
			least = min(least, h[0].virtual)
		}
	}
	allowance := allowanceItems * q.meanCost
	for c := range q.classes {
		if h := q.classes[c].orgs; len(h) > 0 && h[0].virtual <= least+allowance/h[0].share {
			return h[0], declare.Priority(c)
		}
	}
	panic("admit: items wait but no organisation holds them")
}

func (q *Queue) charge(o *organisation, cost float64) {
	o.virtual += cost / o.share
	q.latest = max(q.latest, o.virtual)
	for c := range q.classes {
		if len(o.items[c]) > 0 {
			heap.Fix(&q.classes[c], o.index[c])
		}
	}
}

// organisation returns the state for a name. An organisation that comes back
// starts at the present virtual time: unused share is not saved up.
func (q *Queue) organisation(name string, share float64) *organisation {
	o, ok := q.orgs[name]
	if !ok {
		o = q.newOrganisation(name)
		o.virtual = q.virtual
		q.orgs[name] = o
	}
	if o.queued == 0 && o.pending == 0 {
		o.share = share
		o.virtual = max(o.virtual, q.virtual)
	}
	return o
}

func (q *Queue) newOrganisation(name string) *organisation {
	n := len(q.idle)
	if n == 0 {
		return &organisation{name: name}
	}
	o := q.idle[n-1]
	q.idle = q.idle[:n-1]
	o.name = name
	return o
}

// drop forgets an organisation that is not active.
func (q *Queue) drop(o *organisation) {
	delete(q.orgs, o.name)
	if len(q.idle) < maxIdle {
		o.queued, o.pending = 0, 0
		q.idle = append(q.idle, o)
	}
}

// activate runs change and counts the organisation's share if it became active.
func (q *Queue) activate(o *organisation, change func()) {
	was := o.active()
	change()
	if !was && o.active() {
		q.shares += o.share
	}
}

// deactivate runs change and drops the organisation's share, and its state if
// it is not ahead, when it is no longer active.
func (q *Queue) deactivate(o *organisation, change func()) {
	was := o.active()
	change()
	if !was || o.active() {
		return
	}
	o.pending = 0
	q.shares = max(0, q.shares-o.share)
	if o.virtual <= q.virtual {
		q.drop(o)
	}
}

func (o *organisation) active() bool { return o.length > 0 || o.pending > 1e-9 }

// sweep drops organisations that are idle and no longer ahead.
func (q *Queue) sweep() {
	for _, o := range q.orgs {
		if !o.active() && o.virtual <= q.virtual {
			q.drop(o)
		}
	}
}

func (q *Queue) observeCost(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanWeight * (cost - q.meanCost)
}

func (h *orgHeap) Len() int           { return len(h.orgs) }
func (h *orgHeap) Less(i, j int) bool { return h.orgs[i].virtual < h.orgs[j].virtual }
func (h *orgHeap) Swap(i, j int) {
	h.orgs[i], h.orgs[j] = h.orgs[j], h.orgs[i]
	h.orgs[i].index[h.class] = i
	h.orgs[j].index[h.class] = j
}
func (h *orgHeap) Push(x any) {
	o := x.(*organisation)
	o.index[h.class] = len(h.orgs)
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
	h[i].index = i
	h[j].index = j
}
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
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
