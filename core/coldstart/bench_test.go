package coldstart_test

import (
	"testing"
	"time"

	"chervilpath/core/coldstart"
	"chervilpath/core/fleet"
)

// newBusyLimiter returns a limiter for 650 cold servers that have been asked for.
func newBusyLimiter(now time.Time) (*coldstart.Limiter, []fleet.Server) {
	l := coldstart.NewLimiter(now)
	servers := make([]fleet.Server, 650)
	for i := range servers {
		servers[i] = coldSince(inc(i), now)
		l.Admit(now, inc(i), servers[i], 9)
	}
	return l, servers
}

// BenchmarkAdmit measures one decision with 650 cold servers, of which a part is refused.
func BenchmarkAdmit(b *testing.B) {
	now := start
	l, servers := newBusyLimiter(now)
	granted := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := servers[i%len(servers)]
		now = now.Add(200 * time.Microsecond)
		if l.Admit(now, s.Incarnation(), s, 9).Granted {
			granted++
		}
	}
	b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
}

// BenchmarkMayAdmit measures the question that placement asks for each engine.
func BenchmarkMayAdmit(b *testing.B) {
	now := start
	l, servers := newBusyLimiter(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		l.MayAdmit(now, servers[i%len(servers)].ID)
	}
}

// The decision is made for each request to a cold server, at one instance for all.
func TestAdmitDoesNotAllocate(t *testing.T) {
	now := start
	l, servers := newBusyLimiter(now)
	i := 0
	if n := testing.AllocsPerRun(10_000, func() {
		s := servers[i%len(servers)]
		i++
		now = now.Add(100 * time.Microsecond)
		l.Admit(now, s.Incarnation(), s, 9)
		l.MayAdmit(now, s.ID)
	}); n > 0 {
		t.Errorf("%g allocations for a decision", n)
	}
}
