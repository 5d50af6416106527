package expect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/expect"
)

const quote = "quote"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Callers of one route wait for different times, so that a short wait alone is
// no sign of an earlier attempt.
func TestFirstAttemptsHaveTheirWholeAim(t *testing.T) {
	r := expect.New()
	rng := rand.New(rand.NewPCG(1, 2))
	wait := func() time.Duration { return time.Duration((0.85 + 0.15*rng.Float64()) * float64(20*time.Second)) }
	for range 500 {
		r.Spent(quote, wait())
	}
	wrong := 0
	for range 1000 {
		if spent := r.Spent(quote, wait()); spent > 400*time.Millisecond {
			wrong++
		}
	}
	if wrong > 50 {
		t.Errorf("%d of 1000 first attempts are taken for late ones", wrong)
	}
	if spent := r.Spent(quote, 14*time.Second); spent < 2500*time.Millisecond {
		t.Errorf("a caller that comes back after 3 s or more is taken to have used %v", spent)
	}
}

func TestStagesAreGuessedUntilTheyAreObserved(t *testing.T) {
	r := expect.New()
	const guess, took = 500 * time.Millisecond, 200 * time.Millisecond
	if got := r.Stage(start, quote, 2, guess); got != guess {
		t.Errorf("an unknown stage is expected to take %v, want the guess", got)
	}
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		r.ObserveStage(now, quote, 2, guess, took)
	}
	if got := r.Stage(now, quote, 2, guess); got < took*9/10 || got > took*11/10 {
		t.Errorf("a stage that takes %v is expected to take %v", took, got)
	}
	if got := r.Stage(now, "other", 2, guess); got != guess {
		t.Errorf("the stage of another route is expected to take %v", got)
	}
}

func TestSizesCountAgainstTheirRoute(t *testing.T) {
	r := expect.New()
	for range 500 {
		r.Relative(quote, 100)
	}
	if got := r.Relative(quote, 200); got < 1.9 || got > 2 {
		t.Errorf("a request of twice the mean has a relative size of %v", got)
	}
	if got := r.Relative("empty", 0); got != 1 {
		t.Errorf("a request without a size has a relative size of %v", got)
	}
}
