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

// policies are the product's and the baselines, from the most to the least
// complete.
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

// scenarios are the rows of the table. Each states what is looked at.
var scenarios = []struct {
	name       string
	loadFactor float64
	setUp      func(*simulation)
	// measure returns the figure and show its unit.
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

// slowRetrievals makes one of fifty calls of retrieval take twenty times as long.
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

// quantile returns a quantile of the time of answers of a kind, in milliseconds.
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
		t.Errorf("99 of 100 answers take %.0f ms with hedges and %.0f ms without, want at most half", a, b)
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
		t.Errorf("%d calls with hedges, %d without, want at most a tenth more", a, b)
	}
}

// generateCallsPerRequest returns the calls of generation for each request.
func (sim *simulation) generateCallsPerRequest() float64 {
	calls := 0
	for name, n := range sim.calls {
		if strings.HasPrefix(name, "generate") {
			calls += n
		}
	}
	return float64(calls) / float64(len(sim.results))
}

// TestTable prints the table of scenarios and policies: the mean over three
// seeds and, in brackets, the lowest and the highest.
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

// greedyTraffic sends what ten organisations' shares would be from o0, and 0.07 of
// capacity from each other organisation.
func greedyTraffic(sim *simulation) {
	sim.pickOrganisation = func(rng *rand.Rand) string {
		if rng.IntN(163) < 100 {
			return "o0"
		}
		return fmt.Sprint("o", 1+rng.IntN(9))
	}
}

func modestTraffic(sim *simulation) {
	sim.pickOrganisation = func(rng *rand.Rand) string { return fmt.Sprint("o", 1+rng.IntN(9)) }
}

func notGreedy(r requestResult) bool { return r.organisation != "o0" }

func TestGreedyOrganisationDoesNotDelayOthers(t *testing.T) {
	// The others together ask for 0.63 of capacity, with and without the
	// greedy one, which asks for as much as the whole capacity.
	alone := simulate(t, stage.Policy{}, 1, 0.63, 20, modestTraffic).attainment(notGreedy)
	with := simulate(t, stage.Policy{}, 1, 1.63, 20, greedyTraffic).attainment(notGreedy)
	if with < alone-0.01 {
		t.Errorf("attainment of the others fell from %.4f to %.4f, want at most 0.01 less", alone, with)
	}
}

func slowEndpoint(sim *simulation) {
	from := time.Now().Add(8 * time.Second)
	sim.endpoints["generate-3"].slowdown = func(now time.Time) float64 {
		if now.Before(from) {
			return 1
		}
		return 10
	}
}

// startedBetween takes the requests that came between two times after the first.
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
		t.Errorf("attainment was %.4f and 3s after one of ten endpoints became slow %.4f", healthy, after)
	}
}

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
		t.Errorf("%d repeats of %d calls, want at most a tenth", retries, calls)
	}
	healthy := sim.attainment(sim.startedBetween(0, 5*time.Second))
	if after := sim.attainment(sim.startedBetween(15*time.Second, 25*time.Second)); after < healthy-0.02 {
		t.Errorf("attainment was %.4f and 5s after the stage was back %.4f", healthy, after)
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
		t.Errorf("attainment of status requests while encoders are swamped = %.4f", got)
	}
}
