package demo

import (
	"context"
	"flag"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/examples"
)

var takeover = flag.Bool("takeover", false, "measure how long another instance takes to acquire a lease after its holder has stopped or crashed")

// TestCheckFindsEachBrokenPromise tests that each check of the demo reports a
// violation of its promise, and reports none for correct results.
func TestCheckFindsEachBrokenPromise(t *testing.T) {
	good := request{subject: "case-1", answered: true, text: "case-1.1 case-1.2 ", tokens: []token{{1, "case-1.1 "}, {2, "case-1.2 "}}}
	booking := request{kind: "book", subject: "case-2", runID: "r", nonIdempotentStage: "reserve"}
	tests := []struct {
		name    string
		request func() request
		runs    int
		want    string
	}{
		{"a good answer", func() request { return good }, 0, ""},
		{"another's answer", func() request { r := good; r.text = "case-10.1 "; r.tokens = nil; return r }, 0, promiseOwnAnswer},
		{"an answer of nobody", func() request { r := good; r.text = "hello"; r.tokens = nil; return r }, 0, promiseOwnAnswer},
		{"a gap in a stream", func() request { r := good; r.tokens = []token{{1, "case-1.1 "}, {3, "case-1.2 "}}; return r }, 0, promiseCompleteAnswer},
		{"a stream cut short", func() request { r := good; r.tokens = r.tokens[:1]; return r }, 0, promiseCompleteAnswer},
		{"a booking that ran twice", func() request { return booking }, 2, promiseAtMostOnce},
		{"a booking done that did not run", func() request { r := booking; r.answered, r.text = true, "case-2"; return r }, 0, promiseDone},
		{"a booking not run that ran", func() request { r := booking; r.failure.Ran = "no"; return r }, 1, promiseNotRun},
		{"an unknown booking that ran", func() request { r := booking; r.failure.Ran = "unknown"; return r }, 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations := checkAll([]request{test.request()}, map[string]int{"reserve r": test.runs})
			found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Promise == test.want })
			if found != (test.want != "") || (test.want == "" && len(violations) > 0) {
				t.Errorf("violations = %v, want promise %q", violations, test.want)
			}
		})
	}
	line := func(units float64, unknown int64) []cost.Line {
		return []cost.Line{{Organisation: "o", Stage: "s", Units: units, UnknownCalls: unknown}}
	}
	counted := map[string]float64{"o s": 4}
	for _, test := range []struct {
		name       string
		lines      []cost.Line
		exact      bool
		violations int
	}{
		{"more attributed than counted", line(5, 0), false, 1},
		{"less attributed than counted", line(3, 0), true, 1},
		{"nothing attributed", nil, true, 1},
		{"less attributed, with a call of unknown cost", line(3, 1), true, 0},
		{"less attributed after a crash", line(3, 0), false, 0},
	} {
		if violations := checkCost(test.lines, counted, test.exact); len(violations) != test.violations {
			t.Errorf("%s: violations = %v", test.name, violations)
		}
	}
}

// TestDemoWithoutFaultsKeepsEveryPromise serves an example without any faults. Since no
// instance is lost, the attributed cost has to be exact as well.
func TestDemoWithoutFaultsKeepsEveryPromise(t *testing.T) {
	var out strings.Builder
	violations, err := Run(context.Background(), Options{
		Deployments: []string{"darbgalds"}, Instances: 2, Duration: 2 * time.Second, Rate: 30, Seed: 1, NoLosses: true, Log: zap.NewNop(), Out: &out,
	})
	if err != nil || len(violations) > 0 {
		t.Errorf("Run() = violations %v, error %v; output:\n%s", violations, err, out.String())
	}
}

// TestTakeover prints how long it takes until another instance holds a lease after
// its holder has stopped or crashed. It runs only on request, because the times
// depend on the speed of the host.
func TestTakeover(t *testing.T) {
	if !*takeover {
		t.Skip("run with -takeover to measure")
	}
	ctx := context.Background()
	d, err := New(ctx, examples.Files, "kgotso", 3, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(ctx); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Stop(ctx) }()
	waitForHolder := func(previous int) (int, time.Duration) {
		start := time.Now()
		for {
			if i := d.LeaseHolder(ctx); i >= 0 && i != previous {
				return i, time.Since(start)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	first, afterStart := waitForHolder(-1)
	if err := d.StopInstance(ctx, first); err != nil {
		t.Fatal(err)
	}
	second, afterStop := waitForHolder(first)
	d.CrashInstance(second)
	_, afterCrash := waitForHolder(second)
	t.Logf("first lease acquired after %v, taken over %v after a stop and %v after a crash", afterStart, afterStop, afterCrash)
}

// Guards against another server that listens where a crashed endpoint did: its answers
// were taken for those of the endpoint, and requests failed in one of thirty runs of the
// scenario slow_and_leaving while twelve ran at a time.
func TestEndpointsHaveAddressesOfTheirOwn(t *testing.T) {
	d, err := New(t.Context(), examples.Files, "kgotso", 0, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	endpoints := make(map[string]string)
	for name, address := range d.addresses {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := endpoints[ip]; ok || ip == "127.0.0.1" {
			t.Errorf("endpoint %s has IP address %s, as %q", name, ip, other)
		}
		endpoints[ip] = name
	}
}
