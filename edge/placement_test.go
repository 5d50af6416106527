package edge_test

import (
	"fmt"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// Failure: what other instances observe of engines does not reach the one that places
// requests, so that it keeps placing them on a slow engine.
func TestSlowEngineGetsFewerRequestsFromAllInstances(t *testing.T) {
	t.Parallel()
	var engines []*stand.Server
	for i := range 3 {
		e := stand.NewServer(fmt.Sprint("e-", i), "llm", "a")
		e.NumEvents, e.EventGap, e.WorkTime = 4, 2*time.Millisecond, 20*time.Millisecond
		engines = append(engines, e)
	}
	engines[2].Pace = 6
	s := newTestSite(t, 3, configSpec(1, apiKeys, routeSpec("draft", "streaming", "llm", nil)), engines...)
	for i := range 90 {
		if got := s.post(i%3, "/draft/1", fmt.Sprint("r-", i)); got.err != nil || !stand.IsCompleteStream(got.body, 4) {
			t.Fatalf("r-%d: %+v", i, got)
		}
	}
	if n := engines[2].TotalRuns(); n > 20 {
		t.Errorf("the slow engine gets %d of 90 requests", n)
	}
	s.eventually("reports of other instances to be used", func() bool {
		return s.counter(`chervilpath_engine_observations_total{result="sent"}`) > 20 && s.counter(`chervilpath_engine_observations_total{result="used"}`) > 60
	})
}
