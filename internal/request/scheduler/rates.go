package scheduler

import (
	"math"
	"time"

	"agateward/internal/request/queue"
	"agateward/ward"
)

type queueItem = queue.Item

// Time constants of rates.
const (
	// rateDecay is the time constant of the exponential decay of counted work.
	rateDecay = 3 * time.Second
	// minBusySeconds is the least observed time for which a rate is computed.
	minBusySeconds = 0.2
)

// rates estimates the capacity of a pool from the work that it dispatches while
// requests wait, and counts the arriving work by tier. Work is in tokens.
type rates struct {
	served  float64
	busy    float64
	arrived [ward.TierCount]float64
	span    float64
	waiting bool
	at      time.Time
}

// advance decays the counts up to now; waiting reports whether requests wait from
// now on.
func (r *rates) advance(now time.Time, waiting bool) {
	if r.at.IsZero() {
		r.at = now
	}
	if d := now.Sub(r.at); d > 0 {
		keep := math.Exp(-float64(d) / float64(rateDecay))
		gained := rateDecay.Seconds() * (1 - keep)
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

// recordServed counts the dispatch of a request.
func (r *rates) recordServed(now time.Time, cost float64) {
	r.advance(now, r.waiting)
	if r.waiting {
		r.served += cost
	}
}

// recordArrival counts the arrival of a request.
func (r *rates) recordArrival(now time.Time, tier ward.Tier, cost float64) {
	r.advance(now, r.waiting)
	r.arrived[tier-ward.TierTop] += cost
}

// capacity returns the work per second that is dispatched while requests wait,
// or 0 if it is unknown.
func (r *rates) capacity() float64 {
	if r.busy < minBusySeconds {
		return 0
	}
	return r.served / r.busy
}

// arrivalRateAbove returns the work per second that arrives in the tiers above
// the given one.
func (r *rates) arrivalRateAbove(tier ward.Tier) float64 {
	sum := 0.0
	for i := range int(tier - ward.TierTop) {
		sum += r.arrived[i]
	}
	if r.span < minBusySeconds {
		return 0
	}
	return sum / r.span
}
