// Package endpoint speaks to the endpoints behind the stages: model engines by
// the OpenAI-compatible interface, stage pools and plain services by JSON.
//
// It owns their wires and the proof that an answer belongs to its attempt and
// is whole. It must not repeat a call: core/pipeline decides that.
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
	"strings"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
)

const (
	maxAnswerBytes    = 16 << 20
	maxShortBodyBytes = 4096

	contentJSON             = "application/json"
	headerRequestID         = "X-Request-Id"
	headerPipelineRequestID = "X-Pipeline-Request-Id"
	headerStage             = "X-Stage"
	headerOrganisation      = "X-Organisation"
	headerLoadReport        = "Endpoint-Load-Metrics"
)

type (
	// Client calls endpoints of every kind. Use New. It is safe for concurrent use.
	Client struct {
		http *http.Client
		// reportLoad is called with a load that came with an answer.
		reportLoad func(endpoint string, load float64)
	}

	// orcaReport is the part that is used of a load report in the header
	// endpoint-load-metrics, after the Open Request Cost Aggregation standard.
	orcaReport struct {
		NamedMetrics struct {
			InFlight *float64 `json:"in_flight"`
		} `json:"named_metrics"`
	}

	// Load is an endpoint's report of its load and the time at which it was true.
	Load struct {
		Load float64   `json:"load"`
		At   time.Time `json:"at"`
		// Loaded lists the models and adapters that an engine has loaded; nil if
		// it does not say.
		Loaded []string `json:"loaded"`
	}
)

// NewTransport returns the transport for connections to endpoints: each is kept
// and used again, and none waits long for an endpoint that does not accept.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

// New returns a client that uses the given HTTP client and gives the loads that
// come with answers to reported.
func New(client *http.Client, reportLoad func(endpoint string, load float64)) *Client {
	return &Client{http: client, reportLoad: reportLoad}
}

// Call makes one attempt. It implements the field Call of pipeline.Deps.
func (c *Client) Call(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	if a.Endpoint.Kind() == "engine" {
		return c.callEngine(ctx, a, emit)
	}
	return c.callStage(ctx, a)
}

// Load asks an endpoint for its load.
func (c *Client) Load(ctx context.Context, e *declare.Endpoint) (Load, error) {
	var out Load
	err := c.get(ctx, e, "/load", &out)
	return out, err
}

// get reads the JSON that an endpoint gives at a path.
func (c *Client) get(ctx context.Context, e *declare.Endpoint, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address()+path, nil)
	if err != nil {
		return fmt.Errorf("asking endpoint %q for %s: %w", e.Name(), path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("asking endpoint %q for %s: %w", e.Name(), path, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("asking endpoint %q for %s: status %d", e.Name(), path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxShortBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("reading %s of endpoint %q: %w", path, e.Name(), err)
	}
	return nil
}

// post sends an attempt's body. No header that marks a request as repeatable
// is set: net/http would send it a second time on a broken connection.
func (c *Client) post(ctx context.Context, a pipeline.Attempt, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &pipeline.CallError{Err: fault.Errorf(fault.Internal, "encoding a call: %w", err), NotRun: true}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Endpoint.Address()+path, bytes.NewReader(data))
	if err != nil {
		return nil, &pipeline.CallError{Err: fault.Errorf(fault.Internal, "making a call: %w", err), NotRun: true}
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
		return nil, statusError(a, resp)
	}
	return resp, nil
}

// handleLoadReport takes the load report of an answer, if it has one.
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

// transportError says of a call without an answer whether it can have run: it
// cannot if no connection was made.
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

// statusError reads an answer that is no success. That nothing ran is believed
// of a body that says so, and of engines and pools that say they are full;
// a plain service may answer so after it has begun.
func statusError(a pipeline.Attempt, resp *http.Response) error {
	var answer stageAnswer
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxShortBodyBytes)).Decode(&answer)
	full := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	notRun := answer.Attempt == a.ID && answer.Ran == "no"
	if full && a.Endpoint.Kind() != "service" {
		notRun = true
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

// incompleteError is the error of an answer that is not whole or not the attempt's own.
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
