// Package retry owns the budgets and delays of repeated calls.
//
// It must not decide whether a call may be repeated at all: that follows from
// the declarations and from what is known of the failed call.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Ratio is the most repeats for each first call, over time.
	Ratio = 0.1

	// reserve is the most repeats that a budget saves up, so that a stage with
	// few calls can repeat one.
	reserve = 10.0

	// callerStart is the repeats that an organisation has before its first calls.
	callerStart = 2.0

	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Budget allows repeats in proportion to first calls. Use ForStage or
// ForCaller. It is not safe for concurrent use.
type Budget struct {
	tokens  float64
	calls   int64
	repeats int64
	refused int64
}

// ForStage returns a budget with a full reserve.
func ForStage() *Budget { return &Budget{tokens: reserve} }

// ForCaller returns the budget of one organisation at a stage. It has a small
// reserve, so that an organisation with few calls can repeat one.
func ForCaller() *Budget { return &Budget{tokens: callerStart} }

// Call notes a first call.
func (b *Budget) Call() {
	b.calls++
	b.tokens = min(reserve, b.tokens+Ratio)
}

// Allow reports whether a repeat may be sent now and takes it from the budget.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.repeats++
	return true
}

// Left reports whether Allow would allow a repeat, without taking it.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Counts returns the number of first calls, of repeats, and of refused repeats.
func (b *Budget) Counts() (calls, repeats, refused int64) {
	return b.calls, b.repeats, b.refused
}

// Delay returns how long to wait before the given repeat, the first being 1.
// The delay is uniform between zero and a bound that doubles with each repeat.
func Delay(repeat int, rng *rand.Rand) time.Duration {
	bound := maxDelay
	if repeat < 16 {
		bound = min(maxDelay, baseDelay<<repeat)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
