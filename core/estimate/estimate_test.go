package estimate_test

import (
	"testing"
	"time"

	"chervilpath/core/estimate"
)

var start = time.Unix(1_700_000_000, 0)

func near(got, want time.Duration) bool {
	return got > want*9/10 && got < want*11/10
}

func TestQuantilesFollowRecentCalls(t *testing.T) {
	e := estimate.New(start, time.Second)
	if e.Median() != time.Second {
		t.Errorf("Median() without calls = %v, want the initial estimate", e.Median())
	}
	for i := range 1000 {
		d := 20 * time.Millisecond
		if i%10 == 0 {
			d = 200 * time.Millisecond
		}
		e.Observe(start, d, 1, 1)
	}
	if !near(e.Median(), 20*time.Millisecond) || !near(e.P95(), 200*time.Millisecond) {
		t.Errorf("Median() = %v, P95() = %v, want about 20ms and 200ms", e.Median(), e.P95())
	}
	now := start
	for range 3 {
		now = now.Add(10 * time.Second)
		for range 1000 {
			e.Observe(now, 50*time.Millisecond, 1, 1)
		}
	}
	if !near(e.Median(), 50*time.Millisecond) || !near(e.P95(), 50*time.Millisecond) {
		t.Errorf("after the change Median() = %v, P95() = %v, want about 50ms", e.Median(), e.P95())
	}
}

func TestCostFollowsRecentCostRatio(t *testing.T) {
	e := estimate.New(start, time.Second)
	for range 100 {
		e.Observe(start, time.Second, 50, 200)
	}
	if got := e.Cost(400); got < 95 || got > 105 {
		t.Errorf("Cost(400) = %v, want about 100 after calls that used a quarter of the stated cost", got)
	}
	if short, long := e.ExpectedTime(10), e.ExpectedTime(200); short >= long {
		t.Errorf("ExpectedTime(10) = %v, want less than ExpectedTime(200) = %v", short, long)
	}
}
