package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

const numWatchers = 3

// Guards against a search for a source of changes that takes longer than the bound on
// departures, which is 4 s, when up to half of the sources are cut off and each call of
// one that does not answer takes 0.4 s.
func TestSearchEndsWithinBoundThoughHalfOfTheSourcesAreCutOff(t *testing.T) {
	// A source is found stale at most 2.8 s after its last confirmation.
	const bound, noticed, timeout = 4 * time.Second, 2800 * time.Millisecond, 400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 32).Draw(t, "sources")
		var available []string
		for i := range n {
			available = append(available, fmt.Sprint("10.0.0.", i))
		}
		cutOff := rapid.Permutation(available).Draw(t, "order")[:min(n/2, 8)]
		s := &fleet.Sources{Offset: rapid.Uint64().Draw(t, "offset")}
		current := s.Next(available, numWatchers)
		if len(current) != 1 || !slices.Contains(available[:numWatchers], current[0]) {
			t.Fatalf("asks %v, want one of the first %d", current, numWatchers)
		}
		elapsed := noticed + s.Failed(time.Second)
		for {
			round := s.Next(available, numWatchers)
			if i := slices.IndexFunc(round, func(a string) bool { return !slices.Contains(cutOff, a) }); i >= 0 {
				s.Found(round[i])
				break
			}
			elapsed += timeout + s.Failed(time.Second)
			if elapsed >= bound {
				t.Fatalf("no source found %v after the last confirmation; cut off: %v", elapsed, cutOff)
			}
		}
		found := s.Next(available, numWatchers)
		if s.Searching() || len(found) != 1 || slices.Contains(cutOff, found[0]) {
			t.Errorf("asks %v after a source was found", found)
		}
	})
}

// Guards against searches that load the sources more and more while the store is down
// for all.
func TestSearchSlowsDown(t *testing.T) {
	const maxPause = time.Second
	available := []string{"a", "b", "c", "d", "e"}
	s := &fleet.Sources{}
	elapsed, asked := time.Duration(0), 0
	for elapsed < 20*time.Second {
		asked += len(s.Next(available, numWatchers))
		elapsed += s.Failed(maxPause)
	}
	if most := 3 * (20 + 6); asked > most {
		t.Errorf("%d calls in 20 s, want at most %d", asked, most)
	}
	if got := s.Next([]string{"f"}, numWatchers); !slices.Equal(got, []string{"f"}) {
		t.Errorf("asks %v, want the only source", got)
	}
}
