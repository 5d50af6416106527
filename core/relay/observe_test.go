package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/engine"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// Failure: the instance that places requests does not learn how fast engines are, or what a
// request needs, and places by the number of requests.
func TestPaceOfEnginesIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{
			Name: "brief", Host: "h", Prefix: "/", Kind: route.Streaming, MaxAttempts: 1, TargetLatency: time.Second, TargetGap: 300 * time.Millisecond,
			Timeout: 20 * time.Second, Priority: 2, Public: true, Targets: []route.Target{{Service: "llm", Weight: 1}},
		}
		table, err := route.New(1, []route.Route{rt}, []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}, nil, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		view := fleet.New(time.Second)
		view.Replace(time.Now(), []fleet.Server{{ID: "e-0", Service: "llm", Address: "a:1"}}, 1)
		deps := newDeps(t.Context(), table, view)
		var query engine.Query
		deps.Place = func(_ context.Context, _ string, q engine.Query) (string, error) {
			query = q
			return "e-0", nil
		}
		var reports []engine.Observation
		deps.Observe = func(_ string, o engine.Observation) { reports = append(reports, o) }
		deps.Send = func(ctx context.Context, _ Attempt) (*Response, error) {
			parts := []part{event(1, 120*time.Millisecond)}
			for n := 2; n <= 6; n++ {
				parts = append(parts, event(n, 40*time.Millisecond))
			}
			return &Response{Status: http.StatusOK, EventStream: true, Body: &timedBody{ctx: ctx, due: time.Now(), parts: parts}}, nil
		}
		parts := []engine.Part{{ID: "shared", Tokens: 6300}, {ID: "own", Tokens: 2890}}
		req := &Request{
			ID: "r", Host: "h", Path: "/x", Arrived: time.Now(), Affinity: "shared", Parts: parts, PromptTokens: 9190, OutputTokens: 400, ExpectedTokens: 52,
		}
		_, err = New(deps).Serve(t.Context(), req, ResponseWriter{
			Respond: func(int, map[string][]string, []byte) {}, WriteHeader: func(int, map[string][]string) {}, Write: func([]byte) error { return nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		want := []engine.Observation{
			{RequestID: "r", Server: "e-0", FirstEvent: 120 * time.Millisecond},
			{RequestID: "r", Server: "e-0", Interval: 40 * time.Millisecond, Events: 5},
		}
		if fmt.Sprint(reports) != fmt.Sprint(want) {
			t.Errorf("reported %v, want %v", reports, want)
		}
		if fmt.Sprint(query.Parts) != fmt.Sprint(parts) || query.PromptTokens != 9190 || query.OutputTokens != 52 {
			t.Errorf("placed with %v, %d prompt tokens and %d output tokens", query.Parts, query.PromptTokens, query.OutputTokens)
		}
		if d := query.Demand; d.Class != "brief" || d.Priority != 2 || d.Worth == 0 || d.Due.IsZero() {
			t.Errorf("placed with the demand %+v", d)
		}
	})
}
