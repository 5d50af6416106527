package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
	"chervilpath/io/endpoint"
	"chervilpath/io/standin"
)

// newAttempt returns an attempt at an endpoint of the given kind and address.
func newAttempt(t *testing.T, kind, url string) pipeline.Attempt {
	t.Helper()
	text := "[pipeline p]\nstages = s\n[stage s]\nidempotent = no\n[endpoint e]\naddress = " + url + "\nkind = " + kind + "\nstages = s\nfailureDomain = d\n"
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(text)}})
	if set == nil {
		t.Fatal(problems)
	}
	s, _ := set.Stage("s")
	e, _ := set.Endpoint("e")
	return pipeline.Attempt{ID: "a1", RequestID: "r1", Organisation: "roofs", Stage: s, Endpoint: e, Input: pipeline.Payload{Text: "case-7 leak", MaxTokens: 40}}
}

func call(a pipeline.Attempt) (pipeline.Result, string, error) {
	var emitted strings.Builder
	c := endpoint.New(endpoint.NewTransport(), func(string, float64) {})
	r, err := c.Call(context.Background(), a, func(s string) { emitted.WriteString(s) })
	return r, emitted.String(), err
}

func TestEngineAnswersAreComplete(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{Slots: 2})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	a := newAttempt(t, "engine", srv.URL)
	complete, _, err := call(a)
	if err != nil || !strings.HasPrefix(complete.Text, "case-7.1 ") || complete.Units < 1 {
		t.Fatalf("complete answer: %+v, %v", complete, err)
	}
	a.Stream = true
	streamed, emitted, err := call(a)
	if err != nil || emitted != complete.Text || streamed.Text != complete.Text || streamed.Units != complete.Units {
		t.Errorf("streamed answer: %+v, emitted %q, %v", streamed, emitted, err)
	}
	a.ResumeAfter = 5
	_, rest, err := call(a)
	if err != nil || !strings.HasPrefix(rest, "case-7.6 ") {
		t.Errorf("resumed stream = %q, %v", rest, err)
	}
}

func TestAnswersReportLoad(t *testing.T) {
	s := standin.NewStage(standin.StageConfig{Slots: 2})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	reports := map[string]float64{}
	c := endpoint.New(endpoint.NewTransport(), func(name string, load float64) { reports[name] = load })
	if _, err := c.Call(context.Background(), newAttempt(t, "pool", srv.URL), func(string) {}); err != nil {
		t.Fatal(err)
	}
	if load, ok := reports["e"]; !ok || load != 1 {
		t.Errorf("reports %v, want load 1 for the call itself", reports)
	}
}

func TestIncompleteAndForeignAnswersAreErrors(t *testing.T) {
	tests := []struct {
		name, kind string
		stream     bool
		faults     standin.ServerFaults
		want       fault.Kind
		notRun     bool
	}{
		{"truncated answer", "engine", false, standin.ServerFaults{Truncate: true}, fault.AnswerIncomplete, false},
		{"truncated stream", "engine", true, standin.ServerFaults{Truncate: true}, fault.AnswerIncomplete, false},
		{"cut stream", "engine", true, standin.ServerFaults{CutAfter: 3}, fault.AnswerIncomplete, false},
		{"crossed answer", "engine", false, standin.ServerFaults{Cross: true}, fault.AnswerIncomplete, false},
		{"full engine", "engine", false, standin.ServerFaults{Refuse: true}, fault.EndpointUnavailable, true},
		{"draining engine", "engine", false, standin.ServerFaults{Drain: true}, fault.EndpointUnavailable, true},
		{"lost connection", "engine", false, standin.ServerFaults{Down: true}, fault.EndpointFailed, false},
		{"truncated result", "service", false, standin.ServerFaults{Truncate: true}, fault.AnswerIncomplete, false},
		{"crossed result", "service", false, standin.ServerFaults{Cross: true}, fault.AnswerIncomplete, false},
		{"refusing service", "service", false, standin.ServerFaults{Refuse: true}, fault.EndpointUnavailable, true},
		{"lost answer", "service", false, standin.ServerFaults{LoseAnswers: 1}, fault.EndpointFailed, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := standin.NewEngine(standin.EngineConfig{Slots: 2})
			s := standin.NewStage(standin.StageConfig{Slots: 2})
			e.SetFaults(test.faults)
			s.SetFaults(test.faults)
			h := e.Handler()
			if test.kind == "service" {
				h = s.Handler()
			}
			srv := httptest.NewServer(h)
			defer srv.Close()
			a := newAttempt(t, test.kind, srv.URL)
			a.Stream = test.stream
			_, _, err := call(a)
			if got := fault.From(err).Kind(); err == nil || got != test.want {
				t.Fatalf("error %v of kind %v, want %v", err, got, test.want)
			}
			if call, ok := err.(*pipeline.CallError); !ok || call.NotRun != test.notRun {
				t.Errorf("error %#v, want NotRun %v", err, test.notRun)
			}
		})
	}
}

func TestRefusedConnectionReportsNotRun(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	url := srv.URL
	srv.Close()
	_, _, err := call(newAttempt(t, "service", url))
	if call, ok := err.(*pipeline.CallError); !ok || !call.NotRun {
		t.Errorf("error %v, want a CallError with NotRun", err)
	}
}

func TestServiceRefusalWithoutProofMayHaveRun(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer srv.Close()
	_, _, err := call(newAttempt(t, "service", srv.URL))
	if call, ok := err.(*pipeline.CallError); !ok || call.NotRun {
		t.Errorf("error %v, want a CallError without NotRun", err)
	}
}

// TestBrokenConnectionIsNotRetried guards against a call that runs twice: net/http
// retries some requests by itself if a reused connection breaks after it has sent
// them.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	s := standin.NewStage(standin.StageConfig{Slots: 2})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := endpoint.New(endpoint.NewTransport(), func(string, float64) {})
	a := newAttempt(t, "service", srv.URL)
	for i := range 6 {
		a.RequestID = string(rune('a' + i))
		if i%2 == 1 {
			s.SetFaults(standin.ServerFaults{LoseAnswers: 1})
		}
		_, _ = c.Call(context.Background(), a, func(string) {})
	}
	for id, n := range s.Counts().Runs {
		if n != 1 {
			t.Errorf("request %q ran %d times", id, n)
		}
	}
	if n := s.Counts().Calls; n != 6 {
		t.Errorf("the service had %d calls, want 6", n)
	}
}

func FuzzStream(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{}}\ndata: [DONE]\n")
	f.Add("data: nonsense\n")
	f.Fuzz(func(t *testing.T, body string) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			_, _ = w.Write([]byte(body))
		}))
		defer srv.Close()
		a := newAttempt(t, "engine", srv.URL)
		a.Stream = true
		r, emitted, err := call(a)
		if r.Text != emitted {
			t.Errorf("result %q but emitted %q", r.Text, emitted)
		}
		if err == nil && !strings.Contains(body, "[DONE]") {
			t.Error("a stream without its done marker was accepted as complete")
		}
	})
}

// Guards against a faulty endpoint that writes an earlier refusal once more on a kept
// connection: the call counted as not run although it ran.
func TestRefusalOfAnotherAttemptProvesNothing(t *testing.T) {
	for _, kind := range []string{"service", "pool", "engine"} {
		for name, body := range map[string]string{"of another": `{"attempt":"a0","ran":"no"}`, "of none": ""} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, body)
			}))
			a := newAttempt(t, kind, srv.URL)
			c := endpoint.New(endpoint.NewTransport(), func(string, float64) {})
			// The first refusal opens the connection on which the second comes.
			_, _ = c.Call(t.Context(), a, func(string) {})
			_, err := c.Call(t.Context(), a, func(string) {})
			if callErr, ok := errors.AsType[*pipeline.CallError](err); !ok || callErr.NotRun {
				t.Errorf("%s, refusal %s: %v, want a call that may have run", kind, name, err)
			}
			srv.Close()
		}
	}
}
