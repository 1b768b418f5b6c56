package scheduler

import (
	"math"
	"time"

	"agateward/internal/request/queue"
	"agateward/ward"
)

type queueItem = queue.Item

// Windows of rates.
const (
	// rateMemory is the time after which served work counts 1/e in a rate.
	rateMemory = 3 * time.Second
	// leastBusy is the busy time from which on a rate can be told.
	leastBusy = 0.2 // seconds
)

// rates counts the work that a pool dispatches while requests wait in it, which
// tells its capacity, and the work that arrives by tier. Work is in tokens.
type rates struct {
	served  float64
	busy    float64
	arrived [ward.TierCount]float64
	span    float64
	waiting bool
	at      time.Time
}

// pass lets time pass; waiting tells whether requests wait from now on.
func (r *rates) pass(now time.Time, waiting bool) {
	if r.at.IsZero() {
		r.at = now
	}
	if d := now.Sub(r.at); d > 0 {
		keep := math.Exp(-float64(d) / float64(rateMemory))
		gained := rateMemory.Seconds() * (1 - keep)
		r.span = r.span*keep + gained
		r.served *= keep
		r.busy *= keep
		if r.waiting {
			r.busy += gained
		}
		for i := range r.arrived {
			r.arrived[i] *= keep
		}
		r.at = now
	}
	r.waiting = waiting
}

// serve counts the dispatch of a request.
func (r *rates) serve(now time.Time, cost float64) {
	r.pass(now, r.waiting)
	if r.waiting {
		r.served += cost
	}
}

// arrive counts the arrival of a request.
func (r *rates) arrive(now time.Time, tier ward.Tier, cost float64) {
	r.pass(now, r.waiting)
	r.arrived[tier-ward.TierTop] += cost
}

// capacity returns the work a second that is served while requests wait, or 0
// when it is not known.
func (r *rates) capacity() float64 {
	if r.busy < leastBusy {
		return 0
	}
	return r.served / r.busy
}

// above returns the work a second that arrives in tiers above one.
func (r *rates) above(tier ward.Tier) float64 {
	sum := 0.0
	for i := range int(tier - ward.TierTop) {
		sum += r.arrived[i]
	}
	if r.span < leastBusy {
		return 0
	}
	return sum / r.span
}
