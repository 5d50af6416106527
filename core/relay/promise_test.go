package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// ownAnswer returns the answer of a server that has run a request and does not say otherwise.
func ownAnswer(status int) *Response {
	return &Response{
		Status: status, NamesRequest: true, Header: map[string][]string{"Server-Stamp": {"s"}, "Retry-After": {"1"}},
		Body: io.NopCloser(strings.NewReader("it ran and failed")),
	}
}

// promiseResult is what the caller of one request got.
type promiseResult struct {
	status int
	header map[string][]string
	err    error
}

// Guards against callers that send a request again that must not run twice: a server's own
// answer after a run was relayed with a status that promises that the request has not run.
func TestServersOwnAnswerMakesNoPromise(t *testing.T) {
	for _, service := range []string{"plain", "engine"} {
		for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming} {
			for _, status := range []int{302, 400, 408, 409, 421, 429, 500, 503, 504} {
				if service == "plain" && kind == route.Streaming {
					continue
				}
				run(t, fmt.Sprintf("%s/%v/%d", service, kind, status), func(t *testing.T) {
					got := serveOwnAnswer(t, service, kind, status)
					promises := fault.PromisesNotRun(status) && kind != route.Idempotent
					switch {
					case !promises && (got.err != nil || got.status != status || got.header["Server-Stamp"] == nil):
						t.Errorf("the caller got status %d and error %v, want the server's answer as it is", got.status, got.err)
					case promises && (got.status != 0 || got.err == nil):
						t.Errorf("the caller got the server's status %d, error %v", got.status, got.err)
					case promises && fault.From(got.err).HTTPStatus() != http.StatusBadGateway:
						t.Errorf("the error %v has status %d, want 502", got.err, fault.From(got.err).HTTPStatus())
					}
				})
			}
		}
	}
}

// Guards against the same for a stream that may be resumed: its caller may send it again
// whatever it is told, and gets the server's answer as it is.
func TestOwnAnswerToResumableStreamIsRelayed(t *testing.T) {
	run(t, "503", func(t *testing.T) {
		rig := newPromiseRig(t, route.Route{Kind: route.Streaming, Resumable: true})
		rig.deps.AllowRetry = func(string) bool { return false }
		if got := rig.serve(http.StatusServiceUnavailable); got.err != nil || got.status != http.StatusServiceUnavailable {
			t.Errorf("the caller got status %d and error %v, want the server's 503", got.status, got.err)
		}
	})
}

func serveOwnAnswer(t *testing.T, service string, kind route.Kind, status int) promiseResult {
	if service == "engine" {
		return newPromiseRig(t, route.Route{Kind: kind}).serve(status)
	}
	p := newPlainService(t, kind, 1)
	p.send = func(context.Context, Attempt) (*Response, error) { return ownAnswer(status), nil }
	return servePromise(t.Context(), p.relay)
}

// promiseRig holds the dependencies of a relay in front of one engine.
type promiseRig struct {
	t    *testing.T
	deps Deps
}

func newPromiseRig(t *testing.T, rt route.Route) *promiseRig {
	t.Helper()
	rt.Name, rt.Host, rt.Prefix, rt.MaxAttempts, rt.Timeout, rt.Public = "draft", "h", "/", 1, 10*time.Second, true
	rt.Targets = []route.Target{{Service: "llm", Weight: 1}}
	table, err := route.New(1, []route.Route{rt}, []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1", Slots: 8}}, 1)
	deps := newDeps(t.Context(), table, view)
	deps.Place = func(context.Context, string, engine.Query) (string, error) { return "e-1", nil }
	deps.Settle = func(string, string, string, balance.Outcome) {}
	return &promiseRig{t, deps}
}

// serve sends one request to the engine, which answers with the status after a run.
func (r *promiseRig) serve(status int) promiseResult {
	r.deps.Send = func(context.Context, Attempt) (*Response, error) { return ownAnswer(status), nil }
	return servePromise(r.t.Context(), New(r.deps))
}

func servePromise(ctx context.Context, r *Relay) (out promiseResult) {
	_, out.err = r.Serve(ctx, &Request{ID: "r", Host: "h", Path: "/x", Timeout: 5 * time.Second, Arrived: time.Now()}, ResponseWriter{
		Respond: func(status int, header map[string][]string, _ []byte) { out.status, out.header = status, header },
	})
	return out
}
