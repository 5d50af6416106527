package relay

import (
	"testing"
	"time"

	"chervilpath/core/route"
)

// The caller of a stream gives up before its deadline if no event arrives. The
// first event has to be planned for that time: callers have disconnected after
// 7.2 s while the stages of their requests were planned for a deadline of 20 s.
func TestFirstEventDeadlineIsBoundedByEventTimeout(t *testing.T) {
	tests := []struct {
		targetLatency, targetGap, want time.Duration
	}{
		{1800 * time.Millisecond, 300 * time.Millisecond, 7200 * time.Millisecond},
		{100 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{200 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	}
	for _, tt := range tests {
		if got := eventTimeout(&route.Route{TargetLatency: tt.targetLatency, TargetGap: tt.targetGap}); got != tt.want {
			t.Errorf("target latency %v, target gap %v: %v, want %v", tt.targetLatency, tt.targetGap, got, tt.want)
		}
	}
	deps := Deps{
		Quarantine: newTracker(),
		Table: func() *route.Table {
			table, err := route.New(1, []route.Route{{
				Name: "brief", Host: "h", Prefix: "/", Kind: route.Streaming, TargetLatency: time.Second, Public: true,
				Targets: []route.Target{{Service: "llm", Weight: 1}},
			}}, nil, nil, route.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			return table
		},
		Random: func() float64 { return 0 }, Shutdown: func() Shutdown { return Shutdown{} }, Log: func(Decision) {},
	}
	deps.Clock.Now = time.Now
	now := time.Now()
	e, err := New(deps).newExecution(&Request{ID: "r", Host: "h", Path: "/x", Timeout: 20 * time.Second, Arrived: now}, ResponseWriter{})
	if err != nil {
		t.Fatal(err)
	}
	if firstEvent := e.firstEventDeadline.Sub(now); firstEvent > 4*time.Second || e.deadline.Sub(now) < 19*time.Second {
		t.Errorf("the first event is planned by %v and the end by %v", firstEvent, e.deadline.Sub(now))
	}
}
