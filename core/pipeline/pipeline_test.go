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

// callFunc is the endpoint's side of an attempt. Attempts are numbered from 1.
type callFunc func(ctx context.Context, attempt int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error)

// runRecord is what was observed of one request.
type runRecord struct {
	decisions  []pipeline.Decision
	charges    []pipeline.Charge
	tokens     []pipeline.Token
	tokenTimes []time.Duration
	answer     pipeline.Answer
	err        *fault.Error
	took       time.Duration
}

const testDeclarations = `[pipeline plain]
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

// runRequest runs one request of the given kind in virtual time. Its calls are
// answered by f.
func runRequest(t *testing.T, declarations, kind string, stream bool, f callFunc) runRecord {
	t.Helper()
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(declarations + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	if set == nil {
		t.Fatal(problems)
	}
	var rec runRecord
	synctest.Test(t, func(t *testing.T) {
		n := 0
		r := pipeline.New(pipeline.Deps{
			Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
			Call: func(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
				n++
				return f(ctx, n, a, emit)
			},
			LogDecision:  func(d pipeline.Decision) { rec.decisions = append(rec.decisions, d) },
			RecordCharge: func(c pipeline.Charge) { rec.charges = append(rec.charges, c) },
			ObserveStage: func(string, time.Duration, time.Duration, error) {},
			ObserveToken: func(_ string, _ bool, d time.Duration) { rec.tokenTimes = append(rec.tokenTimes, d) },
			NewID:        func() string { return fmt.Sprint("a", n) },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.SetDeclarations(set)
		k, _ := set.Kind(kind)
		org, _ := set.Organisation("roofs")
		req := pipeline.Request{ID: "r", Organisation: org, Kind: k, Deadline: time.Now().Add(3 * time.Second), Input: pipeline.Payload{Text: "x"}}
		if stream {
			req.Emit = func(t pipeline.Token) { rec.tokens = append(rec.tokens, t) }
		}
		start := time.Now()
		answer, err := r.Run(context.Background(), req)
		rec.answer, rec.err, rec.took = answer, fault.From(err), time.Since(start)
	})
	return rec
}

func TestResultBecomesInputOfNextStageOnly(t *testing.T) {
	var inputs []pipeline.Payload
	rec := runRequest(t, testDeclarations, "book", false, func(_ context.Context, n int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		inputs = append(inputs, a.Input)
		return pipeline.Result{Text: fmt.Sprint("result ", n), Units: 1}, nil
	})
	if len(inputs) != 2 || !slices.Equal(inputs[1].Documents, []string{"result 1"}) {
		t.Errorf("stage inputs = %+v, want the result of the first stage as a document of the second", inputs)
	}
	if rec.answer.Text != "result 2" || !slices.Equal(rec.answer.Documents, []string{"result 1"}) {
		t.Errorf("answer = %+v, want the text of the last stage only, and the documents of the first", rec.answer)
	}
}

var (
	errReset   = &pipeline.CallError{Err: fault.Errorf(fault.EndpointFailed, "reset")}
	errRefused = &pipeline.CallError{Err: fault.Errorf(fault.EndpointUnavailable, "refused"), NotRun: true, NotSent: true}
	okResult   = pipeline.Result{Text: "done", Units: 1}
)

func TestFailedCallIsRetriedOnAnotherEndpoint(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", false, func(_ context.Context, n int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if n == 1 {
			return pipeline.Result{}, errReset
		}
		return okResult, nil
	})
	if rec.err != nil || len(rec.decisions) != 2 || rec.decisions[0].Endpoint == rec.decisions[1].Endpoint {
		t.Errorf("error = %v, decisions = %+v; want a retry on another endpoint", rec.err, rec.decisions)
	}
	if len(rec.charges) != 2 || rec.charges[0].Class != pipeline.Failed || rec.charges[0].UnitsKnown || rec.charges[1].Class != pipeline.Useful {
		t.Errorf("charges = %+v, want a failed one of unknown cost and a useful one", rec.charges)
	}
}

// TestRefusedConnectionsNeedNoRetryBudget guards against losing every request that
// is sent to an endpoint that is down: a new instance has no retry budget yet, so
// refused connections were not retried.
func TestRefusedConnectionsNeedNoRetryBudget(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", false, func(_ context.Context, n int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if n <= 3 {
			return pipeline.Result{}, errRefused
		}
		return okResult, nil
	})
	if rec.err != nil || len(rec.decisions) != 4 {
		t.Errorf("error = %v after %d attempts, want success after 4", rec.err, len(rec.decisions))
	}
}

// TestUnsentAttemptsDoNotCountAsRetries checks that a refused connection does not
// use up the only retry of the stage, which is needed when the next endpoint is at
// capacity.
func TestUnsentAttemptsDoNotCountAsRetries(t *testing.T) {
	oneRetry := strings.Replace(testDeclarations, "retries = 2\n[stage reserve]", "retries = 1\n[stage reserve]", 1)
	full := &pipeline.CallError{Err: fault.Errorf(fault.EndpointUnavailable, "full"), NotRun: true, Full: true}
	rec := runRequest(t, oneRetry, "plain", false, func(_ context.Context, n int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		switch n {
		case 1:
			return pipeline.Result{}, errRefused
		case 2:
			return pipeline.Result{}, full
		}
		return okResult, nil
	})
	if rec.err != nil || len(rec.decisions) != 3 {
		t.Errorf("error = %v after %d attempts, want success after 3", rec.err, len(rec.decisions))
	}
}

func TestNonIdempotentCallIsSentOnce(t *testing.T) {
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
			rec := runRequest(t, testDeclarations, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
				if a.Stage.Name() == "think" {
					return okResult, nil
				}
				reserved++
				return pipeline.Result{}, test.err
			})
			if reserved != test.calls || rec.err == nil || rec.err.Ran() != test.ran || rec.err.Stage() != "reserve" {
				t.Errorf("%d calls, error %v, ran %v, stage %q", reserved, rec.err, rec.err.Ran(), rec.err.Stage())
			}
		})
	}
}

func TestFailureBeforeNonIdempotentStageReportsNotRun(t *testing.T) {
	rec := runRequest(t, testDeclarations, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if a.Stage.Name() == "reserve" {
			t.Error("the non-idempotent stage was called after a failure before it")
		}
		return pipeline.Result{}, errReset
	})
	if rec.err == nil || rec.err.Ran() != fault.RanNo {
		t.Errorf("error = %v, ran = %v; want no", rec.err, rec.err.Ran())
	}
}

func TestFailureAfterNonIdempotentStageReportsRan(t *testing.T) {
	reserveFirst := strings.Replace(testDeclarations, "stages = think, reserve\n[stage", "stages = reserve, think\n[stage", 1)
	rec := runRequest(t, reserveFirst, "book", false, func(_ context.Context, _ int, a pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		if a.Stage.Name() == "reserve" {
			return okResult, nil
		}
		return pipeline.Result{}, errReset
	})
	if rec.err == nil || rec.err.Ran() != fault.RanYes {
		t.Errorf("error = %v, ran = %v; want yes", rec.err, rec.err.Ran())
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	set, _ := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(testDeclarations + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	synctest.Test(t, func(t *testing.T) {
		r := pipeline.New(pipeline.Deps{Clock: stage.Clock{Now: time.Now}}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.SetDeclarations(set)
		k, _ := set.Kind("book")
		org, _ := set.Organisation("roofs")
		_, err := r.Run(context.Background(), pipeline.Request{Organisation: org, Kind: k, Deadline: time.Now().Add(50 * time.Millisecond)})
		if e := fault.From(err); e == nil || e.Kind() != fault.DeadlineTooShort || e.Ran() != fault.RanNo {
			t.Errorf("error = %v, want deadlineTooShort before anything ran", err)
		}
	})
}

// streamTokens emits count tokens at intervals of 10 ms and then returns err.
func streamTokens(ctx context.Context, a pipeline.Attempt, emit func(string), count int, err error) (pipeline.Result, error) {
	for i := a.ResumeAfter + 1; i <= a.ResumeAfter+count; i++ {
		time.Sleep(10 * time.Millisecond)
		emit(fmt.Sprint(i, " "))
	}
	return pipeline.Result{Text: "", Units: float64(count)}, err
}

func checkTokens(t *testing.T, tokens []pipeline.Token, want int) {
	t.Helper()
	if len(tokens) != want {
		t.Fatalf("got %d tokens, want %d", len(tokens), want)
	}
	for i, token := range tokens {
		if token.Sequence != i+1 || token.Text != fmt.Sprint(i+1, " ") {
			t.Fatalf("token %d = %+v", i+1, token)
		}
	}
}

func TestTokenTimesAreObserved(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", true, func(ctx context.Context, _ int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		time.Sleep(90 * time.Millisecond)
		return streamTokens(ctx, a, emit, 3, nil)
	})
	want := []time.Duration{100 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}
	if rec.err != nil || !slices.Equal(rec.tokenTimes, want) {
		t.Errorf("token times = %v, want %v; error = %v", rec.tokenTimes, want, rec.err)
	}
}

func TestBrokenStreamResumes(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", true, func(ctx context.Context, n int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		if n == 1 {
			return streamTokens(ctx, a, emit, 3, &pipeline.CallError{Err: fault.Errorf(fault.AnswerIncomplete, "cut"), Units: 3})
		}
		return streamTokens(ctx, a, emit, 4, nil)
	})
	if rec.err != nil {
		t.Fatal(rec.err)
	}
	checkTokens(t, rec.tokens, 7)
	if rec.answer.Text != "1 2 3 4 5 6 7 " {
		t.Errorf("answer text = %q, want all streamed tokens", rec.answer.Text)
	}
}

func TestStreamThatCannotResumeEndsWithAnError(t *testing.T) {
	rec := runRequest(t, strings.ReplaceAll(testDeclarations, "resumes = yes\n", ""), "plain", true, func(ctx context.Context, _ int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		return streamTokens(ctx, a, emit, 3, &pipeline.CallError{Err: fault.Errorf(fault.AnswerIncomplete, "cut")})
	})
	if rec.err == nil || rec.err.Kind() != fault.AnswerIncomplete {
		t.Errorf("error = %v, want answerIncomplete", rec.err)
	}
	checkTokens(t, rec.tokens, 3)
}

func TestStalledStreamIsDetectedAndResumed(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", true, func(ctx context.Context, n int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
		if n == 1 {
			_, _ = streamTokens(ctx, a, emit, 2, nil)
			<-ctx.Done()
			return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
		}
		return streamTokens(ctx, a, emit, 2, nil)
	})
	if rec.err != nil || rec.took > time.Second {
		t.Fatalf("error = %v after %v, want success within 1s", rec.err, rec.took)
	}
	checkTokens(t, rec.tokens, 4)
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	rec := runRequest(t, testDeclarations, "plain", false, func(ctx context.Context, _ int, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
		<-ctx.Done()
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	})
	if rec.err == nil || rec.err.Kind() != fault.DeadlineExceeded || rec.took != 3*time.Second {
		t.Errorf("error = %v after %v, want deadlineExceeded after 3s", rec.err, rec.took)
	}
	if len(rec.charges) != 1 || rec.charges[0].Class != pipeline.Late {
		t.Errorf("charges = %+v, want one of class late", rec.charges)
	}
}

func TestHedgeTakesTheFirstAnswer(t *testing.T) {
	hedging := strings.Replace(testDeclarations, "[stage think]\n", "[stage think]\nhedge = yes\n", 1)
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(hedging + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
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
			LogDecision: func(pipeline.Decision) {},
			RecordCharge: func(c pipeline.Charge) {
				mu.Lock()
				defer mu.Unlock()
				charges = append(charges, c)
			},
			ObserveStage: func(string, time.Duration, time.Duration, error) {},
			ObserveToken: func(string, bool, time.Duration) {},
			NewID:        func() string { return "a" },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.SetDeclarations(set)
		k, _ := set.Kind("plain")
		org, _ := set.Organisation("roofs")
		run := func() time.Duration {
			start := time.Now()
			if _, err := r.Run(context.Background(), pipeline.Request{Organisation: org, Kind: k, Deadline: start.Add(3 * time.Second)}); err != nil {
				t.Fatal(err)
			}
			return time.Since(start)
		}
		for range 20 {
			run()
		}
		slow, n, charges = true, 0, nil
		if took := run(); took > 100*time.Millisecond {
			t.Errorf("request with a hedge took %v, want at most 100ms", took)
		}
		synctest.Wait()
	})
	if len(charges) != 2 || charges[0].Class != pipeline.Useful || charges[1].Class != pipeline.Hedged {
		t.Errorf("charges = %+v, want a useful one and a hedged one", charges)
	}
}

func TestCancelledRequestCancelsItsCall(t *testing.T) {
	set, _ := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(testDeclarations + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	synctest.Test(t, func(t *testing.T) {
		cancelled := false
		r := pipeline.New(pipeline.Deps{
			Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
			Call: func(ctx context.Context, _ pipeline.Attempt, _ func(string)) (pipeline.Result, error) {
				<-ctx.Done()
				cancelled = errors.Is(ctx.Err(), context.Canceled)
				return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
			},
			LogDecision: func(pipeline.Decision) {}, RecordCharge: func(pipeline.Charge) {},
			ObserveStage: func(string, time.Duration, time.Duration, error) {},
			ObserveToken: func(string, bool, time.Duration) {}, NewID: func() string { return "" },
		}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
		r.SetDeclarations(set)
		k, _ := set.Kind("plain")
		org, _ := set.Organisation("roofs")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := r.Run(ctx, pipeline.Request{Organisation: org, Kind: k, Deadline: time.Now().Add(3 * time.Second)})
		if fault.From(err).Kind() != fault.Cancelled || !cancelled {
			t.Errorf("error = %v, call cancelled = %v", err, cancelled)
		}
	})
}
