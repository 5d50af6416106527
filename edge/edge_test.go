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

var keys = []string{key}

func TestRequestReachesServerUnchanged(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), server)
	got := s.send(t.Context(), 0, http.MethodPost, "/book/a%2Fb//c?x=1&y=%20", "r-1", http.Header{
		"X-Own": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}, stand.HeaderOrganisation: {"forged"}, stand.HeaderHold: {"forged"},
		stand.HeaderKVFrom: {"forged"}, stand.HeaderInputs: {"forged"},
	}, "the body")
	if got.status != http.StatusOK || got.body != "answer to r-1" {
		t.Fatalf("answer: %+v", got)
	}
	if stamp := got.header.Get(stand.HeaderServerStamp); stamp != "i-1.r-1" {
		t.Errorf("stamp: %q", stamp)
	}
	seen, bodies := server.Requests()
	r := seen[0]
	if r.Method != http.MethodPost || r.RequestURI != "/book/a%2Fb//c?x=1&y=%20" || r.Host != host || bodies[0] != "the body" {
		t.Errorf("the server saw %s %s for %s with %q", r.Method, r.RequestURI, r.Host, bodies[0])
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

func TestInstanceWithoutConfigurationPromisesNothingRan(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, nil)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	if got := s.status(s.instances[0].operator + "/ready"); got != http.StatusServiceUnavailable {
		t.Errorf("ready: status %d, want 503", got)
	}
}

func TestDenials(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), server)
	tests := []struct {
		name, target, key, id, body string
		want                        int
	}{
		{"no route", "/other/1", key, "r-1", "", http.StatusNotFound},
		{"unknown key", "/book/1", "wrong", "r-2", "", http.StatusUnauthorized},
		{"no id", "/book/1", key, "", "", http.StatusBadRequest},
		{"large body", "/book/1", key, "r-3", strings.Repeat("x", 5000), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		got := s.send(t.Context(), 0, http.MethodPost, tt.target, tt.id, http.Header{"Authorization": {"Bearer " + tt.key}}, tt.body)
		if got.status != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, got.status, tt.want)
		}
	}
	if n := server.TotalRuns(); n != 0 {
		t.Errorf("%d denied requests ran", n)
	}
}

// cut answers a request by running it and breaking the connection off.
func cut(s *stand.Server) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		s.Run(discard{w}, r)
		panic(http.ErrAbortHandler)
	}
}

// discard drops what is written.
type discard struct{ http.ResponseWriter }

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func refuse(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set(stand.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func TestDoubtfulBookingIsNeitherRepeatedNorPromised(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept, b.Intercept = cut(a), cut(b)
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a, b)
	got := s.post(0, "/book/1", "r-1")
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := a.Runs("r-1") + b.Runs("r-1"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func TestLookupIsRepeatedAfterCut(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept = cut(a)
	s := newSite(t, 1, configuration(1, keys, route("look", "idempotent", "desk", nil)), a, b)
	for i := range 5 {
		if got := s.send(t.Context(), 0, http.MethodGet, "/look/1", fmt.Sprintf("r-%d", i), nil, ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestRefusedBookingGoesElsewhere(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	a.Intercept = refuse
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a, b)
	for i := range 5 {
		if got := s.post(0, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestFullServersAreToldAsNotRun(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = refuse
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	got := s.post(0, "/book/1", "r-1")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d with Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
}

func TestAnswerOfAnotherRequestReachesNobody(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderRequestID, "another")
		w.Header().Set(stand.HeaderServerStamp, "x")
		_, _ = fmt.Fprint(w, "answer to another")
		return true
	}
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusBadGateway || strings.Contains(got.body, "another") {
		t.Errorf("answer: %d %q", got.status, got.body)
	}
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "x")
		w.Header().Set("Content-Length", "100")
		_, _ = fmt.Fprint(w, "a part")
		panic(http.ErrAbortHandler)
	}
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
}

func TestFailureOfServerIsRelayedWithItsStamp(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(stand.HeaderServerStamp, "x")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusInternalServerError || got.header.Get(stand.HeaderServerStamp) != "x" {
		t.Errorf("answer: %d with stamp %q", got.status, got.header.Get(stand.HeaderServerStamp))
	}
}

func TestRouteTimeoutIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	a.WorkTime = 2 * time.Second
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", map[string]any{"timeoutMs": 200})), a)
	began := time.Now()
	got := s.post(0, "/book/1", "r-1")
	if took := time.Since(began); got.status != http.StatusGatewayTimeout || took > 700*time.Millisecond {
		t.Errorf("status %d after %v, want 504 within 0.5 s of the timeout", got.status, took)
	}
}

func TestCallerThatLeavesEndsWorkAtServer(t *testing.T) {
	t.Parallel()
	left := make(chan struct{})
	a := stand.NewServer("i-1", "desk", "a")
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		close(left)
		return true
	}
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_ = s.send(ctx, 0, http.MethodPost, "/book/1", "r-1", nil, "")
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server still works half a second after the caller left")
	}
}

// engineSite has two engines; the first breaks streams off after some events.
func engineSite(t *testing.T, resumable bool) (*site, *stand.Server, *stand.Server) {
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
	r := route("draft", "streaming", "llm", map[string]any{"resumable": resumable, "sticky": true})
	return newSite(t, 1, configuration(1, keys, r), a, b), a, b
}

// sendUntilBroken sends requests until one met the engine that breaks off.
func sendUntilBroken(s *site, broken *stand.Server) answer {
	for i := range 50 {
		got := s.post(0, "/draft/1", fmt.Sprintf("r-%d", i))
		if seen, _ := broken.Requests(); len(seen) > 0 {
			return got
		}
	}
	s.t.Fatal("no request met the first engine")
	return answer{}
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	s, a, _ := engineSite(t, true)
	got := sendUntilBroken(s, a)
	if got.err != nil || !stand.IsCompleteStream(got.body, 6) {
		t.Errorf("stream: %v\n%s", got.err, got.body)
	}
	if stamp := got.header.Get(stand.HeaderServerStamp); stamp != "first" {
		t.Errorf("stamp %q, want that of the first server", stamp)
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	t.Parallel()
	s, a, b := engineSite(t, false)
	got := sendUntilBroken(s, a)
	if got.err == nil {
		t.Errorf("the stream ended as if it were complete:\n%s", got.body)
	}
	seen, _ := a.Requests()
	if id := seen[0].Header.Get(stand.HeaderRequestID); b.Runs(id) != 0 {
		t.Error("a stream that may not be resumed ran twice")
	}
}

func TestStagesAreDoneBeforeTheRequestAndResultsAreFreed(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	photos := []*stand.Server{stand.NewServer("p-1", "photos", "a"), stand.NewServer("p-2", "photos", "b")}
	r := route("draft", "streaming", "llm", map[string]any{"stages": []any{
		map[string]any{"service": "photos", "after": []int{}, "bytes": 1000},
		map[string]any{"service": "photos", "after": []int{0}, "bytes": 500},
	}})
	s := newSite(t, 2, configuration(1, keys, r), engine, photos[0], photos[1])
	for i := range 4 {
		got := s.send(t.Context(), i%2, http.MethodPost, "/draft/1", fmt.Sprintf("r-%d", i), http.Header{
			stand.HeaderPieces: {"3,2"}, stand.HeaderPieceKey: {"k"},
		}, "")
		if got.status != http.StatusOK || !stand.IsCompleteStream(got.body, 2) {
			t.Fatalf("answer: %+v", got)
		}
	}
	seen, _ := engine.Requests()
	if n := len(strings.Split(seen[0].Header.Get(stand.HeaderInputs), ",")); n != 2 {
		t.Errorf("the engine got %d results, want the 2 of the last stage", n)
	}
	s.eventually("all results are freed", func() bool { return photos[0].NumResults()+photos[1].NumResults() == 0 })
}

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents, engine.EventGap = 20, 100*time.Millisecond
	s := newSite(t, 1, configuration(1, keys, route("draft", "streaming", "llm", nil)), engine)
	done := make(chan answer, 1)
	go func() { done <- s.post(0, "/draft/1", "r-1") }()
	s.eventually("the stream has begun", func() bool { return engine.TotalRuns() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.instances[0].kernel.Drain(ctx); err != nil {
		t.Errorf("draining: %v", err)
	}
	if got := <-done; got.err != nil || !stand.IsCompleteStream(got.body, 20) {
		t.Errorf("the stop cut the stream: %v\n%s", got.err, got.body)
	}
}
