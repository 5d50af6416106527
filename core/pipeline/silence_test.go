package pipeline_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
	"chervilpath/core/stage"
)

// awaitOrFail waits for d, or returns the error of a call that was cancelled.
func awaitOrFail(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &pipeline.CallError{Err: fault.From(ctx.Err())}
	}
}

// Guards against a stream that is ended because its endpoint is silent for a while,
// although it cannot go on at another one.
func TestSilentStreamThatCannotMoveIsKept(t *testing.T) {
	noResume := strings.ReplaceAll(testDeclarations, "resumes = yes\n", "")
	for name, tt := range map[string]struct {
		declarations, kind string
		tokensBefore       int
	}{
		"endpoints do not resume":                    {noResume, "plain", 2},
		"not idempotent, before the first token":     {testDeclarations, "book", 0},
		"not idempotent, between tokens":             {testDeclarations, "book", 2},
		"no retries, before the first token":         {strings.ReplaceAll(testDeclarations, "retries = 2\n", "retries = 0\n"), "plain", 0},
		"no retries, between tokens that may resume": {strings.ReplaceAll(testDeclarations, "retries = 2\n", "retries = 0\n"), "plain", 2},
	} {
		for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v", name, pause), func(t *testing.T) {
				streams := 0
				rec := runRequest(t, tt.declarations, tt.kind, true, func(ctx context.Context, _ int, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
					if !a.Stream {
						return okResult, nil
					}
					streams++
					if _, err := streamTokens(ctx, a, emit, tt.tokensBefore, nil); err != nil {
						return pipeline.Result{}, err
					}
					if err := awaitOrFail(ctx, pause); err != nil {
						return pipeline.Result{}, err
					}
					return streamTokens(ctx, a, emit, 3, nil)
				})
				if rec.err != nil || streams != 1 || len(rec.tokens) != tt.tokensBefore+3 {
					t.Errorf("error %v, %d streams, %d tokens", rec.err, streams, len(rec.tokens))
				}
			})
		}
	}
}

// Guards against a request that fails because all endpoints of a stage are silent for a
// while: the last attempt that it may make is not given up, nor one that has no retry
// budget to follow it.
func TestSilentEndpointsDelayTheRequestOnly(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, retries := range []int{0, 2} {
			for _, warm := range []int{40, 400} {
				for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
					t.Run(fmt.Sprintf("stream %v, %d retries, %d calls before, %v", stream, retries, warm, pause), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { callSilentEndpoints(t, stream, retries, warm, pause) })
					})
				}
			}
		}
	}
}

func callSilentEndpoints(t *testing.T, stream bool, retries, warm int, pause time.Duration) {
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(strings.ReplaceAll(testDeclarations, "retries = 2\n", fmt.Sprintf("retries = %d\n", retries)) + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k"))}})
	if set == nil {
		t.Fatal(problems)
	}
	var silentUntil time.Time
	n := 0
	r := pipeline.New(pipeline.Deps{
		Clock: stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }},
		Call: func(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
			if err := awaitOrFail(ctx, max(20*time.Millisecond, time.Until(silentUntil))); err != nil {
				return pipeline.Result{}, err
			}
			if a.Stream {
				emit("done")
			}
			return okResult, nil
		},
		LogDecision: func(pipeline.Decision) { n++ }, RecordCharge: func(pipeline.Charge) {},
		ObserveStage: func(string, time.Duration, time.Duration, error) {}, ObserveToken: func(string, bool, time.Duration) {},
		NewID: func() string { return fmt.Sprint("a", n) },
	}, stage.Policy{}, rand.New(rand.NewPCG(1, 1)))
	r.SetDeclarations(set)
	kind, _ := set.Kind("plain")
	org, _ := set.Organisation("roofs")
	for i := range warm + 1 {
		if i == warm {
			silentUntil = time.Now().Add(pause)
		}
		req := pipeline.Request{ID: fmt.Sprint("r", i), Organisation: org, Kind: kind, Deadline: time.Now().Add(6 * time.Second), Input: pipeline.Payload{Text: "x"}}
		if stream {
			req.Emit = func(pipeline.Token) {}
		}
		start := time.Now()
		answer, err := r.Run(t.Context(), req)
		if err != nil || answer.Text != okResult.Text {
			t.Errorf("request %d: answer %q, error %v after %v", i, answer.Text, err, time.Since(start))
		}
	}
}
