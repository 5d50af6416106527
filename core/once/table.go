package once

import (
	"encoding/json"
	"sync"
	"time"

	"chervilpath/core/fault"
)

// State is the state of a key's request at the owner of the key.
type State string

// The states of a key. A key goes from Open through Running to one of the other
// states, and never back.
const (
	Open    State = "open"
	Running State = "running"
	Done    State = "done"
	NotRun  State = "notRun"
	Unknown State = "unknown"
)

type (
	// Outcome is the result of a request.
	Outcome struct {
		State State `json:"state"`
		// Answer is the stored answer of a request in state Done.
		Answer json.RawMessage `json:"answer,omitempty"`
		// Error, Stage and Message describe why the request has no answer.
		Error   string `json:"error,omitempty"`
		Stage   string `json:"stage,omitempty"`
		Message string `json:"message,omitempty"`
		// Ran reports whether the request ran: "no", "yes" or "unknown".
		Ran string `json:"ran"`
	}

	// Record is a key with its outcome, in the form in which it is stored and
	// handed over to another instance.
	Record struct {
		Key      string    `json:"key"`
		BodyHash string    `json:"bodyHash"`
		Outcome  Outcome   `json:"outcome"`
		Ended    time.Time `json:"ended"`
	}

	// Table holds the keys that this instance owns. It is safe for concurrent
	// use.
	Table struct {
		mu      sync.Mutex
		entries map[string]*entry
		// order lists the entries in the order in which they were added. It may
		// still contain entries that are no longer in the map.
		order     []*entry
		retention time.Duration
		maxKeys   int
		// closed is set once the records have been returned by Close, to be
		// handed over to another owner.
		closed bool
	}

	entry struct {
		record  Record
		state   State
		began   time.Time
		done    chan struct{}
		flushed bool
	}

	// decision is what the owner of a key does with an attempt.
	decision uint8
)

const (
	// decideRun means that this attempt runs the request and must call complete or
	// cancel.
	decideRun decision = iota
	// decideWait means that another attempt runs the request, and that this one
	// waits for it to end.
	decideWait
	// decideReplay means that the request has ended and its outcome is returned.
	decideReplay
)

// NewTable returns an empty table that holds at most maxKeys keys, each for the
// retention period after its request ended.
func NewTable(retention time.Duration, maxKeys int) *Table {
	return &Table{entries: make(map[string]*entry), retention: retention, maxKeys: maxKeys}
}

// begin decides what to do with an attempt for a key that this instance owns.
// An error of kind KeyReused means that the key was used with another body.
func (t *Table) begin(now time.Time, key, bodyHash string) (decision, *entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, nil, fault.Errorf(fault.Draining, "the instance has handed over its keys").WithRan(fault.RanUnknown)
	}
	t.evictExpired(now)
	e, ok := t.entries[key]
	if !ok {
		if len(t.entries) >= t.maxKeys {
			return 0, nil, fault.Errorf(fault.Overloaded, "the instance holds %d keys, the maximum", len(t.entries)).WithRan(fault.RanUnknown)
		}
		e = &entry{record: Record{Key: key, BodyHash: bodyHash}, state: Running, began: now, done: make(chan struct{})}
		t.entries[key] = e
		t.order = append(t.order, e)
		return decideRun, e, nil
	}
	if e.record.BodyHash != bodyHash {
		return 0, nil, errKeyReused()
	}
	if e.state == Running {
		return decideWait, e, nil
	}
	return decideReplay, e, nil
}

// lookupEntry returns the entry of a key, or nil if there is none.
func (t *Table) lookupEntry(key, bodyHash string) (*entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return nil, nil
	}
	if e.record.BodyHash != bodyHash {
		return nil, errKeyReused()
	}
	return e, nil
}

// complete stores the outcome of an entry whose request runs. Later calls have
// no effect.
func (t *Table) complete(now time.Time, e *entry, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != Running {
		return
	}
	e.state = o.State
	e.record.Outcome = o
	e.record.Ended = now
	close(e.done)
}

// cancel removes an entry whose request was not started, because the key could
// not be claimed or another attempt owns it, and gives o to waiting attempts.
func (t *Table) cancel(e *entry, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != Running {
		return
	}
	e.state = Unknown
	e.record.Outcome = o
	delete(t.entries, e.record.Key)
	close(e.done)
}

// lookupOutcome returns the outcome of a key, or false if the table does not
// contain the key.
func (t *Table) lookupOutcome(key string) (Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return Outcome{}, false
	}
	if e.state == Running {
		return Outcome{State: Running, Ran: fault.RanUnknown.String()}, true
	}
	return e.record.Outcome, true
}

func (t *Table) outcome(e *entry) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.record.Outcome
}

// evictExpired removes entries whose requests ended longer than the retention
// period ago. It stops at the first entry that must be kept. The caller holds mu.
func (t *Table) evictExpired(now time.Time) {
	for len(t.order) > 0 {
		e := t.order[0]
		removed := t.entries[e.record.Key] != e
		if !removed && (e.state == Running || now.Sub(e.record.Ended) < t.retention) {
			return
		}
		if !removed {
			delete(t.entries, e.record.Key)
		}
		t.order[0] = nil
		t.order = t.order[1:]
	}
}

// Unflushed returns up to n records of requests that ended and have not been
// marked as flushed, oldest first.
func (t *Table) Unflushed(n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, e := range t.order {
		if len(out) == n {
			break
		}
		if e.state != Running && !e.flushed && t.entries[e.record.Key] == e {
			out = append(out, e.record)
		}
	}
	return out
}

// MarkFlushed marks the records as written to the store.
func (t *Table) MarkFlushed(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if e, ok := t.entries[r.Key]; ok {
			e.flushed = true
		}
	}
}

// Close makes the table refuse new attempts and returns all its records, to be
// handed over. If a request still runs, it returns false and leaves the table
// open.
func (t *Table) Close() ([]Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		if e.state == Running {
			return nil, false
		}
		out = append(out, e.record)
	}
	t.closed = true
	return out, true
}

// Adopt adds records that another owner handed over.
func (t *Table) Adopt(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if _, ok := t.entries[r.Key]; ok {
			continue
		}
		e := &entry{record: r, state: r.Outcome.State, done: make(chan struct{})}
		close(e.done)
		t.entries[r.Key] = e
		t.order = append(t.order, e)
	}
}

// Len returns the number of keys in the table and how many of them have a
// running request.
func (t *Table) Len() (held, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.state == Running {
			running++
		}
	}
	return len(t.entries), running
}
