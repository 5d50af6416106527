package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

func bornServer(id string, born, revision int64) fleet.Server {
	s := server(id, revision)
	s.Born = born
	return s
}

// A server that said that it is leaving gets nothing more, although older entries, the
// list of another instance and new entries of the same start say that it is ready, and
// gets requests again after its next start, also under the same ID and address.
func TestLeavingHoldsUntilTheNextStart(t *testing.T) {
	v := fleet.New(outageAfter)
	first := bornServer("1", 100, 1)
	v.Replace(start, []fleet.Server{first, bornServer("2", 100, 1)}, 2)
	v.ObserveLeaving(start, first.Incarnation())
	other := fleet.New(outageAfter)
	other.Replace(start, []fleet.Server{first, bornServer("2", 100, 1)}, 5)
	for step, change := range []func(){
		func() { v.Set(first) },
		func() { v.Set(bornServer("1", 100, 3)) },
		func() { v.Apply(start, other.ChangesSince(0)) },
		func() { v.Replace(start, []fleet.Server{bornServer("1", 100, 6), bornServer("2", 100, 1)}, 6) },
		func() { v.Advance(7); v.Remove(start, "1"); v.Set(bornServer("1", 100, 8)) },
	} {
		change()
		if got := ids(v); !slices.Equal(got, []string{"2"}) {
			t.Errorf("step %d: servers %v, want only 2", step, got)
		}
	}
	v.Set(bornServer("1", 200, 9))
	if got := ids(v); !slices.Equal(got, []string{"1", "2"}) {
		t.Errorf("after the next start: servers %v, want both", got)
	}
	// A late answer of the first start says nothing of the second.
	v.ObserveLeaving(start, first.Incarnation())
	v.Exclude(first.Incarnation(), start.Add(time.Hour))
	if s, ok := v.Snapshot().Callable(start, "1"); !ok {
		t.Errorf("server %+v is not callable after a late answer of its earlier start", s)
	}
}

// Without a start time, an entry that was draining or away and is ready again is of
// another start.
func TestLeavingWithoutStartTimeEndsWhenTheEntryReturns(t *testing.T) {
	for name, away := range map[string]func(v *fleet.View){
		"removed": func(v *fleet.View) { v.Remove(start, "1") },
		"draining": func(v *fleet.View) {
			s := server("1", 3)
			s.Draining = true
			v.Set(s)
		},
	} {
		v := fleet.New(outageAfter)
		v.Replace(start, []fleet.Server{server("1", 1)}, 1)
		v.ObserveLeaving(start, server("1", 1).Incarnation())
		v.Set(server("1", 2))
		if got := ids(v); len(got) != 0 {
			t.Errorf("%s: servers %v before the entry was away, want none", name, got)
		}
		away(v)
		v.Set(server("1", 4))
		if got := ids(v); len(got) != 1 {
			t.Errorf("%s: servers %v after the entry has returned, want it", name, got)
		}
	}
}

// model is what an instance has to know of one server, as told to it.
type model struct {
	born       int64
	leaving    bool
	excludedTo time.Time
}

// Over random orders of answers, starts, lists and changes from peers, no request may be
// sent to a server that is leaving or excluded, and no server that has started again or
// whose time is over stays excluded.
func TestNoticesHoldOverRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 4
		now, revision := start, int64(1)
		v, peer := fleet.New(outageAfter), fleet.New(outageAfter)
		models := make(map[string]*model)
		var list []fleet.Server
		for i := range servers {
			s := bornServer(fmt.Sprint(i), 1, 1)
			models[s.ID] = &model{born: 1}
			list = append(list, s)
		}
		v.Replace(now, list, revision)
		peer.Replace(now, list, revision)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, servers-1).Draw(t, "server")
			s := &list[i]
			m := models[s.ID]
			inc := fleet.Incarnation{ID: s.ID, Born: m.born}
			switch rapid.SampledFrom([]string{"leaving", "retryAfter", "late", "start", "away", "beat", "list", "peer", "expire"}).Draw(t, "op") {
			case "leaving":
				v.ObserveLeaving(now, inc)
				m.leaving = true
			case "retryAfter":
				until := now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "after")) * time.Millisecond)
				v.Exclude(inc, until)
				if until.After(m.excludedTo) {
					m.excludedTo = until
				}
			case "late":
				// An answer of the start before.
				inc.Born--
				v.ObserveLeaving(now, inc)
				v.Exclude(inc, now.Add(time.Hour))
			case "start":
				revision++
				m.born++
				*s = bornServer(s.ID, m.born, revision)
				*m = model{born: m.born}
				v.Advance(revision)
				v.Set(*s)
				peer.Advance(revision)
				peer.Set(*s)
			case "away":
				// The entry lapses and comes back, of the same start.
				revision++
				v.Advance(revision)
				v.Remove(now, s.ID)
				revision++
				s.Revision = revision
				v.Advance(revision)
				v.Set(*s)
			case "beat":
				revision++
				s.Revision = revision
				v.Advance(revision)
				v.Set(*s)
			case "list":
				v.Replace(now, list, revision)
			case "peer":
				peer.Replace(now, list, revision)
				v.Apply(now, peer.ChangesSince(rapid.SampledFrom([]int64{0, v.Revision()}).Draw(t, "since")))
			case "expire":
				v.StoreAnswered(now)
				v.Expire(now)
				v.ExpireNotices(now)
			}
			snapshot := v.Snapshot()
			unwilling := snapshot.Unwilling(now, "desk")
			for id, m := range models {
				want := !m.leaving && !now.Before(m.excludedTo)
				if _, ok := snapshot.Callable(now, id); ok != want {
					t.Fatalf("server %s is callable: %v, want %v (leaving %v, excluded for %v more)", id, ok, want, m.leaving, m.excludedTo.Sub(now))
				}
				if slices.Contains(unwilling, id) == want {
					t.Fatalf("server %s among those that want no requests: %v, want %v", id, !want, want)
				}
			}
		}
		// Nobody is excluded for good.
		now = now.Add(time.Hour)
		for _, s := range list {
			revision++
			v.Set(bornServer(s.ID, models[s.ID].born+1, revision))
		}
		v.ExpireNotices(now)
		if got := ids(v); len(got) != servers || !v.Snapshot().EarliestReturn(now, "desk").IsZero() {
			t.Fatalf("servers %v after all have started again, want %d", got, servers)
		}
	})
}

// If all servers of a service want nothing, the first return is known.
func TestEarliestReturnOfAServiceThatWantsNothing(t *testing.T) {
	v := fleet.New(outageAfter)
	a, b := server("1", 1), server("2", 2)
	v.Replace(start, []fleet.Server{a, b}, 2)
	v.Exclude(a.Incarnation(), start.Add(3*time.Second))
	if at := v.Snapshot().EarliestReturn(start, "desk"); !at.IsZero() {
		t.Errorf("one of two servers wants requests, and the first return is at %v", at)
	}
	v.Exclude(b.Incarnation(), start.Add(2*time.Second))
	// An earlier end does not shorten an exclusion.
	v.Exclude(b.Incarnation(), start.Add(time.Second))
	if at := v.Snapshot().EarliestReturn(start, "desk"); !at.Equal(start.Add(2 * time.Second)) {
		t.Errorf("the first return is at %v, want in 2 s", at.Sub(start))
	}
}
