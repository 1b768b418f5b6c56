package moves

import (
	"math/rand/v2"
	"time"
)

// faults are the faults of the store and of the lease holder during one move.
type faults struct {
	// outageBegin and outageEnd bound an outage of the store.
	outageBegin, outageEnd time.Duration
	// killAt is when the holder is killed, pauseAt when it is paused for longer than
	// its lease; 0 means never.
	killAt, pauseAt time.Duration
}

// variants are the combinations of faults, each measured for good and bad moves.
var variants = [...]string{"store-down", "holder-killed", "holder-paused", "two-at-once"}

// pauseTime is the length of a holder's pause, longer than the lease.
const pauseTime = 2 * leaseTTL

// oldOnlyTime is how long an entry sends nothing to the new version after a pause.
const oldOnlyTime = 2 * time.Second

// drawFaults draws the faults of a variant at random times.
func drawFaults(rng *rand.Rand, variant string, window time.Duration) faults {
	part := func(f float64) time.Duration { return time.Duration(f * float64(window)) }
	at := part(0.02 + 0.78*rng.Float64())
	var f faults
	switch variant {
	case "store-down":
		f.outageBegin = at
		f.outageEnd = at + part(0.1*rng.Float64())
	case "holder-killed":
		f.killAt = at
	case "holder-paused":
		f.pauseAt = at
	case "two-at-once":
		f.outageBegin = at
		f.outageEnd = at + part(0.1*rng.Float64())
		f.killAt = at + time.Duration(rng.IntN(60))*time.Second
	}
	return f
}

func (f *faults) downAt(at time.Duration) bool { return at >= f.outageBegin && at < f.outageEnd }

func (s *store) down(at time.Duration) bool { return s.faults.downAt(at) }

// injectFaults injects the faults that are due.
func (w *simulation) injectFaults() {
	f := &w.store.faults
	e := w.entries[w.store.owner]
	switch {
	case !w.store.leased || e.dead:
	case f.killAt > 0 && w.at() >= f.killAt:
		e.dead = true
		f.killAt = 0
	case f.pauseAt > 0 && w.at() >= f.pauseAt:
		e.paused = w.at() + pauseTime
		e.oldOnlyUntil = e.paused + oldOnlyTime
		f.pauseAt = 0
		w.pausedHolder = w.store.owner
		w.pausedFence = w.store.fence
	}
	w.resumePausedHolder()
}

// resumePausedHolder resumes a holder that was paused for longer than its lease.
// It acts as if it still held the lease, on the state it had before the pause.
func (w *simulation) resumePausedHolder() {
	if w.pausedFence == 0 || w.at() < w.entries[w.pausedHolder].paused {
		return
	}
	revision := w.store.state.Revision
	w.advanceAs(w.pausedHolder, w.pausedFence)
	if w.store.state.Revision != revision && w.store.fence > w.pausedFence {
		w.result.staleWrites++
	}
	w.pausedFence = 0
}

// holder returns the entry that holds the lease now, or -1.
func (w *simulation) holder() int {
	s := &w.store
	e := w.entries[s.owner]
	if s.leased && !e.dead && w.at() >= e.paused {
		s.expires = w.at() + leaseTTL
		return s.owner
	}
	if s.leased && w.at() < s.expires {
		return -1
	}
	live := w.live()
	if len(live) == 0 {
		return -1
	}
	s.owner = live[w.rng.IntN(len(live))]
	s.leased = true
	s.fence++
	s.expires = w.at() + leaseTTL
	w.takeOver()
	return s.owner
}

// takeOver makes the first write of a new holder, with its own fencing number.
func (w *simulation) takeOver() {
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
