package coldstart_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"chervilpath/core/coldstart"
	"chervilpath/core/fleet"
	"chervilpath/core/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func inc(i int) fleet.Incarnation { return fleet.Incarnation{ID: fmt.Sprint("i-", i), Born: 1} }

// coldSince returns a server that has been cold since its start.
func coldSince(inc fleet.Incarnation, now time.Time) fleet.Server {
	return fleet.Server{ID: inc.ID, Born: inc.Born, ColdUntil: now.Add(time.Minute)}
}

// Guards against rates that no server has and that overflow, or limit what must not be
// limited.
func TestAllowance(t *testing.T) {
	for _, tt := range []struct {
		rate, over, slack float64
		limited           bool
		want              int
	}{
		{15, 1.5, 5, true, 9}, {0, 1.5, 5, false, 0}, {-4, 1.5, 5, false, 0}, {15, 0, 5, false, 0}, {1, 1, 0, true, 0}, {1, 1, -7, true, 0},
		{1e300, 1000, 5, true, math.MaxInt32}, {math.Inf(1), 1, 0, true, math.MaxInt32}, {math.NaN(), 1.5, 5, false, 0}, {1e-300, 1.5, 5, true, 1},
	} {
		if got := coldstart.Allowance(tt.rate, tt.over, tt.slack); got != tt.want || coldstart.Limited(tt.rate, tt.over) != tt.limited {
			t.Errorf("rate %g, over %g, slack %g: %d permissions, limited: %v", tt.rate, tt.over, tt.slack, got, coldstart.Limited(tt.rate, tt.over))
		}
	}
}

// Guards against permissions that come back too early or never, and a retry time that is
// too short.
func TestPermissionsComeBackAfterSettling(t *testing.T) {
	l, now := coldstart.NewLimiter(start), start
	for i := range 9 {
		if d := l.Admit(now, inc(1), coldSince(inc(1), now), 9); !d.Granted || d.Used != i+1 {
			t.Fatalf("permission %d: %+v", i, d)
		}
		now = now.Add(10 * time.Millisecond)
	}
	d := l.Admit(now, inc(1), coldSince(inc(1), now), 9)
	if d.Granted || l.MayAdmit(now, inc(1).ID) || d.RetryAfter < coldstart.Settling-now.Sub(start) || d.RetryAfter > coldstart.Settling {
		t.Fatalf("one more than allowed: %+v", d)
	}
	if !l.MayAdmit(now, inc(2).ID) || !l.Admit(now, inc(2), coldSince(inc(2), now), 9).Granted {
		t.Error("another server gets no permission")
	}
	restarted := fleet.Incarnation{ID: inc(1).ID, Born: 2}
	if !l.Admit(now, restarted, coldSince(restarted, now), 9).Granted {
		t.Error("the next incarnation gets no permission")
	}
	if now = now.Add(d.RetryAfter); !l.Admit(now, inc(1), coldSince(inc(1), now), 9).Granted {
		t.Error("no permission at the retry time")
	}
	if l.Admit(now, inc(3), coldSince(inc(3), now), 0).Granted {
		t.Error("a permission from an allowance of 0")
	}
}

// Guards against a permission that counts for less than a second and its validity, depending
// on when it was granted.
func TestPermissionCountsForAllOfSettling(t *testing.T) {
	for offset := time.Duration(0); offset < 60*time.Millisecond; offset += time.Millisecond {
		l, now := coldstart.NewLimiter(start), start.Add(offset)
		l.Admit(now, inc(1), coldSince(inc(1), now), 1)
		if at := now.Add(coldstart.Settling - 1); l.Admit(at, inc(1), coldSince(inc(1), at), 1).Granted {
			t.Errorf("granted %v after the start, a permission does not count %v later", offset, coldstart.Settling-1)
		}
	}
}

// Guards against permissions beside the requests that are still sent without one, because
// not all instances know yet that the server is cold again.
func TestNoPermissionWhileASenderMayTakeTheServerForWarm(t *testing.T) {
	l, now := coldstart.NewLimiter(start), start.Add(time.Hour)
	turned := coldSince(inc(1), now)
	turned.TurnedColdAt = now
	warm := fleet.Server{ID: inc(2).ID, Born: 1}
	lately := fleet.Server{ID: inc(3).ID, Born: 1, ColdUntil: now.Add(-time.Second)}
	for d := time.Duration(0); d < 2*coldstart.Settling; d += 50 * time.Millisecond {
		for _, s := range []fleet.Server{turned, warm} {
			if got := l.Admit(now.Add(d), s.Incarnation(), s, 1000); got.Granted != (d >= coldstart.Settling) || !got.Granted && got.RetryAfter != coldstart.Settling-d {
				t.Errorf("%s, %v after it turned cold: %+v", s.ID, d, got)
			}
		}
	}
	if !l.Admit(now, lately.Incarnation(), lately, 1).Granted {
		t.Error("no permission for a server whose cold time has ended here a second ago")
	}
}

// Guards against memory that grows with the servers that ever were cold, and with rates.
func TestLimiterForgetsIdleServers(t *testing.T) {
	l, now := coldstart.NewLimiter(start), start
	granted := 0
	for i := range 10_000 {
		if l.Admit(now, inc(i), coldSince(inc(i), now), math.MaxInt32).Granted {
			granted++
		}
	}
	if l.Len() > 4096 || granted != l.Len() {
		t.Errorf("%d servers counted, %d permissions", l.Len(), granted)
	}
	now = now.Add(time.Minute)
	if !l.Admit(now, inc(9999), coldSince(inc(9999), now), 1).Granted || l.Len() != 1 {
		t.Errorf("%d servers counted a minute later", l.Len())
	}
}

// Guards against grants by an instance that is cut off, is not the owner or is far behind
// the owner in rank, and against old incarnations that count as members.
func TestOwnerAndMajority(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	directory := func(state func(name string) member.State) []member.Member {
		var out []member.Member
		for _, n := range names {
			out = append(out, member.Member{ID: n + "-2", Name: n, State: state(n)}, member.Member{ID: n + "-1", Name: n, State: member.Gone})
		}
		return out
	}
	allLive := directory(func(string) member.State { return member.Live })
	byRank := make([]string, 0, len(names))
	for rest := allLive; len(byRank) < len(names); {
		m, _ := member.Owner(rest, "llm", func(m member.Member) bool {
			for _, n := range byRank {
				if n == m.Name {
					return false
				}
			}
			return true
		})
		byRank = append(byRank, m.Name)
	}
	self := func(rank int) member.Member {
		return member.Member{ID: byRank[rank] + "-2", Name: byRank[rank]}
	}
	// majority reports whether the first one reaches a majority if it last reached n others
	// at the start.
	majority := func(now time.Time, directory []member.Member, unknown, n int) bool {
		reached := byRank[len(byRank)-n:]
		return now.Before(coldstart.MajorityUntil(now, self(0), directory, unknown, func(m member.Member) time.Time {
			if slices.Contains(reached, m.Name) {
				return start
			}
			return time.Time{}
		}))
	}
	late := start.Add(coldstart.MaxContactAge)
	// goneBefore has the members before a rank gone.
	goneBefore := func(rank int) []member.Member {
		return directory(func(name string) member.State {
			for _, n := range byRank[:rank] {
				if n == name {
					return member.Gone
				}
			}
			return member.Live
		})
	}
	onlySelfLive := directory(func(n string) member.State {
		if n == byRank[0] {
			return member.Live
		}
		return member.Gone
	})
	alone := []member.Member{self(0)}
	for what, right := range map[string]bool{
		"the first owns":                             coldstart.IsOwner(self(0), allLive, "llm"),
		"the third, the first two gone, owns":        coldstart.IsOwner(self(2), goneBefore(2), "llm"),
		"the only one owns":                          coldstart.IsOwner(self(0), alone, "llm"),
		"the second, the first live, does not own":   !coldstart.IsOwner(self(1), allLive, "llm"),
		"the fourth, the first gone, does not own":   !coldstart.IsOwner(self(3), goneBefore(3), "llm"),
		"one without a directory does not own":       !coldstart.IsOwner(self(0), nil, "llm"),
		"3 of 5 are a majority":                      majority(start, allLive, 0, 2),
		"2 of 5 are none":                            !majority(start, allLive, 0, 1),
		"4 of 5 that were reached long ago are none": !majority(late, allLive, 0, 4),
		"the only one is a majority":                 majority(start, alone, 0, 0),
		"one that never reached its seed is none":    !majority(start, alone, 1, 0),
		"incarnations that are gone are not reached": !majority(start, onlySelfLive, 0, 4),
	} {
		if !right {
			t.Errorf("wrong decision: %s", what)
		}
	}
}

// Guards against an owner that grants beside the permissions of its predecessor, or after
// it was stopped for long.
func TestTenureHoldsOnlyAfterSettlingWithoutABreak(t *testing.T) {
	var tenure coldstart.Tenure
	now, confirm := start, 250*time.Millisecond
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(confirm) {
			tenure.Confirm(now, true)
		}
	}
	run(coldstart.Settling)
	if tenure.Holds(now.Add(-confirm)) {
		t.Error("holds before it has settled")
	}
	run(confirm)
	if !tenure.Holds(now) {
		t.Fatal("does not hold after it has settled")
	}
	if now = now.Add(2 * time.Second); tenure.Holds(now) {
		t.Error("holds after a break")
	}
	run(coldstart.Settling)
	if tenure.Holds(now.Add(-confirm)) {
		t.Error("holds right after a break")
	}
	run(confirm)
	if tenure.Confirm(now, false); tenure.Holds(now) {
		t.Error("holds though the instance is not the owner")
	}
}
