// Package gather batches the work of one stage service and assigns the batches
// to its servers. It tracks which items wait, which server runs which batch,
// and the capacity that results occupy at each server until they are freed.
//
// The instance that owns the service runs one Queue for all instances. A Queue
// must not call servers or read a clock; a Dispatcher calls servers only through
// its Deps and reads time only through its Clock. Both are safe for concurrent
// use.
package gather

import (
	"slices"
	"sync"
	"time"

	"chervilpath/core/backlog"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

const (
	// maxAttempts is the number of failed attempts after which an item is
	// completed with an error.
	maxAttempts = 4

	// MinLocalityBytes is the number of bytes transferred between zones from
	// which an item waits for a server in its own zone. Transferring fewer costs
	// less time than waiting.
	MinLocalityBytes = 100_000

	// usableCapacityFraction is the fraction of a server's result capacity that
	// is allocated. The rest is a reserve, since the sizes of results are
	// approximate.
	usableCapacityFraction = 0.95

	// itemTimeWeight is the weight of the newest call in the moving average of
	// the processing time of a class.
	itemTimeWeight = 0.1

	// callWeight is the weight of the newest call in the moving average of the
	// duration of calls.
	callWeight = 0.05

	// zoneWaitMargin is the safety margin before an item's due time, or its
	// deadline, when the item waits for a server in its own zone.
	zoneWaitMargin = 50 * time.Millisecond

	// A server that failed gets no calls for minFailureBackoff, doubled with each
	// consecutive failure, up to maxFailureBackoff.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 3 * time.Second

	// A server that refused a call because it is full gets no calls for
	// minFullBackoff, doubled with each consecutive refusal, up to
	// maxFullBackoff. Other clients use the server, so the upper bound is about
	// the duration of one call.
	minFullBackoff = 30 * time.Millisecond
	maxFullBackoff = 240 * time.Millisecond
)

type (
	// Item is the queue entry of one piece of a request's stage. Its exported
	// fields are set before Add and not changed afterwards.
	Item struct {
		RequestID string
		Stage     int
		Piece     int
		// PieceKey identifies the input of a first stage. Inputs are the handles
		// of the results that a later stage reads.
		PieceKey string
		Inputs   []string
		// ResultBytes is the approximate size of the result.
		ResultBytes int64
		// Zone is the zone in which the item is best processed, or "" if it does
		// not matter. CrossZoneBytes are the bytes transferred between zones if
		// the item is processed in another one.
		Zone           string
		CrossZoneBytes int64
		// Class groups items with similar processing times.
		Class string
		// Due is when the result is needed for the request to meet its target
		// latency. After Deadline the result is of no use.
		Due, Deadline time.Time
		// Worth is the value of finishing the item by Due, relative to others.
		Worth float64
		// Done is called once, without the queue's lock held. It may not be called
		// if the item is cancelled.
		Done func(handle string, err error)

		attempts  int
		cancelled bool
		// job is the job of which the item is a unit while it waits.
		job *backlog.Job
	}

	// ItemOutcome is the outcome of one item of a call.
	ItemOutcome struct {
		Handle string
		Status ItemStatus
	}

	// ItemStatus says whether an item of a call has a result, or why it has none.
	ItemStatus uint8

	// CallStatus says how a call ended as a whole.
	CallStatus uint8

	// Batch is the content of one call to a server.
	Batch struct {
		Server fleet.Server
		Items  []*Item
		// SendBefore is the time after which nothing of the call may be sent any more, or
		// zero.
		SendBefore time.Time
		server     *server
		started    time.Time
		expected   time.Duration
		// pace is the pace that the server had reported, or 0 if none counted.
		pace float64
	}

	// Queue holds the waiting items and the servers of one service. Use New to
	// create one.
	Queue struct {
		mu      sync.Mutex
		cfg     route.PieceConfig
		byID    map[string]*server
		servers []*server
		// backlog orders what waits. A job is the items of one stage of a request,
		// which waiting holds.
		backlog *backlog.Backlog
		waiting map[*backlog.Job][]*Item
		lanes   map[lane]int
		// meanCall is the moving average of the duration of calls of servers that
		// are not slow.
		meanCall time.Duration
		// reportsEnd is when the last reported load of a server is worth nothing any more.
		reportsEnd time.Time
		// reporting is set if a server has reported its load lately, and slowServers if one
		// reports that it is slow. usualFree holds when the first server that does not is
		// expected to be free, by zone and for all zones under "", as far as it was asked
		// for. All are as of the last call of updatePace.
		reporting, slowServers bool
		usualFree              map[string]time.Time
		// classSeconds holds the observed processing time of an item by class.
		classSeconds map[string]float64
		// results holds the results that have not expired, by handle, and expiries
		// when they expire, in the order in which they were recorded.
		results  map[string]result
		expiries []expiry
	}

	// lane is what decides which servers can process an item.
	lane struct {
		// zone is the zone that the item prefers, or "".
		zone        string
		resultBytes int64
	}

	server struct {
		fleet.Server
		// calls are the calls in flight.
		calls []*Batch
		// usedBytes is the capacity occupied by results and reserved for the
		// items of calls in flight.
		usedBytes           int64
		consecutiveFailures int
		consecutiveRefusals int
		pausedUntil         time.Time
		// slowness is the moving average of the ratio of observed to expected
		// call duration.
		slowness float64
		// expected is how long a call that starts now is expected to take as a multiple
		// of the usual time, and reportsSlow whether that is noticeably longer because of a
		// report. Both are as of the last call of updatePace.
		expected    float64
		reportsSlow bool
		// pace is as expected, without the wait for calls of others. It is at least 1.
		pace float64
		// load is what the server reported of itself.
		load fleet.LoadTracker
	}

	// result is a result that a server holds until it is freed or expires.
	result struct {
		server  *server
		bytes   int64
		expires time.Time
		freed   bool
	}

	// expiry is when a result expires.
	expiry struct {
		handle string
		at     time.Time
	}
)

// The statuses of an item.
const (
	// ItemDone means that the result is available under the item's handle.
	ItemDone ItemStatus = iota
	// ItemExpired means that the server reached the item too late.
	ItemExpired
	// ItemInputGone means that an input of the item no longer exists.
	ItemInputGone
	// ItemNoCapacity means that the server has no capacity for the result.
	ItemNoCapacity
	// ItemFailed is any other failure.
	ItemFailed
)

// The statuses of a call.
const (
	// CallAnswered means that the server returned an outcome for every item.
	CallAnswered CallStatus = iota
	// CallRefused means that the call did not run.
	CallRefused
	// CallFailed means that the call may have run.
	CallFailed
)

// New returns a queue without servers.
func New(cfg route.PieceConfig) *Queue {
	return &Queue{
		cfg: cfg, byID: make(map[string]*server), backlog: backlog.New(backlog.Pace{}), waiting: make(map[*backlog.Job][]*Item), lanes: make(map[lane]int),
		classSeconds: make(map[string]float64), results: make(map[string]result), usualFree: make(map[string]time.Time),
	}
}

// SetServers sets the servers that may get calls, and their configuration. It
// keeps what is known of a server unless its start time or address changed.
func (q *Queue) SetServers(servers []fleet.Server, cfg route.PieceConfig) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg = cfg
	listed := make(map[string]bool, len(servers))
	q.servers = q.servers[:0]
	for _, s := range servers {
		listed[s.ID] = true
		existing, ok := q.byID[s.ID]
		if !ok || existing.Born != s.Born || existing.Address != s.Address {
			existing = &server{slowness: 1, expected: 1, pace: 1}
			q.byID[s.ID] = existing
		}
		existing.Server = s
		q.servers = append(q.servers, existing)
	}
	for id := range q.byID {
		if !listed[id] {
			delete(q.byID, id)
		}
	}
}

// Add puts items into the queue. It returns an error of kind Overloaded if they
// cannot be finished before their deadline, and of kind EndpointUnavailable if
// there are no servers.
func (q *Queue) Add(now time.Time, items []*Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.servers) == 0 {
		return fault.Errorf(fault.EndpointUnavailable, "the stage has no servers")
	}
	if len(items) == 0 {
		return nil
	}
	first, needed := items[0], q.callTime(items)
	wait := q.updatePace(now) + q.backlog.Wait(now, first.Due, first.Deadline)
	if now.Add(wait + needed).After(first.Deadline) {
		err := fault.Errorf(fault.Overloaded, "the stage needs %v, including a wait of %v, but only %v remain", (wait + needed).Round(time.Millisecond), wait.Round(time.Millisecond), first.Deadline.Sub(now).Round(time.Millisecond))
		if at := q.earliestReturn(now); !at.IsZero() {
			err = err.WithRetryAfter(at.Sub(now))
		}
		return err
	}
	for len(items) > 0 {
		n := 1
		for n < len(items) && items[n].sameJob(items[0]) {
			n++
		}
		q.enqueue(now, items[:n])
		items = items[n:]
	}
	return nil
}

// sameJob reports whether two items belong to the same stage of a request.
func (it *Item) sameJob(other *Item) bool {
	return it.RequestID == other.RequestID && it.Stage == other.Stage
}

// enqueue adds the items of one stage of a request to those that wait.
func (q *Queue) enqueue(now time.Time, items []*Item) {
	first := items[0]
	j := &backlog.Job{
		Due: first.Due, Deadline: first.Deadline, Worth: first.Worth, Units: len(items), Lane: q.lane(first),
		UnitTime: q.cfg.CallTime/time.Duration(max(1, q.cfg.MaxBatch)) + time.Duration(q.itemSeconds(first.Class)*float64(time.Second)),
	}
	for _, it := range items {
		it.job = j
	}
	q.waiting[j] = slices.Clone(items)
	q.backlog.Add(now, j)
}

// lane returns the number of an item's lane. If there are too many lanes, the
// last one holds items that differ.
func (q *Queue) lane(it *Item) int {
	key := lane{resultBytes: it.ResultBytes}
	if it.prefersZone() {
		key.zone = it.Zone
	}
	n, ok := q.lanes[key]
	if !ok {
		if q.backlog.Len() == 0 && len(q.lanes) >= backlog.MaxLanes {
			clear(q.lanes)
		}
		n = min(len(q.lanes), backlog.MaxLanes-1)
		if len(q.lanes) < backlog.MaxLanes {
			q.lanes[key] = n
		}
	}
	return n
}

// Cancel removes the items of an abandoned request. Items of a call in flight
// end with it, and Complete returns the handles of their results to be freed.
func (q *Queue) Cancel(items []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range items {
		it.cancelled = true
		if j := it.job; j != nil {
			q.setWaiting(j, slices.DeleteFunc(q.waiting[j], func(other *Item) bool { return other == it }))
			it.job = nil
		}
	}
}

// setWaiting sets the items of a job that wait.
func (q *Queue) setWaiting(j *backlog.Job, items []*Item) {
	q.backlog.SetUnits(j, len(items))
	if len(items) == 0 {
		delete(q.waiting, j)
		return
	}
	q.waiting[j] = items
}

// Next returns the batch of the next call to make, or nil if no call can start
// now. It also removes and returns the items that can no longer finish by their
// deadline; the caller has to call their Done.
func (q *Queue) Next(now time.Time) (*Batch, []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expireResults(now)
	q.updatePace(now)
	expired := append(q.advance(now), q.removeUnserved(now)...)
	if q.backlog.Len() == 0 || !slices.ContainsFunc(q.servers, func(s *server) bool { return q.canStart(now, s) }) {
		return nil, expired
	}
	var blocked backlog.Lanes
	for j := q.backlog.First(blocked); j != nil; j = q.backlog.First(blocked) {
		s := q.selectServer(now, q.waiting[j][0])
		if s == nil {
			blocked.Add(j.Lane)
			continue
		}
		b := q.newBatch(now, s)
		q.fill(now, s, b, j)
		q.begin(b)
		return b, expired
	}
	return q.nextSlow(now), expired
}

// newBatch returns an empty batch for a call to the server that starts now.
func (q *Queue) newBatch(now time.Time, s *server) *Batch {
	return &Batch{Server: s.Server, server: s, started: now, pace: s.load.Pace(now)}
}

// begin records that the call with a batch starts.
func (q *Queue) begin(b *Batch) {
	s := b.server
	b.expected = time.Duration(float64(q.callTime(b.Items)) * max(1, s.expected))
	s.calls = append(s.calls, b)
}

// advance brings the backlog up to date, and removes and returns the items that
// could not finish by their deadline even if they were started now.
func (q *Queue) advance(now time.Time) []*Item {
	var expired []*Item
	for _, j := range q.backlog.Advance(now) {
		for _, it := range q.waiting[j] {
			it.job = nil
			expired = append(expired, it)
		}
		delete(q.waiting, j)
	}
	return expired
}

// removeUnserved removes and returns the items that could not finish by their deadline
// even if they were started when the first server wants calls again. There are none
// unless all servers want none now.
func (q *Queue) removeUnserved(now time.Time) []*Item {
	at := q.earliestReturn(now)
	if at.IsZero() {
		return nil
	}
	var unserved []*Item
	for j, items := range q.waiting {
		if at.Add(q.cfg.CallTime).After(items[0].Deadline) {
			unserved = append(unserved, items...)
			q.backlog.SetUnits(j, 0)
			delete(q.waiting, j)
		}
	}
	for _, it := range unserved {
		it.job = nil
	}
	return unserved
}

// earliestReturn returns when the first server wants calls again, if all of them want
// none now. Otherwise it returns the zero time.
func (q *Queue) earliestReturn(now time.Time) time.Time {
	var first time.Time
	for _, s := range q.servers {
		if !now.Before(s.ExcludedUntil) {
			return time.Time{}
		}
		if first.IsZero() || s.ExcludedUntil.Before(first) {
			first = s.ExcludedUntil
		}
	}
	return first
}

// NextWakeup returns the earliest time at which Next may have something to do
// although nothing else has happened: a paused server may be retried, an
// item stops waiting for its zone, or an item expires. It returns the zero time
// if there is no such time.
func (q *Queue) NextWakeup(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	var earliest time.Time
	if q.backlog.Len() == 0 {
		return earliest
	}
	consider := func(at time.Time) {
		if at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	for _, s := range q.servers {
		consider(s.restsUntil())
		if s.reportsSlow && len(s.calls) < q.cfg.Slots {
			consider(s.load.PaceEnds())
		}
	}
	due, deadline := q.backlog.NextChange()
	for _, limit := range []time.Time{due, deadline} {
		if !limit.IsZero() {
			consider(limit.Add(-q.cfg.CallTime - zoneWaitMargin))
			consider(limit.Add(-q.cfg.CallTime))
		}
	}
	return earliest
}
