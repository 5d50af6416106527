package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"chervilpath/core/fleet"
)

func coldServer(sequence, revision int64, cold time.Duration) fleet.Server {
	s := server("1", revision)
	s.Zone, s.Born, s.Sequence, s.Cold = "a", 1, sequence, cold
	return s
}

func coldUntil(v *fleet.View) time.Time {
	s, _ := v.Snapshot().Server("1")
	return s.ColdUntil
}

// Guards against a cold time that starts anew when the same entry is seen again, through
// the store or another instance, and against one that a later entry cannot change.
func TestColdTimeCountsFromWhenAnEntryWasFirstSeen(t *testing.T) {
	v := fleet.New(outageAfter)
	const cold = 8 * time.Second
	at := func(d time.Duration) time.Time { return start.Add(d) }
	apply := func(now time.Time, s fleet.Server) {
		v.ApplyWatch(now, []fleet.Update{{ID: s.ID, Server: &s}}, s.Revision)
	}
	v.Replace(start, []fleet.Server{coldServer(1, 1, cold)}, 1)
	steps := []struct {
		what string
		do   func()
		want time.Time
	}{
		{"the list again", func() { v.Replace(at(2*time.Second), []fleet.Server{coldServer(1, 1, cold)}, 1) }, at(cold)},
		{"the entry at a later revision", func() { apply(at(3*time.Second), coldServer(1, 2, cold)) }, at(cold)},
		{"its removal and return", func() {
			v.Remove(at(3500*time.Millisecond), "1")
			v.ExpireNotices(at(3500 * time.Millisecond))
			apply(at(4*time.Second), coldServer(1, 3, cold))
		}, at(cold)},
		{"a heartbeat", func() { apply(at(5*time.Second), coldServer(2, 4, 3100*time.Millisecond)) }, at(8100 * time.Millisecond)},
		{"an entry with an earlier sequence", func() { apply(at(5*time.Second), coldServer(1, 5, cold)) }, at(8100 * time.Millisecond)},
		{"another time with the same sequence", func() { apply(at(6*time.Second), coldServer(2, 6, time.Second)) }, at(8100 * time.Millisecond)},
		{"a negative time", func() { apply(at(9*time.Second), coldServer(3, 7, -cold)) }, at(8100 * time.Millisecond)},
		{"cold again", func() { apply(at(20*time.Second), coldServer(4, 8, time.Second)) }, at(21 * time.Second)},
	}
	for _, step := range steps {
		step.do()
		if got := coldUntil(v); !got.Equal(step.want) {
			t.Errorf("after %s: cold until %v after the start, want %v", step.what, got.Sub(start), step.want.Sub(start))
		}
	}
	s, _ := v.Snapshot().Server("1")
	if !s.TurnedColdAt.Equal(at(20 * time.Second)) {
		t.Errorf("turned cold again at %v, want when the entry was seen", s.TurnedColdAt)
	}
	restarted := coldServer(1, 9, cold)
	restarted.Born = 2
	apply(at(22*time.Second), restarted)
	if s, _ := v.Snapshot().Server("1"); !s.ColdUntil.Equal(at(30*time.Second)) || !s.TurnedColdAt.IsZero() {
		t.Errorf("the next incarnation is cold until %v and turned cold at %v", s.ColdUntil, s.TurnedColdAt)
	}
}

// Guards against a cold time from one instance's clock that reaches another one, and
// against a server without cold time that counts as cold.
func TestColdTimesAreNotPassedOn(t *testing.T) {
	a, b := fleet.New(outageAfter), fleet.New(outageAfter)
	a.Replace(start, []fleet.Server{coldServer(1, 1, time.Second)}, 1)
	a.MarkZoneCold("a", start.Add(time.Minute))
	data, err := json.Marshal(a.ChangesSince(0))
	if err != nil || strings.Contains(string(data), "ColdUntil") {
		t.Fatalf("changes %s, error %v", data, err)
	}
	var changes fleet.Changes
	if err := json.Unmarshal(data, &changes); err != nil {
		t.Fatal(err)
	}
	b.Apply(start.Add(time.Hour), changes)
	if got := coldUntil(b); !got.Equal(start.Add(time.Hour + time.Second)) {
		t.Errorf("cold until %v at the other instance, want a second after it saw the entry", got)
	}
	b.Replace(start.Add(2*time.Hour), []fleet.Server{server("1", 5)}, 5)
	if got := coldUntil(b); got.After(start.Add(2 * time.Hour)) {
		t.Errorf("a server without cold time is cold until %v", got)
	}
}

// Guards against servers of a zone that come back all at once and count as warm.
func TestServersOfAZoneMarkedColdCountAsCold(t *testing.T) {
	v := fleet.New(outageAfter)
	v.Replace(start, []fleet.Server{coldServer(1, 1, 0)}, 1)
	generation := v.Generation()
	v.MarkZoneCold("a", start.Add(5*time.Second))
	v.MarkZoneCold("a", start.Add(time.Second))
	if v.Generation() == generation || !coldUntil(v).Equal(start.Add(5*time.Second)) {
		t.Errorf("cold until %v, want 5 s after the start", coldUntil(v))
	}
	v.ExpireNotices(start.Add(5 * time.Second))
	if got := coldUntil(v); !got.IsZero() {
		t.Errorf("cold until %v after the time of the zone", got)
	}
}
