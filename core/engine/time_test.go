package engine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

var uneven = modelConfig{engines: 90, paces: []float64{0.7, 0.7, 1.7}, slowShare: 0.15, load: 0.8, duration: 15 * time.Second}

// compare runs the model with placement by count and by time.
func compare(t *testing.T, c modelConfig) (count, byExpectedTime modelResult) {
	t.Helper()
	c.placers = []placerModel{byCount(c)}
	count = runModel(c)
	c.placers = []placerModel{byTime(c)}
	byExpectedTime = runModel(c)
	t.Logf("by count: %v", count)
	t.Logf("by time:  %v", byExpectedTime)
	return count, byExpectedTime
}

// Failure: the slow third of the engines, and those that are slow for a moment, get as many
// requests as the others, which then wait there.
func TestUnevenEngines(t *testing.T) {
	for _, sendDelay := range []time.Duration{0, time.Second} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("sent within %v, seed %d", sendDelay, seed), func(t *testing.T) {
				c := uneven
				c.seed, c.sendDelay = seed, sendDelay
				count, byTime := compare(t, c)
				attained := byTime.share(byTime.onTime)
				if attained < 0.95 {
					t.Errorf("%.4f of the requests meet their target latency, want 0.95", attained)
				}
				if loss, before := 1-attained, 1-count.share(count.onTime); loss > before/2 {
					t.Errorf("%.4f of the requests are late, want half of %.4f at most", loss, before)
				}
				if byTime.smooth < count.smooth*byTime.requests/count.requests {
					t.Errorf("%.4f of the answers have no long pause, want %.4f as by count", byTime.share(byTime.smooth), count.share(count.smooth))
				}
			})
		}
	}
}

// Failure: a deployment whose engines are alike is served worse than by the number of
// requests, since the learned paces differ by chance.
func TestEvenEnginesAreServedNoWorse(t *testing.T) {
	for _, load := range []float64{0.3, 0.8} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("load %v, seed %d", load, seed), func(t *testing.T) {
				c := modelConfig{engines: 90, paces: []float64{1}, load: load, duration: 10 * time.Second, seed: seed}
				count, byTime := compare(t, c)
				if byTime.share(byTime.onTime) < count.share(count.onTime) {
					t.Errorf("%.4f of the requests are on time, want %.4f as by count", byTime.share(byTime.onTime), count.share(count.onTime))
				}
				for _, q := range []float64{0.5, 0.95, 0.99} {
					if got, before := byTime.quantile(q), count.quantile(q); got > before {
						t.Errorf("%v of the first events come within %.0f ms, want %.0f ms as by count", q, got, before)
					}
				}
				if byTime.share(byTime.smooth) < count.share(count.smooth) {
					t.Errorf("%.4f of the answers have no long pause, want %.4f as by count", byTime.share(byTime.smooth), count.share(count.smooth))
				}
			})
		}
	}
}

// Failure: an engine that is slow for 600 ms gets requests as if it were not, or is avoided
// for seconds after.
func TestEngineSlowForAMomentIsAvoidedForAMoment(t *testing.T) {
	const slowPeriod = 10
	var before, during, after float64
	for seed := range uint64(4) {
		c := modelConfig{engines: 90, paces: []float64{1}, load: 0.6, duration: 10 * time.Second, seed: seed}
		c.isSlow = func(engine, period int) bool { return period == slowPeriod && engine%6 == 0 }
		c.placers = []placerModel{byTime(c)}
		for _, p := range runModel(c).placed {
			if p.engine%6 != 0 {
				continue
			}
			since := p.at - slowPeriod*modelPeriod
			switch {
			case since >= -3*time.Second && since < 0:
				before += 0.1
			case since >= modelPeriod/2 && since < modelPeriod:
				during++
			case since >= 2*modelPeriod && since < 2*modelPeriod+modelPeriod/2:
				after++
			}
		}
	}
	t.Logf("requests in 300 ms: %.0f before, %.0f in the second half of the slowness, %.0f 0.6 s after it", before, during, after)
	if during > 0.6*before {
		t.Errorf("slow engines get %.0f requests in 300 ms, want at most 0.6 of the usual %.0f", during, before)
	}
	if after < 0.7*before {
		t.Errorf("engines that were slow get %.0f requests in 300 ms, want at least 0.7 of the usual %.0f", after, before)
	}
}

// Failure: all requests of a class share one part, and wait at the engine that has read it.
func TestHotPartSpreads(t *testing.T) {
	c := uneven
	c.classes = slices.Clone(modelClasses)
	for i := range c.classes {
		c.classes[i].parts = 1
	}
	count, byTime := compare(t, c)
	if got := byTime.share(byTime.onTime); got < 0.95 || got < count.share(count.onTime) {
		t.Errorf("%.4f of the requests meet their target latency, want 0.95", got)
	}
}

// Failure: two owners, each of which knows only its own placements, overload engines.
func TestTwoOwners(t *testing.T) {
	c := uneven
	c.placers = []placerModel{byCount(c), byCount(c)}
	count := runModel(c)
	c.placers = []placerModel{byTime(c), byTime(c)}
	byTime := runModel(c)
	t.Logf("by count: %v", count)
	t.Logf("by time:  %v", byTime)
	if got := byTime.share(byTime.onTime); got < 0.95 || got < count.share(count.onTime) {
		t.Errorf("%.4f of the requests meet their target latency, want 0.95", got)
	}
}

// Failure: without the reports of other instances, requests are placed worse than by count.
func TestLostObservations(t *testing.T) {
	for _, lost := range []float64{0.5, 1} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			c := uneven
			c.lost = lost
			count, byTime := compare(t, c)
			if got, before := byTime.share(byTime.onTime), count.share(count.onTime); got < before {
				t.Errorf("%.4f of the requests are on time, want %.4f as by count", got, before)
			}
		})
	}
}

// Failure: an instance that reports nonsense makes an engine get all requests or none, or
// makes estimates that are no numbers.
func TestAbsurdObservations(t *testing.T) {
	p := newPlacer(10)
	rng := rand.New(rand.NewPCG(1, 1))
	durations := []time.Duration{0, -1, -time.Hour, 1, time.Microsecond, math.MaxInt64, math.MinInt64, time.Hour, 50 * time.Millisecond}
	counts := []int{0, -1, 1, 3, math.MaxInt, math.MinInt}
	now := start
	got := make(map[string]int)
	for i := range 5000 {
		now = now.Add(time.Duration(rng.IntN(4)) * time.Millisecond)
		q := sizedQuery(fmt.Sprint("r-", i), fmt.Sprint("part-", i%7))
		c := p.Choose(now, q)
		if !(c.Pace > 0 && c.Pace <= 8*c.UsualPace && c.UsualPace > 0 && c.UsualPace < 1e4) || c.Wait < 0 || c.FirstEvent < c.Wait {
			t.Fatalf("choice %d: %+v", i, c)
		}
		got[c.Server]++
		o := engine.Observation{RequestID: q.RequestID, Server: c.Server, FirstEvent: durations[rng.IntN(len(durations))], Interval: durations[rng.IntN(len(durations))], Events: counts[rng.IntN(len(counts))]}
		switch rng.IntN(4) {
		case 0:
			o.Server = "e-3"
		case 1:
			o.RequestID = "unknown"
		}
		p.Observe(now, o)
		if i >= 40 {
			p.Settle(now, fmt.Sprint("r-", i-40), "", balance.Succeeded)
		}
	}
	for i := range 10 {
		if n := got[fmt.Sprint("e-", i)]; n == 0 || n > 2500 {
			t.Errorf("e-%d gets %d of 5000 requests", i, n)
		}
	}
}

// Failure: after reports of first events that come at once, or after minutes, those that make
// sense are taken for absurd.
func TestUsualPaceRecoversFromAbsurdObservations(t *testing.T) {
	for _, absurd := range []time.Duration{1, 4 * time.Minute} {
		p := newPlacer(4)
		now := start
		serve := func(n int, took time.Duration) engine.Choice {
			var c engine.Choice
			for i := range n {
				now = now.Add(absurd + 200*time.Millisecond)
				q := sizedQuery(fmt.Sprint(took, i), "part")
				q.Expires = now.Add(time.Hour)
				c = p.Choose(now, q)
				now = now.Add(took)
				p.Observe(now, engine.Observation{RequestID: q.RequestID, Server: c.Server, FirstEvent: took})
				p.Settle(now, q.RequestID, c.Server, balance.Succeeded)
			}
			return c
		}
		serve(300, absurd)
		absurd = 0
		serve(400, 190*time.Millisecond)
		if c := serve(1, 190*time.Millisecond); c.UsualPace < 0.5 || c.UsualPace > 2 {
			t.Errorf("the usual pace is %v after 400 reports, want about 1", c.UsualPace)
		}
	}
}

// Failure: a report changes the work of another request's engine, or counts twice.
func TestObservationsOfOtherPlacementsAreIgnored(t *testing.T) {
	p := newPlacer(2)
	c := p.Choose(start, sizedQuery("r", "part"))
	other := map[string]string{"e-0": "e-1", "e-1": "e-0"}[c.Server]
	at := start.Add(100 * time.Millisecond)
	for _, o := range []engine.Observation{
		{RequestID: "r", Server: other, FirstEvent: time.Millisecond}, {RequestID: "r", Server: "gone", FirstEvent: time.Millisecond},
		{RequestID: "unknown", Server: c.Server, FirstEvent: time.Millisecond}, {RequestID: "r", Server: c.Server, FirstEvent: -time.Millisecond}, {RequestID: "r", Server: c.Server},
	} {
		if p.Observe(at, o) {
			t.Errorf("%+v is used", o)
		}
	}
	o := engine.Observation{RequestID: "r", Server: c.Server, FirstEvent: 90 * time.Millisecond}
	if !p.Observe(at, o) || p.Observe(at, o) {
		t.Error("the report of the placement is not used exactly once")
	}
}

// Failure: an engine that started again is expected to keep what its previous incarnation
// had read, or to have its pace.
func TestRestartedEngineKeepsNothing(t *testing.T) {
	p := engine.New()
	servers := []fleet.Server{{ID: "e-0", Born: 1}}
	p.SetServers(servers, 8)
	p.SetKVTokens(100_000)
	now := start
	for i := range 20 {
		q := sizedQuery(fmt.Sprint("r-", i), "part")
		c := p.Choose(now, q)
		if want := min(i, 1) * 6300; c.KeptTokens != want {
			t.Fatalf("request %d: %d tokens are kept, want %d", i, c.KeptTokens, want)
		}
		now = now.Add(time.Second)
		p.Observe(now, engine.Observation{RequestID: q.RequestID, Server: c.Server, FirstEvent: time.Second})
		if i > 0 {
			p.Settle(now, q.RequestID, c.Server, balance.Succeeded)
		}
	}
	slow := p.Choose(now, sizedQuery("before", "part"))
	servers[0].Born = 2
	p.SetServers(servers, 8)
	// These were placed on the previous incarnation.
	p.Settle(now, "before", "e-0", balance.Abandoned)
	p.Settle(now, "r-0", "e-0", balance.Abandoned)
	c := p.Choose(now, sizedQuery("after", "part"))
	if c.KeptTokens != 0 || c.Requests != 1 {
		t.Errorf("%d tokens are kept and there are %d requests after the restart, want 0 and 1", c.KeptTokens, c.Requests)
	}
	if c.Pace != c.UsualPace || slow.Pace < 2 {
		t.Errorf("pace %v after the restart, want the usual one %v; before it was %v", c.Pace, c.UsualPace, slow.Pace)
	}
}

// Failure: an engine is expected to keep a part that its cache has no room for any more.
func TestPartsThatWereEvictedAreNotKept(t *testing.T) {
	p := engine.New()
	p.SetServers([]fleet.Server{{ID: "e-0"}}, 8)
	p.SetKVTokens(20_000)
	place := func(id, part string) engine.Choice {
		c := p.Choose(start, sizedQuery(id, part))
		p.Settle(start, id, c.Server, balance.Succeeded)
		return c
	}
	place("r-0", "a")
	if c := place("r-1", "a"); c.KeptTokens != 6300 {
		t.Errorf("%d tokens are kept, want 6300", c.KeptTokens)
	}
	place("r-2", "b")
	place("r-3", "c")
	if c := place("r-4", "a"); c.KeptTokens != 0 {
		t.Errorf("%d tokens are kept after two other parts were read, want 0", c.KeptTokens)
	}
}

// Failure: the work of requests whose end is never reported stays at their engines.
func TestWorkOfUnsettledPlacementsExpires(t *testing.T) {
	p := newPlacer(2)
	idle := p.Estimate(start, sizedQuery("", "part"))
	for i := range 16 {
		q := sizedQuery(fmt.Sprint("r-", i), fmt.Sprint("part-", i))
		q.Expires = start.Add(time.Second)
		p.Place(start, q)
	}
	if busy := p.Estimate(start, sizedQuery("", "part")); busy < 2*idle {
		t.Errorf("estimate of %v with 8 requests on each engine, and of %v when idle", busy, idle)
	}
	later := start.Add(5 * time.Second)
	p.Settle(later, p.Place(later, sizedQuery("last", "part")), "", balance.Succeeded)
	p.Settle(later, "last", "", balance.Succeeded)
	if got := p.Estimate(later, sizedQuery("", "other")); got != idle {
		t.Errorf("estimate of %v after the placements have expired, want %v", got, idle)
	}
}

// Failure: a request goes to an engine that may get none now.
func TestOnlyUsableEnginesAreChosen(t *testing.T) {
	p := newPlacer(50)
	p.Usable = func(_ time.Time, id string) bool { return id == "e-4" }
	if got := p.Estimate(start, query(0, "part")); got == engine.NoEngine {
		t.Error("no estimate with a usable engine")
	}
	for i := range 16 {
		if got := p.Place(start, query(i, fmt.Sprint("part-", i))); got != "e-4" {
			t.Fatalf("request %d is placed on %q, want e-4", i, got)
		}
	}
	if got := p.Place(start, query(16, "part")); got != "" {
		t.Errorf("placed on %q beyond twice the slots of the one usable engine", got)
	}
	p.Usable = func(time.Time, string) bool { return false }
	if got := p.Estimate(start, query(17, "part")); got != engine.NoEngine {
		t.Errorf("estimate of %v without a usable engine", got)
	}
}

// Failure: a request that may wait for room gets an engine that has none.
func TestMaxWaitLeavesOutBusyEngines(t *testing.T) {
	p := newPlacer(2)
	q := sizedQuery("r", "part")
	q.MaxWait = 250 * time.Millisecond
	placed := 0
	for i := range 20 {
		q.RequestID = fmt.Sprint("r-", i)
		q.Affinity = q.RequestID
		c := p.Choose(start, q)
		if c.Server == "" {
			break
		}
		if placed++; c.Wait > q.MaxWait {
			t.Errorf("request %d would wait for %v", i, c.Wait)
		}
	}
	if placed < 2 || placed > 6 {
		t.Errorf("%d requests of 180 ms find room on two engines within 250 ms", placed)
	}
	if got := p.Estimate(start, q); got != engine.NoEngine {
		t.Errorf("estimate of %v without room", got)
	}
	q.MaxWait = 0
	if p.Place(start, q) == "" {
		t.Error("no engine for a request that may wait there")
	}
}

func sizedQuery(id, part string) engine.Query {
	return engine.Query{
		RequestID: id, Affinity: part, Parts: []engine.Part{{ID: part, Tokens: 6300}, {ID: "own-" + id, Tokens: 2890}},
		PromptTokens: 9190, OutputTokens: 52, Repeatable: true, Expires: start.Add(time.Hour),
	}
}
