// Package front serves the callers of routes over HTTP/1.1.
//
// It owns the reading of requests and the writing of responses, and ensures that
// an incomplete response never looks complete. It must not decide where a request
// goes: core/relay does.
package front

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/memory"
	"chervilpath/core/relay"
)

const (
	// maxBodyWait is how long a large body waits for room among the others. Callers that see
	// their request unread for a second give up.
	maxBodyWait = 500 * time.Millisecond

	// bodyRetryAfter is the time after which the caller of a request whose body found no room
	// is advised to return.
	bodyRetryAfter = time.Second
)

type (
	// Deps holds the dependencies of a Server.
	Deps struct {
		Now func() time.Time
		// RequestID returns the ID that a request names, or "".
		RequestID func(r *http.Request) string
		// ParseRequest decodes a request whose body has been read.
		ParseRequest func(r *http.Request, body []byte, arrived time.Time) (*relay.Request, error)
		// Serve serves a request. started reports whether the response had
		// started when an error occurred.
		Serve func(ctx context.Context, req *relay.Request, w relay.ResponseWriter) (started bool, err error)
		// MaxBodyBytes returns the maximum size of a request's body.
		MaxBodyBytes func() int64
		// Bodies is the memory that large bodies share, from their arrival until their
		// requests have ended.
		Bodies *memory.Pool
		// SetRetryAfter sets the header that says when the caller may retry.
		SetRetryAfter func(h http.Header, after time.Duration)
		// RequestFailed is called for each request that is answered with an
		// error. The ID is "" if the request names none or could not be parsed.
		RequestFailed func(id string, err *fault.Error, status int)
		// RequestAborted is called for each request whose connection is closed without
		// a complete response.
		RequestAborted func(id string, err error)
		// RequestDone is called when a parsed request has ended. The kind is
		// "answered" or that of the error.
		RequestDone func(kind string, took time.Duration)
	}

	// Server serves the callers of routes. Use New to create one.
	Server struct {
		deps     Deps
		closing  atomic.Bool
		inFlight atomic.Int64
	}
)

// New returns a server for the callers of routes.
func New(deps Deps) *Server { return &Server{deps: deps} }

// DisableKeepAlives makes every response close its connection, so that callers
// connect to other instances.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler. It handles every path itself, since an
// http.ServeMux would redirect some of them.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	arrived := s.deps.Now()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	body, reserved, err := s.readBody(w, r)
	defer reserved.Release()
	if err != nil {
		s.writeError(w, s.deps.RequestID(r), err)
		return
	}
	req, err := s.deps.ParseRequest(r, body, arrived)
	if err != nil {
		s.writeError(w, "", fault.Errorf(fault.BadRequest, "%w", err))
		return
	}
	id, caller := req.ID, writerOf(r)
	var answer *answer
	started, err := s.deps.Serve(r.Context(), req, s.responseWriter(w, caller, &answer))
	// Nothing of the request is kept while a slow caller takes its answer.
	req, body = nil, nil
	reserved.Release()
	if answer != nil && err == nil {
		s.writeHeader(w, answer.status, answer.header)
		_, _ = w.Write(answer.body)
	}
	if slow := caller.finish(); slow != nil {
		started, err = true, fault.Errorf(fault.Cancelled, "%w", slow)
	}
	s.deps.RequestDone(resultLabel(err), s.deps.Now().Sub(arrived))
	if err == nil {
		return
	}
	if started {
		// Aborting the connection keeps the caller from taking the response
		// for complete.
		s.deps.RequestAborted(id, err)
		panic(http.ErrAbortHandler)
	}
	// A caller that seems to have disconnected may have ended its sending direction
	// alone, and still reads.
	s.writeError(w, id, err)
}

func resultLabel(err error) string {
	if err == nil {
		return "answered"
	}
	return fault.From(err).Kind().String()
}

// readBody reads the body of a request and returns it with the room that it takes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, memory.Reservation, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, memory.Reservation{}, nil
	}
	limit := s.deps.MaxBodyBytes()
	body, reserved, err := s.deps.Bodies.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, maxBodyWait)
	_, isTooLarge := errors.AsType[*http.MaxBytesError](err)
	switch {
	case isTooLarge || errors.Is(err, memory.ErrTooLarge):
		err = fault.Errorf(fault.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, memory.ErrNoRoom):
		err = &relay.Refusal{Fault: fault.Errorf(fault.Overloaded, "reading the body: %w", err), RetryAfter: bodyRetryAfter}
	case err != nil:
		err = fault.Errorf(fault.BadRequest, "reading the body: %w", err)
	}
	return body, reserved, err
}

// answer is a complete answer.
type answer struct {
	status int
	header map[string][]string
	body   []byte
}

// responseWriter returns a writer that keeps a complete answer in out, and writes a stream to the
// caller, whose connection may be nil.
func (s *Server) responseWriter(w http.ResponseWriter, caller *callerWriter, out **answer) relay.ResponseWriter {
	rc := http.NewResponseController(w)
	return relay.ResponseWriter{
		Respond: func(status int, header map[string][]string, body []byte) {
			// A large answer has room as one of a server's until this returns.
			caller.reserve(len(body))
			*out = &answer{status, header, body}
		},
		WriteHeader: func(status int, header map[string][]string) {
			caller.stream(true)
			s.writeHeader(w, status, header)
			_ = rc.Flush()
		},
		Write: func(p []byte) error {
			if _, err := w.Write(p); err != nil {
				return err
			}
			return rc.Flush()
		},
	}
}

func (s *Server) writeHeader(w http.ResponseWriter, status int, header map[string][]string) {
	h := w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if s.closing.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// writeError responds with the status of an error's kind, corrected by whether the
// error proves that nothing ran: without that proof, a status that promises that
// nothing ran is replaced by 502. With it, every 5xx status is replaced by 503,
// which makes that promise.
func (s *Server) writeError(w http.ResponseWriter, id string, err error) {
	e := fault.From(err)
	status := e.HTTPStatus()
	if e.Kind() == fault.Cancelled {
		// The status of the kind is for logs: it would say that the request is invalid.
		status = http.StatusBadGateway
	}
	if status >= http.StatusInternalServerError && e.Ran() == fault.RanNo {
		status = http.StatusServiceUnavailable
	}
	var refusal *relay.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		s.deps.SetRetryAfter(w.Header(), refusal.RetryAfter)
	}
	s.deps.RequestFailed(id, e, status)
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, e.Kind().String(), status)
}
