// Package retry provides the budget and the back-off of retries. Only requests
// of which no byte can have reached an upstream may be retried. The budget limits
// retries to a small fraction of the traffic, so that an outage doesn't multiply it.
//
// # Usage
//
//	var b retry.Budget
//	b.RecordAttempt()       // for every first attempt
//	if b.Take() {           // for a retry
//		wait := retry.Backoff(attempts, rng)
//	}
package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of retries.
const (
	// retryRatio is the number of retries that each first attempt earns.
	retryRatio = 0.1
	// maxReserve is the number of retries in a full budget.
	maxReserve = 10
	// MaxAttempts is the greatest number of connection attempts of one request.
	MaxAttempts    = 3
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Budget counts the retries that a team or an upstream may still use. Its zero
// value is a full budget.
type Budget struct{ used float64 }

// RecordAttempt counts a first attempt, which earns retryRatio of a retry.
func (b *Budget) RecordAttempt() { b.used = max(0, b.used-retryRatio) }

// Available reports whether a retry may be used.
func (b *Budget) Available() bool { return b.used+1 <= maxReserve }

// Take uses one retry, and returns false when none is left.
func (b *Budget) Take() bool {
	if !b.Available() {
		return false
	}
	b.used++
	return true
}

// Backoff returns the pause before a retry, counted from 1, with full jitter.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	limit := min(initialBackoff<<min(max(attempt-1, 0), 10), maxBackoff)
	return time.Duration(rng.Int64N(int64(limit))) + 1
}
