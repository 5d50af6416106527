package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
)

const callTime = 100 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

func endpoints(t testing.TB, n, slots int) []*declare.Endpoint {
	t.Helper()
	var b strings.Builder
	b.WriteString("[stage s]\n[pipeline p]\nstages = s\n")
	for i := range n {
		fmt.Fprintf(&b, "[endpoint e%03d]\naddress = http://127.0.0.1:%d\nkind = engine\nstages = s\nfailureDomain = d%d\nslots = %d\n", i, 1000+i, i%3, slots)
	}
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(b.String())}})
	if set == nil {
		t.Fatal(problems)
	}
	s, _ := set.Stage("s")
	return s.Endpoints()
}

func newGroup(t testing.TB, n, slots int) *balance.Group {
	return balance.New(endpoints(t, n, slots), 1, balance.Adaptive, rand.New(rand.NewPCG(1, 2)))
}

func anyQuery() balance.Query { return balance.Query{} }

// completeCall runs a call that takes the given time while no other is in flight.
func completeCall(g *balance.Group, now time.Time, i int, took time.Duration, o balance.Outcome) {
	g.End(now.Add(took), g.Begin(now, i, callTime), o)
}

func TestCallsSpreadEvenly(t *testing.T) {
	g := newGroup(t, 10, 100)
	for range 500 {
		i, _ := g.Pick(start, anyQuery())
		g.Begin(start, i, callTime)
	}
	for _, m := range g.Status(start) {
		if m.InFlight < 45 || m.InFlight > 55 {
			t.Errorf("%s has %d of 500 calls across ten endpoints, want 45 to 55", m.Name, m.InFlight)
		}
	}
}

func TestLimitBoundsCalls(t *testing.T) {
	g := newGroup(t, 2, 3)
	for range 6 {
		i, _ := g.Pick(start, anyQuery())
		g.Begin(start, i, callTime)
	}
	if i, reason := g.Pick(start, anyQuery()); i != -1 || reason != balance.NoneFree {
		t.Errorf("Pick() with all slots taken = %d, %v, want -1, noneFree", i, reason)
	}
}

func TestFailingEndpointIsEjectedProbedAndRestored(t *testing.T) {
	g := newGroup(t, 2, 4)
	for range 3 {
		completeCall(g, start, 0, time.Millisecond, balance.Failed)
	}
	for range 50 {
		if i, _ := g.Pick(start, anyQuery()); i != 1 {
			t.Fatalf("Pick() = %d, want the healthy endpoint", i)
		}
	}
	now := start.Add(200 * time.Millisecond)
	i, reason := g.Pick(now, anyQuery())
	if i != 0 || reason != balance.Probe {
		t.Fatalf("Pick() when the probe is due = %d, %v, want 0, probe", i, reason)
	}
	probe := g.Begin(now, i, callTime)
	if i, _ := g.Pick(now, anyQuery()); i != 1 {
		t.Errorf("a second probe was sent while the first was in flight")
	}
	g.End(now.Add(callTime), probe, balance.Succeeded)
	if m := g.Status(now)[0]; m.Ejected || m.Limit > 2 {
		t.Errorf("endpoint after a successful probe = %+v, want it not ejected and with a limit of at most 2", m)
	}
}

func TestProbesBackOff(t *testing.T) {
	g := newGroup(t, 1, 4)
	now := start
	for range 3 {
		completeCall(g, now, 0, 0, balance.Failed)
	}
	probes := 0
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if i, _ := g.Pick(now, anyQuery()); i == 0 {
			probes++
			completeCall(g, now, 0, 0, balance.Failed)
		}
	}
	if probes < 5 || probes > 20 {
		t.Errorf("endpoint that is down got %d probes in 10s, want 5 to 20", probes)
	}
}

func TestSlownessEjectsOnlyHalf(t *testing.T) {
	g := newGroup(t, 4, 4)
	for range 20 {
		for i := range 4 {
			completeCall(g, start, i, 10*callTime, balance.Succeeded)
		}
	}
	ejected := 0
	for _, m := range g.Status(start.Add(time.Minute)) {
		if m.Ejected {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 4 slow endpoints were ejected, want 2", ejected)
	}
}

func TestStalledEndpointIsAvoidedBeforeItsCallsEnd(t *testing.T) {
	g := newGroup(t, 2, 10)
	g.Begin(start, 0, callTime)
	for range 5 {
		g.Begin(start.Add(9*callTime), 1, callTime)
	}
	for range 20 {
		if i, _ := g.Pick(start.Add(9*callTime), anyQuery()); i != 1 {
			t.Fatal("Pick() chose the endpoint whose call is overdue")
		}
	}
}

func TestLeavingEndpointGetsNoNewCall(t *testing.T) {
	g := newGroup(t, 2, 4)
	g.SetLeaving(map[string]bool{"e000": true})
	for range 50 {
		if i, _ := g.Pick(start, anyQuery()); i != 1 {
			t.Fatal("Pick() chose the leaving endpoint")
		}
	}
	g.SetLeaving(nil)
	if m := g.Status(start)[0]; m.Leaving || m.Limit != 1 {
		t.Errorf("endpoint that no longer leaves = %+v, want limit 1", m)
	}
}

func TestFullAnswerLowersTheLimit(t *testing.T) {
	g := newGroup(t, 1, 8)
	completeCall(g, start, 0, callTime, balance.Full)
	if m := g.Status(start)[0]; m.Limit != 6 || m.Ejected {
		t.Errorf("endpoint after it reported being full = %+v, want limit 6 and not ejected", m)
	}
}

func TestFullEndpointGetsFewCalls(t *testing.T) {
	g := newGroup(t, 2, 8)
	now := start
	calls := 0
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		i, _ := g.Pick(now, anyQuery())
		if i == 0 {
			calls++
			completeCall(g, now, 0, 0, balance.Full)
		}
	}
	if calls < 5 || calls > 20 {
		t.Errorf("endpoint that reports being full got %d calls in 10s, want 5 to 20", calls)
	}
	completeCall(g, now, 0, 0, balance.Full)
	if next := g.NextProbe(now); !next.After(now) || next.After(now.Add(time.Second)) {
		t.Errorf("NextProbe() = %v at %v, want a time within the next second", next, now)
	}
	if next := g.NextProbe(now.Add(time.Minute)); !next.IsZero() {
		t.Errorf("NextProbe() when the endpoint is due already = %v, want none, or a stage would schedule probes in a tight loop", next)
	}
}

func TestReportedLoadDecays(t *testing.T) {
	g := newGroup(t, 2, 100)
	g.ReportLoad("e000", 50, start)
	callsToReporting := func(now time.Time) (calls int) {
		for range 200 {
			if i, _ := g.Pick(now, anyQuery()); i == 0 {
				calls++
			}
		}
		return calls
	}
	if n := callsToReporting(start); n > 0 {
		t.Errorf("%d of 200 calls went to the endpoint that has just reported load, want none", n)
	}
	g.Begin(start.Add(time.Minute), 1, callTime)
	if n := callsToReporting(start.Add(time.Minute)); n < 150 {
		t.Errorf("%d of 200 calls went to the endpoint whose report is a minute old, want at least 150", n)
	}
}

func TestPickByPrefixRespectsLoadBound(t *testing.T) {
	g := newGroup(t, 8, 100)
	q := balance.Query{Prefix: balance.Hash("org", "prompt")}
	home, reason := g.Pick(start, q)
	if reason != balance.PrefixHome {
		t.Fatalf("Pick() of a prefix: reason = %v, want prefixHome", reason)
	}
	if again, _ := newGroup(t, 8, 100).Pick(start, q); again != home {
		t.Errorf("two groups picked endpoints %d and %d for one prefix, want the same", home, again)
	}
	for range 400 {
		i, _ := g.Pick(start, q)
		g.Begin(start, i, callTime)
	}
	most := 0
	for _, m := range g.Status(start) {
		most = max(most, m.InFlight)
	}
	if most > 400/8*5/4+2 {
		t.Errorf("one of 8 endpoints got %d of 400 calls with one prefix, want at most 1.25 times the mean and 2 more", most)
	}
}

func TestSetEndpointsKeepsCallsInFlight(t *testing.T) {
	g := newGroup(t, 3, 4)
	c := g.Begin(start, 2, callTime)
	all := endpoints(t, 3, 4)
	g.SetEndpoints(all[1:])
	if m := g.Status(start)[1]; m.Name != "e002" || m.InFlight != 1 {
		t.Errorf("endpoint after SetEndpoints = %+v, want e002 with 1 call in flight", m)
	}
	g.End(start, c, balance.Succeeded)
	if m := g.Status(start)[1]; m.InFlight != 0 {
		t.Errorf("endpoint after the end of its call = %+v, want no call in flight", m)
	}
	g.SetEndpoints(all)
	if m := g.Status(start)[0]; m.Limit != 1 {
		t.Errorf("new endpoint has limit %v, want 1", m.Limit)
	}
}

func BenchmarkPick650(b *testing.B) {
	for name, prefix := range map[string]uint64{"load": 0, "prefix": 42} {
		b.Run(name, func(b *testing.B) {
			g := newGroup(b, 650, 8)
			b.ReportAllocs()
			for b.Loop() {
				i, _ := g.Pick(start, balance.Query{Prefix: prefix})
				g.End(start, g.Begin(start, i, callTime), balance.Succeeded)
			}
		})
	}
}

// An endpoint that wants no calls gets none until then, a probe after an ejection
// neither, and begins with one call at a time.
func TestEndpointThatWantsNoCallsGetsNone(t *testing.T) {
	g := newGroup(t, 2, 8)
	for range 3 {
		completeCall(g, start, 0, callTime, balance.Failed)
	}
	until := start.Add(3 * time.Second)
	g.SetExcluded(start, map[string]time.Time{"e000": until, "e001": until.Add(time.Second)})
	for at := start; at.Before(until); at = at.Add(100 * time.Millisecond) {
		if i, reason := g.Pick(at, anyQuery()); i >= 0 {
			t.Fatalf("endpoint %d is picked as %v %v before it wants calls", i, reason, until.Sub(at))
		}
		if g.Usable(at) || g.Capacity(at) != 0 || !g.NextProbe(at).Equal(until) {
			t.Fatalf("usable %v, capacity %v, next probe in %v, want in %v", g.Usable(at), g.Capacity(at), g.NextProbe(at).Sub(at), until.Sub(at))
		}
	}
	if i, reason := g.Pick(until, anyQuery()); i != 0 || reason != balance.Probe {
		t.Errorf("endpoint %d is picked as %v when it wants calls again, want a probe of 0", i, reason)
	}
	at := until.Add(time.Second)
	i, _ := g.Pick(at, balance.Query{NoProbe: true})
	g.Begin(at, i, callTime)
	if again, _ := g.Pick(at, balance.Query{NoProbe: true}); i != 1 || again >= 0 {
		t.Errorf("endpoints %d and %d are picked at once, want 1 and then none", i, again)
	}
}

// Guards against requests that are refused although a server would take them: one of two
// wants no calls, and the other was ejected because it is slow, before or after that.
func TestSlownessDoesNotEjectTheLastWillingEndpoint(t *testing.T) {
	slow := func(g *balance.Group) {
		for range 6 {
			completeCall(g, start, 1, 10*callTime, balance.Succeeded)
		}
	}
	exclude := func(g *balance.Group) { g.SetExcluded(start, map[string]time.Time{"e000": start.Add(time.Minute)}) }
	for name, steps := range map[string][]func(*balance.Group){"before": {slow, exclude}, "after": {exclude, slow}} {
		g := newGroup(t, 2, 8)
		for _, step := range steps {
			step(g)
		}
		at := start.Add(10 * callTime)
		if i, reason := g.Pick(at, balance.Query{NoProbe: true}); i != 1 || !g.Usable(at) {
			t.Errorf("slow %s the other wants no calls: endpoint %d is picked as %v, want the slow one", name, i, reason)
		}
	}
	g := newGroup(t, 2, 8)
	slow(g)
	if got := g.Status(start); !got[1].Ejected {
		t.Error("a slow endpoint is not ejected while the other wants calls")
	}
}

// Guards against requests that are refused although a server would take them: one of three
// was ejected because it is slow, and the others cannot be reached, before or after that.
func TestSlownessDoesNotEjectTheLastReachableEndpoint(t *testing.T) {
	slow := func(g *balance.Group) {
		for range 6 {
			completeCall(g, start, 1, 10*callTime, balance.Succeeded)
		}
	}
	unreachable := func(g *balance.Group) {
		for range 3 {
			completeCall(g, start, 0, 0, balance.Unreachable)
			completeCall(g, start, 2, 0, balance.Unreachable)
		}
	}
	probe := func(g *balance.Group) { completeCall(g, start.Add(time.Second), 1, 10*callTime, balance.Succeeded) }
	for name, steps := range map[string][]func(*balance.Group){"before": {slow, unreachable}, "after": {unreachable, slow}, "also in a probe before": {slow, probe, unreachable}} {
		g := newGroup(t, 3, 8)
		for _, step := range steps {
			step(g)
		}
		if i, reason := g.Pick(start, balance.Query{NoProbe: true}); i != 1 || !g.Usable(start) || g.Capacity(start) == 0 {
			t.Errorf("slow %s the others are ejected: endpoint %d is picked as %v, want the slow one", name, i, reason)
		}
	}
	g := newGroup(t, 3, 8)
	slow(g)
	if got := g.Status(start); !got[1].Ejected {
		t.Error("a slow endpoint is not ejected while the others can be reached")
	}
}
