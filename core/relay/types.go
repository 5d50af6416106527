// Package relay owns the handling of one request from its arrival to the end of
// its response: it matches the request to a route, runs the route's stages,
// chooses a server, retries failed sends, relays the response and resumes a
// broken stream.
//
// It calls servers, stage services and the caller only through function fields,
// and reads time only through its Clock. It must not know any protocol. Whether
// a request may run more than once is decided here, from its route alone.
package relay

import (
	"context"
	"io"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/memory"
	"chervilpath/core/quarantine"
	"chervilpath/core/route"
	"chervilpath/core/slot"
	"chervilpath/core/stage"
)

type (
	// Request is one request of a caller. It must not be changed after it has
	// been read.
	Request struct {
		// ID is the caller's ID of this attempt.
		ID     string
		Method string
		Host   string
		// Target is the path and query as received, and Path the path alone.
		Target string
		Path   string
		// Header holds the header fields to forward to a server.
		Header map[string][]string
		Body   []byte
		// APIKey is the key that identifies the caller's organisation, or "".
		APIKey string
		// Timeout is how long the caller waits for the response, or 0 if it
		// does not say.
		Timeout time.Duration
		// Affinity identifies the part of the prompt that other requests share,
		// or is "".
		Affinity string
		// SharedParts holds the IDs of the parts of the prompt that other requests may
		// share, in order.
		SharedParts []string
		// Parts holds all parts of the prompt in order.
		Parts []engine.Part
		// PromptTokens is the size of the prompt, and OutputTokens the largest one of the
		// answer. ExpectedTokens is the size of the answer that the caller expects, or 0.
		PromptTokens   int
		OutputTokens   int
		ExpectedTokens int
		// Pieces holds the number of pieces of each stage.
		Pieces []int
		// PieceKey identifies the input of the stages that depend on no other.
		PieceKey string
		// LastEventID is the ID of the last event that the caller has received,
		// or "".
		LastEventID string
		Arrived     time.Time
	}

	// Attempt is one send of a request to a server.
	Attempt struct {
		Request *Request
		Server  fleet.Server
		// Remaining is the time until the request's deadline.
		Remaining    time.Duration
		Organisation string
		Inputs       []string
		LastEventID  string
		// Priority ranks requests at an engine, 0 being served first; -1 leaves
		// it unset.
		Priority int
		// NewConnection is set if the request was sent to the server before, so that
		// a late answer to that attempt cannot be taken for the answer to this one.
		NewConnection bool
		// SendBefore is the time after which nothing of the attempt may be sent any more,
		// or zero.
		SendBefore time.Time
	}

	// Permission is the answer to the question whether a request may be sent to a cold
	// server.
	Permission struct {
		Granted bool
		// SendBefore is until when it may be sent, or zero if that is not limited.
		SendBefore time.Time
		// RetryAfter is the time after which a permission may be granted, if it was not.
		RetryAfter time.Duration
	}

	// Response is the beginning of a server's response. It has been checked to
	// belong to the request.
	Response struct {
		Status int
		Header map[string][]string
		// NotRun is set if the server says that it did not run the request.
		NotRun bool
		// NamesRequest is set if the response names the request that it answers.
		NamesRequest bool
		// EventStream is set if the body consists of events.
		EventStream bool
		// Full is set along with NotRun if the server accepts no more requests.
		Full bool
		// InputGone is set if a stage result that the request needs no longer
		// exists.
		InputGone bool
		// EndsWithConnection is set if the body has neither a length nor chunks, so that
		// its end alone does not show that it is complete.
		EndsWithConnection bool
		// Length is the length of the body in bytes if it is known, or else 0 or less.
		Length int64
		// Body ends with io.EOF only if the response is complete, or ends with its
		// connection.
		Body io.ReadCloser
	}

	// SendError is the error returned by Deps.Send.
	SendError struct {
		Err error
		// NotSent is set if the server provably received nothing of the
		// request.
		NotSent bool
		// Unanswered is set along with NotSent if the server did not answer the
		// request for a connection in time. It may only be silent for a while.
		Unanswered bool
	}

	// StageJob is one stage of a request, whose pieces are to be processed.
	StageJob struct {
		Service     string
		RequestID   string
		Stage       int
		Class       string
		PieceKey    string
		Inputs      []string
		Pieces      int
		ResultBytes int64
		// Zone is where the pieces are best processed, or "" if it does not
		// matter, and CrossZoneBytes the number of bytes that cross zones for
		// each piece that is processed elsewhere.
		Zone           string
		CrossZoneBytes int64
		// Due is the time from now until the results are needed for the request
		// to meet its target latency, and Remaining the time until they are no
		// longer of use.
		Due, Remaining time.Duration
		// Worth weighs the request against others.
		Worth float64
	}

	// Slot is a slot at a server. End has to be called once; took is the time of a complete
	// answer, or 0.
	Slot struct {
		Server string
		End    func(outcome balance.Outcome, took time.Duration)
	}

	// ResponseWriter holds the functions that write a response to the caller.
	ResponseWriter struct {
		// Respond writes a complete response.
		Respond func(status int, header map[string][]string, body []byte)
		// WriteHeader writes the head of a stream, and Write a part of its
		// body.
		WriteHeader func(status int, header map[string][]string)
		Write       func([]byte) error
	}

	// Shutdown is a planned shutdown of the process. Requests that arrive at
	// RestrictFrom or later are accepted only if their deadline is before End. At
	// End, requests whose response has not begun are ended with an error.
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
		// Due is the time from the request's arrival until its response is due. It
		// is set when the request is matched to its route.
		Due time.Duration
		// LongestGap is the longest time between two events of the stream so far.
		LongestGap time.Duration
		// SharedParts and Begun are set if the answer broke off: the parts of the prompt
		// that other requests may share, and whether the server had begun to answer.
		SharedParts []string
		Begun       bool
		// Slowness is how long a call of the plain server is expected to take as a multiple of
		// the usual time, and Pace what the server reported of that lately, or 0.
		Slowness, Pace float64
	}

	// Deps holds what a Relay uses.
	Deps struct {
		Clock stage.Clock
		// AwaitReady waits while the instance may still be starting, and reports
		// whether it is ready to serve requests.
		AwaitReady func(ctx context.Context) bool
		// Table returns the configuration in force, or nil if there is none
		// yet.
		Table func() *route.Table
		// ConfigFresh reports whether the configuration was confirmed recently,
		// so that a request that it does not allow can be denied rather than
		// refused for now.
		ConfigFresh func() bool
		Servers     func() *fleet.Snapshot
		Send        func(ctx context.Context, a Attempt) (*Response, error)
		// Answers is the memory that large answers and events share while they are
		// buffered.
		Answers *memory.Pool
		// RunStage has the pieces of a stage processed and returns the handles
		// of their results.
		RunStage func(ctx context.Context, job StageJob) ([]string, error)
		// FreeResults releases results.
		FreeResults func(service string, handles []string)
		// ResultZone returns the zone of the server that holds a result, or "".
		ResultZone func(handle string) string
		// Place chooses an engine for a request and returns its ID, or "" if
		// none is free. An error is a refusal of the request.
		Place func(ctx context.Context, service string, q engine.Query) (string, error)
		// Settle ends a placement and reports how it went.
		Settle func(service, request, server string, outcome balance.Outcome)
		// Observe, unless it is nil, reports how fast an engine serves a placement. It must
		// not block.
		Observe func(service string, o engine.Observation)
		// Suspect reports that the engine of a placement has been silent for long, while
		// the attempt goes on.
		Suspect func(service, request, server string)
		// PlainStage returns the stage that queues the requests of a plain
		// service, one without engines, and balances them over its servers. It
		// returns nil if the service has no servers.
		PlainStage func(service string) *stage.Stage
		// ColdLimited reports whether the requests to cold servers of a service are limited,
		// or is nil if they never are. Admit then decides right before each send to a server
		// that is cold.
		ColdLimited func(service string) bool
		Admit       func(ctx context.Context, service string, server fleet.Server, requestID string) Permission
		// AcquireSlot waits until the owner of a plain service gives a request a slot at one
		// of its servers. It reports false if the service has no owner that answers, so that
		// PlainStage is used, and returns an error if the request is refused. If it is nil, no
		// service has an owner.
		AcquireSlot func(ctx context.Context, q slot.Query) (s Slot, ok bool, err error)
		// RecordCall counts the first send of a request to a service, and
		// AllowRetry takes a retry from the budget of the service if one is
		// left.
		RecordCall func(service string)
		AllowRetry func(service string) bool
		// Quarantine holds back requests whose prompts crash engines.
		Quarantine *quarantine.Tracker
		// QuarantineChanged is called after an attempt has changed what others need to know.
		QuarantineChanged func()
		// Shutdown returns the planned shutdown in progress, or the zero
		// Shutdown.
		Shutdown func() Shutdown
		// ShutdownCtx is cancelled at the End of a planned shutdown.
		ShutdownCtx context.Context
		// Random returns a random number in [0, 1).
		Random func() float64
		Log    func(Decision)
	}
)

// StepBroken is the step of a Decision about an answer that broke off.
const StepBroken = "broken"

// Error returns the cause's message.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Refusal is a fault with the time after which the caller may retry.
type Refusal struct {
	Fault      *fault.Error
	RetryAfter time.Duration
}

// Error returns the fault's message.
func (r *Refusal) Error() string { return r.Fault.Error() }

// Unwrap returns the fault.
func (r *Refusal) Unwrap() error { return r.Fault }
