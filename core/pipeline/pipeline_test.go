package pipeline_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
	"chervilpath/core/stage"
)

// call is the endpoint's side of one attempt, the first having number 1.
type call func(ctx context.Context, n int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error)

// one runs one request of a kind before scripted endpoints, in virtual time.
type one struct {
	decisions []pipeline.Decision
	charges   []pipeline.Charge
	tokens    []pipeline.Token
	times     []time.Duration
	answer    pipeline.Answer
	err       *fault.Error
	took      time.Duration
}

const scripted = `[pipeline plain]
stages = think
[pipeline book]
stages = think, reserve
[stage think]
retries = 2
[stage reserve]
idempotent = no
[endpoint e1]
address = http://127.0.0.1:1
kind = engine
stages = think, reserve
failureDomain = a
resumes = yes
[endpoint e2]
address = http://127.0.0.1:2
kind = engine
stages = think, reserve
failureDomain = b
resumes = yes
[kind plain]
pipeline = plain
retries = 2
[kind book]
pipeline = book
idempotent = no
`

func runOne(t *testing.T, declarations, kind string, stream bool, f call) one {
	t.Helper()
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(declarations + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	if set == nil {
		t.Fatal(problems)
	}
	var out one
	synctest.Test(t, func(t *testing.T) {
		n := 0
		r := pipeline.New(pipeline.Deps{
			Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
			Call: func(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
				n++
				return f(ctx, n, a, emit)
			},
			Decide:  func(d pipeline.Decision) { out.decisions = append(out.decisions, d) },
			Charge:  func(c pipeline.Charge) { out.charges = append(out.charges, c) },
			Observe: func(string, time.Duration, time.Duration, error) {},
			Token:   func(_ string, _ bool, d time.Duration) { out.times = append(out.times, d) },
			NewID:   func() string { return fmt.Sprint("a", n) },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.Replace(set)
		k, _ := set.Kind(kind)
		org, _ := set.Organisation("roofs")
		req := pipeline.Request{ID: "r", Organisation: org, Kind: k, Deadline: time.Now().Add(3 * time.Second), Input: pipeline.Payload{Text: "x"}}
		if stream {
			req.Emit = func(t pipeline.Token) { out.tokens = append(out.tokens, t) }
		}
		began := time.Now()
		answer, err := r.Run(context.Background(), req)
		out.answer, out.err, out.took = answer, fault.From(err), time.Since(began)
	})
	return out
}

func TestResultsGoOnToTheNextStageOnly(t *testing.T) {
	var inputs []pipeline.Payload
	o := runOne(t, scripted, "book", false, func(_ context.Context, n int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		inputs = append(inputs, a.Input)
		return pipeline.Result{Text: fmt.Sprint("result ", n), Units: 1}, nil
	})
	if len(inputs) != 2 || !slices.Equal(inputs[1].Documents, []string{"result 1"}) {
		t.Errorf("inputs %+v, want the first result in the second", inputs)
	}
	if o.answer.Text != "result 2" || !slices.Equal(o.answer.Documents, []string{"result 1"}) {
		t.Errorf("answer %+v, want its own text apart from its documents", o.answer)
	}
}

var (
	errReset   = &pipeline.CallError{Err: fault.Errorf(fault.EndpointFailed, "reset")}
	errRefused = &pipeline.CallError{Err: fault.Errorf(fault.EndpointUnavailable, "refused"), NotRun: true, NotSent: true}
	whole      = pipeline.Result{Text: "done", Units: 1}
)

func TestFailedCallIsRepeatedElsewhere(t *testing.T) {
	o := runOne(t, scripted, "plain", false, func(_ context.Context, n int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if n == 1 {
			return pipeline.Result{}, errReset
		}
		return whole, nil
	})
	if o.err != nil || len(o.decisions) != 2 || o.decisions[0].Endpoint == o.decisions[1].Endpoint {
		t.Errorf("error %v, decisions %+v", o.err, o.decisions)
	}
	if len(o.charges) != 2 || o.charges[0].Waste != pipeline.Failed || o.charges[0].Known || o.charges[1].Waste != pipeline.Useful {
		t.Errorf("charges %+v", o.charges)
	}
}

// TestRefusedConnectionsNeedNoBudget guards against what the demo showed: a
// young instance has no budget for repeats yet, and a lost endpoint then cost
// every request that was sent to it.
func TestRefusedConnectionsNeedNoBudget(t *testing.T) {
	o := runOne(t, scripted, "plain", false, func(_ context.Context, n int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if n <= 3 {
			return pipeline.Result{}, errRefused
		}
		return whole, nil
	})
	if o.err != nil || len(o.decisions) != 4 {
		t.Errorf("error %v after %d attempts", o.err, len(o.decisions))
	}
}

// TestUnsentAttemptsDoNotCount lets a refused connection come before an endpoint
// that is full: the one repeat that the stage has is still there.
func TestUnsentAttemptsDoNotCount(t *testing.T) {
	one := strings.Replace(scripted, "retries = 2\n[stage reserve]", "retries = 1\n[stage reserve]", 1)
	full := &pipeline.CallError{Err: fault.Errorf(fault.EndpointUnavailable, "full"), NotRun: true, Full: true}
	o := runOne(t, one, "plain", false, func(_ context.Context, n int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		switch n {
		case 1:
			return pipeline.Result{}, errRefused
		case 2:
			return pipeline.Result{}, full
		}
		return whole, nil
	})
	if o.err != nil || len(o.decisions) != 3 {
		t.Errorf("error %v after %d attempts", o.err, len(o.decisions))
	}
}

func TestCallThatIsNotIdempotentIsSentOnce(t *testing.T) {
	tests := []struct {
		name  string
		err   error
		calls int
		ran   fault.Ran
	}{
		{"without an answer", errReset, 1, fault.RanUnknown},
		{"provably not sent", errRefused, 4, fault.RanNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reserved := 0
			o := runOne(t, scripted, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
				if a.Stage.Name() == "think" {
					return whole, nil
				}
				reserved++
				return pipeline.Result{}, test.err
			})
			if reserved != test.calls || o.err == nil || o.err.Ran() != test.ran || o.err.Stage() != "reserve" {
				t.Errorf("%d calls, error %v, ran %v at %q", reserved, o.err, o.err.Ran(), o.err.Stage())
			}
		})
	}
}

func TestFailureBeforeTheBookingIsNotRun(t *testing.T) {
	o := runOne(t, scripted, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if a.Stage.Name() == "reserve" {
			t.Error("the booking was sent")
		}
		return pipeline.Result{}, errReset
	})
	if o.err == nil || o.err.Ran() != fault.RanNo {
		t.Errorf("error %v says ran %v", o.err, o.err.Ran())
	}
}

func TestFailureAfterTheBookingSaysItRan(t *testing.T) {
	after := strings.Replace(scripted, "stages = think, reserve\n[stage", "stages = reserve, think\n[stage", 1)
	o := runOne(t, after, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if a.Stage.Name() == "reserve" {
			return whole, nil
		}
		return pipeline.Result{}, errReset
	})
	if o.err == nil || o.err.Ran() != fault.RanYes {
		t.Errorf("error %v says ran %v", o.err, o.err.Ran())
	}
}

func TestHopelessRequestIsRefusedBeforeAnythingIsSent(t *testing.T) {
	set, _ := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(scripted + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	synctest.Test(t, func(t *testing.T) {
		r := pipeline.New(pipeline.Deps{Clock: stage.Clock{Now: time.Now}}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.Replace(set)
		k, _ := set.Kind("book")
		org, _ := set.Organisation("roofs")
		_, err := r.Run(context.Background(), pipeline.Request{Organisation: org, Kind: k, Deadline: time.Now().Add(50 * time.Millisecond)})
		if e := fault.From(err); e == nil || e.Kind() != fault.DeadlineTooShort || e.Ran() != fault.RanNo {
			t.Errorf("error %v", err)
		}
	})
}

// stream sends count tokens and then ends as given.
func stream(ctx context.Context, a pipeline.Attempt, emit func(string), count int, end error) (pipeline.Result, error) {
	for i := a.ResumeAfter + 1; i <= a.ResumeAfter+count; i++ {
		time.Sleep(10 * time.Millisecond)
		emit(fmt.Sprint(i, " "))
	}
	return pipeline.Result{Text: "", Units: float64(count)}, end
}

func checkTokens(t *testing.T, tokens []pipeline.Token, n int) {
	t.Helper()
	if len(tokens) != n {
		t.Fatalf("%d tokens, want %d", len(tokens), n)
	}
	for i, token := range tokens {
		if token.Sequence != i+1 || token.Text != fmt.Sprint(i+1, " ") {
			t.Fatalf("token %d is %+v", i+1, token)
		}
	}
}

func TestTokensAreTimed(t *testing.T) {
	o := runOne(t, scripted, "plain", true, func(ctx context.Context, _ int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		time.Sleep(90 * time.Millisecond)
		return stream(ctx, a, emit, 3, nil)
	})
	want := []time.Duration{100 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}
	if o.err != nil || !slices.Equal(o.times, want) {
		t.Errorf("times of tokens %v, want %v; %v", o.times, want, o.err)
	}
}

func TestBrokenStreamResumes(t *testing.T) {
	o := runOne(t, scripted, "plain", true, func(ctx context.Context, n int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		if n == 1 {
			return stream(ctx, a, emit, 3, &pipeline.CallError{Err: fault.Errorf(fault.AnswerIncomplete, "cut"), Units: 3})
		}
		return stream(ctx, a, emit, 4, nil)
	})
	if o.err != nil {
		t.Fatal(o.err)
	}
	checkTokens(t, o.tokens, 7)
	if o.answer.Text != "1 2 3 4 5 6 7 " {
		t.Errorf("whole answer %q", o.answer.Text)
	}
}

func TestStreamThatCannotResumeEndsWithAnError(t *testing.T) {
	o := runOne(t, strings.ReplaceAll(scripted, "resumes = yes\n", ""), "plain", true, func(ctx context.Context, _ int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		return stream(ctx, a, emit, 3, &pipeline.CallError{Err: fault.Errorf(fault.AnswerIncomplete, "cut")})
	})
	if o.err == nil || o.err.Kind() != fault.AnswerIncomplete {
		t.Errorf("error %v", o.err)
	}
	checkTokens(t, o.tokens, 3)
}

func TestStalledStreamIsFoundAndMoved(t *testing.T) {
	o := runOne(t, scripted, "plain", true, func(ctx context.Context, n int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		if n == 1 {
			_, _ = stream(ctx, a, emit, 2, nil)
			<-ctx.Done()
			return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
		}
		return stream(ctx, a, emit, 2, nil)
	})
	if o.err != nil || o.took > time.Second {
		t.Fatalf("error %v after %v", o.err, o.took)
	}
	checkTokens(t, o.tokens, 4)
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	o := runOne(t, scripted, "plain", false, func(ctx context.Context, _ int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		<-ctx.Done()
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	})
	if o.err == nil || o.err.Kind() != fault.DeadlineExceeded || o.took != 3*time.Second {
		t.Errorf("error %v after %v", o.err, o.took)
	}
	if len(o.charges) != 1 || o.charges[0].Waste != pipeline.Late {
		t.Errorf("charges %+v", o.charges)
	}
}

func TestHedgeTakesTheFirstAnswer(t *testing.T) {
	hedged := strings.Replace(scripted, "[stage think]\n", "[stage think]\nhedge = yes\n", 1)
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(hedged + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	if set == nil {
		t.Fatal(problems)
	}
	var mu sync.Mutex
	var charges []pipeline.Charge
	synctest.Test(t, func(t *testing.T) {
		slow := false
		n := 0
		r := pipeline.New(pipeline.Deps{
			Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
			Call: func(ctx context.Context, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
				mu.Lock()
				n++
				d := 10 * time.Millisecond
				if slow && n%2 == 1 {
					d = time.Second
				}
				mu.Unlock()
				select {
				case <-time.After(d):
					return pipeline.Result{Text: a.Endpoint.Name(), Units: 1}, nil
				case <-ctx.Done():
					return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
				}
			},
			Decide: func(pipeline.Decision) {},
			Charge: func(c pipeline.Charge) {
				mu.Lock()
				defer mu.Unlock()
				charges = append(charges, c)
			},
			Observe: func(string, time.Duration, time.Duration, error) {},
			Token:   func(string, bool, time.Duration) {},
			NewID:   func() string { return "a" },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.Replace(set)
		k, _ := set.Kind("plain")
		org, _ := set.Organisation("roofs")
		run := func() time.Duration {
			began := time.Now()
			if _, err := r.Run(context.Background(), pipeline.Request{Organisation: org, Kind: k, Deadline: began.Add(3 * time.Second)}); err != nil {
				t.Fatal(err)
			}
			return time.Since(began)
		}
		for range 20 {
			run()
		}
		slow, n, charges = true, 0, nil
		if took := run(); took > 100*time.Millisecond {
			t.Errorf("with a hedge the request took %v", took)
		}
		synctest.Wait()
	})
	if len(charges) != 2 || charges[0].Waste != pipeline.Useful || charges[1].Waste != pipeline.Hedged {
		t.Errorf("charges %+v", charges)
	}
}

func TestCallerThatGoesAwayCancelsItsCall(t *testing.T) {
	set, _ := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(scripted + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	synctest.Test(t, func(t *testing.T) {
		cancelled := false
		r := pipeline.New(pipeline.Deps{
			Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
			Call: func(ctx context.Context, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
				<-ctx.Done()
				cancelled = errors.Is(ctx.Err(), context.Canceled)
				return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
			},
			Decide: func(pipeline.Decision) {}, Charge: func(pipeline.Charge) {},
			Observe: func(string, time.Duration, time.Duration, error) {},
			Token:   func(string, bool, time.Duration) {}, NewID: func() string { return "" },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.Replace(set)
		k, _ := set.Kind("plain")
		org, _ := set.Organisation("roofs")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := r.Run(ctx, pipeline.Request{Organisation: org, Kind: k, Deadline: time.Now().Add(3 * time.Second)})
		if fault.From(err).Kind() != fault.Cancelled || !cancelled {
			t.Errorf("error %v, call cancelled: %v", err, cancelled)
		}
	})
}
