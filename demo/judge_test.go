package demo

import (
	"context"
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/examples"
)

var takeover = flag.Bool("takeover", false, "measure how long a lease takes to pass on after its holder was lost")

// TestJudgeFindsEachBrokenPromise shows for each check of the demo that it can fail.
func TestJudgeFindsEachBrokenPromise(t *testing.T) {
	good := sent{subject: "case-1", answered: true, text: "case-1.1 case-1.2 ", tokens: []token{{1, "case-1.1 "}, {2, "case-1.2 "}}}
	once := sent{kind: "book", subject: "case-2", runID: "r", onceStage: "reserve"}
	tests := []struct {
		name   string
		change func() sent
		runs   int
		want   string
	}{
		{"a good answer", func() sent { return good }, 0, ""},
		{"another's answer", func() sent { s := good; s.text = "case-10.1 "; s.tokens = nil; return s }, 0, promiseOwn},
		{"an answer of nobody", func() sent { s := good; s.text = "hello"; s.tokens = nil; return s }, 0, promiseOwn},
		{"a gap in a stream", func() sent { s := good; s.tokens = []token{{1, "case-1.1 "}, {3, "case-1.2 "}}; return s }, 0, promiseWhole},
		{"a stream cut short", func() sent { s := good; s.tokens = s.tokens[:1]; return s }, 0, promiseWhole},
		{"a booking that ran twice", func() sent { return once }, 2, promiseOnce},
		{"a booking done that did not run", func() sent { s := once; s.answered, s.text = true, "case-2"; return s }, 0, promiseDone},
		{"a booking not run that ran", func() sent { s := once; s.failed.Ran = "no"; return s }, 1, promiseNotRun},
		{"an unknown booking that ran", func() sent { s := once; s.failed.Ran = "unknown"; return s }, 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			broken := judge([]sent{test.change()}, map[string]int{"reserve r": test.runs})
			found := slices.ContainsFunc(broken, func(b Broken) bool { return b.Promise == test.want })
			if found != (test.want != "") || (test.want == "" && len(broken) > 0) {
				t.Errorf("judged %v, want %q", broken, test.want)
			}
		})
	}
	line := func(units float64, unknown int64) []cost.Line {
		return []cost.Line{{Organisation: "o", Stage: "s", Units: units, UnknownCalls: unknown}}
	}
	counted := map[string]float64{"o s": 4}
	for _, test := range []struct {
		name   string
		lines  []cost.Line
		exact  bool
		broken int
	}{
		{"more attributed than counted", line(5, 0), false, 1},
		{"less attributed than counted", line(3, 0), true, 1},
		{"nothing attributed", nil, true, 1},
		{"less attributed, with a call of unknown cost", line(3, 1), true, 0},
		{"less attributed after a crash", line(3, 0), false, 0},
	} {
		if b := judgeCost(test.lines, counted, test.exact); len(b) != test.broken {
			t.Errorf("%s: %v", test.name, b)
		}
	}
}

// TestCalmDemoKeepsEveryPromise serves an example without losses: then cost is
// attributed exactly too.
func TestCalmDemoKeepsEveryPromise(t *testing.T) {
	var out strings.Builder
	broken, err := Run(context.Background(), Options{
		Deployments: []string{"darbgalds"}, Instances: 2, Duration: 2 * time.Second, Rate: 30, Seed: 1, Calm: true, Log: zap.NewNop(), Out: &out,
	})
	if err != nil || len(broken) > 0 {
		t.Errorf("broken %v, %v\n%s", broken, err, out.String())
	}
}

// TestTakeover prints how long a lease takes to pass on. It runs only when
// asked to, since the time depends on the machine.
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
	wait := func(other int) (int, time.Duration) {
		began := time.Now()
		for {
			if i := d.LeaseHolder(ctx); i >= 0 && i != other {
				return i, time.Since(began)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	first, boot := wait(-1)
	if err := d.StopEntry(ctx, first); err != nil {
		t.Fatal(err)
	}
	second, stopped := wait(first)
	d.CrashEntry(second)
	_, crashed := wait(second)
	t.Logf("first holder after %v, next after a stop %v, after a crash %v", boot, stopped, crashed)
}
