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

func desk(n int) *engine.Desk {
	var servers []fleet.Server
	for i := range n {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i), Zone: fmt.Sprint("z-", i%2)})
	}
	d := engine.New()
	d.Replace(servers, 8)
	return d
}

func query(i int, affinity string) engine.Query {
	return engine.Query{Request: fmt.Sprint("r-", i), Affinity: affinity, Expires: start.Add(time.Minute)}
}

func TestPromptsWithASharedPartMeet(t *testing.T) {
	d := desk(6)
	want := d.Place(start, query(0, "part"))
	d.Settle(start, "r-0", want, balance.Succeeded)
	for i := 1; i < 10; i++ {
		got := d.Place(start, query(i, "part"))
		d.Settle(start, fmt.Sprint("r-", i), got, balance.Succeeded)
		if got != want {
			t.Errorf("request %d goes to %s, the one before to %s", i, got, want)
		}
	}
}

func TestAPopularPartDoesNotOverloadItsEngine(t *testing.T) {
	d := desk(4)
	count := make(map[string]int)
	for i := range 16 {
		count[d.Place(start, query(i, "part"))]++
	}
	for id, n := range count {
		if n > 8 {
			t.Errorf("%s has %d of 16 requests", id, n)
		}
	}
}

func TestFailingEngineIsLeftAloneAndTriedAgain(t *testing.T) {
	d := desk(3)
	bad := d.Place(start, query(0, "part"))
	d.Settle(start, "r-0", bad, balance.Failed)
	d.Place(start, query(1, "part"))
	d.Settle(start, "r-1", bad, balance.Failed)
	if got := d.Place(start, query(2, "part")); got == bad {
		t.Errorf("%s failed twice and gets the next request", bad)
	}
	d.Settle(start, "r-2", "", balance.Abandoned)
	if got := d.Place(start.Add(10*time.Second), query(3, "part")); got != bad {
		t.Errorf("after its ejection the request goes to %s, not to %s", got, bad)
	}
}

func TestExcludedEngineIsNeverChosen(t *testing.T) {
	d := desk(2)
	q := query(0, "part")
	q.Exclude = []string{"e-0"}
	for range 20 {
		if got := d.Place(start, q); got != "e-1" {
			t.Fatalf("placed on %q", got)
		}
	}
	q.Exclude = []string{"e-0", "e-1"}
	if got := d.Place(start, q); got != "" {
		t.Errorf("placed on %q although all are excluded", got)
	}
}

func TestPlacementsThatNobodySettlesAreForgotten(t *testing.T) {
	d := desk(1)
	for i := range 16 {
		q := query(i, "part")
		q.Expires = start.Add(time.Second)
		d.Place(start, q)
	}
	if got := d.Place(start, query(99, "part")); got != "" {
		t.Errorf("placed on %q beyond its slots", got)
	}
	if got := d.Place(start.Add(3*time.Second), query(99, "part")); got == "" {
		t.Error("placements past their time still hold the engine")
	}
}
