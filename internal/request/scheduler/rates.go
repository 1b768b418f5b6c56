package scheduler

import (
	"math"
	"time"

	"agateward/internal/request/queue"
	"agateward/ward"
)

type queueItem = queue.Item

// rateMemory is the time after which served work counts 1/e in a rate.
const rateMemory = 3 * time.Second

// rates counts the work that a pool dispatches, by tier, in cost units a
// second.
type rates struct {
	sums [ward.TierCount]float64
	at   time.Time
	from time.Time
}

func (r *rates) add(now time.Time, tier ward.Tier, cost float64) {
	r.decay(now)
	r.sums[tier-ward.TierTop] += cost
}

func (r *rates) decay(now time.Time) {
	if r.from.IsZero() {
		r.from = now
	}
	d := now.Sub(r.at)
	if d <= 0 {
		return
	}
	keep := math.Exp(-float64(d) / float64(rateMemory))
	for i := range r.sums {
		r.sums[i] *= keep
	}
	r.at = now
}

// upTo returns the rate of all tiers, and that of the tiers above one.
func (r *rates) upTo(now time.Time, tier ward.Tier) (all, above float64) {
	r.decay(now)
	window := rateMemory.Seconds() * (1 - math.Exp(-now.Sub(r.from).Seconds()/rateMemory.Seconds()))
	if window <= 0 {
		return 0, 0
	}
	for i, x := range r.sums {
		all += x / window
		if i < int(tier-ward.TierTop) {
			above += x / window
		}
	}
	return all, above
}
