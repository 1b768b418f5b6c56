// Package breaker provides the circuit breaker of one upstream. Consecutive
// failed connections open it; after a pause, single probes test whether the
// upstream is reachable again.
//
// # Usage
//
//	var b breaker.Breaker
//	if b.Allow(now) {
//		// Connect, then:
//		b.Succeed() // or b.Fail(now, entries, rng)
//	}
//
// A Breaker is not safe for concurrent use.
package breaker

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of a breaker.
const (
	// failuresToOpen is the number of consecutive failed connections that open a
	// breaker.
	failuresToOpen = 3
	initialPause   = 500 * time.Millisecond
	minPause       = 100 * time.Millisecond
	maxPause       = 15 * time.Second
	// probeTimeout is the time after which another probe is allowed if the outcome
	// of the last one was not reported.
	probeTimeout = 10 * time.Second
	// maxFleetProbes is the number of probes that the fleet may send to an upstream
	// in one pause. With more entries than that, each one's pauses are longer in
	// proportion.
	maxFleetProbes = 4
)

// Breaker is the state of a circuit breaker. Its zero value is closed.
type Breaker struct {
	failures  int
	openedAt  time.Time
	nextProbe time.Time
	probing   bool
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.failures >= failuresToOpen }

// NextProbe returns the earliest time of the next probe, and the zero time if the
// breaker is closed.
func (b *Breaker) NextProbe() time.Time {
	if !b.Open() {
		return time.Time{}
	}
	return b.nextProbe
}

// Reachable records that the upstream answered another call. A probe may then be
// sent at once, unless one is in progress.
func (b *Breaker) Reachable(now time.Time) {
	if b.Open() && !b.probing && now.Before(b.nextProbe) {
		b.nextProbe = now
	}
}

// Ready reports whether Allow would allow a connection.
func (b *Breaker) Ready(now time.Time) bool { return !b.Open() || !now.Before(b.nextProbe) }

// Allow reports whether a request may connect now. While the breaker is open it
// allows one probe after each pause.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.probing = true
	b.nextProbe = now.Add(probeTimeout)
	return true
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Fail records a failed connection. On average the time that the breaker is open
// doubles from probe to probe, with pauses of up to maxPause. With more live
// entries than maxFleetProbes, each one's probes are rarer in proportion and
// random in the logarithm of time, so that the probes of the whole fleet stay
// bounded. Entries then learn of a recovery from Reachable.
func (b *Breaker) Fail(now time.Time, entries int, rng *rand.Rand) {
	b.failures++
	if !b.Open() {
		return
	}
	if !b.probing && now.Before(b.nextProbe) {
		return
	}
	if b.openedAt.IsZero() {
		b.openedAt = now
	}
	b.probing = false
	open := max(now.Sub(b.openedAt), initialPause)
	scale := max(1, float64(entries)/maxFleetProbes)
	doublings := 0.5 + rng.Float64()
	limit := float64(maxPause) * scale * doublings
	if scale > 1 {
		doublings = scale * rng.ExpFloat64()
	}
	pause := max(float64(open)*(math.Exp2(doublings)-1), float64(minPause))
	b.nextProbe = now.Add(time.Duration(min(pause, limit)))
}
