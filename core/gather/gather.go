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
	// maxTries is how often a piece is given to a server before its request is
	// told that it failed.
	maxTries = 4

	// BulkBytes is the number of bytes moved between zones from which the zone
	// of a server matters: fewer cost less than the wait.
	BulkBytes = 100_000

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

	// retryAfterFull is how long a server that takes no more is left alone,
	// doubled each time in a row, up to maxAfterFull, the time of a call: others
	// use it.
	retryAfterFull = 30 * time.Millisecond
	maxAfterFull   = 240 * time.Millisecond
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
		pieces  route.PieceConfig
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
		refusals int
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
func New(pieces route.PieceConfig) *Queue {
	return &Queue{
		pieces: pieces, servers: make(map[string]*server),
		classes: make(map[string]float64), results: make(map[string]result),
	}
}

// Replace takes the servers that may get calls and what they can do.
func (q *Queue) Replace(servers []fleet.Server, pieces route.PieceConfig) {
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
