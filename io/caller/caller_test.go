package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
	"chervilpath/io/caller"
	"chervilpath/platform/stand"
)

const (
	apiKey = "secret-key-of-roofs"

	// serverReadTimeout is how long the HTTP server waits for a request to be
	// received.
	serverReadTimeout = 200 * time.Millisecond

	declarations = `[pipeline p]
stages = s
[pipeline b]
stages = o
[stage s]
[stage o]
idempotent = no
[endpoint e]
address = http://127.0.0.1:1
kind = service
stages = s, o
failureDomain = d
[kind ask]
pipeline = p
deadline = 2s
[kind book]
pipeline = b
idempotent = no
`
)

// testServer is a server for callers that runs a function in place of a pipeline.
type testServer struct {
	*httptest.Server
	logs *observer.ObservedLogs
}

type runFunc func(ctx context.Context, r pipeline.Request) (pipeline.Answer, error)

func newTestServer(t *testing.T, run runFunc) *testServer {
	t.Helper()
	text := declarations + "[organisation roofs]\nconcurrent = 2\nkeyHashes = " + declare.HashKey(apiKey) + "\n"
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(text)}})
	if set == nil {
		t.Fatal(problems)
	}
	core, logs := observer.New(zapcore.DebugLevel)
	s := &testServer{logs: logs}
	var ids atomic.Int64
	newID := func() string { return fmt.Sprint("id", ids.Add(1)) }
	coordinator := once.New(once.Config{Owner: once.Owner{Incarnation: "i1"}, Secret: []byte("x"), TicketTTL: time.Minute, MaxKeys: 10}, once.Deps{
		Now: time.Now, NewID: newID, Store: stand.New(time.Now).Objects(), Go: func(f func()) { f() },
		Run: func(ctx context.Context, a once.Attempt) once.Outcome {
			answer, err := run(ctx, pipeline.Request{ID: "r"})
			if e := fault.From(err); e != nil {
				return once.Outcome{State: once.NotRun, Error: e.Kind().String(), Message: e.Error(), Ran: e.Ran().String()}
			}
			data, _ := json.Marshal(answer)
			return once.Outcome{State: once.Done, Answer: data, Ran: "yes"}
		},
	})
	server := caller.New(caller.Config{MaxBodyBytes: 1000}, caller.Deps{
		Now: time.Now, NewID: newID, Declarations: func() *declare.Set { return set }, Run: run,
		Observe: func(caller.Completion) {}, Coordinator: coordinator, Log: zap.New(core),
	})
	s.Server = httptest.NewUnstartedServer(server.Handler())
	s.Config.ReadTimeout = serverReadTimeout
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *testServer) send(t *testing.T, path, body string, headers ...string) (int, map[string]json.RawMessage, string) {
	t.Helper()
	method := http.MethodPost
	if strings.HasPrefix(path, "/v1/outcomes") {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		b.WriteString(scanner.Text() + "\n")
	}
	var out map[string]json.RawMessage
	_ = json.Unmarshal([]byte(b.String()), &out)
	return resp.StatusCode, out, b.String()
}

func succeed(context.Context, pipeline.Request) (pipeline.Answer, error) {
	return pipeline.Answer{Text: "whole"}, nil
}

func TestInvalidRequestIsRejectedAndNotRun(t *testing.T) {
	s := newTestServer(t, func(context.Context, pipeline.Request) (pipeline.Answer, error) {
		t.Error("an invalid request was run")
		return pipeline.Answer{}, nil
	})
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		want             string
	}{
		{"no key", "/v1/kinds/ask", `{"text":"x"}`, []string{"Authorization", ""}, 401, "Authorization header is missing"},
		{"wrong key", "/v1/kinds/ask", `{"text":"x"}`, []string{"Authorization", "Bearer nope"}, 401, "belongs to no organisation"},
		{"unknown kind", "/v1/kinds/asks", `{"text":"x"}`, nil, 404, `the kind \"asks\" is not declared`},
		{"unknown path", "/v2", ``, nil, 404, "POST /v2 does not exist"},
		{"wrong type", "/v1/kinds/ask", `{"text":7}`, nil, 400, `field \"text\" of the body is a number; send a string`},
		{"unknown field", "/v1/kinds/ask", `{"txt":"x"}`, nil, 400, `unknown field \"txt\"`},
		{"empty", "/v1/kinds/ask", `{}`, nil, 400, "send at least one"},
		{"two values", "/v1/kinds/ask", `{"text":"x"}{}`, nil, 400, "send one value"},
		{"too many tokens", "/v1/kinds/ask", `{"text":"x","maxTokens":99999999}`, nil, 400, "send a number from 0 to 32768"},
		{"too large", "/v1/kinds/ask", `{"text":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, "more than 1000 bytes"},
		{"content type", "/v1/kinds/ask", `{"text":"x"}`, []string{"Content-Type", "text/plain"}, 400, "send application/json"},
		{"deadline", "/v1/kinds/ask", `{"text":"x"}`, []string{"X-Request-Timeout", "9s"}, 400, "from 10ms to 2s"},
		{"priority", "/v1/kinds/ask", `{"text":"x"}`, []string{"X-Priority", "high"}, 400, "no higher than the kind's"},
		{"no idempotency key", "/v1/kinds/book", `{"text":"x"}`, nil, 428, "send a ticket"},
		{"forged ticket", "/v1/kinds/book", `{"text":"x"}`, []string{"Idempotency-Key", "cpt1.e30.e30"}, 400, "is not one that this system issued"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, _, body := s.send(t, test.path, test.body, test.headers...)
			if status != test.status || !strings.Contains(body, test.want) {
				t.Errorf("status %d, body %s\nwant status %d and a body with %s", status, body, test.status, test.want)
			}
		})
	}
}

func TestRejectionBeforeKeyLookupDoesNotReportNotRun(t *testing.T) {
	s := newTestServer(t, succeed)
	_, _, body := s.send(t, "/v1/kinds/book", `{"text":`, "Idempotency-Key", "k1")
	if !strings.Contains(body, `"ran":"unknown"`) {
		t.Errorf("body %s, want ran unknown: an earlier attempt may have run", body)
	}
	_, _, body = s.send(t, "/v1/kinds/ask", `{"text":`)
	if !strings.Contains(body, `"ran":"no"`) {
		t.Errorf("body %s, want ran no", body)
	}
}

func TestStreamEndsWithEvent(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want []string
	}{
		{"whole", nil, []string{"event: token", `"sequence":2`, "event: done", `"text":"ab"`}},
		{"broken", fault.Errorf(fault.AnswerIncomplete, "broke").WithStage("s"), []string{"event: token", "event: error", `"kind":"answerIncomplete"`, `"stage":"s"`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, func(_ context.Context, r pipeline.Request) (pipeline.Answer, error) {
				r.Emit(pipeline.Token{Sequence: 1, Text: "a"})
				r.Emit(pipeline.Token{Sequence: 2, Text: "b"})
				return pipeline.Answer{Text: "ab"}, test.err
			})
			_, _, body := s.send(t, "/v1/kinds/ask", `{"text":"x"}`, "Accept", "text/event-stream")
			for _, want := range test.want {
				if !strings.Contains(body, want) {
					t.Errorf("stream %s has no %s", body, want)
				}
			}
		})
	}
}

// TestAnswerMayTakeLongerThanReadTimeout guards against the server's read timeout
// cancelling requests that were received in time and are still being served.
func TestAnswerMayTakeLongerThanReadTimeout(t *testing.T) {
	s := newTestServer(t, func(ctx context.Context, _ pipeline.Request) (pipeline.Answer, error) {
		select {
		case <-ctx.Done():
			return pipeline.Answer{}, ctx.Err()
		case <-time.After(3 * serverReadTimeout):
			return pipeline.Answer{Text: "late but complete"}, nil
		}
	})
	if status, _, body := s.send(t, "/v1/kinds/ask", `{"text":"x"}`); status != 200 {
		t.Errorf("status %d, body %s", status, body)
	}
}

func TestErrorBeforeStreamIsPlainJSON(t *testing.T) {
	s := newTestServer(t, func(context.Context, pipeline.Request) (pipeline.Answer, error) {
		return pipeline.Answer{}, fault.Errorf(fault.Overloaded, "full")
	})
	status, _, body := s.send(t, "/v1/kinds/ask", `{"text":"x","stream":true}`)
	if status != 429 || !strings.Contains(body, `"ran":"no"`) || !strings.Contains(body, `"retry":true`) {
		t.Errorf("status %d, body %s", status, body)
	}
}

func TestTicketRunsOnceAndOutcomeCanBeQueried(t *testing.T) {
	runs := 0
	s := newTestServer(t, func(context.Context, pipeline.Request) (pipeline.Answer, error) {
		runs++
		return pipeline.Answer{Text: fmt.Sprint("booking ", runs)}, nil
	})
	_, out, _ := s.send(t, "/v1/tickets", "")
	var ticket string
	if err := json.Unmarshal(out["ticket"], &ticket); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		status, _, body := s.send(t, "/v1/kinds/book", `{"text":"x"}`, "Idempotency-Key", ticket)
		if status != 200 || !strings.Contains(body, `"booking 1"`) {
			t.Errorf("status %d, body %s", status, body)
		}
	}
	if status, _, body := s.send(t, "/v1/outcomes/"+ticket, ""); status != 200 || !strings.Contains(body, `"booking 1"`) {
		t.Errorf("outcome: status %d, body %s", status, body)
	}
	if status, _, _ := s.send(t, "/v1/kinds/book", `{"text":"y"}`, "Idempotency-Key", ticket); status != 422 {
		t.Errorf("another body with the same ticket: status %d, want 422", status)
	}
	if runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
}

// Guards against callers that send a request again that must not run twice: an endpoint that
// refused a call after it had begun the work was reported with 503.
func TestOutcomeThatMayHaveRunHasNoStatusThatPromisesOtherwise(t *testing.T) {
	for ran, want := range map[fault.Ran]int{fault.RanNo: 503, fault.RanUnknown: 502, fault.RanYes: 502} {
		s := newTestServer(t, func(context.Context, pipeline.Request) (pipeline.Answer, error) {
			return pipeline.Answer{}, fault.Errorf(fault.EndpointUnavailable, "full").WithRan(ran)
		})
		for range 2 {
			if status, _, body := s.send(t, "/v1/kinds/book", `{"text":"x"}`, "Idempotency-Key", "order-1"); status != want {
				t.Errorf("ran %v: status %d, body %s, want status %d", ran, status, body, want)
			}
		}
	}
}

func TestRequestsInFlightAreLimitedPerOrganisation(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	s := newTestServer(t, func(context.Context, pipeline.Request) (pipeline.Answer, error) {
		entered <- struct{}{}
		<-release
		return pipeline.Answer{}, nil
	})
	done := make(chan struct{}, 2)
	for range 2 {
		go func() {
			s.send(t, "/v1/kinds/ask", `{"text":"x"}`)
			done <- struct{}{}
		}()
		<-entered
	}
	status, _, body := s.send(t, "/v1/kinds/ask", `{"text":"x"}`)
	if status != 429 || !strings.Contains(body, "2 requests in flight") {
		t.Errorf("status %d, body %s", status, body)
	}
	close(release)
	<-done
	<-done
}

func TestKeysAreNotLogged(t *testing.T) {
	s := newTestServer(t, succeed)
	s.send(t, "/v1/kinds/ask", `{"text":"x"}`)
	s.send(t, "/v1/kinds/ask", `{"text":"x"}`, "Authorization", "Bearer wrong-secret")
	s.send(t, "/v1/kinds/book", `{"text":"x"}`, "Idempotency-Key", "key-that-names-a-person")
	if s.logs.Len() == 0 {
		t.Fatal("nothing was logged")
	}
	for _, e := range s.logs.All() {
		text := fmt.Sprint(e.Message, e.ContextMap())
		for _, secret := range []string{apiKey, "wrong-secret", "key-that-names-a-person"} {
			if strings.Contains(text, secret) {
				t.Errorf("the log contains %q: %s", secret, text)
			}
		}
	}
}

// TestOpenAPIMatchesHandler checks that openapi.json describes the paths, fields
// and error kinds of the code.
func TestOpenAPIMatchesHandler(t *testing.T) {
	s := newTestServer(t, succeed)
	resp, err := s.Client().Get(s.URL + "/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var doc struct {
		Paths      map[string]map[string]struct{} `json:"paths"`
		Components struct {
			Schemas map[string]struct {
				Properties map[string]struct {
					Properties map[string]struct {
						Enum []string `json:"enum"`
					} `json:"properties"`
				} `json:"properties"`
			} `json:"schemas"`
		} `json:"components"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		t.Fatal(err)
	}
	for path, methods := range doc.Paths {
		for method := range methods {
			req, _ := http.NewRequest(strings.ToUpper(method), s.URL+path, strings.NewReader("{}"))
			resp, err := s.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode == 404 || resp.StatusCode == 405 {
				t.Errorf("%s %s is described but not served", method, path)
			}
		}
	}
	for name, typ := range map[string]reflect.Type{
		"Request": reflect.TypeFor[caller.Body](), "Stage": reflect.TypeFor[pipeline.StageReport](), "Token": reflect.TypeFor[pipeline.Token](),
	} {
		for f := range typ.Fields() {
			field, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if _, ok := doc.Components.Schemas[name].Properties[field]; !ok {
				t.Errorf("schema %s has no property %q", name, field)
			}
		}
	}
	kinds := doc.Components.Schemas["Error"].Properties["error"].Properties["kind"].Enum
	for _, k := range fault.Kinds() {
		if !slices.Contains(kinds, k.String()) {
			t.Errorf("the error kind %q is not described", k)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"text":"x","images":["a"],"maxTokens":5,"stream":true}`))
	f.Add([]byte(`{"text":1}`))
	f.Add([]byte(`{"maxTokens":-1,"images":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := caller.Decode(data)
		if err == nil && (b.MaxTokens <= 0 || (b.Text == "" && len(b.Images) == 0)) {
			t.Errorf("accepted %+v", b)
		}
		if err != nil && fault.From(err).Kind() != fault.BadRequest {
			t.Errorf("error of kind %v", fault.From(err).Kind())
		}
	})
}
