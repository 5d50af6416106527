// Package trace owns recorded traffic: its form, seeded generators of it, and
// the outcomes that a replay of it has to show.
//
// A trace is JSON lines, one event each, ordered by time. The package sends
// nothing and reads no clock.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds a line of a trace, in bytes.
const maxLineBytes = 1 << 20

// PlatformEndpoint is the name by which a fault stands for the platform's object API.
const PlatformEndpoint = "platform"

// Keys of a request that runs at most once.
const (
	NoKey     = ""
	TicketKey = "ticket"
	CallerKey = "own"
)

type (
	// Event is a request, or a fault that is switched.
	Event struct {
		// AtMs is the time since the start, in milliseconds.
		AtMs int64 `json:"atMs"`

		Kind         string `json:"kind,omitempty"`
		Organisation string `json:"organisation,omitempty"`
		Images       int    `json:"images,omitempty"`
		MaxTokens    int    `json:"maxTokens,omitempty"`
		Stream       bool   `json:"stream,omitempty"`
		// Key is "", "ticket" or "own".
		Key string `json:"key,omitempty"`

		// Fault is set for an event that is no request.
		Fault *Fault `json:"fault,omitempty"`
	}

	// Fault switches what an embedded endpoint does from now on. A replay of a
	// running system leaves faults out.
	Fault struct {
		// Endpoint is a name, or Platform; one that ends in "*" stands for all
		// that begin so.
		Endpoint   string  `json:"endpoint"`
		Down       bool    `json:"down,omitempty"`
		SlowFactor float64 `json:"slow,omitempty"`
	}

	// Result is one request as its caller saw it.
	Result struct {
		AtMs         int64
		Kind         string
		Organisation string
		Took         time.Duration
		Deadline     time.Duration
		Answered     bool
		// ErrorKind is the kind of error of a request that was not answered.
		ErrorKind string
	}
)

// At returns the event's time since the start.
func (e Event) At() time.Duration { return time.Duration(e.AtMs) * time.Millisecond }

// MetDeadline reports whether the request was answered within its deadline.
func (r Result) MetDeadline() bool { return r.Answered && r.Took <= r.Deadline }

// Read reads a trace. An error names the line and what is wrong with it.
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

func (e Event) validate(earlier []Event) error {
	switch {
	case e.AtMs < 0:
		return fmt.Errorf("atMs is %d; write a time from 0 on", e.AtMs)
	case len(earlier) > 0 && e.AtMs < earlier[len(earlier)-1].AtMs:
		return fmt.Errorf("atMs is %d, before the line above; order events by time", e.AtMs)
	case e.Fault == nil && (e.Kind == "" || e.Organisation == ""):
		return fmt.Errorf("a request needs a kind and an organisation")
	case e.Fault != nil && e.Fault.Endpoint == "":
		return fmt.Errorf("a fault needs an endpoint")
	case e.Key != NoKey && e.Key != TicketKey && e.Key != CallerKey:
		return fmt.Errorf("key is %q; write ticket, own or nothing", e.Key)
	}
	return nil
}

// Write writes a trace.
func Write(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("writing the trace: %w", err)
		}
	}
	return nil
}
