// Package trace reads, writes and generates traces of traffic, and checks the
// results of a replay against expected outcomes.
//
// A trace consists of JSON lines, one event each, ordered by time. The package
// sends no requests and reads no clock.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds the length of a line of a trace.
const maxLineBytes = 1 << 20

// PlatformEndpoint is the Endpoint of a fault of the platform's object API.
const PlatformEndpoint = "platform"

// The kinds of idempotency key that a request can carry: none, a ticket from the
// system, or a key that the caller chose.
const (
	NoKey     = ""
	TicketKey = "ticket"
	CallerKey = "own"
)

type (
	// Event is a request, or the start or end of a fault.
	Event struct {
		// AtMs is the time since the start, in milliseconds.
		AtMs int64 `json:"atMs"`

		Kind         string `json:"kind,omitempty"`
		Organisation string `json:"organisation,omitempty"`
		Images       int    `json:"images,omitempty"`
		MaxTokens    int    `json:"maxTokens,omitempty"`
		Stream       bool   `json:"stream,omitempty"`
		// Key is NoKey, TicketKey or CallerKey.
		Key string `json:"key,omitempty"`

		// Fault is nil for a request.
		Fault *Fault `json:"fault,omitempty"`
	}

	// Fault sets how endpoints of an embedded deployment misbehave from then on.
	// A replay to a running system ignores faults.
	Fault struct {
		// Endpoint is the name of an endpoint, or PlatformEndpoint. One that ends
		// in "*" stands for all names with that prefix.
		Endpoint string `json:"endpoint"`
		Down     bool   `json:"down,omitempty"`
		// SlowFactor multiplies the time of each call; 0 leaves it unchanged.
		SlowFactor float64 `json:"slow,omitempty"`
	}

	// Result is the outcome of one request as its caller saw it.
	Result struct {
		AtMs         int64
		Kind         string
		Organisation string
		Took         time.Duration
		Deadline     time.Duration
		Answered     bool
		// ErrorKind is the kind of the error if the request was not answered.
		ErrorKind string
	}
)

// At returns the event's time since the start.
func (e Event) At() time.Duration { return time.Duration(e.AtMs) * time.Millisecond }

// MetDeadline reports whether the request was answered within its deadline.
func (r Result) MetDeadline() bool { return r.Answered && r.Took <= r.Deadline }

// Read reads a trace and validates it. An error names the line at fault.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d of the trace is not an event: %w", line, err)
		}
		if err := e.validate(events); err != nil {
			return nil, fmt.Errorf("line %d of the trace: %w", line, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading the trace: %w", err)
	}
	return events, nil
}

// validate returns what is wrong with an event that follows the earlier ones.
func (e Event) validate(earlier []Event) error {
	switch {
	case e.AtMs < 0:
		return fmt.Errorf("atMs is %d; write 0 or more", e.AtMs)
	case len(earlier) > 0 && e.AtMs < earlier[len(earlier)-1].AtMs:
		return fmt.Errorf("atMs is %d, before the previous event; order events by time", e.AtMs)
	case e.Fault == nil && (e.Kind == "" || e.Organisation == ""):
		return fmt.Errorf("a request needs a kind and an organisation")
	case e.Fault != nil && e.Fault.Endpoint == "":
		return fmt.Errorf("a fault needs an endpoint")
	case e.Key != NoKey && e.Key != TicketKey && e.Key != CallerKey:
		return fmt.Errorf("key is %q; write ticket, own or nothing", e.Key)
	}
	return nil
}

// Write writes events in the form that Read reads.
func Write(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("writing the trace: %w", err)
		}
	}
	return nil
}
