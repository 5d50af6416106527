// Package pipeline owns the way of one request through its stages under one
// deadline: admission, the wait for a stage, the choice of an endpoint, repeats
// and hedges, and the account of what ran.
//
// It calls endpoints only through the function field Call, and reads time only
// through its Clock. It must not know any protocol. At most once is decided
// here for one run of a request; that a request is run at most once is decided
// by core/once.
package pipeline

import (
	"context"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

// CostClass says what became of a call's cost.
type CostClass uint8

// The classes of cost.
const (
	// Useful is a call whose result went on to the next stage or the caller.
	Useful CostClass = iota
	// Failed is a call that ended with an error or an answer that is not whole.
	Failed
	// Hedged is a call whose twin answered first.
	Hedged
	// Cancelled is a call that was given up since its caller had gone.
	Cancelled
	// Late is a call that did not end by the deadline.
	Late
)

type (
	// Payload is what goes into a stage.
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
		// Emit gets the text of the last stage as it comes, or is nil.
		Emit func(Token)
	}

	// Token is a piece of streamed text. Sequences start at 1 and have no gaps.
	Token struct {
		Sequence int    `json:"sequence"`
		Text     string `json:"text"`
	}

	// Attempt is one call of one endpoint.
	Attempt struct {
		// ID is unique to the attempt; an answer that names another is not its own.
		ID           string
		RequestID    string
		Organisation string
		Stage        *declare.Stage
		Endpoint     *declare.Endpoint
		Priority     declare.Priority
		Input        Payload
		// Stream asks for the text as it comes.
		Stream bool
		// ResumeText is the text that an earlier attempt of the stage already
		// streamed, and ResumeAfter the number of its tokens.
		ResumeText  string
		ResumeAfter int
	}

	// Result is what a stage gave.
	Result struct {
		Text      string   `json:"text,omitempty"`
		Documents []string `json:"documents,omitempty"`
		// Units is the cost in the stage's unit, and CachedUnits the part that
		// the endpoint had cached.
		Units       float64 `json:"units"`
		CachedUnits float64 `json:"cachedUnits,omitempty"`
	}

	// CallError is an error of Call that says more of the call than its kind.
	CallError struct {
		// Err is the cause, with its kind.
		Err *fault.Error
		// NotRun is set if the endpoint provably did no work.
		NotRun bool
		// NotSent is set if the endpoint provably got nothing, so that a repeat
		// adds no load to the stage.
		NotSent bool
		// Full is set if the endpoint said that it takes no more work.
		Full bool
		// Units is the cost that the endpoint is known to have had.
		Units float64
	}

	// StageReport says how one stage of a request went.
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

	// Answer is the whole answer to a request.
	Answer struct {
		Text      string        `json:"text"`
		Documents []string      `json:"documents,omitempty"`
		Stages    []StageReport `json:"stages"`
	}

	// Decision is one routing decision, for the log.
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
		// UnitsKnown is false if the endpoint did not say what the call cost.
		UnitsKnown bool
		Cost       float64
		Busy       time.Duration
		Class      CostClass
	}

	// Deps are what a Runner depends on.
	Deps struct {
		// Instance is the name of the instance.
		Instance string
		Clock    stage.Clock
		// Call calls an endpoint. It gives streamed text to emit in order and
		// returns when the answer is whole, or with a *CallError.
		Call func(ctx context.Context, a Attempt, emit func(string)) (Result, error)
		// LogDecision is called for each routing decision.
		LogDecision func(Decision)
		// RecordCharge is called for each call that was sent.
		RecordCharge func(Charge)
		// ObserveStage is called with the times of each stage of a request.
		ObserveStage func(stage string, waited, took time.Duration, err error)
		// ObserveToken is called for each streamed token: for the first with the time
		// since the request came, for others with the time since the one before.
		ObserveToken func(stage string, first bool, d time.Duration)
		// NewID returns a new unique id.
		NewID func() string
	}
)

var costClassNames = [...]string{Useful: "useful", Failed: "failed", Hedged: "hedged", Cancelled: "cancelled", Late: "late"}

// String returns the class's name in reports.
func (c CostClass) String() string { return costClassNames[c] }

// Error returns the cause's message.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
