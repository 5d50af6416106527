package trace_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"chervilpath/core/trace"
)

var profile = trace.Profile{
	Kinds:         []trace.KindProfile{{Name: "quote", Weight: 2, Images: 2, MeanTokens: 100, CanStream: true}, {Name: "book", Weight: 1, NonIdempotent: true}},
	Organisations: []string{"large", "middle", "small"},
	SlowEndpoint:  "lm-1", LostEndpoint: "lm-2", StageEndpoints: "retrieve-*",
}

func generate(t *testing.T, scenario string) []trace.Event {
	t.Helper()
	events, err := trace.Generate(profile, trace.Plan{Scenario: scenario, Seed: 1, Duration: 30 * time.Second, Rate: 50})
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func TestGenerateIsReproducibleAndRoundTrips(t *testing.T) {
	for _, scenario := range trace.Scenarios() {
		events := generate(t, scenario)
		var b bytes.Buffer
		if err := trace.Write(&b, events); err != nil {
			t.Fatal(err)
		}
		decoded, err := trace.Read(&b)
		if err != nil || fmt.Sprint(len(decoded)) != fmt.Sprint(len(events)) {
			t.Errorf("%s: read %d events of %d, error %v", scenario, len(decoded), len(events), err)
		}
		if !slices.EqualFunc(events, generate(t, scenario), func(a, b trace.Event) bool { return a.AtMs == b.AtMs && a.Kind == b.Kind }) {
			t.Errorf("%s: the same plan gave two different traces", scenario)
		}
	}
}

func TestScenariosChangeTraffic(t *testing.T) {
	count := func(events []trace.Event, include func(trace.Event) bool) int {
		n := 0
		for _, e := range events {
			if include(e) {
				n++
			}
		}
		return n
	}
	inMiddleThird := func(e trace.Event) bool { return e.AtMs > 10000 && e.AtMs < 20000 }
	steady := generate(t, trace.Steady)
	fromSmall := func(e trace.Event) bool { return inMiddleThird(e) && e.Organisation == "small" }
	if a, b := count(steady, fromSmall), count(generate(t, trace.Greedy), fromSmall); b < 5*a {
		t.Errorf("the greedy organisation sends %d requests, want at least 5 times the %d of the steady trace", b, a)
	}
	withImages := func(e trace.Event) bool { return inMiddleThird(e) && e.Images > 0 }
	if a, b := count(steady, withImages), count(generate(t, trace.PhotoBurst), withImages); b < 3*a {
		t.Errorf("the burst has %d requests with images, want at least 3 times the %d of the steady trace", b, a)
	}
	faults := func(e trace.Event) bool { return e.Fault != nil }
	if n := count(generate(t, trace.AllAtOnce), faults); n != 7 {
		t.Errorf("the trace of all scenarios has %d fault events, want 7", n)
	}
}

func TestReadReportsInvalidLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\"atMs\":1,\"kind\":\"a\",\"organisation\":\"o\"}\nx": "line 2 of the trace is not an event",
		"{\"atMs\":-1}":             "write 0 or more",
		"{\"atMs\":1}":              "needs a kind and an organisation",
		"{\"atMs\":1,\"fault\":{}}": "needs an endpoint",
		"{\"atMs\":5,\"kind\":\"a\",\"organisation\":\"o\"}\n{\"atMs\":4,\"kind\":\"a\",\"organisation\":\"o\"}": "line 2 of the trace: atMs is 4",
		"{\"atMs\":1,\"kind\":\"a\",\"organisation\":\"o\",\"key\":\"x\"}":                                       "write ticket, own or nothing",
	} {
		if _, err := trace.Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Read(%q) = %v, want %q", text, err, want)
		}
	}
}

func TestEvaluate(t *testing.T) {
	results := []trace.Result{
		{AtMs: 0, Kind: "a", Organisation: "x", Took: time.Second, Deadline: 2 * time.Second, Answered: true},
		{AtMs: 1000, Kind: "a", Organisation: "y", Took: 3 * time.Second, Deadline: 2 * time.Second, Answered: true},
		{AtMs: 2000, Kind: "b", Organisation: "y", ErrorKind: "overloaded"},
	}
	tests := []struct {
		text string
		pass bool
	}{
		{"attainment = 0.3", true},
		{"attainment = 0.5", false},
		{"kinds = a\nattainment = 0.5", true},
		{"organisations = x\nattainment = 1\np95 = 1s", true},
		{"except = y\nattainment = 1", true},
		{"to = 500ms\nattainment = 1", true},
		{"p95 = 2s", false},
		{"errors = overloaded", true},
		{"errors = internal", false},
		{"kinds = c\nattainment = 0", false},
	}
	for _, test := range tests {
		expectations, err := trace.ParseExpectations("e.ini", []byte("[outcome o]\n"+test.text))
		if err != nil {
			t.Fatal(err)
		}
		if v := trace.Evaluate(expectations, results)[0]; v.Pass != test.pass {
			t.Errorf("%q: %+v", test.text, v)
		}
	}
	if _, err := trace.ParseExpectations("e.ini", []byte("[outcome o]\nfrom = 1s\n")); err == nil {
		t.Error("an outcome without a condition was accepted")
	}
}

func FuzzRead(f *testing.F) {
	f.Add("{\"atMs\":1,\"kind\":\"a\",\"organisation\":\"o\"}")
	f.Add("{\"atMs\":1,\"fault\":{\"endpoint\":\"e*\",\"slow\":10}}")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := trace.Read(strings.NewReader(text))
		for i := 1; err == nil && i < len(events); i++ {
			if events[i].AtMs < events[i-1].AtMs {
				t.Error("events are not ordered")
			}
		}
	})
}
