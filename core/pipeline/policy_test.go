package pipeline_test

import (
	"flag"
	"fmt"
	"testing"

	"chervilpath/core/balance"
	"chervilpath/core/pipeline"
)

var table = flag.Bool("table", false, "print the table of scenarios and policies for docs/MEASUREMENTS.md")

// policies are the product's and the baselines, from the most to the least
// complete.
var policies = []struct {
	name   string
	policy pipeline.Policy
}{
	{"chervilpath", pipeline.Policy{}},
	{"no admission", pipeline.Policy{NoAdmission: true}},
	{"first come", pipeline.Policy{FirstCome: true}},
	{"round robin", pipeline.Policy{Balance: balance.RoundRobin}},
	{"random, no admission, unlimited retries", pipeline.Policy{Balance: balance.Random, NoAdmission: true, UnlimitedRetries: true}},
}

func TestAttainmentBelowCapacity(t *testing.T) {
	l := simulate(t, pipeline.Policy{}, 1, 0.7, 20, nil)
	if got := l.attained(all); got < 0.99 {
		t.Errorf("attainment at 0.7 of capacity = %.4f, want at least 0.99", got)
	}
}

func TestGoodputDoesNotCollapse(t *testing.T) {
	at1 := simulate(t, pipeline.Policy{}, 1, 1, 20, nil).goodput()
	at3 := simulate(t, pipeline.Policy{}, 1, 3, 20, nil).goodput()
	if at3 < 0.9*at1 {
		t.Errorf("goodput at 3 times capacity = %.1f/s, want at least 0.9 of the %.1f/s at capacity", at3, at1)
	}
}

// TestTable prints attainment, goodput and wasted work by scenario and policy.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table to measure")
	}
	for _, multiple := range []float64{0.7, 1, 1.5, 3} {
		for _, p := range policies {
			attained, goodput, wasted := 0.0, 0.0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				l := simulate(t, p.policy, seed, multiple, 20, nil)
				attained += l.attained(all) / seeds
				goodput += l.goodput() / seeds
				wasted += l.wasted() / seeds
			}
			fmt.Printf("| %.1f | %s | %.3f | %.1f | %.3f |\n", multiple, p.name, attained, goodput, wasted)
		}
	}
}
