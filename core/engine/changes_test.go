package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
)

// Failure: an engine that was ejected gets no request ever again, since the placement of
// its trial was replaced and never settled.
func TestReplacedTrialLeavesTheEngineFree(t *testing.T) {
	p := engine.New()
	servers := []fleet.Server{{ID: "e-0"}, {ID: "e-1"}}
	p.SetServers(servers, 8)
	now := start
	for i := range 2 {
		p.Place(now, engine.Query{RequestID: fmt.Sprint("f-", i), Exclude: []string{"e-1"}, Repeatable: true, Expires: now.Add(time.Minute)})
		p.Settle(now, fmt.Sprint("f-", i), "e-0", balance.Failed)
	}
	now = now.Add(5 * time.Second)
	trial := engine.Query{RequestID: "trial", Exclude: []string{"e-1"}, Repeatable: true, Expires: now.Add(time.Minute)}
	if got := p.Place(now, trial); got != "e-0" {
		t.Fatalf("the trial is placed on %q", got)
	}
	// The settlement was lost, and the request is placed again.
	trial.Exclude = []string{"e-0"}
	p.Place(now, trial)
	p.Settle(now, "trial", "e-1", balance.Succeeded)
	now = now.Add(2 * time.Minute)
	p.SetServers(servers, 8)
	for i := range 50 {
		id := fmt.Sprint("r-", i)
		if p.Place(now, query(i, id)) == "e-0" {
			return
		}
		p.Settle(now, id, "e-1", balance.Succeeded)
	}
	t.Error("the engine gets none of 50 requests")
}

// Failure: as engines come, go and start again, places of requests that have ended stay
// taken, so that later requests find none.
func TestPlacesAreFreeAfterChangesOfTheServers(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		p := engine.New()
		now := start
		placed := make(map[string]string)
		set := func(all bool) {
			var servers []fleet.Server
			for i := range 4 {
				if all || rng.IntN(3) > 0 {
					servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i), Born: int64(rng.IntN(2))})
				}
			}
			p.SetServers(servers, 1+rng.IntN(4))
		}
		set(true)
		for i := range 400 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			if rng.IntN(10) == 0 {
				set(false)
			}
			id := fmt.Sprint("r-", i%80)
			if server, ok := placed[id]; ok {
				// One in ten settlements is lost; its placement is replaced or expires.
				if rng.IntN(10) > 0 {
					p.Settle(now, id, server, balance.Outcome(rng.IntN(5)))
				}
				delete(placed, id)
				continue
			}
			if server := p.Place(now, engine.Query{RequestID: id, Affinity: id, Repeatable: rng.IntN(2) == 0, Expires: now.Add(10 * time.Second)}); server != "" {
				placed[id] = server
			}
		}
		now = now.Add(time.Minute)
		var servers []fleet.Server
		for i := range 4 {
			servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i)})
		}
		p.SetServers(servers, 2)
		counts := make(map[string]int)
		for i := range 8 {
			id := fmt.Sprint("last-", i)
			server := p.Place(now, engine.Query{RequestID: id, Affinity: id, Repeatable: true, Expires: now.Add(time.Minute)})
			if server == "" {
				t.Fatalf("seed %d: no place for request %d of 8 on 4 engines with 2 slots", seed, i)
			}
			counts[server]++
		}
		// One more than twice the slots of all engines finds no place: none is counted
		// as less loaded than it is.
		for i := range 20 {
			id := fmt.Sprint("more-", i)
			if server := p.Place(now, engine.Query{RequestID: id, Affinity: id, Repeatable: true, Expires: now.Add(time.Minute)}); server != "" {
				counts[server]++
			}
		}
		for id, n := range counts {
			if n > 4 {
				t.Errorf("seed %d: %s has %d requests, want 4 at most", seed, id, n)
			}
		}
	}
}
