package pipeline_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/stage"
)

var printTable = flag.Bool("table", false, "print the table of scenarios and policies for docs/MEASUREMENTS.md")

// policies are the production policy and the baselines to compare it with, from
// the most to the least complete.
var policies = []struct {
	name   string
	policy stage.Policy
}{
	{"chervilpath", stage.Policy{}},
	{"no forecast on arrival", stage.Policy{NoForecast: true}},
	{"no hedges", stage.Policy{NoHedges: true}},
	{"no admission", stage.Policy{NoAdmission: true}},
	{"first come", stage.Policy{FIFO: true}},
	{"round robin", stage.Policy{Balance: balance.RoundRobin}},
	{"random, no admission, unlimited retries", stage.Policy{Balance: balance.Random, NoAdmission: true, UnlimitedRetries: true}},
}

func TestAttainmentBelowCapacity(t *testing.T) {
	sim := simulate(t, stage.Policy{}, 1, 0.7, 20, nil)
	if got := sim.attainment(anyRequest); got < 0.99 {
		t.Errorf("attainment at 0.7 of capacity = %.4f, want at least 0.99", got)
	}
}

func TestGoodputDoesNotCollapse(t *testing.T) {
	at1 := simulate(t, stage.Policy{}, 1, 1, 20, nil).goodput()
	at3 := simulate(t, stage.Policy{}, 1, 3, 20, nil).goodput()
	if at3 < 0.9*at1 {
		t.Errorf("goodput at 3 times capacity = %.1f/s, want at least 0.9 of the %.1f/s at capacity", at3, at1)
	}
}

// scenarios are the rows of the table, each with the figure that it measures.
var scenarios = []struct {
	name       string
	loadFactor float64
	setUp      func(*simulation)
	// measure returns the figure, and unit names it in the table.
	measure func(*simulation) float64
	unit    string
}{
	{"steady, 0.7 of capacity", 0.7, nil, func(sim *simulation) float64 { return sim.attainment(anyRequest) }, "attainment"},
	{"steady, capacity", 1, nil, (*simulation).goodput, "goodput/s"},
	{"steady, 1.5 of capacity", 1.5, nil, (*simulation).goodput, "goodput/s"},
	{"steady, 3 times capacity", 3, nil, (*simulation).goodput, "goodput/s"},
	{"greedy organisation, the others", 1.63, greedyTraffic, func(sim *simulation) float64 { return sim.attainment(notGreedy) }, "attainment"},
	{"one of ten 10 times slower, after 3 s", 0.7, slowEndpoint, func(sim *simulation) float64 {
		return sim.attainment(sim.startedBetween(11*time.Second, 20*time.Second))
	}, "attainment"},
	{"generation down for 5 s, 5 s after", 0.7, generateDown, func(sim *simulation) float64 {
		return sim.attainment(sim.startedBetween(15*time.Second, 20*time.Second))
	}, "attainment"},
	{"generation down for 5 s", 0.7, generateDown, (*simulation).generateCallsPerRequest, "calls/request"},
	{"1 of 50 retrievals 20 times slower", 0.5, slowRetrievals, func(sim *simulation) float64 { return sim.quantile("status", 0.99) }, "p99 of status, ms"},
}

// slowRetrievals makes one in fifty calls of the retrieve stage take twenty times
// as long.
func slowRetrievals(sim *simulation) {
	sim.pickKind = func(rng *rand.Rand) string { return []string{"quote", "status"}[rng.IntN(2)] }
	for name, endpoint := range sim.endpoints {
		if strings.HasPrefix(name, "retrieve") {
			endpoint.slowdown = func(now time.Time) float64 {
				if now.UnixNano()/1000%50 == 0 {
					return 20
				}
				return 1
			}
		}
	}
}

// quantile returns the q-quantile of the latency of successful requests of a kind,
// in milliseconds.
func (sim *simulation) quantile(kind string, q float64) float64 {
	var times []time.Duration
	for _, r := range sim.results {
		if r.kind == kind && r.err == nil {
			times = append(times, r.took)
		}
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)))]) / float64(time.Millisecond)
}

func TestHedgesReduceTailLatency(t *testing.T) {
	with := simulate(t, stage.Policy{}, 1, 0.5, 20, slowRetrievals)
	without := simulate(t, stage.Policy{NoHedges: true}, 1, 0.5, 20, slowRetrievals)
	if a, b := with.quantile("status", 0.99), without.quantile("status", 0.99); a > b/2 {
		t.Errorf("p99 latency = %.0f ms with hedges and %.0f ms without, want at most half", a, b)
	}
	retrieveCalls := func(sim *simulation) (n int) {
		for name, c := range sim.calls {
			if strings.HasPrefix(name, "retrieve") {
				n += c
			}
		}
		return n
	}
	if a, b := retrieveCalls(with), retrieveCalls(without); float64(a) > 1.1*float64(b) {
		t.Errorf("%d calls with hedges and %d without, want at most 10%% more", a, b)
	}
}

// generateCallsPerRequest returns the number of calls of the generate stage per
// request.
func (sim *simulation) generateCallsPerRequest() float64 {
	calls := 0
	for name, n := range sim.calls {
		if strings.HasPrefix(name, "generate") {
			calls += n
		}
	}
	return float64(calls) / float64(len(sim.results))
}

// TestTable prints a table of all scenarios under all policies: the mean of three
// seeds with the lowest and the highest in brackets, and the wasted fraction.
func TestTable(t *testing.T) {
	if !*printTable {
		t.Skip("run with -table to measure")
	}
	for _, s := range scenarios {
		for _, p := range policies {
			const seeds = 3
			sum, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
			wastedFraction := 0.0
			for seed := range uint64(seeds) {
				sim := simulate(t, p.policy, seed, s.loadFactor, 20, s.setUp)
				v := s.measure(sim)
				sum, lowest, highest = sum+v, min(lowest, v), max(highest, v)
				wastedFraction += sim.wastedFraction() / seeds
			}
			fmt.Printf("| %s | %s | %s | %.3f (%.3f to %.3f) | %.3f |\n", s.name, p.name, s.unit, sum/seeds, lowest, highest, wastedFraction)
		}
	}
}

// greedyTraffic makes o0 request as much as the whole capacity, which is the share
// of all ten organisations, and each other organisation 0.07 of capacity.
func greedyTraffic(sim *simulation) {
	sim.pickOrganisation = func(rng *rand.Rand) string {
		if rng.IntN(163) < 100 {
			return "o0"
		}
		return fmt.Sprint("o", 1+rng.IntN(9))
	}
}

// modestTraffic spreads the requests over all organisations but o0.
func modestTraffic(sim *simulation) {
	sim.pickOrganisation = func(rng *rand.Rand) string { return fmt.Sprint("o", 1+rng.IntN(9)) }
}

func notGreedy(r requestResult) bool { return r.organisation != "o0" }

func TestGreedyOrganisationDoesNotDelayOthers(t *testing.T) {
	// The other organisations together request 0.63 of capacity in both runs.
	// The greedy one requests as much as the whole capacity.
	alone := simulate(t, stage.Policy{}, 1, 0.63, 20, modestTraffic).attainment(notGreedy)
	with := simulate(t, stage.Policy{}, 1, 1.63, 20, greedyTraffic).attainment(notGreedy)
	if with < alone-0.01 {
		t.Errorf("attainment of the other organisations fell from %.4f to %.4f, want at most 0.01 less", alone, with)
	}
}

// slowEndpoint makes one of the ten generate endpoints ten times slower from 8 s
// on.
func slowEndpoint(sim *simulation) {
	from := time.Now().Add(8 * time.Second)
	sim.endpoints["generate-3"].slowdown = func(now time.Time) float64 {
		if now.Before(from) {
			return 1
		}
		return 10
	}
}

// startedBetween returns a filter for requests that started between two times,
// counted from the first request.
func (sim *simulation) startedBetween(from, to time.Duration) func(requestResult) bool {
	first := sim.results[0].start
	for _, r := range sim.results {
		if r.start.Before(first) {
			first = r.start
		}
	}
	return func(r requestResult) bool {
		offset := r.start.Sub(first)
		return offset >= from && offset < to
	}
}

func TestSlowEndpointIsAvoidedWithinThreeSeconds(t *testing.T) {
	sim := simulate(t, stage.Policy{}, 1, 0.7, 20, slowEndpoint)
	healthy := sim.attainment(sim.startedBetween(0, 8*time.Second))
	after := sim.attainment(sim.startedBetween(11*time.Second, 20*time.Second))
	if after < healthy-0.02 {
		t.Errorf("attainment = %.4f before one of ten endpoints became slow and %.4f from 3s after, want at most 0.02 less", healthy, after)
	}
}

// generateDown makes all calls of the generate stage fail from 5 s to 10 s.
func generateDown(sim *simulation) {
	from, to := time.Now().Add(5*time.Second), time.Now().Add(10*time.Second)
	for name, endpoint := range sim.endpoints {
		if strings.HasPrefix(name, "generate") {
			endpoint.down = func(now time.Time) bool { return now.After(from) && now.Before(to) }
		}
	}
}

func TestStageOutageCausesFewRetriesAndRecovers(t *testing.T) {
	sim := simulate(t, stage.Policy{}, 1, 0.7, 25, generateDown)
	calls, retries := int64(0), int64(0)
	for _, r := range sim.runners {
		for _, s := range r.Status() {
			calls += s.Calls
			retries += s.Retries
		}
	}
	if float64(retries) > 0.1*float64(calls) {
		t.Errorf("%d retries of %d calls, want at most 10%%", retries, calls)
	}
	healthy := sim.attainment(sim.startedBetween(0, 5*time.Second))
	if after := sim.attainment(sim.startedBetween(15*time.Second, 25*time.Second)); after < healthy-0.02 {
		t.Errorf("attainment = %.4f before the stage went down and %.4f from 5s after it came back, want at most 0.02 less", healthy, after)
	}
}

func TestOverloadedStageDoesNotDelayOtherPipelines(t *testing.T) {
	slowEncoders := func(sim *simulation) {
		sim.pickKind = func(rng *rand.Rand) string {
			if rng.IntN(2) == 0 {
				return "status"
			}
			return "quote"
		}
		for name, endpoint := range sim.endpoints {
			if strings.HasPrefix(name, "encode") {
				endpoint.slowdown = constantSlowdown(12)
			}
		}
	}
	sim := simulate(t, stage.Policy{}, 1, 1, 20, slowEncoders)
	if got := sim.attainment(func(r requestResult) bool { return r.kind == "status" }); got < 0.99 {
		t.Errorf("attainment of status requests while the encode stage is overloaded = %.4f, want at least 0.99", got)
	}
}
