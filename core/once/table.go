package once

import (
	"encoding/json"
	"sync"
	"time"

	"chervilpath/core/fault"
)

// State is the state of a key at its owner.
type State string

// The states. A key moves from open through running to one of the others and
// never back.
const (
	Open    State = "open"
	Running State = "running"
	Done    State = "done"
	NotRun  State = "notRun"
	Unknown State = "unknown"
)

type (
	// Outcome is how a request ended.
	Outcome struct {
		State State `json:"state"`
		// Answer is the stored answer of a request that is done.
		Answer json.RawMessage `json:"answer,omitempty"`
		// Error, Stage and Message tell why a request has no answer.
		Error   string `json:"error,omitempty"`
		Stage   string `json:"stage,omitempty"`
		Message string `json:"message,omitempty"`
		// Ran is "no", "yes" or "unknown".
		Ran string `json:"ran"`
	}

	// Record is one key with its outcome, as it is stored and handed over.
	Record struct {
		Key      string    `json:"key"`
		BodyHash string    `json:"bodyHash"`
		Outcome  Outcome   `json:"outcome"`
		Ended    time.Time `json:"ended"`
	}

	// Table is the keys that this instance owns. It is safe for concurrent use.
	Table struct {
		mu        sync.Mutex
		entries   map[string]*entry
		order     []*entry
		retention time.Duration
		maxKeys   int
		// closed is set when the keys have been handed to another owner.
		closed bool
	}

	entry struct {
		record  Record
		state   State
		began   time.Time
		done    chan struct{}
		flushed bool
	}

	// decision is what the owner decided on an attempt.
	decision uint8
)

const (
	// runIt: this attempt runs the request and has to call end.
	decideRun decision = iota
	// joinIt: another attempt runs it; wait for its end.
	decideWait
	// replay: it has ended; give the stored outcome.
	decideReplay
)

// NewTable returns an empty table that holds at most limit keys, each for the
// given time after its end.
func NewTable(retention time.Duration, maxKeys int) *Table {
	return &Table{entries: make(map[string]*entry), retention: retention, maxKeys: maxKeys}
}

// begin decides on an attempt for a key that this instance owns. An error of
// kind KeyReused means that the key was used with another body.
func (t *Table) begin(now time.Time, key, bodyHash string) (decision, *entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, nil, fault.Errorf(fault.Draining, "the instance has handed its keys over").WithRan(fault.RanUnknown)
	}
	t.evictExpired(now)
	e, ok := t.entries[key]
	if !ok {
		if len(t.entries) >= t.maxKeys {
			return 0, nil, fault.Errorf(fault.Overloaded, "the instance remembers %d keys, as many as it holds", len(t.entries)).WithRan(fault.RanUnknown)
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

// lookupEntry returns the entry of a key, or nil if the table does not hold it.
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

// complete stores the outcome of a running entry. Later calls change nothing.
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

// cancel removes an entry whose attempt found that another instance owns the key.
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

// lookupOutcome returns the outcome of a key, or false if the table does not hold it.
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

// evictExpired drops entries that ended long ago. The caller holds mu.
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

// Unflushed returns records that ended and have not been marked as flushed, at
// most n of them.
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

// MarkFlushed notes that records are in the store.
func (t *Table) MarkFlushed(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if e, ok := t.entries[r.Key]; ok {
			e.flushed = true
		}
	}
}

// Close stops the table from running anything and returns all its records, to
// be handed over. It reports false if a request still runs; then nothing is
// closed.
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

// Adopt takes records from another owner.
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

// Len returns the number of keys held and how many of them run.
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
