// Package endpoint calls the endpoints of stages: model engines over the
// OpenAI-compatible API, stage pools and plain services over JSON.
//
// It owns the protocols and the checks that an answer belongs to its attempt and
// is complete. It must not retry a call: core/pipeline decides that.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
	"chervilpath/io/http1"
)

const (
	maxAnswerBytes = 16 << 20

	// maxHeaderBytes is the largest head of an answer, interim answers included.
	maxHeaderBytes = 64 << 10

	// maxShortBodyBytes limits the bodies of errors, load reports and states,
	// and how much of an unread body is discarded to reuse its connection.
	maxShortBodyBytes = 4096

	contentJSON             = "application/json"
	headerRequestID         = "X-Request-Id"
	headerPipelineRequestID = "X-Pipeline-Request-Id"
	headerStage             = "X-Stage"
	headerOrganisation      = "X-Organisation"
	headerLoadReport        = "Endpoint-Load-Metrics"
)

type (
	// Client calls endpoints of all kinds. Use New to create one. It is safe for
	// concurrent use.
	Client struct {
		// http keeps its connections. singleUse uses each for one request: it is for requests
		// whose answers do not name them, so that a late copy of an earlier answer would be
		// taken for theirs.
		http, singleUse *http.Client
		// reportLoad is called with each load that was reported with an answer.
		reportLoad func(endpoint string, load float64)
	}

	// orcaReport is the part that is used of the load reports in the header
	// Endpoint-Load-Metrics, which follow the standard Open Request Cost
	// Aggregation (ORCA).
	orcaReport struct {
		NamedMetrics struct {
			InFlight *float64 `json:"in_flight"`
		} `json:"named_metrics"`
	}

	// Load is the load of an endpoint at a time, as the endpoint reports it.
	Load struct {
		Load float64   `json:"load"`
		At   time.Time `json:"at"`
		// Loaded lists the models and adapters that an engine has loaded. It is
		// nil if the engine does not report them.
		Loaded []string `json:"loaded"`
	}
)

// NewTransport returns a transport for connections to endpoints. It keeps them for
// reuse and does not wait long for an endpoint that accepts no connection.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// New returns a client with the settings of transport, which must not be used otherwise. It
// passes the loads that are reported with answers to reportLoad.
func New(transport *http.Transport, reportLoad func(endpoint string, load float64)) *Client {
	singleUse := http1.NewSingleUseTransport(transport.Clone())
	return &Client{http: &http.Client{Transport: http1.NewTransport(transport)}, singleUse: &http.Client{Transport: singleUse}, reportLoad: reportLoad}
}

// Call makes one attempt. It serves as the field Call of pipeline.Deps.
func (c *Client) Call(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	if a.Endpoint.Kind() == "engine" {
		return c.callEngine(ctx, a, emit)
	}
	return c.callStage(ctx, a)
}

// Load requests the load of an endpoint. The answer may be a late copy of an earlier one, whose
// time is not newer.
func (c *Client) Load(ctx context.Context, e *declare.Endpoint) (Load, error) {
	var out Load
	err := c.get(ctx, c.http, e, "/load", &out)
	return out, err
}

// get decodes the JSON that an endpoint serves at a path.
func (c *Client) get(ctx context.Context, client *http.Client, e *declare.Endpoint, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address()+path, nil)
	if err != nil {
		return fmt.Errorf("asking endpoint %q for %s: %w", e.Name(), path, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("asking endpoint %q for %s: %w", e.Name(), path, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("asking endpoint %q for %s: status %d", e.Name(), path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxShortBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("decoding %s of endpoint %q: %w", path, e.Name(), err)
	}
	return nil
}

// post sends the body of an attempt. It sets no header that marks the request as
// idempotent, since net/http would retry it if a reused connection breaks.
func (c *Client) post(ctx context.Context, a pipeline.Attempt, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &pipeline.CallError{Err: fault.Errorf(fault.Internal, "encoding a call: %w", err), NotRun: true}
	}
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Endpoint.Address()+path, bytes.NewReader(data))
	if err != nil {
		return nil, &pipeline.CallError{Err: fault.Errorf(fault.Internal, "creating a call: %w", err), NotRun: true}
	}
	req.Header.Set("Content-Type", contentJSON)
	req.Header.Set(headerRequestID, a.ID)
	req.Header.Set(headerPipelineRequestID, a.RequestID)
	req.Header.Set(headerStage, a.Stage.Name())
	req.Header.Set(headerOrganisation, a.Organisation)
	if a.ResumeAfter > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprint(a.ResumeAfter))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(a, err)
	}
	c.handleLoadReport(a, resp)
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp)
		return nil, statusError(a, resp, reused)
	}
	return resp, nil
}

// handleLoadReport passes on the load that is reported with an answer, if any.
func (c *Client) handleLoadReport(a pipeline.Attempt, resp *http.Response) {
	text, ok := strings.CutPrefix(resp.Header.Get(headerLoadReport), "JSON ")
	if !ok {
		return
	}
	var r orcaReport
	if err := json.Unmarshal([]byte(text), &r); err == nil && r.NamedMetrics.InFlight != nil {
		c.reportLoad(a.Endpoint.Name(), *r.NamedMetrics.InFlight)
	}
}

// transportError returns the error of a call that got no answer. The call provably
// did not run if no connection could be opened.
func transportError(a pipeline.Attempt, err error) error {
	opErr, ok := errors.AsType[*net.OpError](err)
	dialFailed := ok && opErr.Op == "dial"
	kind := fault.EndpointFailed
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		kind = fault.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		kind = fault.Cancelled
	case dialFailed:
		kind = fault.EndpointUnavailable
	}
	return &pipeline.CallError{Err: fault.Errorf(kind, "calling endpoint %q: %w", a.Endpoint.Name(), err), NotRun: dialFailed, NotSent: dialFailed}
}

// statusError returns the error of a call that was answered with a status other
// than 200. The call counts as not run if the body says so, or if an engine or a
// pool answers that it is full. A plain service may answer so after it has started
// the work. An answer that names another attempt proves nothing, nor does one that
// names none on a connection in use again, unless the call may be repeated anyway: it
// may be a late copy of an earlier one.
func statusError(a pipeline.Attempt, resp *http.Response, reused bool) error {
	var answer stageAnswer
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxShortBodyBytes)).Decode(&answer)
	full := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	notRun := answer.Attempt == a.ID && answer.Ran == "no"
	if full && a.Endpoint.Kind() != "service" && answer.Attempt == "" {
		notRun = !reused || a.Stage.Idempotent()
	}
	kind := fault.EndpointFailed
	if full {
		kind = fault.EndpointUnavailable
	}
	return &pipeline.CallError{
		Err:    fault.Errorf(kind, "endpoint %q answered with status %d: %s", a.Endpoint.Name(), resp.StatusCode, answer.Error),
		NotRun: notRun,
		Full:   full,
	}
}

// incompleteError returns the error of a call whose answer is incomplete or belongs
// to another attempt.
func incompleteError(a pipeline.Attempt, units float64, format string, args ...any) error {
	return &pipeline.CallError{
		Err:   fault.Errorf(fault.AnswerIncomplete, "answer of endpoint %q: %w", a.Endpoint.Name(), fmt.Errorf(format, args...)),
		Units: units,
	}
}

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxShortBodyBytes))
	_ = resp.Body.Close()
}
