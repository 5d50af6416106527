// Package relay owns the way of one request from a route to a server: the
// match, the work of its stages, the choice of a server, repeats, the relay of
// the answer and the resumption of a broken stream.
//
// It calls servers, stages and the caller only through function fields, and
// reads time only through its Clock. It must not know any protocol. What may
// run more than once is decided here, by the route alone.
package relay

import (
	"context"
	"io"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

type (
	// Request is one caller's request. It is not changed after it was read.
	Request struct {
		// ID is the caller's id of this attempt.
		ID     string
		Method string
		Host   string
		// Target is the path and query as they came, Path the path alone.
		Target string
		Path   string
		// Header holds what is passed on to a server.
		Header map[string][]string
		Body   []byte
		// Key is the caller's key, or "".
		Key string
		// Wait is how long the caller waits, or 0 if it does not say.
		Wait time.Duration
		// Affinity names the shared part of the prompt, or is "".
		Affinity     string
		PromptTokens int
		OutputTokens int
		// Pieces is the number of pieces of each stage.
		Pieces   []int
		PieceKey string
		// LastEvent is the id of the last event that the caller has, or "".
		LastEvent string
		Arrived   time.Time
	}

	// Attempt is one send of a request to a server.
	Attempt struct {
		Request *Request
		Server  fleet.Server
		// Left is the time until the request is of no use any more.
		Left         time.Duration
		Organisation string
		Inputs       []string
		LastEvent    string
		// Priority ranks requests at an engine, 0 first; -1 leaves it open.
		Priority int
	}

	// Reply is the beginning of a server's answer. Its id has been checked.
	Reply struct {
		Status int
		Header map[string][]string
		// NotRun is set if the server says that it did not run the request.
		NotRun bool
		// Full is set if it says so because it takes no more.
		Full bool
		// InputGone is set if a result that the request needs no longer exists.
		InputGone bool
		// Body ends with io.EOF only if the answer is whole.
		Body io.ReadCloser
	}

	// SendError is an error of Send.
	SendError struct {
		Err error
		// NotSent is set if the server provably got nothing of the request.
		NotSent bool
	}

	// Work is the pieces of one stage of a request.
	Work struct {
		Service string
		Request string
		Stage   int
		Class   string
		Key     string
		Inputs  []string
		Pieces  int
		Bytes   int64
		// Zone is where the pieces are best made, or "", and Moved the bytes that
		// move between zones for each one that is made elsewhere.
		Zone  string
		Moved int64
		// Due and Left say when the results are needed and of use, from now.
		Due, Left time.Duration
		Worth     float64
	}

	// Caller is where the answer goes.
	Caller struct {
		// Answer gives a whole answer.
		Answer func(status int, header map[string][]string, body []byte)
		// Begin gives the head of a stream, and Write a part of it.
		Begin func(status int, header map[string][]string)
		Write func([]byte) error
	}

	// Stop is a planned stop of the process. Requests that come from Late on are
	// taken only if all of their time fits before End.
	Stop struct {
		Late, End time.Time
	}

	// Decision is one decision about a request, for the log.
	Decision struct {
		RequestID    string
		Step         string
		Version      int64
		Route        string
		Service      string
		Organisation string
		Server       string
		Zone         string
		Attempt      int
		Pieces       int
		Outcome      string
		Waited       time.Duration
		Left         time.Duration
	}

	// Deps are what a Relay uses.
	Deps struct {
		Clock stage.Clock
		// Table returns the configuration in force, or nil.
		Table func() *route.Table
		// Fresh reports whether the configuration was confirmed of late, so that
		// a request which it does not allow can be denied.
		Fresh   func() bool
		Servers func() *fleet.Snapshot
		Send    func(ctx context.Context, a Attempt) (*Reply, error)
		// Work has pieces made and returns their handles.
		Work func(ctx context.Context, w Work) ([]string, error)
		// Free gives results up.
		Free func(service string, handles []string)
		// ZoneOf returns the zone of the server that holds a result, or "".
		ZoneOf func(handle string) string
		// Place returns the id of an engine, or "".
		Place func(ctx context.Context, service string, q engine.Query) string
		// Settle ends a placement.
		Settle func(service, request, server string, outcome balance.Outcome)
		// Plain returns the stage that stands for a service without engines.
		Plain func(service string) *stage.Stage
		// Count notes a first send to a service, and Allow takes a repeat from
		// the budget.
		Count func(service string)
		Allow func(service string) bool
		// Stop returns the planned stop under way, or the zero Stop.
		Stop func() Stop
		// Stopping is done shortly before a planned stop ends, so that requests
		// that have not been sent are still answered.
		Stopping context.Context
		// Draw returns a random number in [0, 1).
		Draw func() float64
		Log  func(Decision)
	}
)

// Error returns the cause's message.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Refusal is a fault with the time after which the caller may come back.
type Refusal struct {
	Fault      *fault.Error
	RetryAfter time.Duration
}

// Error returns the fault's message.
func (r *Refusal) Error() string { return r.Fault.Error() }

// Unwrap returns the fault.
func (r *Refusal) Unwrap() error { return r.Fault }
