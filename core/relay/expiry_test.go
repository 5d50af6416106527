package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// A stage has to end before the results that it reads expire: a piece that
// starts later finds its inputs gone.
func TestStageDeadlineIsBoundedByInputExpiry(t *testing.T) {
	const resultTTL = time.Second
	table, err := route.New(1, []route.Route{{
		Name: "draft", Host: "h", Prefix: "/", Kind: route.Streaming, TargetLatency: time.Second, Timeout: 20 * time.Second, Public: true,
		Targets: []route.Target{{Service: "llm", Weight: 1}}, Stages: []route.Stage{{Service: "s"}, {Service: "s", DependsOn: []int{0}}},
	}}, []route.Service{
		{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}, {Name: "s", Pieces: &route.PieceConfig{ResultTTL: resultTTL}},
	}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1"}}, 1)
	var remaining []time.Duration
	deps := Deps{
		Quarantine: newTracker(),
		AwaitReady: func(context.Context) bool { return true },
		Table:      func() *route.Table { return table }, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown { return Shutdown{} }, ShutdownCtx: t.Context(), RecordCall: func(string) {}, Servers: view.Snapshot,
		ResultZone: func(string) string { return "" }, AllowRetry: func(string) bool { return false },
		Place:  func(context.Context, string, engine.Query) (string, error) { return "e-1", nil },
		Settle: func(string, string, string, balance.Outcome) {}, FreeResults: func(string, []string) {},
		RunStage: func(_ context.Context, job StageJob) ([]string, error) {
			remaining = append(remaining, job.Remaining)
			return []string{fmt.Sprint("a/", job.Stage)}, nil
		},
		Send: func(context.Context, Attempt) (*Response, error) {
			return nil, &SendError{Err: errors.New("no engine"), NotSent: true}
		},
	}
	deps.Clock.Now = time.Now
	deps.Clock.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	// The send fails; only the stages matter here.
	_, _ = New(deps).Serve(t.Context(), &Request{
		ID: "r", Host: "h", Path: "/x", Timeout: 20 * time.Second, Pieces: []int{1, 1}, PieceKey: "k", Arrived: time.Now(),
	}, ResponseWriter{})
	if len(remaining) < 2 || remaining[0] <= resultTTL || remaining[1] > resultTTL {
		t.Errorf("the stages may take %v; want the second to end when its input expires after %v", remaining, resultTTL)
	}
}
