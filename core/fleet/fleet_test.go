package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outageAfter is twice the time between two heartbeats of a server.
const outageAfter = 2400 * time.Millisecond

func server(id string, revision int64) fleet.Server {
	return fleet.Server{ID: id, Service: "desk", Address: "10.0.0.1:" + id, Revision: revision}
}

func ids(v *fleet.View) []string {
	var out []string
	for _, s := range v.Snapshot().Service("desk") {
		out = append(out, s.ID)
	}
	return out
}

func TestRemovalIsImmediateWhileStoreAnswers(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	if !v.Remove(start, "1") {
		t.Error("the removal was delayed")
	}
	if got := ids(v); !slices.Equal(got, []string{"2"}) {
		t.Errorf("servers: %v", got)
	}
}

func TestEntriesLapsedDuringOutageAreKeptForGracePeriod(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2), server("3", 3)}, 3)
	recovered := start.Add(10 * time.Second)
	v.Replace(recovered, []fleet.Server{server("3", 3)}, 9)
	if got := ids(v); len(got) != 3 {
		t.Fatalf("right after the outage: servers %v, want all three", got)
	}
	v.Set(server("1", 10))
	if removed := v.Expire(recovered.Add(2 * time.Second)); len(removed) != 0 {
		t.Errorf("removed within two seconds of the recovery: %v", removed)
	}
	v.StoreAnswered(recovered.Add(2400 * time.Millisecond))
	if removed := v.Expire(recovered.Add(2500 * time.Millisecond)); !slices.Equal(removed, []string{"2"}) {
		t.Errorf("removed: %v, want the server that did not reappear", removed)
	}
}

func TestDrainingServerIsNotInSnapshot(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1)}, 1)
	s := server("1", 2)
	s.Draining = true
	v.Set(s)
	v.Set(server("1", 1))
	if got := ids(v); len(got) != 0 {
		t.Errorf("servers: %v, want none: the older entry must be ignored", got)
	}
}

func TestNewestEntryOfAnAddressWins(t *testing.T) {
	v := fleet.New(outageAfter)
	old, reused := server("1", 1), server("2", 5)
	reused.Address = old.Address
	v.Replace(start, []fleet.Server{old, reused}, 5)
	if got := ids(v); !slices.Equal(got, []string{"2"}) {
		t.Errorf("servers: %v, want the newest entry of the address", got)
	}
}

// A follower, which gets its changes from the instances that watch the store,
// reaches the same list as they have, whichever of them it asks each time.
func TestFollowersAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := make(map[string]fleet.Server)
		watchers := []*fleet.View{fleet.New(outageAfter), fleet.New(outageAfter)}
		follower := fleet.New(outageAfter)
		revision := int64(0)
		now := start
		for _, w := range watchers {
			w.Replace(now, nil, 0)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(1, 6).Draw(t, "id"))
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				revision++
				listed[id] = server(id, revision)
				for _, w := range watchers {
					w.Advance(revision)
					w.Set(listed[id])
				}
			case 1:
				if _, ok := listed[id]; !ok {
					continue
				}
				revision++
				delete(listed, id)
				for _, w := range watchers {
					w.Advance(revision)
					w.Remove(now, id)
				}
			case 2:
				w := watchers[rapid.IntRange(0, 1).Draw(t, "watcher")]
				follower.Apply(now, w.ChangesSince(follower.Revision()))
			}
		}
		follower.Apply(now, watchers[0].ChangesSince(follower.Revision()))
		want := slices.Sorted(maps.Keys(listed))
		if got := ids(follower); !slices.Equal(got, want) {
			t.Fatalf("the follower has %v, the store %v", got, want)
		}
	})
}

func TestFollowersKeepMissingServersForGracePeriod(t *testing.T) {
	watcher, follower := fleet.New(outageAfter), fleet.New(outageAfter)
	all := []fleet.Server{server("1", 1), server("2", 2)}
	watcher.Replace(start, all, 2)
	follower.Apply(start, watcher.ChangesSince(0))
	recovered := start.Add(10 * time.Second)
	watcher.Replace(recovered, all[:1], 5)
	follower.Apply(recovered, watcher.ChangesSince(follower.Revision()))
	if got := ids(follower); len(got) != 2 {
		t.Errorf("the follower has %v, want both during the grace period", got)
	}
	follower.StoreAnswered(recovered.Add(3 * time.Second))
	if removed := follower.Expire(recovered.Add(3 * time.Second)); !slices.Equal(removed, []string{"2"}) {
		t.Errorf("removed: %v, want server 2", removed)
	}
}

// If the store answers other instances but not this one, that is no outage, and
// removals take effect immediately.
func TestFailuresOfOneInstanceAreNoOutage(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		// Another instance reports when the store answered it.
		v.StoreAnswered(now.Add(-500 * time.Millisecond))
	}
	if !v.Remove(now, "1") {
		t.Error("the removal was delayed")
	}
}

// A removal that another instance has confirmed takes effect immediately, even
// during this instance's own grace period.
func TestConfirmedRemovalFromPeerIsImmediate(t *testing.T) {
	for _, whole := range []bool{false, true} {
		watcher, follower := fleet.New(outageAfter), fleet.New(outageAfter)
		all := []fleet.Server{server("1", 1), server("2", 2)}
		watcher.Replace(start, all, 2)
		follower.Replace(start, all, 2)
		now := start
		for range 10 {
			now = now.Add(time.Second)
			watcher.StoreAnswered(now)
		}
		watcher.Advance(3)
		watcher.Remove(now, "1")
		follower.StoreAnswered(now)
		c := watcher.ChangesSince(2)
		if whole {
			c = watcher.ChangesSince(0)
		}
		if removed := follower.Apply(now, c); !slices.Equal(removed, []string{"1"}) {
			t.Errorf("whole %v: removed %v, want server 1", whole, removed)
		}
	}
}

// Missing servers are kept while the store is unreachable again.
func TestNothingExpiresDuringSecondOutage(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	recovered := start.Add(10 * time.Second)
	v.Replace(recovered, []fleet.Server{server("1", 1)}, 3)
	if removed := v.Expire(recovered.Add(5 * time.Second)); len(removed) != 0 {
		t.Errorf("removed %v while the store is unreachable", removed)
	}
	recoveredAgain := recovered.Add(6 * time.Second)
	v.StoreAnswered(recoveredAgain)
	if removed := v.Expire(recoveredAgain.Add(time.Second)); len(removed) != 0 {
		t.Errorf("removed %v within two seconds of the second recovery", removed)
	}
}

// Guards against requests to servers that have left: an instance that sees the store's
// answers rarely, through others, took the time between two of them for an outage, in
// which missing entries count as present.
func TestAnswersThatOthersGotAreNoOutage(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	now := start.Add(outageAfter + time.Second)
	v.StoreAnsweredIn(fleet.Period{From: start.Add(-time.Minute), To: now})
	if !v.Remove(now, "1") {
		t.Error("the removal was delayed")
	}
	// The instance reads the store before it hears what the others know.
	now = now.Add(outageAfter + time.Second)
	v.StoreAnswered(now)
	if v.Remove(now, "2") {
		t.Fatal("the entry may be missing because of an outage, as far as the instance knows")
	}
	v.StoreAnsweredIn(fleet.Period{From: start.Add(-time.Minute), To: now.Add(-time.Second)})
	if removed := v.Expire(now); !slices.Equal(removed, []string{"2"}) {
		t.Errorf("removed %v after another instance had ruled out an outage, want server 2", removed)
	}
}

// Of any answers of the store, each seen by one of several instances, an instance that
// hears of all, in any order and grouped in any way, knows the outages.
func TestOutagesAreKnownFromAnswersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(100, 2300), 4, 20).Draw(t, "gaps")
		outage := rapid.IntRange(-1, len(gaps)-1).Draw(t, "outage")
		at, periods := start, []fleet.Period(nil)
		afterOutage := time.Time{}
		for i, gap := range gaps {
			if i == outage {
				gap += int(outageAfter.Milliseconds())
			}
			previous := at
			at = at.Add(time.Duration(gap) * time.Millisecond)
			from := previous
			if i == outage {
				afterOutage, from = at, at
			}
			periods = append(periods, fleet.Period{From: from, To: at})
		}
		v := fleet.New(outageAfter)
		v.Replace(start, []fleet.Server{server("1", 1)}, 1)
		for _, p := range rapid.Permutation(periods).Draw(t, "order") {
			v.StoreAnsweredIn(p)
		}
		inGrace := outage >= 0 && at.Before(afterOutage.Add(2200*time.Millisecond))
		if removed := v.Remove(at, "1"); removed == inGrace {
			t.Errorf("removed at once: %v; %v after the outage's end", removed, at.Sub(afterOutage))
		}
	})
}
