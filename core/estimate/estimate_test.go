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
	s := estimate.New(start, time.Second)
	if s.Median() != time.Second {
		t.Errorf("Median() without calls = %v, want the guess", s.Median())
	}
	for i := range 1000 {
		d := 20 * time.Millisecond
		if i%10 == 0 {
			d = 200 * time.Millisecond
		}
		s.Observe(start, d, 1, 1)
	}
	if !near(s.Median(), 20*time.Millisecond) || !near(s.High(), 200*time.Millisecond) {
		t.Errorf("Median() = %v, High() = %v", s.Median(), s.High())
	}
	now := start
	for range 3 {
		now = now.Add(10 * time.Second)
		for range 1000 {
			s.Observe(now, 50*time.Millisecond, 1, 1)
		}
	}
	if !near(s.Median(), 50*time.Millisecond) || !near(s.High(), 50*time.Millisecond) {
		t.Errorf("after the change Median() = %v, High() = %v, want 50ms", s.Median(), s.High())
	}
}

func TestCostIsCorrectedByOutputLength(t *testing.T) {
	s := estimate.New(start, time.Second)
	for range 100 {
		s.Observe(start, time.Second, 50, 200)
	}
	if got := s.Cost(400); got < 95 || got > 105 {
		t.Errorf("Cost(400) = %v, want 100 after calls that used a quarter", got)
	}
	if short, long := s.Expect(10), s.Expect(200); short >= long {
		t.Errorf("Expect(10) = %v and Expect(200) = %v", short, long)
	}
}
