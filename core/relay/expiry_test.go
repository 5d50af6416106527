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

// A stage's work is of no use once the results that it reads are given up.
func TestStageEndsWithItsInputs(t *testing.T) {
	const kept = time.Second
	table, err := route.New(1, []route.Route{{
		Name: "draft", Host: "h", Prefix: "/", Repeat: route.Streaming, Aim: time.Second, Timeout: 20 * time.Second, Public: true,
		Targets: []route.Target{{Service: "llm", Weight: 1}}, Stages: []route.Stage{{Service: "s"}, {Service: "s", After: []int{0}}},
	}}, []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 8}}, {Name: "s", Pieces: &route.Pieces{ResultLife: kept}},
	}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1"}}, 1)
	var left []time.Duration
	deps := Deps{
		Table: func() *route.Table { return table }, Draw: func() float64 { return 0 }, Log: func(Decision) {},
		Stop: func() Stop { return Stop{} }, Stopping: t.Context(), Count: func(string) {}, Servers: view.Snapshot,
		ZoneOf: func(string) string { return "" }, Allow: func(string) bool { return false },
		Place:  func(context.Context, string, engine.Query) string { return "e-1" },
		Settle: func(string, string, string, balance.Outcome) {}, Free: func(string, []string) {},
		Work: func(_ context.Context, w Work) ([]string, error) {
			left = append(left, w.Left)
			return []string{fmt.Sprint("a/", w.Stage)}, nil
		},
		Send: func(context.Context, Attempt) (*Reply, error) {
			return nil, &SendError{Err: errors.New("no engine"), NotSent: true}
		},
	}
	deps.Clock.Now = time.Now
	deps.Clock.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	// The send fails; only the stages matter here.
	_, _ = New(deps).Serve(t.Context(), &Request{
		ID: "r", Host: "h", Path: "/x", Wait: 20 * time.Second, Pieces: []int{1, 1}, PieceKey: "k", Arrived: time.Now(),
	}, Caller{})
	if len(left) < 2 || left[0] <= kept || left[1] > kept {
		t.Errorf("the stages may take %v; want the second to end when its input is given up after %v", left, kept)
	}
}
