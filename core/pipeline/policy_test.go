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

var table = flag.Bool("table", false, "print the table of scenarios and policies for docs/MEASUREMENTS.md")

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
	l := simulate(t, stage.Policy{}, 1, 0.7, 20, nil)
	if got := l.attained(all); got < 0.99 {
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
	name     string
	multiple float64
	change   func(*load)
	// measure returns the figure and show its unit.
	measure func(*load) float64
	show    string
}{
	{"steady, 0.7 of capacity", 0.7, nil, func(l *load) float64 { return l.attained(all) }, "attainment"},
	{"steady, capacity", 1, nil, (*load).goodput, "goodput/s"},
	{"steady, 1.5 of capacity", 1.5, nil, (*load).goodput, "goodput/s"},
	{"steady, 3 times capacity", 3, nil, (*load).goodput, "goodput/s"},
	{"greedy organisation, the others", 1.63, greedy, func(l *load) float64 { return l.attained(notGreedy) }, "attainment"},
	{"one of ten 10 times slower, after 3 s", 0.7, slowEndpoint, func(l *load) float64 { return l.attained(l.between(11*time.Second, 20*time.Second)) }, "attainment"},
	{"generation down for 5 s, 5 s after", 0.7, stageDown, func(l *load) float64 { return l.attained(l.between(15*time.Second, 20*time.Second)) }, "attainment"},
	{"generation down for 5 s", 0.7, stageDown, (*load).added, "calls/request"},
	{"1 of 50 retrievals 20 times slower", 0.5, someSlow, func(l *load) float64 { return l.quantile("status", 0.99) }, "p99 of status, ms"},
}

// someSlow makes one of fifty calls of retrieval take twenty times as long.
func someSlow(l *load) {
	l.kind = func(rng *rand.Rand) string { return []string{"quote", "status"}[rng.IntN(2)] }
	for name, s := range l.servers {
		if strings.HasPrefix(name, "retrieve") {
			s.slow = func(now time.Time) float64 {
				if now.UnixNano()/1000%50 == 0 {
					return 20
				}
				return 1
			}
		}
	}
}

// quantile returns a quantile of the time of answers of a kind, in milliseconds.
func (l *load) quantile(kind string, q float64) float64 {
	var times []time.Duration
	for _, o := range l.results {
		if o.kind == kind && o.err == nil {
			times = append(times, o.took)
		}
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)))]) / float64(time.Millisecond)
}

func TestHedgesShortenTheSlowestAnswers(t *testing.T) {
	with := simulate(t, stage.Policy{}, 1, 0.5, 20, someSlow)
	without := simulate(t, stage.Policy{NoHedges: true}, 1, 0.5, 20, someSlow)
	if a, b := with.quantile("status", 0.99), without.quantile("status", 0.99); a > b/2 {
		t.Errorf("99 of 100 answers take %.0f ms with hedges and %.0f ms without, want at most half", a, b)
	}
	calls := func(l *load) (n int) {
		for name, c := range l.calls {
			if strings.HasPrefix(name, "retrieve") {
				n += c
			}
		}
		return n
	}
	if a, b := calls(with), calls(without); float64(a) > 1.1*float64(b) {
		t.Errorf("%d calls with hedges, %d without, want at most a tenth more", a, b)
	}
}

// added returns the calls of generation for each request.
func (l *load) added() float64 {
	calls := 0
	for name, n := range l.calls {
		if strings.HasPrefix(name, "generate") {
			calls += n
		}
	}
	return float64(calls) / float64(len(l.results))
}

// TestTable prints the table of scenarios and policies: the mean over three
// seeds and, in brackets, the lowest and the highest.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table to measure")
	}
	for _, s := range scenarios {
		for _, p := range policies {
			const seeds = 3
			sum, low, high := 0.0, math.Inf(1), math.Inf(-1)
			wasted := 0.0
			for seed := range uint64(seeds) {
				l := simulate(t, p.policy, seed, s.multiple, 20, s.change)
				v := s.measure(l)
				sum, low, high = sum+v, min(low, v), max(high, v)
				wasted += l.wasted() / seeds
			}
			fmt.Printf("| %s | %s | %s | %.3f (%.3f to %.3f) | %.3f |\n", s.name, p.name, s.show, sum/seeds, low, high, wasted)
		}
	}
}

// greedy sends what ten organisations' shares would be from o0, and 0.07 of
// capacity from each other organisation.
func greedy(l *load) {
	l.organised = func(rng *rand.Rand) string {
		if rng.IntN(163) < 100 {
			return "o0"
		}
		return fmt.Sprint("o", 1+rng.IntN(9))
	}
}

func modest(l *load) {
	l.organised = func(rng *rand.Rand) string { return fmt.Sprint("o", 1+rng.IntN(9)) }
}

func notGreedy(o outcome) bool { return o.organisation != "o0" }

func TestGreedyOrganisationCostsItself(t *testing.T) {
	// The others together ask for 0.63 of capacity, with and without the
	// greedy one, which asks for as much as the whole capacity.
	alone := simulate(t, stage.Policy{}, 1, 0.63, 20, modest).attained(notGreedy)
	with := simulate(t, stage.Policy{}, 1, 1.63, 20, greedy).attained(notGreedy)
	if with < alone-0.01 {
		t.Errorf("attainment of the others fell from %.4f to %.4f, want at most 0.01 less", alone, with)
	}
}

func slowEndpoint(l *load) {
	from := time.Now().Add(8 * time.Second)
	l.servers["generate-3"].slow = func(now time.Time) float64 {
		if now.Before(from) {
			return 1
		}
		return 10
	}
}

// between takes the requests that came between two times after the first.
func (l *load) between(from, to time.Duration) func(outcome) bool {
	first := l.results[0].at
	for _, o := range l.results {
		if o.at.Before(first) {
			first = o.at
		}
	}
	return func(o outcome) bool {
		at := o.at.Sub(first)
		return at >= from && at < to
	}
}

func TestSlowEndpointIsAvoidedWithinThreeSeconds(t *testing.T) {
	l := simulate(t, stage.Policy{}, 1, 0.7, 20, slowEndpoint)
	healthy := l.attained(l.between(0, 8*time.Second))
	after := l.attained(l.between(11*time.Second, 20*time.Second))
	if after < healthy-0.02 {
		t.Errorf("attainment was %.4f and 3s after one of ten endpoints became slow %.4f", healthy, after)
	}
}

func stageDown(l *load) {
	from, to := time.Now().Add(5*time.Second), time.Now().Add(10*time.Second)
	for name, s := range l.servers {
		if strings.HasPrefix(name, "generate") {
			s.down = func(now time.Time) bool { return now.After(from) && now.Before(to) }
		}
	}
}

func TestStageDownBringsFewRepeatsAndRecovers(t *testing.T) {
	l := simulate(t, stage.Policy{}, 1, 0.7, 25, stageDown)
	calls, repeats := int64(0), int64(0)
	for _, r := range l.runners {
		for _, s := range r.Status() {
			calls += s.Calls
			repeats += s.Retries
		}
	}
	if float64(repeats) > 0.1*float64(calls) {
		t.Errorf("%d repeats of %d calls, want at most a tenth", repeats, calls)
	}
	healthy := l.attained(l.between(0, 5*time.Second))
	if after := l.attained(l.between(15*time.Second, 25*time.Second)); after < healthy-0.02 {
		t.Errorf("attainment was %.4f and 5s after the stage was back %.4f", healthy, after)
	}
}

func TestPhotoBurstDoesNotTakeOthersDeadlines(t *testing.T) {
	burst := func(l *load) {
		l.kind = func(rng *rand.Rand) string {
			if rng.IntN(2) == 0 {
				return "status"
			}
			return "quote"
		}
		for name, s := range l.servers {
			if strings.HasPrefix(name, "encode") {
				s.slow = always(12)
			}
		}
	}
	l := simulate(t, stage.Policy{}, 1, 1, 20, burst)
	if got := l.attained(func(o outcome) bool { return o.kind == "status" }); got < 0.99 {
		t.Errorf("attainment of status requests while encoders are swamped = %.4f", got)
	}
}
