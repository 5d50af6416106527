// Package fault owns the closed list of error kinds and the one table from a
// kind to every answer that is given for it.
//
// No other package may choose a status code, a log level or a statement about
// whether work ran. A new kind is added here, with its row.
package fault

import (
	"context"
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap/zapcore"
)

// Kind is one kind of error. The zero Kind is Internal.
type Kind uint8

// The closed list of kinds.
const (
	Internal Kind = iota
	BadRequest
	Unauthenticated
	NotFound
	TooLarge
	KeyRequired
	KeyReused
	Overloaded
	DeadlineTooShort
	DeadlineExceeded
	Cancelled
	EndpointFailed
	EndpointUnavailable
	AnswerIncomplete
	OutcomeUnknown
	Draining
	StoreUnavailable
	Conflict
	InputGone
	numKinds
)

// Ran says whether non-idempotent work of a request has run.
type Ran uint8

// The three answers to "has it run?". RanUnknown is the zero value, so that a
// forgotten field never claims more than is known.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

type (
	// Properties is the row of a Kind in the table.
	Properties struct {
		// Name is the kind's name in answers, logs and metrics.
		Name string
		// HTTPStatus is the status code given to callers and operators.
		HTTPStatus int
		// TwirpCode is the code given to peer instances.
		TwirpCode twirp.ErrorCode
		// LogLevel is the level at which the error is logged.
		LogLevel zapcore.Level
		// DefaultRan is the statement made when the error itself carries none.
		DefaultRan Ran
		// Retryable says whether the caller may send the same request again.
		Retryable bool
	}

	// Error is an error with its kind. Use Errorf to make one.
	Error struct {
		kind  Kind
		stage string
		ran   Ran
		err   error
	}
)

var (
	properties = [numKinds]Properties{
		Internal:            {"internal", 500, twirp.Internal, zapcore.ErrorLevel, RanUnknown, false},
		BadRequest:          {"badRequest", 400, twirp.InvalidArgument, zapcore.InfoLevel, RanNo, false},
		Unauthenticated:     {"unauthenticated", 401, twirp.Unauthenticated, zapcore.InfoLevel, RanNo, false},
		NotFound:            {"notFound", 404, twirp.NotFound, zapcore.InfoLevel, RanNo, false},
		TooLarge:            {"tooLarge", 413, twirp.InvalidArgument, zapcore.InfoLevel, RanNo, false},
		KeyRequired:         {"keyRequired", 428, twirp.FailedPrecondition, zapcore.InfoLevel, RanNo, false},
		KeyReused:           {"keyReused", 422, twirp.AlreadyExists, zapcore.InfoLevel, RanUnknown, false},
		Overloaded:          {"overloaded", 429, twirp.ResourceExhausted, zapcore.InfoLevel, RanNo, true},
		DeadlineTooShort:    {"deadlineTooShort", 503, twirp.ResourceExhausted, zapcore.InfoLevel, RanNo, true},
		DeadlineExceeded:    {"deadlineExceeded", 504, twirp.DeadlineExceeded, zapcore.WarnLevel, RanUnknown, false},
		Cancelled:           {"cancelled", 499, twirp.Canceled, zapcore.InfoLevel, RanUnknown, false},
		EndpointFailed:      {"endpointFailed", 502, twirp.Unavailable, zapcore.WarnLevel, RanUnknown, false},
		EndpointUnavailable: {"endpointUnavailable", 503, twirp.Unavailable, zapcore.WarnLevel, RanNo, true},
		AnswerIncomplete:    {"answerIncomplete", 502, twirp.DataLoss, zapcore.WarnLevel, RanUnknown, false},
		OutcomeUnknown:      {"outcomeUnknown", 409, twirp.Aborted, zapcore.WarnLevel, RanUnknown, false},
		Draining:            {"draining", 503, twirp.Unavailable, zapcore.InfoLevel, RanNo, true},
		StoreUnavailable:    {"storeUnavailable", 503, twirp.Unavailable, zapcore.WarnLevel, RanUnknown, true},
		Conflict:            {"conflict", 409, twirp.AlreadyExists, zapcore.InfoLevel, RanNo, false},
		InputGone:           {"inputGone", 503, twirp.FailedPrecondition, zapcore.InfoLevel, RanNo, true},
	}

	ranNames = [...]string{RanUnknown: "unknown", RanNo: "no", RanYes: "yes"}
)

// Properties returns the kind's row. An unknown kind has the row of Internal.
func (k Kind) Properties() Properties {
	if k >= numKinds {
		k = Internal
	}
	return properties[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Properties().Name }

// Kinds returns every kind in order.
func Kinds() []Kind {
	out := make([]Kind, numKinds)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

// ParseKind returns the kind with the given name, or Internal if there is none.
func ParseKind(name string) Kind {
	for k, props := range properties {
		if props.Name == name {
			return Kind(k)
		}
	}
	return Internal
}

// String returns "unknown", "no" or "yes".
func (r Ran) String() string {
	if int(r) >= len(ranNames) {
		r = RanUnknown
	}
	return ranNames[r]
}

// ParseRan returns the Ran with the given name, or RanUnknown if there is none.
func ParseRan(name string) Ran {
	for r, s := range ranNames {
		if s == name {
			return Ran(r)
		}
	}
	return RanUnknown
}

// Errorf returns an Error of the given kind; format and args are those of
// fmt.Errorf, so %w wraps a cause.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, ran: kind.Properties().DefaultRan, err: fmt.Errorf(format, args...)}
}

// Error returns the message without the kind.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Stage returns the name of the stage at which the error arose, or "".
func (e *Error) Stage() string { return e.stage }

// Ran says whether non-idempotent work ran.
func (e *Error) Ran() Ran { return e.ran }

// WithStage returns a copy of e that names a stage.
func (e *Error) WithStage(stage string) *Error {
	c := *e
	c.stage = stage
	return &c
}

// WithRan returns a copy of e that makes another statement about the work.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// From returns err as an *Error. An error without a kind becomes Internal, but
// for context errors, which become DeadlineExceeded or Cancelled. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Errorf(DeadlineExceeded, "%w", err)
	}
	if errors.Is(err, context.Canceled) {
		return Errorf(Cancelled, "%w", err)
	}
	return Errorf(Internal, "%w", err)
}
