package expect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/expect"
)

const quoteRoute = "quote"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Callers of one route have different timeouts, so a short timeout alone is no
// sign of an earlier attempt.
func TestVaryingTimeoutsAreNotTakenForRetries(t *testing.T) {
	stats := expect.New()
	rng := rand.New(rand.NewPCG(1, 2))
	timeout := func() time.Duration { return time.Duration((0.85 + 0.15*rng.Float64()) * float64(20*time.Second)) }
	for range 500 {
		stats.TimeSpent(quoteRoute, timeout())
	}
	misjudged := 0
	for range 1000 {
		if spent := stats.TimeSpent(quoteRoute, timeout()); spent > 400*time.Millisecond {
			misjudged++
		}
	}
	if misjudged > 50 {
		t.Errorf("%d of 1000 first attempts are taken for retries", misjudged)
	}
	if spent := stats.TimeSpent(quoteRoute, 14*time.Second); spent < 2500*time.Millisecond {
		t.Errorf("a caller that retries after 3 s or more is taken to have spent %v", spent)
	}
}

func TestStageTimeIsInitialEstimateUntilObserved(t *testing.T) {
	stats := expect.New()
	const initial, took = 500 * time.Millisecond, 200 * time.Millisecond
	if got := stats.StageTime(start, quoteRoute, 2, initial); got != initial {
		t.Errorf("a stage without observations is expected to take %v, want the initial estimate", got)
	}
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		stats.ObserveStage(now, quoteRoute, 2, initial, took)
	}
	if got := stats.StageTime(now, quoteRoute, 2, initial); got < took*9/10 || got > took*11/10 {
		t.Errorf("a stage that takes %v is expected to take %v", took, got)
	}
	if got := stats.StageTime(now, "other", 2, initial); got != initial {
		t.Errorf("the stage of another route is expected to take %v", got)
	}
}

func TestRelativeSizeIsMeasuredPerRoute(t *testing.T) {
	stats := expect.New()
	for range 500 {
		stats.RelativeSize(quoteRoute, 100)
	}
	if got := stats.RelativeSize(quoteRoute, 200); got < 1.9 || got > 2 {
		t.Errorf("a request of twice the mean has a relative size of %v", got)
	}
	if got := stats.RelativeSize("empty", 0); got != 1 {
		t.Errorf("a request without a size has a relative size of %v", got)
	}
}
