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

// eventStream writes server-sent events to a caller.
type eventStream struct {
	call    *call
	cancel  context.CancelFunc
	started bool
	failed  bool
}

// serveIdempotent runs a request that may run more than once. Its stages are
// cancelled when the caller disconnects.
func (c *call) serveIdempotent() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := pipeline.Request{ID: c.id, Organisation: c.org, Kind: c.kind, Deadline: c.deadline, Input: c.body.Payload()}
	var stream *eventStream
	if c.body.Stream {
		stream = &eventStream{call: c, cancel: cancel}
		req.Emit = stream.writeToken
	}
	answer, err := c.server.deps.Run(ctx, req)
	c.finish(fault.From(err))
	switch {
	case err != nil && stream != nil && stream.started:
		stream.writeEvent("error", 0, c.newErrorBody(fault.From(err)))
	case err != nil:
		c.writeError(fault.From(err))
	case stream != nil:
		stream.writeEvent("done", 0, answerBody{RequestID: c.id, Ran: fault.RanYes.String(), Answer: answer})
	default:
		c.writeJSON(http.StatusOK, answerBody{RequestID: c.id, Ran: fault.RanYes.String(), Answer: answer})
	}
}

// serveNonIdempotent runs a request that runs at most once. It continues when the
// caller disconnects, and its outcome is kept for the caller's next attempt.
func (c *call) serveNonIdempotent() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	outcome, err := c.server.deps.Coordinator.Serve(ctx, once.Attempt{
		Organisation: c.org.Name(),
		Kind:         c.kind.Name(),
		Key:          c.r.Header.Get(headerIdempotencyKey),
		Body:         c.rawBody,
		Deadline:     c.deadline,
	})
	if err != nil {
		c.finish(fault.From(err))
		c.writeError(fault.From(err))
		return
	}
	c.finish(outcomeError(outcome))
	c.writeOutcome(outcome)
}

func (c *call) writeOutcome(o once.Outcome) {
	if err := outcomeError(o); err != nil {
		// An endpoint may have refused a call after it had begun the work.
		c.writeErrorAs(err.HTTPStatus(), err)
		return
	}
	var answer pipeline.Answer
	if err := json.Unmarshal(o.Answer, &answer); err != nil {
		c.writeError(fault.Errorf(fault.Internal, "decoding the stored answer: %w", err).WithRan(fault.RanYes))
		return
	}
	c.writeJSON(http.StatusOK, answerBody{RequestID: c.id, Ran: o.Ran, Answer: answer})
}

// outcomeError returns the error that a stored outcome represents, or nil if it
// is an answer.
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
		c.writeError(fault.From(err))
		return
	}
	text, expires, err := s.deps.Coordinator.Issue(c.org.Name())
	if err != nil {
		c.writeError(fault.From(err))
		return
	}
	c.writeJSON(http.StatusCreated, ticketBody{Ticket: text, Expires: expires})
}

func (s *Server) serveOutcome(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	if err := c.authenticate(); err != nil {
		c.writeError(fault.From(err))
		return
	}
	o, err := s.deps.Coordinator.Query(r.Context(), c.org.Name(), r.PathValue("key"))
	if err != nil {
		c.writeError(fault.From(err))
		return
	}
	c.writeOutcome(o)
}

func (c *call) writeJSON(status int, body any) {
	c.setWriteDeadline()
	c.w.Header().Set("Content-Type", contentJSON)
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(body)
}

// setWriteDeadline makes the next writes fail if the caller has not read them
// within writeTimeout.
func (c *call) setWriteDeadline() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (c *call) writeError(err *fault.Error) {
	c.writeErrorAs(err.Kind().Properties().HTTPStatus, err)
}

func (c *call) writeErrorAs(status int, err *fault.Error) {
	if err.Kind().Properties().Retryable && fault.PromisesNotRun(status) {
		c.w.Header().Set("Retry-After", "1")
	}
	c.writeJSON(status, c.newErrorBody(err))
}

func (c *call) newErrorBody(err *fault.Error) errorBody {
	props := err.Kind().Properties()
	// A non-idempotent request that may have run is never reported as retryable,
	// since the caller could retry it with a new key.
	retry := props.Retryable && (err.Ran() == fault.RanNo || c.kind == nil || c.kind.Idempotent())
	return errorBody{RequestID: c.id, Error: errorDetail{
		Kind: props.Name, Stage: err.Stage(), Message: err.Error(), Ran: err.Ran().String(), Retry: retry,
	}}
}

// finish logs the end of a request and passes it to Observe.
func (c *call) finish(err *fault.Error) {
	completion := Completion{RequestID: c.id, Took: c.server.deps.Now().Sub(c.arrived), Deadline: c.timeLimit, Err: err}
	if c.org != nil {
		completion.Organisation = c.org.Name()
	}
	if c.kind != nil {
		completion.Kind = c.kind.Name()
	}
	c.server.deps.Observe(completion)
	fields := []zap.Field{
		zap.String("requestId", completion.RequestID),
		zap.String("callerRequestId", c.r.Header.Get(headerRequestID)),
		zap.String("organisation", completion.Organisation),
		zap.String("kind", completion.Kind),
		zap.Duration("took", completion.Took),
	}
	if err == nil {
		c.server.deps.Log.Info("request answered", fields...)
		return
	}
	fields = append(fields, zap.Stringer("error", err.Kind()), zap.String("stage", err.Stage()), zap.Stringer("ran", err.Ran()), zap.String("reason", err.Error()))
	c.server.deps.Log.Log(err.Kind().Properties().LogLevel, "request not answered", fields...)
}

// writeToken writes one token. It blocks while the caller does not read, so that
// a stream holds no more than one token in memory, and cancels the request after
// writeTimeout.
func (s *eventStream) writeToken(t pipeline.Token) {
	s.writeEvent("token", t.Sequence, t)
}

func (s *eventStream) writeEvent(event string, id int, body any) {
	if s.failed {
		return
	}
	w := s.call.w
	if !s.started {
		s.started = true
		w.Header().Set("Content-Type", contentEventStream)
		w.Header().Set("Cache-Control", "no-store")
	}
	s.call.setWriteDeadline()
	data, err := json.Marshal(body)
	if err == nil {
		err = s.send(event, id, data)
	}
	if err != nil {
		s.failed = true
		s.cancel()
	}
}

func (s *eventStream) send(event string, id int, data []byte) error {
	if id > 0 {
		if _, err := fmt.Fprintf(s.call.w, "id: %d\n", id); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(s.call.w, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return err
	}
	return http.NewResponseController(s.call.w).Flush()
}
