package relay

import (
	"testing"
	"time"

	"chervilpath/core/route"
)

// Found on the grown Kgotso site: callers of crew-brief left after 7.2 s while
// their stages were planned for a deadline of 20 s.
func TestCallersOfStreamsLeaveBeforeTheirDeadline(t *testing.T) {
	tests := []struct {
		aim, gap, want time.Duration
	}{
		{1800 * time.Millisecond, 300 * time.Millisecond, 7200 * time.Millisecond},
		{100 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{200 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	}
	for _, tt := range tests {
		if got := patience(&route.Route{Aim: tt.aim, GapAim: tt.gap}); got != tt.want {
			t.Errorf("aim %v, gap %v: %v, want %v", tt.aim, tt.gap, got, tt.want)
		}
	}
	deps := Deps{
		Table: func() *route.Table {
			table, err := route.New(1, []route.Route{{
				Name: "brief", Host: "h", Prefix: "/", Repeat: route.Streaming, Aim: time.Second, Public: true,
				Targets: []route.Target{{Service: "llm", Weight: 1}},
			}}, nil, nil, route.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			return table
		},
		Draw: func() float64 { return 0 }, Stop: func() Stop { return Stop{} }, Log: func(Decision) {},
	}
	deps.Clock.Now = time.Now
	now := time.Now()
	u, err := New(deps).begin(&Request{ID: "r", Host: "h", Path: "/x", Wait: 20 * time.Second, Arrived: now}, Caller{})
	if err != nil {
		t.Fatal(err)
	}
	if first := u.firstBy.Sub(now); first > 4*time.Second || u.end.Sub(now) < 19*time.Second {
		t.Errorf("the first event is planned by %v and the end by %v", first, u.end.Sub(now))
	}
}
