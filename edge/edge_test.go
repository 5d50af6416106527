package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

var apiKeys = []string{apiKey}

func TestRequestReachesServerUnchanged(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), server)
	got := s.send(t.Context(), 0, http.MethodPost, "/book/a%2Fb//c?x=1&y=%20", "r-1", http.Header{
		"X-Own": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}, stand.HeaderOrganisation: {"forged"}, stand.HeaderHold: {"forged"},
		stand.HeaderKVFrom: {"forged"}, stand.HeaderInputs: {"forged"},
	}, "the body")
	if got.status != http.StatusOK || got.body != "answer to r-1" {
		t.Fatalf("response: %+v", got)
	}
	if stamp := got.header.Get(stand.HeaderServerStamp); stamp != "i-1.r-1" {
		t.Errorf("stamp: %q", stamp)
	}
	seen, bodies := server.Requests()
	r := seen[0]
	if r.Method != http.MethodPost || r.RequestURI != "/book/a%2Fb//c?x=1&y=%20" || r.Host != routeHost || bodies[0] != "the body" {
		t.Errorf("the server received %s %s for host %s with body %q", r.Method, r.RequestURI, r.Host, bodies[0])
	}
	for name, want := range map[string]string{
		"X-Own": "kept", "X-Hop": "", stand.HeaderOrganisation: "sandton", stand.HeaderHold: "", stand.HeaderKVFrom: "",
		stand.HeaderInputs: "", "Authorization": "", stand.HeaderExpectServer: "i-1", stand.HeaderRequestID: "r-1",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("header %s: %q, want %q", name, got, want)
		}
	}
}

func TestInstanceWithoutConfigurationReportsNotRun(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, nil)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	if got := s.getStatus(s.instances[0].operatorAddress + "/ready"); got != http.StatusServiceUnavailable {
		t.Errorf("ready: status %d, want 503", got)
	}
}

func TestDeniedRequestsDoNotRun(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), server)
	tests := []struct {
		name, target, key, id, body string
		want                        int
	}{
		{"no route", "/other/1", apiKey, "r-1", "", http.StatusNotFound},
		{"unknown key", "/book/1", "wrong", "r-2", "", http.StatusUnauthorized},
		{"no id", "/book/1", apiKey, "", "", http.StatusBadRequest},
		{"large body", "/book/1", apiKey, "r-3", strings.Repeat("x", 5000), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		got := s.send(t.Context(), 0, http.MethodPost, tt.target, tt.id, http.Header{"Authorization": {"Bearer " + tt.key}}, tt.body)
		if got.status != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, got.status, tt.want)
		}
	}
	if n := server.TotalRuns(); n != 0 {
		t.Errorf("%d denied requests ran, want none", n)
	}
}

// runAndAbort returns an Intercept function that runs the request and then aborts
// the connection without a response.
func runAndAbort(s *stand.Server) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		s.Run(bodyDiscarder{w}, r)
		panic(http.ErrAbortHandler)
	}
}

// bodyDiscarder discards the body of a response.
type bodyDiscarder struct{ http.ResponseWriter }

func (bodyDiscarder) Write(p []byte) (int, error) { return len(p), nil }

// refuseNotRun is an Intercept function that refuses a request as not executed.
func refuseNotRun(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set(stand.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func TestNonIdempotentRequestIsNotRetriedAfterAbort(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept, b.Intercept = runAndAbort(a), runAndAbort(b)
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	got := s.post(0, "/book/1", "r-1")
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := a.Runs("r-1") + b.Runs("r-1"); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestIdempotentRequestIsRetriedAfterAbort(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept = runAndAbort(a)
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), a, b)
	for i := range 5 {
		if got := s.send(t.Context(), 0, http.MethodGet, "/look/1", fmt.Sprintf("r-%d", i), nil, ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestRefusedRequestIsRetriedOnAnotherServer(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept = refuseNotRun
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	for i := range 5 {
		if got := s.post(0, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestRefusalByEveryServerIsReportedAsNotRun(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = refuseNotRun
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	got := s.post(0, "/book/1", "r-1")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d with Retry-After %q, want 503 with a Retry-After", got.status, got.header.Get("Retry-After"))
	}
}

func TestResponseToAnotherRequestIsNotRelayed(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderRequestID, "another")
		w.Header().Set(stand.HeaderServerStamp, "x")
		_, _ = fmt.Fprint(w, "answer to another")
		return true
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusBadGateway || strings.Contains(got.body, "another") {
		t.Errorf("response: status %d, body %q; want 502 without the other response", got.status, got.body)
	}
}

func TestTruncatedResponseIsNotRelayed(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "x")
		w.Header().Set("Content-Length", "100")
		_, _ = fmt.Fprint(w, "a part")
		panic(http.ErrAbortHandler)
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
}

func TestServerErrorIsRelayedWithItsStamp(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "x")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusInternalServerError || got.header.Get(stand.HeaderServerStamp) != "x" {
		t.Errorf("response: status %d with stamp %q, want 500 with stamp \"x\"", got.status, got.header.Get(stand.HeaderServerStamp))
	}
}

func TestRouteTimeoutIsReportedPromptly(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.WorkTime = 2 * time.Second
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", map[string]any{"timeoutMs": 200})), a)
	start := time.Now()
	got := s.post(0, "/book/1", "r-1")
	if elapsed := time.Since(start); got.status != http.StatusGatewayTimeout || elapsed > 700*time.Millisecond {
		t.Errorf("status %d after %v, want 504 within 0.5 s of the timeout", got.status, elapsed)
	}
}

func TestCallerDisconnectCancelsWorkAtServer(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{})
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		close(cancelled)
		return true
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_ = s.send(ctx, 0, http.MethodPost, "/book/1", "r-1", nil, "")
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server's request is not cancelled 500 ms after the caller disconnected")
	}
}

// newEngineSite returns a site with two engines, the first of which aborts each
// stream after two complete events.
func newEngineSite(t *testing.T, resumable bool) (*testSite, *stand.Server, *stand.Server) {
	a, b := stand.NewServer("e-1", "llm", "a"), stand.NewServer("e-2", "llm", "a")
	for _, e := range []*stand.Server{a, b} {
		e.NumEvents, e.EventGap = 6, 5*time.Millisecond
	}
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "first")
		_, _ = fmt.Fprint(w, "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	r := routeSpec("draft", "streaming", "llm", map[string]any{"resumable": resumable, "sticky": true})
	return newTestSite(t, 1, configSpec(1, apiKeys, r), a, b), a, b
}

// sendUntilReached sends requests until one has reached the given server, and
// returns the response to that request.
func sendUntilReached(s *testSite, server *stand.Server) response {
	for i := range 50 {
		got := s.post(0, "/draft/1", fmt.Sprintf("r-%d", i))
		if seen, _ := server.Requests(); len(seen) > 0 {
			return got
		}
	}
	s.t.Fatal("no request reached the first engine")
	return response{}
}

func TestResumableStreamContinuesOnAnotherServer(t *testing.T) {
	t.Parallel()
	s, a, _ := newEngineSite(t, true)
	got := sendUntilReached(s, a)
	if got.err != nil || !stand.IsCompleteStream(got.body, 6) {
		t.Errorf("stream: %v\n%s", got.err, got.body)
	}
	if stamp := got.header.Get(stand.HeaderServerStamp); stamp != "first" {
		t.Errorf("stamp %q, want that of the first server", stamp)
	}
}

func TestBrokenStreamEndsWithError(t *testing.T) {
	t.Parallel()
	s, a, b := newEngineSite(t, false)
	got := sendUntilReached(s, a)
	if got.err == nil {
		t.Errorf("the broken stream ended without an error:\n%s", got.body)
	}
	seen, _ := a.Requests()
	if id := seen[0].Header.Get(stand.HeaderRequestID); b.Runs(id) != 0 {
		t.Error("a request whose stream is not resumable ran on the second engine too")
	}
}

func TestStagesRunBeforeRequestAndResultsAreFreed(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	photos := []*stand.Server{stand.NewServer("p-1", "photos", "a"), stand.NewServer("p-2", "photos", "b")}
	r := routeSpec("draft", "streaming", "llm", map[string]any{"stages": []any{
		map[string]any{"service": "photos", "after": []int{}, "bytes": 1000},
		map[string]any{"service": "photos", "after": []int{0}, "bytes": 500},
	}})
	s := newTestSite(t, 2, configSpec(1, apiKeys, r), engine, photos[0], photos[1])
	for i := range 4 {
		got := s.send(t.Context(), i%2, http.MethodPost, "/draft/1", fmt.Sprintf("r-%d", i), http.Header{
			stand.HeaderPieces: {"3,2"}, stand.HeaderPieceKey: {"k"},
		}, "")
		if got.status != http.StatusOK || !stand.IsCompleteStream(got.body, 2) {
			t.Fatalf("response: %+v", got)
		}
	}
	seen, _ := engine.Requests()
	if n := len(strings.Split(seen[0].Header.Get(stand.HeaderInputs), ",")); n != 2 {
		t.Errorf("the engine got %d inputs, want the 2 results of the last stage", n)
	}
	s.eventually("all results to be freed", func() bool { return photos[0].NumResults()+photos[1].NumResults() == 0 })
}

func TestPlannedShutdownCompletesStreams(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents, engine.EventGap = 20, 100*time.Millisecond
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("draft", "streaming", "llm", nil)), engine)
	done := make(chan response, 1)
	go func() { done <- s.post(0, "/draft/1", "r-1") }()
	s.eventually("the stream to begin", func() bool { return engine.TotalRuns() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.instances[0].kernel.Drain(ctx); err != nil {
		t.Errorf("draining: %v", err)
	}
	if got := <-done; got.err != nil || !stand.IsCompleteStream(got.body, 20) {
		t.Errorf("the shutdown cut off the stream: %v\n%s", got.err, got.body)
	}
}

// Pattern: a server fails all its requests while it counts as healthy. Its own error
// responses are evidence against it, so it soon gets only probes.
func TestServerThatAnswersWithErrorsIsEjected(t *testing.T) {
	t.Parallel()
	failing, sound := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	failing.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "i-1."+stand.RequestID(r))
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), failing, sound)
	const requests = 60
	for i := range requests {
		s.post(0, "/look/1", fmt.Sprint("r-", i))
	}
	seen, _ := failing.Requests()
	if n := len(seen); n > requests/6 {
		t.Errorf("the failing server got %d of %d requests", n, requests)
	}
}
