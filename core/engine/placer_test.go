package engine_test

import (
	"fmt"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPlacer(n int) *engine.Placer {
	var servers []fleet.Server
	for i := range n {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i), Zone: fmt.Sprint("z-", i%2)})
	}
	p := engine.New()
	p.SetServers(servers, 8)
	return p
}

func query(i int, affinity string) engine.Query {
	return engine.Query{RequestID: fmt.Sprint("r-", i), Affinity: affinity, Repeatable: true, Expires: start.Add(time.Minute)}
}

func TestRequestsWithSameAffinityShareAnEngine(t *testing.T) {
	p := newPlacer(6)
	want := p.Place(start, query(0, "part"))
	p.Settle(start, "r-0", want, balance.Succeeded)
	for i := 1; i < 10; i++ {
		got := p.Place(start, query(i, "part"))
		p.Settle(start, fmt.Sprint("r-", i), got, balance.Succeeded)
		if got != want {
			t.Errorf("request %d is placed on %s, want %s like the first", i, got, want)
		}
	}
}

func TestLoadBoundSpreadsPopularAffinity(t *testing.T) {
	p := newPlacer(4)
	count := make(map[string]int)
	for i := range 16 {
		count[p.Place(start, query(i, "part"))]++
	}
	for id, n := range count {
		if n > 8 {
			t.Errorf("%s has %d of 16 requests", id, n)
		}
	}
}

func TestFailingEngineIsEjectedAndTriedAgain(t *testing.T) {
	p := newPlacer(3)
	failing := p.Place(start, query(0, "part"))
	p.Settle(start, "r-0", failing, balance.Failed)
	p.Place(start, query(1, "part"))
	p.Settle(start, "r-1", failing, balance.Failed)
	if got := p.Place(start, query(2, "part")); got == failing {
		t.Errorf("%s gets the next request after two consecutive failures", failing)
	}
	p.Settle(start, "r-2", "", balance.Abandoned)
	if got := p.Place(start.Add(10*time.Second), query(3, "part")); got != failing {
		t.Errorf("placed on %s after the ejection, want %s", got, failing)
	}
}

func TestExcludedEngineIsNeverChosen(t *testing.T) {
	p := newPlacer(2)
	q := query(0, "part")
	q.Exclude = []string{"e-0"}
	for range 20 {
		if got := p.Place(start, q); got != "e-1" {
			t.Fatalf("placed on %q, want the engine that is not excluded", got)
		}
	}
	q.Exclude = []string{"e-0", "e-1"}
	if got := p.Place(start, q); got != "" {
		t.Errorf("placed on %q although all engines are excluded", got)
	}
}

func TestUnsettledPlacementsExpire(t *testing.T) {
	p := newPlacer(1)
	for i := range 16 {
		q := query(i, "part")
		q.Expires = start.Add(time.Second)
		p.Place(start, q)
	}
	if got := p.Place(start, query(99, "part")); got != "" {
		t.Errorf("placed on %q beyond twice its slots", got)
	}
	if got := p.Place(start.Add(3*time.Second), query(99, "part")); got == "" {
		t.Error("expired placements still count as load")
	}
}

// Pattern: three tenths of the engines crash or go dark while traffic doubles. Each
// instance that meets a dark engine waits for a connection in vain, so one such
// failure ejects it, and after that it gets one request at a time, none that may run
// only once.
func TestDarkEnginesGetFewRequests(t *testing.T) {
	const engines, darkEngines = 20, 6
	p := newPlacer(engines)
	dark := func(id string) bool {
		var i int
		if _, err := fmt.Sscanf(id, "e-%d", &i); err != nil {
			t.Fatal(err)
		}
		return i < darkEngines
	}
	type pending struct {
		id, engine string
		ends       time.Time
	}
	var open []pending
	lost, lostForGood := 0, 0
	for i := range 4000 { // 1,000 requests a second for 4 s.
		now := start.Add(time.Duration(i) * time.Millisecond)
		for len(open) > 0 && !open[0].ends.After(now) {
			outcome := balance.Succeeded
			if dark(open[0].engine) {
				outcome = balance.Unreachable
			}
			p.Settle(now, open[0].id, open[0].engine, outcome)
			open = open[1:]
		}
		q := query(i, fmt.Sprint("part-", i%200))
		q.Repeatable = i%2 == 0
		id := p.Place(now, q)
		if dark(id) {
			lost++
			if !q.Repeatable {
				lostForGood++
			}
		}
		open = append(open, pending{q.RequestID, id, now.Add(50 * time.Millisecond)})
	}
	// Before the first failure is known, each dark engine gets the requests of
	// 50 ms. Then come the trials after 0.5, 1 and 2 s.
	if lost > darkEngines*10 || lostForGood > darkEngines*5 {
		t.Errorf("%d of 4000 requests met a dark engine, %d of which may run only once", lost, lostForGood)
	}
}

// An engine that comes back serves all its requests again after one trial.
func TestEngineReturnsAfterOneTrial(t *testing.T) {
	p := newPlacer(3)
	id := p.Place(start, query(0, "part"))
	p.Settle(start, "r-0", id, balance.Unreachable)
	if got := p.Place(start, query(1, "part")); got == id {
		t.Fatalf("%s gets a request right after it could not be reached", id)
	}
	later := start.Add(time.Second)
	once := query(2, "part")
	once.Repeatable = false
	if got := p.Place(later, once); got == id {
		t.Errorf("%s gets a request that may run only once as its trial", id)
	}
	if got := p.Place(later, query(3, "part")); got != id {
		t.Errorf("the trial is placed on %s, want %s", got, id)
	}
	if got := p.Place(later, query(4, "part")); got == id {
		t.Errorf("%s gets a second request during its trial", id)
	}
	p.Settle(later, "r-3", id, balance.Succeeded)
	if got := p.Place(later, query(5, "part")); got != id {
		t.Errorf("placed on %s after the trial succeeded, want %s", got, id)
	}
}

// BenchmarkPlace measures a placement among engines and its end.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			p := newPlacer(n)
			i := 0
			for b.Loop() {
				q := query(i, fmt.Sprint("part-", i%2000))
				id := p.Place(start, q)
				if i%3 != 0 {
					p.Settle(start, q.RequestID, id, balance.Succeeded)
				}
				if i%(4*n) == 0 {
					p = newPlacer(n)
				}
				i++
			}
		})
	}
}
