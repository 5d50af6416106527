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

	// maxTokens is the most repeats that a budget saves up, so that a stage with
	// few calls can repeat one.
	maxTokens = 10.0

	// initialOrganisationTokens is the repeats that an organisation has before its first calls.
	initialOrganisationTokens = 2.0

	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Budget allows repeats in proportion to first calls. Use ForStage or
// ForCaller. It is not safe for concurrent use.
type Budget struct {
	tokens  float64
	calls   int64
	retries int64
	denied  int64
}

// NewStageBudget returns a budget with a full reserve.
func NewStageBudget() *Budget { return &Budget{tokens: maxTokens} }

// NewOrganisationBudget returns the budget of one organisation at a stage. It has a small
// reserve, so that an organisation with few calls can repeat one.
func NewOrganisationBudget() *Budget { return &Budget{tokens: initialOrganisationTokens} }

// RecordCall notes a first call.
func (b *Budget) RecordCall() {
	b.calls++
	b.tokens = min(maxTokens, b.tokens+Ratio)
}

// Allow reports whether a repeat may be sent now and takes it from the budget.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Available reports whether Allow would allow a repeat, without taking it.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Counts returns the number of first calls, of repeats, and of refused repeats.
func (b *Budget) Counts() (calls, retries, denied int64) {
	return b.calls, b.retries, b.denied
}

// Delay returns how long to wait before the given repeat, the first being 1.
// The delay is uniform between zero and a bound that doubles with each repeat.
func Delay(n int, rng *rand.Rand) time.Duration {
	bound := maxDelay
	if n < 16 {
		bound = min(maxDelay, baseDelay<<n)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
