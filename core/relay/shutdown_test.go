package relay

import (
	"context"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// A stream must not be accepted during a shutdown that may cut it off. A stream
// of a route whose streams are short on average was accepted 5.5 s after
// SIGTERM and cut off at the end of the grace period (herd-kill-in-a-roll, seed
// 776742758199).
func TestRequestLateInShutdownMustFitItsTimeout(t *testing.T) {
	table, err := route.New(1, []route.Route{{
		Name: "draft", Host: "h", Prefix: "/", Kind: route.Streaming, TargetLatency: time.Second, Timeout: 6 * time.Second, Public: true,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, nil, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	sigterm := time.Now()
	shutdown := Shutdown{RestrictFrom: sigterm.Add(2500 * time.Millisecond), End: sigterm.Add(7600 * time.Millisecond)}
	now := sigterm
	deps := Deps{
		Quarantine: newTracker(),
		AwaitReady: func(context.Context) bool { return true },
		Table:      func() *route.Table { return table }, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown { return shutdown }, ShutdownCtx: t.Context(),
	}
	deps.Clock.Now = func() time.Time { return now }
	r := New(deps)
	for _, tt := range []struct {
		sinceSigterm, timeout time.Duration
		accepted              bool
	}{
		{time.Second, 6 * time.Second, true},
		{2 * time.Second, 6 * time.Second, true},
		{3 * time.Second, 6 * time.Second, false},
		{5500 * time.Millisecond, 6 * time.Second, false},
		{5500 * time.Millisecond, time.Second, true},
		{7 * time.Second, time.Second, false},
	} {
		now = sigterm.Add(tt.sinceSigterm)
		_, err := r.newExecution(&Request{ID: "r", Host: "h", Path: "/x", Timeout: tt.timeout, Arrived: now}, ResponseWriter{})
		if accepted := err == nil; accepted != tt.accepted {
			t.Errorf("%v after SIGTERM with a timeout of %v: accepted %v, want %v (%v)", tt.sinceSigterm, tt.timeout, accepted, tt.accepted, err)
		}
		if err != nil && fault.From(err).Ran() != fault.RanNo {
			t.Errorf("the refusal does not say that nothing ran: %v", err)
		}
	}
}

// A request whose stages are still running when the shutdown ends gets a
// refusal instead of being cut off.
func TestRequestInStagesIsRefusedBeforeShutdownEnds(t *testing.T) {
	table, err := route.New(1, []route.Route{{
		Name: "draft", Host: "h", Prefix: "/", Kind: route.Streaming, TargetLatency: time.Second, Timeout: 6 * time.Second, Public: true,
		Targets: []route.Target{{Service: "llm", Weight: 1}}, Stages: []route.Stage{{Service: "photos"}},
	}}, []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}, {Name: "photos", Pieces: &route.PieceConfig{}}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1"}}, 1)
	shutdownCtx, endShutdown := context.WithCancel(t.Context())
	deps := Deps{
		Quarantine: newTracker(),
		AwaitReady: func(context.Context) bool { return true },
		Table:      func() *route.Table { return table }, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown { return Shutdown{} }, ShutdownCtx: shutdownCtx, RecordCall: func(string) {},
		Servers: view.Snapshot, ResultZone: func(string) string { return "" },
		Place:  func(context.Context, string, engine.Query) (string, error) { return "e-1", nil },
		Settle: func(string, string, string, balance.Outcome) {},
		RunStage: func(ctx context.Context, _ StageJob) ([]string, error) {
			endShutdown()
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	deps.Clock.Now = time.Now
	_, err = New(deps).Serve(t.Context(), &Request{
		ID: "r", Host: "h", Path: "/x", Timeout: 5 * time.Second, Pieces: []int{1}, PieceKey: "k", Arrived: time.Now(),
	}, ResponseWriter{})
	if f := fault.From(err); f.Kind() != fault.Draining || f.Ran() != fault.RanNo {
		t.Errorf("the request ends with %v (%v, ran %v), want a refusal since the instance shuts down", err, f.Kind(), f.Ran())
	}
}
