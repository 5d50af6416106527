package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// Guards against harm by load headers that cannot be used: every request is served, no slower,
// and each header is counted. The load of another server still counts.
func TestOddLoadsCostNobodyAnything(t *testing.T) {
	t.Parallel()
	paths := noticePaths()
	delete(paths, "engine")
	for name, p := range paths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, odd, _ := newNoticeSite(t, p)
			s.reach(p, odd)
			refused := s.counter("chervilpath_server_loads_refused_total")
			before := len(requestsAfter(odd, time.Time{}))
			for i, values := range stand.OddLoads {
				odd.SayOddLoad(values, time.Minute)
				s.reach(p, odd)
				start := time.Now()
				if served := s.sendAlong(p, fmt.Sprint("odd-", i), 2); served != 2 || time.Since(start) > time.Second {
					t.Errorf("%.40q: %d of 2 requests served in %v", values, served, time.Since(start))
				}
			}
			if got, want := s.counter("chervilpath_server_loads_refused_total")-refused, float64(len(requestsAfter(odd, time.Time{}))-before); got != want {
				t.Errorf("%v load headers refused, want %v", got, want)
			}
			if n := s.counter("chervilpath_server_loads_total"); n == 0 {
				t.Error("no load of a server is counted")
			}
		})
	}
}

// Guards against a report that does not reach what chooses servers: a server that reports to
// be slow gets fewer requests than the other one. It is not slow, since the durations of its
// calls alone would have that effect.
func TestServerThatReportsToBeSlowGetsLess(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"plain", "stages"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := noticePaths()[name]
			s, slow, usual := newNoticeSite(t, p)
			slow.WorkTime, usual.WorkTime = 20*time.Millisecond, 20*time.Millisecond
			s.reach(p, slow)
			s.reach(p, usual)
			slow.SayOddLoad([]string{"1,0,8,500"}, time.Minute)
			s.reach(p, slow)
			start := time.Now()
			var wg sync.WaitGroup
			for i := range 2 {
				wg.Go(func() {
					for k := range 40 {
						if got := s.send(t.Context(), 0, http.MethodPost, "/look/1", fmt.Sprintf("load-%d-%d", i, k), p.header, ""); got.status != http.StatusOK {
							t.Errorf("status %d, %v", got.status, got.err)
						}
					}
				})
			}
			wg.Wait()
			if a, b := len(requestsAfter(slow, start)), len(requestsAfter(usual, start)); 3*a > b {
				t.Errorf("%d requests to the server that reports to be slow, %d to the other one", a, b)
			}
		})
	}
}
