package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/retry"
)

func TestBudgetBoundsRetriesWhenEveryCallFails(t *testing.T) {
	b := retry.NewStageBudget()
	retries := 0
	for range 10000 {
		b.RecordCall()
		for b.Allow() {
			retries++
		}
	}
	if retries > 1010 || retries < 990 {
		t.Errorf("10000 failing calls were retried %d times, want a tenth and the initial tokens", retries)
	}
}

func TestBudgetAccumulatesOnlyItsMaximum(t *testing.T) {
	b := retry.NewStageBudget()
	for range 100000 {
		b.RecordCall()
	}
	retries := 0
	for b.Allow() {
		retries++
	}
	if retries != 10 {
		t.Errorf("a full budget allowed %d retries at once, want 10", retries)
	}
}

func TestDelayIsBoundedAndJittered(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	distinct := map[time.Duration]bool{}
	for n := 1; n < 100; n++ {
		d := retry.Delay(n, rng)
		if d < 0 || d > 500*time.Millisecond {
			t.Errorf("Delay(%d) = %v", n, d)
		}
		distinct[d] = true
	}
	if len(distinct) < 90 {
		t.Errorf("only %d of 99 delays differ", len(distinct))
	}
}
