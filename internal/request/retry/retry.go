// Package retry provides the budget and the back-off of retries. Only requests
// of which no byte can have reached an upstream may be retried; the budget keeps
// retries a small part of the traffic, so that an outage does not multiply it.
//
// # Usage
//
//	var b retry.Budget
//	b.Sent()                // for every first attempt
//	if b.Take() {           // for a retry
//		wait := retry.Backoff(tries, rng)
//	}
package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of retries.
const (
	// share is the part of a retry that each first attempt earns.
	share = 0.1
	// reserve is the number of retries that an idle budget holds.
	reserve = 10
	// MaxTries is the number of connections that one request may attempt.
	MaxTries     = 3
	firstBackoff = 20 * time.Millisecond
	longest      = 500 * time.Millisecond
)

// Budget counts the retries that a team or an upstream may still use. Its zero
// value is a full budget.
type Budget struct{ used float64 }

// Sent counts a first attempt, which earns a part of a retry.
func (b *Budget) Sent() { b.used = max(0, b.used-share) }

// Left tells whether a retry may be used.
func (b *Budget) Left() bool { return b.used+1 <= reserve }

// Take uses one retry, and returns false when none is left.
func (b *Budget) Take() bool {
	if !b.Left() {
		return false
	}
	b.used++
	return true
}

// Backoff returns the pause before a try (the first retry is 1), with full
// jitter.
func Backoff(try int, rng *rand.Rand) time.Duration {
	top := min(firstBackoff<<min(max(try-1, 0), 10), longest)
	return time.Duration(rng.Int64N(int64(top))) + 1
}
