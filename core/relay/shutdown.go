package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilpath/core/fault"
)

var errShuttingDown = errors.New("the instance shuts down before the request is answered")

// shutdownGuard ends one request when a planned shutdown reaches the time for that,
// unless the response has begun by then.
type shutdownGuard struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	begun bool
	ended bool
}

// end cancels the request unless its response has begun.
func (g *shutdownGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun || g.ended {
		return
	}
	g.ended = true
	g.cancel(errShuttingDown)
}

// begin reports whether a response may begin or go on. From then on the request is not
// ended.
func (g *shutdownGuard) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = g.begun || !g.ended
	return g.begun
}

func (g *shutdownGuard) hasBegun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

// guardStream returns a writer that does not begin a stream once the request has been
// ended.
func (e *execution) guardStream(w ResponseWriter) ResponseWriter {
	return ResponseWriter{
		Respond: w.Respond,
		WriteHeader: func(status int, header map[string][]string) {
			if !e.guard.begin() {
				// A server has sent a head, so it may have run the request.
				e.sends++
				return
			}
			w.WriteHeader(status, header)
		},
		Write: func(p []byte) error {
			if !e.guard.begin() {
				return errShuttingDown
			}
			return w.Write(p)
		},
	}
}

// mustNotSend reports whether nothing may be sent to a server any more, since a planned
// shutdown is about to end. It ends the request then: what other requests leave must not
// be given to this one before its own end has been noticed.
func (e *execution) mustNotSend() bool {
	if e.relay.deps.ShutdownCtx.Err() == nil {
		return false
	}
	e.guard.end()
	return true
}

// shutdownError returns the error for a request that a planned shutdown ends before its
// response has begun: a refusal, or an error that promises nothing if it may have run.
func (e *execution) shutdownError() error {
	if e.sends > 0 {
		return fault.Errorf(fault.EndpointFailed, "%w", errShuttingDown).WithRan(fault.RanUnknown)
	}
	return e.relay.refuse(fault.Errorf(fault.Draining, "%w", errShuttingDown), 0)
}

// checkShutdown refuses a request that a planned shutdown in progress might end.
func (e *execution) checkShutdown() error {
	shutdown := e.relay.deps.Shutdown()
	now := e.now()
	if shutdown.End.IsZero() || now.Before(shutdown.RestrictFrom) || e.deadline.Before(shutdown.End) {
		return nil
	}
	return e.relay.refuse(fault.Errorf(fault.Draining, "the instance shuts down in %v and the request may take %v", shutdown.End.Sub(now).Round(time.Millisecond), e.deadline.Sub(now).Round(time.Millisecond)), 0)
}
