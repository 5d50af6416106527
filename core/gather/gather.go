// Package gather owns the queue of pieces for the servers of one stage service:
// which pieces wait, which server gets which batch, and the room that results
// take until they are freed.
//
// The instance that owns the service holds one Queue for all instances. It must
// not call servers or read a clock. A Queue is safe for concurrent use.
package gather

import (
	"slices"
	"sync"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

const (
	// maxAttempts is how often a piece is given to a server before its request is
	// told that it failed.
	maxAttempts = 4

	// MinLocalityBytes is the number of bytes moved between zones from which the zone
	// of a server matters: fewer cost less than the wait.
	MinLocalityBytes = 100_000

	// usableCapacityFraction is the part of a server's room that is planned with, since the
	// sizes of results are approximate.
	usableCapacityFraction = 0.95

	// itemTimeWeight is the weight of the newest call in the times of a class of pieces.
	itemTimeWeight = 0.1

	// zoneWaitMargin is kept free before an item is due when it waits for a server
	// in its own zone.
	zoneWaitMargin = 50 * time.Millisecond

	// A server that failed is left alone for minPause, doubled each time in a
	// row, up to maxPause.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 3 * time.Second

	// minFullBackoff is how long a server that takes no more is left alone,
	// doubled each time in a row, up to maxAfterFull, the time of a call: others
	// use it.
	minFullBackoff = 30 * time.Millisecond
	maxFullBackoff = 240 * time.Millisecond
)

type (
	// Item is one piece of a request's stage. Its fields are set before Add and
	// not changed after.
	Item struct {
		RequestID string
		Stage     int
		Piece     int
		// PieceKey names the input of a first stage, Inputs the handles of others.
		PieceKey    string
		Inputs      []string
		ResultBytes int64
		// Zone is where the item is best made, or "", and Moved the bytes that
		// move between zones if it is made elsewhere.
		Zone           string
		CrossZoneBytes int64
		// Class groups pieces that take alike.
		Class string
		// Due is when the result is needed for the request to keep its aim, and
		// Deadline when it is of no use any more.
		Due, Deadline time.Time
		Worth         float64
		// Done is called once, without the queue's lock.
		Done func(handle string, err error)

		attempts  int
		enqueued  time.Time
		cancelled bool
		// late is set if the item is not planned to keep its aim.
		late bool
	}

	// ItemOutcome is what became of an item in a call.
	ItemOutcome struct {
		Handle string
		Status ItemStatus
	}

	// ItemStatus says why an item of a call has no handle.
	ItemStatus uint8

	// CallStatus says how a call ended as a whole.
	CallStatus uint8

	// Batch is one call of a server.
	Batch struct {
		Server   fleet.Server
		Items    []*Item
		started  time.Time
		expected time.Duration
	}

	// Queue is the pieces and servers of one service. Use New.
	Queue struct {
		mu      sync.Mutex
		cfg     route.PieceConfig
		byID    map[string]*server
		servers []*server
		waiting []*Item
		// classSeconds holds the time of a piece of each class.
		classSeconds map[string]float64
		results      map[string]result
	}

	server struct {
		fleet.Server
		calls               []*Batch
		usedBytes           int64
		consecutiveFailures int
		consecutiveRefusals int
		pausedUntil         time.Time
		// slowness is the ratio of observed to expected time.
		slowness float64
		removed  bool
	}

	result struct {
		serverID string
		bytes    int64
		expires  time.Time
	}
)

// The reasons.
const (
	ItemDone ItemStatus = iota
	ItemExpired
	ItemInputGone
	ItemNoCapacity
	ItemFailed
)

// The endings of a call.
const (
	CallAnswered CallStatus = iota
	// CallRefused calls did not run.
	CallRefused
	// CallFailed calls may have run.
	CallFailed
)

// New returns a queue without servers.
func New(cfg route.PieceConfig) *Queue {
	return &Queue{
		cfg: cfg, byID: make(map[string]*server),
		classSeconds: make(map[string]float64), results: make(map[string]result),
	}
}

// SetServers takes the servers that may get calls and what they can do.
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
			existing = &server{slowness: 1}
			q.byID[s.ID] = existing
		}
		existing.Server = s
		q.servers = append(q.servers, existing)
	}
	for id, s := range q.byID {
		if !listed[id] {
			s.removed = true
			delete(q.byID, id)
		}
	}
}

// Add puts items into the queue, or returns an error of kind Overloaded if
// they cannot be done before their deadline.
func (q *Queue) Add(now time.Time, items []*Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.servers) == 0 {
		return fault.Errorf(fault.EndpointUnavailable, "the stage has no servers")
	}
	wait := q.queueDelay(now, items)
	if need := wait + q.callTime(items); len(items) > 0 && now.Add(need).After(items[0].Deadline) {
		return fault.Errorf(fault.Overloaded, "the stage needs %v, of which %v is the wait, and %v remain", need.Round(time.Millisecond), wait.Round(time.Millisecond), items[0].Deadline.Sub(now).Round(time.Millisecond))
	}
	for _, it := range items {
		it.enqueued = now
		q.waiting = append(q.waiting, it)
	}
	return nil
}

// Cancel takes items out whose request is given up. Those in a call end with it,
// and their results are to be freed.
func (q *Queue) Cancel(items []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range items {
		it.cancelled = true
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(it *Item) bool { return it.cancelled })
}

// Next returns the next call to make, or nil if nothing can be started now. It
// returns items that can no longer be done in time with their calls of Done.
func (q *Queue) Next(now time.Time) (*Batch, []*Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expireResults(now)
	expired := q.removeExpired(now)
	if len(q.waiting) == 0 || !slices.ContainsFunc(q.servers, func(s *server) bool { return q.canStart(now, s) }) {
		return nil, expired
	}
	q.schedule(now)
	for _, it := range q.waiting {
		s := q.selectServer(now, it)
		if s == nil {
			continue
		}
		b := &Batch{Server: s.Server, started: now}
		q.fill(now, s, b, it)
		b.expected = time.Duration(float64(q.callTime(b.Items)) * max(1, s.slowness))
		s.calls = append(s.calls, b)
		return b, expired
	}
	return nil, expired
}

// removeExpired removes the items that cannot end by their deadline.
func (q *Queue) removeExpired(now time.Time) []*Item {
	shortest := q.cfg.CallTime
	var expired []*Item
	q.waiting = slices.DeleteFunc(q.waiting, func(it *Item) bool {
		if now.Add(shortest).After(it.Deadline) {
			expired = append(expired, it)
			return true
		}
		return false
	})
	return expired
}

// NextWakeup returns when a paused server may be tried again, or the zero time if
// nothing waits for that.
func (q *Queue) NextWakeup(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	var earliest time.Time
	if len(q.waiting) == 0 {
		return earliest
	}
	consider := func(at time.Time) {
		if at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	for _, s := range q.servers {
		consider(s.pausedUntil)
	}
	for _, it := range q.waiting {
		if it.prefersZone() {
			consider(it.Due.Add(-q.cfg.CallTime - zoneWaitMargin))
		}
		consider(it.Deadline.Add(-q.cfg.CallTime))
	}
	return earliest
}
