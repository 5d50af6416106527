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

// outage is twice the time between two reports of a server.
const outage = 2400 * time.Millisecond

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

func TestRemovalCountsAtOnceWhileTheStoreIsWell(t *testing.T) {
	v := fleet.New(outage)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	if !v.Remove(start, "1") {
		t.Error("the removal was put off")
	}
	if got := ids(v); !slices.Equal(got, []string{"2"}) {
		t.Errorf("servers: %v", got)
	}
}

func TestEntriesThatLapseInAnOutageAreKeptUntilAfterItsEnd(t *testing.T) {
	v := fleet.New(outage)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2), server("3", 3)}, 3)
	back := start.Add(10 * time.Second)
	v.Replace(back, []fleet.Server{server("3", 3)}, 9)
	if got := ids(v); len(got) != 3 {
		t.Fatalf("right after the outage: servers %v, want all three", got)
	}
	v.Set(server("1", 10))
	if gone := v.Expire(back.Add(2 * time.Second)); len(gone) != 0 {
		t.Errorf("gone within two seconds of the return: %v", gone)
	}
	v.Answered(back.Add(2400*time.Millisecond), back.Add(2400*time.Millisecond))
	if gone := v.Expire(back.Add(2500 * time.Millisecond)); !slices.Equal(gone, []string{"2"}) {
		t.Errorf("gone: %v, want the one that did not come back", gone)
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	v := fleet.New(outage)
	v.Replace(start, []fleet.Server{server("1", 1)}, 1)
	s := server("1", 2)
	s.Draining = true
	v.Set(s)
	v.Set(server("1", 1))
	if got := ids(v); len(got) != 0 {
		t.Errorf("servers: %v, want none: the older entry must not bring it back", got)
	}
}

func TestOneServerForAnAddress(t *testing.T) {
	v := fleet.New(outage)
	old, reused := server("1", 1), server("2", 5)
	reused.Address = old.Address
	v.Replace(start, []fleet.Server{old, reused}, 5)
	if got := ids(v); !slices.Equal(got, []string{"2"}) {
		t.Errorf("servers: %v, want the newer entry of the address", got)
	}
}

// An instance that follows others sees what the watching instance sees, in
// whatever order it asks, also when the one it asks changes.
func TestFollowersAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := make(map[string]fleet.Server)
		watchers := []*fleet.View{fleet.New(outage), fleet.New(outage)}
		follower := fleet.New(outage)
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
				follower.Apply(now, w.Since(follower.Revision()))
			}
		}
		follower.Apply(now, watchers[0].Since(follower.Revision()))
		want := slices.Sorted(maps.Keys(listed))
		if got := ids(follower); !slices.Equal(got, want) {
			t.Fatalf("the follower has %v, the store %v", got, want)
		}
	})
}

func TestFollowersKeepWhatMayComeBack(t *testing.T) {
	w, f := fleet.New(outage), fleet.New(outage)
	all := []fleet.Server{server("1", 1), server("2", 2)}
	w.Replace(start, all, 2)
	f.Apply(start, w.Since(0))
	back := start.Add(10 * time.Second)
	w.Replace(back, all[:1], 5)
	f.Apply(back, w.Since(f.Revision()))
	if got := ids(f); len(got) != 2 {
		t.Errorf("the follower has %v, want both until the entry had time to come back", got)
	}
	f.Answered(back.Add(3*time.Second), back.Add(3*time.Second))
	if gone := f.Expire(back.Add(3 * time.Second)); !slices.Equal(gone, []string{"2"}) {
		t.Errorf("gone: %v", gone)
	}
}

// An instance that had no answer for a while, but heard that others had, knows
// of no outage: what is removed meanwhile is gone.
func TestFailuresOfOneInstancePutNothingOff(t *testing.T) {
	v := fleet.New(outage)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		// Another instance tells when the store answered it.
		v.Answered(now, now.Add(-500*time.Millisecond))
	}
	if !v.Remove(now, "1") {
		t.Error("the removal was put off")
	}
}

// What another instance says is removed is gone, also while this one would wait.
func TestRemovalsThatOthersAreSureOfAreNotPutOff(t *testing.T) {
	for _, whole := range []bool{false, true} {
		w, f := fleet.New(outage), fleet.New(outage)
		all := []fleet.Server{server("1", 1), server("2", 2)}
		w.Replace(start, all, 2)
		f.Replace(start, all, 2)
		now := start
		for range 10 {
			now = now.Add(time.Second)
			w.Answered(now, now)
		}
		w.Advance(3)
		w.Remove(now, "1")
		f.Answered(now, now)
		c := w.Since(2)
		if whole {
			c = w.Since(0)
		}
		if gone := f.Apply(now, c); !slices.Equal(gone, []string{"1"}) {
			t.Errorf("whole %v: gone %v, want the removed server", whole, gone)
		}
	}
}

// While the store is out of reach again, what is missing stays.
func TestNothingExpiresInASecondOutage(t *testing.T) {
	v := fleet.New(outage)
	v.Replace(start, []fleet.Server{server("1", 1), server("2", 2)}, 2)
	back := start.Add(10 * time.Second)
	v.Replace(back, []fleet.Server{server("1", 1)}, 3)
	if gone := v.Expire(back.Add(5 * time.Second)); len(gone) != 0 {
		t.Errorf("gone %v while the store is out of reach", gone)
	}
	again := back.Add(6 * time.Second)
	v.Answered(again, again)
	if gone := v.Expire(again.Add(time.Second)); len(gone) != 0 {
		t.Errorf("gone %v within two seconds of the second return", gone)
	}
}
