package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/fault"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
)

// events writes a stream of server-sent events.
type events struct {
	call   *call
	cancel context.CancelFunc
	begun  bool
	failed bool
}

// serveIdempotent runs a request that may run more than once. Its stages are
// cancelled when the caller goes away.
func (c *call) serveIdempotent() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := pipeline.Request{ID: c.id, Organisation: c.org, Kind: c.kind, Deadline: c.deadline, Input: c.body.Payload()}
	var stream *events
	if c.body.Stream {
		stream = &events{call: c, cancel: cancel}
		req.Emit = stream.token
	}
	answer, err := c.server.deps.Run(ctx, req)
	c.end(fault.From(err))
	switch {
	case err != nil && stream != nil && stream.begun:
		stream.write("error", 0, c.errorBody(fault.From(err)))
	case err != nil:
		c.fail(fault.From(err))
	case stream != nil:
		stream.write("done", 0, answerBody{RequestID: c.id, Ran: fault.RanYes.String(), Answer: answer})
	default:
		c.write(http.StatusOK, answerBody{RequestID: c.id, Ran: fault.RanYes.String(), Answer: answer})
	}
}

// serveOnce runs a request that runs at most once. It goes on when the caller
// goes away, and its outcome is kept for the caller's next attempt.
func (c *call) serveOnce() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	outcome, err := c.server.deps.Keeper.Serve(ctx, once.Attempt{
		Organisation: c.org.Name(),
		Kind:         c.kind.Name(),
		Key:          c.r.Header.Get(headerKey),
		Body:         c.raw,
		Deadline:     c.deadline,
	})
	if err != nil {
		c.end(fault.From(err))
		c.fail(fault.From(err))
		return
	}
	c.end(outcomeError(outcome))
	c.writeOutcome(outcome)
}

func (c *call) writeOutcome(o once.Outcome) {
	if err := outcomeError(o); err != nil {
		c.fail(err)
		return
	}
	var answer pipeline.Answer
	if err := json.Unmarshal(o.Answer, &answer); err != nil {
		c.fail(fault.Errorf(fault.Internal, "reading the stored answer: %w", err).WithRan(fault.RanYes))
		return
	}
	c.write(http.StatusOK, answerBody{RequestID: c.id, Ran: o.Ran, Answer: answer})
}

// outcomeError returns the error that a stored outcome stands for, or nil.
func outcomeError(o once.Outcome) *fault.Error {
	if o.State == once.Done && o.Error == "" {
		return nil
	}
	kind := fault.OutcomeUnknown
	if o.Error != "" {
		kind = fault.ParseKind(o.Error)
	}
	return fault.Errorf(kind, "%s", o.Message).WithStage(o.Stage).WithRan(fault.ParseRan(o.Ran))
}

func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	if err := c.authenticate(); err != nil {
		c.fail(fault.From(err))
		return
	}
	text, expires, err := s.deps.Keeper.Issue(c.org.Name())
	if err != nil {
		c.fail(fault.From(err))
		return
	}
	c.write(http.StatusCreated, ticketBody{Ticket: text, Expires: expires})
}

func (s *Server) serveOutcome(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	if err := c.authenticate(); err != nil {
		c.fail(fault.From(err))
		return
	}
	o, err := s.deps.Keeper.Query(r.Context(), c.org.Name(), r.PathValue("key"))
	if err != nil {
		c.fail(fault.From(err))
		return
	}
	c.writeOutcome(o)
}

func (c *call) write(status int, body any) {
	c.limitWrite()
	c.w.Header().Set("Content-Type", contentJSON)
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(body)
}

// limitWrite ends the connection of a caller that does not read.
func (c *call) limitWrite() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeGrace))
}

func (c *call) fail(err *fault.Error) {
	if err.Kind().Properties().Retryable {
		c.w.Header().Set("Retry-After", "1")
	}
	c.write(err.Kind().Properties().HTTPStatus, c.errorBody(err))
}

func (c *call) errorBody(err *fault.Error) errorBody {
	a := err.Kind().Properties()
	// A request that may have run is never offered for a repeat with a new key.
	retry := a.Retryable && (err.Ran() == fault.RanNo || c.kind == nil || c.kind.Idempotent())
	return errorBody{RequestID: c.id, Error: errorDetail{
		Kind: a.Name, Stage: err.Stage(), Message: err.Error(), Ran: err.Ran().String(), Retry: retry,
	}}
}

// end logs and counts the end of a request.
func (c *call) end(err *fault.Error) {
	e := End{RequestID: c.id, Took: c.server.deps.Now().Sub(c.began), Deadline: c.limit, Err: err}
	if c.org != nil {
		e.Organisation = c.org.Name()
	}
	if c.kind != nil {
		e.Kind = c.kind.Name()
	}
	c.server.deps.Observe(e)
	fields := []zap.Field{
		zap.String("requestId", e.RequestID),
		zap.String("callerRequestId", c.r.Header.Get(headerRequestID)),
		zap.String("organisation", e.Organisation),
		zap.String("kind", e.Kind),
		zap.Duration("took", e.Took),
	}
	if err == nil {
		c.server.deps.Log.Info("request answered", fields...)
		return
	}
	fields = append(fields, zap.Stringer("error", err.Kind()), zap.String("stage", err.Stage()), zap.Stringer("ran", err.Ran()), zap.String("reason", err.Error()))
	c.server.deps.Log.Log(err.Kind().Properties().LogLevel, "request not answered", fields...)
}

// token writes one token. It blocks while the caller does not read, so that a
// stream holds no more than one token in memory, and gives the request up
// after writeGrace.
func (e *events) token(t pipeline.Token) {
	e.write("token", t.Sequence, t)
}

func (e *events) write(event string, id int, body any) {
	if e.failed {
		return
	}
	w := e.call.w
	if !e.begun {
		e.begun = true
		w.Header().Set("Content-Type", contentStream)
		w.Header().Set("Cache-Control", "no-store")
	}
	e.call.limitWrite()
	data, err := json.Marshal(body)
	if err == nil {
		err = e.send(event, id, data)
	}
	if err != nil {
		e.failed = true
		e.cancel()
	}
}

func (e *events) send(event string, id int, data []byte) error {
	if id > 0 {
		if _, err := fmt.Fprintf(e.call.w, "id: %d\n", id); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(e.call.w, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return err
	}
	return http.NewResponseController(e.call.w).Flush()
}
