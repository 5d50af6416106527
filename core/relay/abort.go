package relay

import (
	"context"
	"errors"

	"chervilpath/core/fault"
	"chervilpath/core/memory"
)

// AbortCause is why the connection of a caller is closed without a complete response.
type AbortCause string

// All causes.
const (
	// CallerLeft means that the caller disconnected first.
	CallerLeft AbortCause = "caller"
	// SlowCaller means that the caller was ended because it read too slowly.
	SlowCaller AbortCause = "slowCaller"
	// DeadlinePassed means that the request's time was over.
	DeadlinePassed AbortCause = "deadline"
	// ServerFailed means that the server broke off, or answered with an error after a
	// part of a response had been relayed.
	ServerFailed AbortCause = "server"
	// NoServer means that no server was free to go on.
	NoServer AbortCause = "noServer"
	// ShutDown means that a planned shutdown ended.
	ShutDown AbortCause = "shutdown"
	// OtherCause is any other one.
	OtherCause AbortCause = "other"
)

// CauseOfAbort returns why a request that ended with an error got no complete response.
// shutDown is set if a planned shutdown has reached its end by then.
func CauseOfAbort(err error, shutDown bool) AbortCause {
	kind := fault.From(err).Kind()
	switch {
	case errors.Is(err, memory.ErrTooSlow) || errors.Is(err, memory.ErrIdle):
		return SlowCaller
	case errors.Is(err, errShuttingDown) || shutDown && (kind == fault.Cancelled || errors.Is(err, context.Canceled)):
		// At its end, a shutdown closes the connections of streams that have begun.
		return ShutDown
	case kind == fault.Cancelled || errors.Is(err, context.Canceled):
		return CallerLeft
	case kind == fault.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded):
		return DeadlinePassed
	case kind == fault.EndpointUnavailable || kind == fault.Overloaded || errors.Is(err, errNoEngine):
		return NoServer
	case kind == fault.AnswerIncomplete || kind == fault.EndpointFailed:
		return ServerFailed
	}
	return OtherCause
}
