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
		// APIKey is the caller's key, or "".
		APIKey string
		// Timeout is how long the caller waits, or 0 if it does not say.
		Timeout time.Duration
		// Affinity names the shared part of the prompt, or is "".
		Affinity     string
		PromptTokens int
		OutputTokens int
		// Pieces is the number of pieces of each stage.
		Pieces   []int
		PieceKey string
		// LastEventID is the id of the last event that the caller has, or "".
		LastEventID string
		Arrived     time.Time
	}

	// Attempt is one send of a request to a server.
	Attempt struct {
		Request *Request
		Server  fleet.Server
		// Remaining is the time until the request is of no use any more.
		Remaining    time.Duration
		Organisation string
		Inputs       []string
		LastEventID  string
		// Priority ranks requests at an engine, 0 first; -1 leaves it open.
		Priority int
	}

	// Response is the beginning of a server's answer. Its id has been checked.
	Response struct {
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

	// StageJob is the pieces of one stage of a request.
	StageJob struct {
		Service     string
		RequestID   string
		Stage       int
		Class       string
		PieceKey    string
		Inputs      []string
		Pieces      int
		ResultBytes int64
		// Zone is where the pieces are best made, or "", and Moved the bytes that
		// move between zones for each one that is made elsewhere.
		Zone           string
		CrossZoneBytes int64
		// Due and Left say when the results are needed and of use, from now.
		Due, Remaining time.Duration
		Worth          float64
	}

	// ResponseWriter is where the answer goes.
	ResponseWriter struct {
		// Respond gives a whole answer.
		Respond func(status int, header map[string][]string, body []byte)
		// WriteHeader gives the head of a stream, and Write a part of it.
		WriteHeader func(status int, header map[string][]string)
		Write       func([]byte) error
	}

	// Shutdown is a planned stop of the process. Requests that come from Late on are
	// taken only if all of their time fits before End.
	Shutdown struct {
		RestrictFrom, End time.Time
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
		Elapsed      time.Duration
		Remaining    time.Duration
	}

	// Deps are what a Relay uses.
	Deps struct {
		Clock stage.Clock
		// Table returns the configuration in force, or nil.
		Table func() *route.Table
		// ConfigFresh reports whether the configuration was confirmed of late, so that
		// a request which it does not allow can be denied.
		ConfigFresh func() bool
		Servers     func() *fleet.Snapshot
		Send        func(ctx context.Context, a Attempt) (*Response, error)
		// RunStage has pieces made and returns their handles.
		RunStage func(ctx context.Context, job StageJob) ([]string, error)
		// FreeResults gives results up.
		FreeResults func(service string, handles []string)
		// ResultZone returns the zone of the server that holds a result, or "".
		ResultZone func(handle string) string
		// Place returns the id of an engine, or "".
		Place func(ctx context.Context, service string, q engine.Query) string
		// Settle ends a placement.
		Settle func(service, request, server string, outcome balance.Outcome)
		// PlainStage returns the stage that stands for a service without engines.
		PlainStage func(service string) *stage.Stage
		// RecordCall notes a first send to a service, and Allow takes a repeat from
		// the budget.
		RecordCall func(service string)
		AllowRetry func(service string) bool
		// Shutdown returns the planned stop under way, or the zero Stop.
		Shutdown func() Shutdown
		// ShutdownCtx is done shortly before a planned stop ends, so that requests
		// that have not been sent are still answered.
		ShutdownCtx context.Context
		// Random returns a random number in [0, 1).
		Random func() float64
		Log    func(Decision)
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
