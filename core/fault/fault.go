// Package fault defines the closed list of error kinds, and how each kind is
// reported to callers, peers and the log.
//
// No other package may choose the status code or the log level of an error, or
// what it states by default about whether work has run. A new kind is added here,
// together with its properties.
package fault

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap/zapcore"
)

// Kind is one kind of error. The zero Kind is Internal.
type Kind uint8

// All kinds of errors.
const (
	// Internal is also the kind of errors that have no other; see From.
	Internal Kind = iota
	BadRequest
	Unauthenticated
	NotFound
	TooLarge
	// KeyRequired is a non-idempotent request without an idempotency key.
	KeyRequired
	// KeyReused is a request whose key was used with another body.
	KeyReused
	// Overloaded is a request refused because too much other work waits or a
	// limit is reached.
	Overloaded
	// DeadlineTooShort is a request refused because too little time remains to
	// answer it by its deadline.
	DeadlineTooShort
	DeadlineExceeded
	Cancelled
	EndpointFailed
	EndpointUnavailable
	// AnswerIncomplete is an answer or stream of an endpoint that broke off or
	// did not belong to the request.
	AnswerIncomplete
	// OutcomeUnknown is a non-idempotent request for which it cannot be
	// established whether it ran.
	OutcomeUnknown
	// Draining is a request refused by an instance that is leaving, or that has
	// no configuration yet.
	Draining
	StoreUnavailable
	// Conflict is a publication of a file that another one has changed since the
	// revision on which it builds.
	Conflict
	// InputGone is work whose input, a result of an earlier stage, no longer
	// exists.
	InputGone
	// Quarantined is a request with a part in its prompt that has crashed endpoints.
	Quarantined
	numKinds
)

// Ran says whether non-idempotent work of a request has run.
type Ran uint8

// The values of Ran. RanUnknown is the zero value, so that a field that was not
// set never claims more than is known.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

type (
	// Properties says how errors of one Kind are reported.
	Properties struct {
		// Name is the kind's name in answers, logs and metrics.
		Name string
		// HTTPStatus is the status code of answers to callers and operators.
		HTTPStatus int
		// TwirpCode is the error code of answers to peer instances.
		TwirpCode twirp.ErrorCode
		// LogLevel is the level at which the error is logged.
		LogLevel zapcore.Level
		// DefaultRan is the Ran of an error unless WithRan sets another.
		DefaultRan Ran
		// Retryable says whether the caller may send the same request again.
		Retryable bool
	}

	// Error is an error with its kind, the stage at which it arose and whether
	// work has run. Use Errorf to make one.
	Error struct {
		kind       Kind
		stage      string
		ran        Ran
		retryAfter time.Duration
		err        error
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
		Quarantined:         {"quarantined", 503, twirp.FailedPrecondition, zapcore.InfoLevel, RanNo, false},
	}

	ranNames = [...]string{RanUnknown: "unknown", RanNo: "no", RanYes: "yes"}
)

// Properties returns how errors of the kind are reported. An unknown kind has
// the properties of Internal.
func (k Kind) Properties() Properties {
	if k >= numKinds {
		k = Internal
	}
	return properties[k]
}

// String returns the kind's name, as in Properties.
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

// Errorf returns an Error of the given kind with the kind's DefaultRan. The
// format and args are those of fmt.Errorf, so %w wraps a cause.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, ran: kind.Properties().DefaultRan, err: fmt.Errorf(format, args...)}
}

// PromisesNotRun reports whether an HTTP status promises a caller that its request has not
// run and never will, so that the caller may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// HTTPStatus returns the status code of an answer to the caller of a request that must not run
// twice: that of the kind or, if it promises that the request has not run and this is not
// known, 502.
func (e *Error) HTTPStatus() int {
	status := e.kind.Properties().HTTPStatus
	if PromisesNotRun(status) && e.ran != RanNo {
		return http.StatusBadGateway
	}
	return status
}

// Error returns the message without the kind.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Stage returns the name of the stage at which the error arose, or "".
func (e *Error) Stage() string { return e.stage }

// Ran says whether non-idempotent work of the request has run.
func (e *Error) Ran() Ran { return e.ran }

// WithStage returns a copy of e that names the stage at which it arose.
func (e *Error) WithStage(stage string) *Error {
	c := *e
	c.stage = stage
	return &c
}

// RetryAfter is the time after which the request could be served, or 0 if it is not
// known.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithRan returns a copy of e with the given Ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// From returns the *Error that err is or wraps. An error without a kind becomes
// Internal, except for context errors, which become DeadlineExceeded or
// Cancelled. From(nil) is nil.
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
