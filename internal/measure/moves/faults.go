package moves

import (
	"math/rand/v2"
	"time"
)

// faults are what befalls the store and the holder of one move.
type faults struct {
	// from and until bound an outage of the store.
	from, until time.Duration
	// killAt is when the holder dies, pauseAt when it is paused past its lease;
	// 0: never.
	killAt, pauseAt time.Duration
}

// variants are the faults that are measured, each for good and bad moves.
var variants = [...]string{"store-down", "holder-killed", "holder-paused", "two-at-once"}

// pauseTime is longer than the lease's term.
const pauseTime = 2 * term

// holdTime is how long an entry sends nothing to the new version after a pause.
const holdTime = 2 * time.Second

// drawFaults draws the faults of a variant at random moments.
func drawFaults(rng *rand.Rand, variant string, window time.Duration) faults {
	part := func(f float64) time.Duration { return time.Duration(f * float64(window)) }
	at := part(0.02 + 0.78*rng.Float64())
	var f faults
	switch variant {
	case "store-down":
		f.from = at
		f.until = at + part(0.1*rng.Float64())
	case "holder-killed":
		f.killAt = at
	case "holder-paused":
		f.pauseAt = at
	case "two-at-once":
		f.from = at
		f.until = at + part(0.1*rng.Float64())
		f.killAt = at + time.Duration(rng.IntN(60))*time.Second
	}
	return f
}

func (f *faults) downAt(at time.Duration) bool { return at >= f.from && at < f.until }

func (s *store) down(at time.Duration) bool { return s.faults.downAt(at) }

// fail brings about the faults of this look.
func (w *world) fail() {
	f := &w.store.faults
	e := w.entries[w.store.owner]
	switch {
	case !w.store.held || e.dead:
	case f.killAt > 0 && w.at() >= f.killAt:
		e.dead = true
		f.killAt = 0
	case f.pauseAt > 0 && w.at() >= f.pauseAt:
		e.paused = w.at() + pauseTime
		e.held = e.paused + holdTime
		f.pauseAt = 0
		w.sleeper = w.store.owner
		w.sleeperFence = w.store.fence
	}
	w.wake()
}

// wake lets a holder that was paused past its lease go on as if it still held
// it, on the state of before the pause.
func (w *world) wake() {
	if w.sleeperFence == 0 || w.at() < w.entries[w.sleeper].paused {
		return
	}
	revision := w.store.state.Revision
	w.steerAs(w.sleeper, w.sleeperFence)
	if w.store.state.Revision != revision && w.store.fence > w.sleeperFence {
		w.result.stale++
	}
	w.sleeperFence = 0
}

// holder returns the entry that holds the lease now, or -1.
func (w *world) holder() int {
	s := &w.store
	e := w.entries[s.owner]
	if s.held && !e.dead && w.at() >= e.paused {
		s.expires = w.at() + term
		return s.owner
	}
	if s.held && w.at() < s.expires {
		return -1
	}
	live := w.live()
	if len(live) == 0 {
		return -1
	}
	s.owner = live[w.rng.IntN(len(live))]
	s.held = true
	s.fence++
	s.expires = w.at() + term
	w.takeOver()
	return s.owner
}

// takeOver is the first write of a new holder, under its own fencing number.
func (w *world) takeOver() {
	next := w.store.state
	if next.State == "" {
		return
	}
	next.Fence = w.store.fence
	next.Holder = string(rune('a' + w.store.owner))
	next.Revision++
	w.store.state = next
	w.entries[w.store.owner].state = next
	w.refresh(w.store.owner)
}
