package fleet_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fleet"
)

var loadStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against decisions on old reports: a pace counts fully when it comes, half after
// 300 ms and not at all after 600 ms, when what was learned counts.
func TestReportedPaceDecaysWithItsAge(t *testing.T) {
	var l fleet.LoadTracker
	if got := l.Slowness(loadStart, 1.7); got != 1.7 {
		t.Errorf("without a report: %v, want the learned 1.7", got)
	}
	l.Report(loadStart, fleet.Load{Running: 4, Waiting: 2, Slots: 6, Pace: 2.5}, 1)
	for age, want := range map[time.Duration]float64{0: 2.5, 300 * time.Millisecond: 1.75, 600 * time.Millisecond: 1, time.Hour: 1, -time.Second: 2.5} {
		if got := l.Slowness(loadStart.Add(age), 1); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: slowness %v, want %v", age, got, want)
		}
	}
	for age, want := range map[time.Duration]float64{0: 5, 125 * time.Millisecond: 2.5, 250 * time.Millisecond: 0} {
		if got := l.Others(loadStart.Add(age), 500*time.Millisecond); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: %v calls of others, want %v", age, got, want)
		}
	}
	l.Report(loadStart.Add(time.Second), fleet.Load{Running: 1, Slots: 6}, 1)
	if got := l.Slowness(loadStart.Add(time.Second), 1.3); got != 1.3 || l.Others(loadStart.Add(time.Second), time.Second) != 0 {
		t.Errorf("a report without a pace: slowness %v, want the learned 1.3, and no calls of others", got)
	}
}

// Guards against a server that is always slow and reports this as usual: its reports would
// otherwise hide what was learned.
func TestResidualKeepsWhatReportsLeaveOut(t *testing.T) {
	var l fleet.LoadTracker
	now := loadStart
	for range 40 {
		pace := l.Pace(now)
		now = now.Add(50 * time.Millisecond)
		l.Report(now, fleet.Load{Running: 1, Slots: 6, Pace: 1}, 1)
		l.ObserveCall(now, pace, 1.7)
	}
	if got := l.Slowness(now, 1.7); math.Abs(got-1.7) > 0.01 {
		t.Errorf("slowness %v, want 1.7", got)
	}
	// A call during which the pace changed says nothing.
	l.Report(now, fleet.Load{Running: 1, Slots: 6, Pace: 2.5}, 1)
	l.ObserveCall(now, 1, 2)
	if got := l.Slowness(now, 1.7); math.Abs(got-2.5*1.7) > 0.02 {
		t.Errorf("slowness %v while it is slow, want 4.25", got)
	}
}

// Guards against harm by a server that reports nonsense: whatever it reports and however
// its calls went, the slowness is a positive number and what was learned counts after 600 ms.
func TestSlownessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l fleet.LoadTracker
		now := loadStart
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			pace := l.Pace(now)
			now = now.Add(time.Duration(rapid.IntRange(-100, 900).Draw(t, "ms")) * time.Millisecond)
			l.Report(now, fleet.Load{Running: rapid.IntRange(0, 1_000_000).Draw(t, "running"), Slots: 1, Pace: rapid.Float64Range(0.01, 1000).Draw(t, "pace")}, 0)
			l.ObserveCall(now, pace, rapid.Float64Range(0, 1e6).Draw(t, "ratio"))
		}
		at := now.Add(time.Duration(rapid.IntRange(0, 599).Draw(t, "age")) * time.Millisecond)
		if got := l.Slowness(at, 1); !(got >= 0.25 && got <= 5) {
			t.Fatalf("slowness %v", got)
		}
		if got := l.Slowness(now.Add(2*time.Second), 1.1); got != 1.1 {
			t.Fatalf("slowness %v later, want the learned 1.1", got)
		}
	})
}
