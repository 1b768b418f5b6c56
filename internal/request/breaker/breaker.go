// Package breaker provides the circuit breaker of one upstream: connections
// that fail in a row open it, and after a pause single probes find out whether
// the upstream is back.
//
// # Usage
//
//	var b breaker.Breaker
//	if b.Allow(now, entries) {
//		// connect, then:
//		b.Succeed() // or b.Fail(now, rng)
//	}
//
// A Breaker is used by one goroutine at a time.
package breaker

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of a breaker.
const (
	// failuresToOpen is the number of failed connections in a row that open it.
	failuresToOpen = 3
	firstPause     = 500 * time.Millisecond
	leastPause     = 100 * time.Millisecond
	longestPause   = 15 * time.Second
	// probeTimeout frees a probe whose end was never told.
	probeTimeout = 10 * time.Second
	// fleetProbes is the number of probes that a fleet may send to an upstream
	// in one pause; each of more entries than that waits longer in proportion.
	fleetProbes = 4
)

// Breaker is closed as its zero value.
type Breaker struct {
	failures int
	// since is when the breaker opened.
	since   time.Time
	until   time.Time
	probing bool
}

// Open tells whether connections are held back.
func (b *Breaker) Open() bool { return b.failures >= failuresToOpen }

// Until returns when the next probe may be sent, at the earliest.
func (b *Breaker) Until() time.Time {
	if !b.Open() {
		return time.Time{}
	}
	return b.until
}

// Reachable takes note that the upstream answered another call: a probe may be
// sent at once, unless one is under way.
func (b *Breaker) Reachable(now time.Time) {
	if b.Open() && !b.probing && now.Before(b.until) {
		b.until = now
	}
}

// Ready tells whether Allow would let a request through.
func (b *Breaker) Ready(now time.Time) bool { return !b.Open() || !now.Before(b.until) }

// Allow tells whether a request may connect now. While the breaker is open it
// lets one probe through after each pause.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.probing = true
	b.until = now.Add(probeTimeout)
	return true
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Fail counts a connection that failed. On average the time that the breaker is
// open doubles from probe to probe, up to longestPause. With more live entries
// than fleetProbes each one's probes are rarer in proportion and at random in the
// logarithm of time, so that those of the whole fleet stay bounded; an entry
// learns of a recovery from Reachable.
func (b *Breaker) Fail(now time.Time, entries int, rng *rand.Rand) {
	b.failures++
	if !b.Open() {
		return
	}
	if !b.probing && now.Before(b.until) {
		return
	}
	if b.since.IsZero() {
		b.since = now
	}
	b.probing = false
	open := max(now.Sub(b.since), firstPause)
	spread := max(1, float64(entries)/fleetProbes)
	doublings := 0.5 + rng.Float64()
	longest := float64(longestPause) * spread * doublings
	if spread > 1 {
		doublings = spread * rng.ExpFloat64()
	}
	pause := max(float64(open)*(math.Exp2(doublings)-1), float64(leastPause))
	b.until = now.Add(time.Duration(min(pause, longest)))
}
