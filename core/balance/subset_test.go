package balance_test

import (
	"fmt"
	"testing"

	"chervilpath/core/balance"
)

func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	all := endpoints(t, 650, 8)
	if got := balance.Subset(all[:100], "i", balance.SubsetSize); len(got) != 100 {
		t.Errorf("subset of 100 endpoints has %d, want all", len(got))
	}
	used := make(map[string]int)
	const instances = 340
	for i := range instances {
		domains := make(map[string]int)
		subset := balance.Subset(all, fmt.Sprint("instance-", i), balance.SubsetSize)
		for _, e := range subset {
			used[e.Name()]++
			domains[e.FailureDomain()]++
		}
		if len(subset) < balance.SubsetSize || len(subset) > balance.SubsetSize+3 {
			t.Fatalf("subset has %d endpoints, want SubsetSize and up to 3 more", len(subset))
		}
		for d, n := range domains {
			if n < 42 || n > 44 {
				t.Fatalf("subset has %d endpoints of failure domain %s, want a third", n, d)
			}
		}
	}
	mean := float64(instances*balance.SubsetSize) / 650
	for name, n := range used {
		if float64(n) > 1.5*mean || float64(n) < 0.5*mean {
			t.Errorf("%s is used by %d instances, want 0.5 to 1.5 times the mean of %.0f", name, n, mean)
		}
	}
	if len(used) != 650 {
		t.Errorf("%d of 650 endpoints are used, want all", len(used))
	}
}

func TestRemovedEndpointChangesSubsetByOne(t *testing.T) {
	all := endpoints(t, 650, 8)
	before := make(map[string]bool)
	for _, e := range balance.Subset(all, "i", balance.SubsetSize) {
		before[e.Name()] = true
	}
	changed := 0
	for _, e := range balance.Subset(all[1:], "i", balance.SubsetSize) {
		if !before[e.Name()] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("removing one endpoint changed %d members of the subset, want at most 1", changed)
	}
}
