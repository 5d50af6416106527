// Package pipeline owns the execution of one request across its stages under a
// single deadline: admission, queueing for each stage, endpoint selection,
// retries and hedging, and the record of what ran and what it cost.
//
// It calls endpoints only through [Deps.Call] and reads time only through
// [Deps.Clock], and must not depend on any protocol. Within one run of a
// request, this package ensures that a non-idempotent stage is executed at most
// once; that the request itself is run at most once is up to core/once.
package pipeline

import (
	"context"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

// CostClass classifies the cost of a call by whether its result was used and, if
// not, why.
type CostClass uint8

// The classes of cost.
const (
	// Useful is a call whose result was passed to the next stage or the caller.
	Useful CostClass = iota
	// Failed is a call that ended with an error or an incomplete answer.
	Failed
	// Hedged is the slower call of a hedged pair.
	Hedged
	// Cancelled is a call that was cancelled because its caller had gone.
	Cancelled
	// Late is a call that had not ended when the deadline expired.
	Late
)

type (
	// Payload is the input of a stage.
	Payload struct {
		Text      string   `json:"text,omitempty"`
		Images    []string `json:"images,omitempty"`
		Documents []string `json:"documents,omitempty"`
		MaxTokens int      `json:"maxTokens,omitempty"`
	}

	// Request is one caller's request.
	Request struct {
		ID           string
		Organisation *declare.Organisation
		Kind         *declare.Kind
		Deadline     time.Time
		Input        Payload
		// Emit is called with each token of the last stage as it arrives. If it
		// is nil, the answer is not streamed.
		Emit func(Token)
	}

	// Token is a piece of streamed text. Sequence numbers start at 1 and have no
	// gaps, also across retries.
	Token struct {
		Sequence int    `json:"sequence"`
		Text     string `json:"text"`
	}

	// Attempt is one call of one endpoint.
	Attempt struct {
		// ID is unique to the attempt. An answer that carries another ID belongs
		// to another attempt and must be rejected.
		ID           string
		RequestID    string
		Organisation string
		Stage        *declare.Stage
		Endpoint     *declare.Endpoint
		Priority     declare.Priority
		Input        Payload
		// Stream requests that the text be streamed as it is generated.
		Stream bool
		// ResumeText is the text that earlier attempts of the stage have already
		// streamed to the caller, and ResumeAfter is the number of its tokens.
		ResumeText  string
		ResumeAfter int
	}

	// Result is the output of a stage.
	Result struct {
		Text      string   `json:"text,omitempty"`
		Documents []string `json:"documents,omitempty"`
		// Units is the cost in the stage's unit, and CachedUnits is the part of
		// it that the endpoint served from its cache.
		Units       float64 `json:"units"`
		CachedUnits float64 `json:"cachedUnits,omitempty"`
	}

	// CallError is an error returned by [Deps.Call]. In addition to the kind, it
	// says how far the call got.
	CallError struct {
		// Err is the cause.
		Err *fault.Error
		// NotRun is set if the endpoint is known to have done no work.
		NotRun bool
		// NotSent is set if the endpoint is known to have received nothing, so
		// that a retry adds no load to the stage.
		NotSent bool
		// Full is set if the endpoint refused the call because it is at capacity.
		Full bool
		// Units is the cost that the endpoint is known to have incurred.
		Units float64
	}

	// StageReport summarises one stage of a request for the caller.
	StageReport struct {
		Stage    string  `json:"stage"`
		Endpoint string  `json:"endpoint"`
		Unit     string  `json:"unit"`
		Units    float64 `json:"units"`
		Cost     float64 `json:"cost"`
		Attempts int     `json:"attempts"`
		WaitedMs float64 `json:"waitedMs"`
		TookMs   float64 `json:"tookMs"`
	}

	// Answer is the complete answer to a request.
	Answer struct {
		Text      string        `json:"text"`
		Documents []string      `json:"documents,omitempty"`
		Stages    []StageReport `json:"stages"`
	}

	// Decision is the log record of one routing decision.
	Decision struct {
		RequestID     string
		Organisation  string
		Kind          string
		Stage         string
		AttemptID     string
		Attempt       int
		Endpoint      string
		FailureDomain string
		Reason        string
		Hedge         bool
		Waited        time.Duration
		Remaining     time.Duration
	}

	// Charge is the cost of one call.
	Charge struct {
		Organisation string
		Stage        string
		Units        float64
		// UnitsKnown is false if the endpoint did not report what the call cost.
		UnitsKnown bool
		Cost       float64
		Busy       time.Duration
		Class      CostClass
	}

	// Deps are the dependencies of a [Runner].
	Deps struct {
		// Instance is the name of the instance.
		Instance string
		Clock    stage.Clock
		// Call calls an endpoint. It passes streamed text to emit in order and
		// returns once the answer is complete, or with a *CallError.
		Call func(ctx context.Context, a Attempt, emit func(string)) (Result, error)
		// LogDecision is called for each routing decision.
		LogDecision func(Decision)
		// RecordCharge is called at the end of each call, unless the endpoint is
		// known to have done no work.
		RecordCharge func(Charge)
		// ObserveStage is called at the end of each stage of a request with the
		// time spent in the stage's queue and in the stage as a whole.
		ObserveStage func(stage string, waited, took time.Duration, err error)
		// ObserveToken is called for each streamed token, except the first one
		// after a stream was resumed: for the first of the request with the time
		// since the request started, for the others with the time since the
		// caller had taken the previous token.
		ObserveToken func(stage string, first bool, d time.Duration)
		// NewID returns a new unique attempt ID.
		NewID func() string
	}
)

var costClassNames = [...]string{Useful: "useful", Failed: "failed", Hedged: "hedged", Cancelled: "cancelled", Late: "late"}

// String returns the class's name in cost records and metrics.
func (c CostClass) String() string { return costClassNames[c] }

// Error returns the message of e.Err.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns e.Err.
func (e *CallError) Unwrap() error { return e.Err }
