// Package retry owns the budgets and delays of retries.
//
// It must not decide whether a call may be retried at all: that follows from
// the declarations and from what is known of the failed call.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Ratio is the number of retries allowed for each first call on average.
	Ratio = 0.1

	// maxTokens is the most retries that a budget accumulates, so that a stage
	// with few calls can retry one.
	maxTokens = 10.0

	// initialOrganisationTokens is the number of retries that an organisation
	// has before its first calls.
	initialOrganisationTokens = 2.0

	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Budget allows retries in proportion to first calls. Create one with
// NewStageBudget or NewOrganisationBudget. It is not safe for concurrent use.
type Budget struct {
	tokens  float64
	calls   int64
	retries int64
	denied  int64
}

// NewStageBudget returns the budget of a stage, which starts full.
func NewStageBudget() *Budget { return &Budget{tokens: maxTokens} }

// NewOrganisationBudget returns the budget of one organisation at a stage. It
// starts with a few tokens, so that an organisation with few calls can retry
// one.
func NewOrganisationBudget() *Budget { return &Budget{tokens: initialOrganisationTokens} }

// RecordCall records a first call.
func (b *Budget) RecordCall() {
	b.calls++
	b.tokens = min(maxTokens, b.tokens+Ratio)
}

// Allow reports whether a retry may be sent now, and takes it from the budget.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Available reports whether Allow would allow a retry, without taking it.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Counts returns the number of first calls, of retries, and of denied retries.
func (b *Budget) Counts() (calls, retries, denied int64) {
	return b.calls, b.retries, b.denied
}

// Delay returns how long to wait before the nth retry, counted from 1. The
// delay is uniform between zero and a bound that doubles with each retry, up to
// maxDelay.
func Delay(n int, rng *rand.Rand) time.Duration {
	bound := maxDelay
	if n < 16 {
		bound = min(maxDelay, baseDelay<<n)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
