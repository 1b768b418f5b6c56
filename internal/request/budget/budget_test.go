package budget_test

import (
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/budget"

	"pgregory.net/rapid"
)

const growth = 2.0 // per second, as the design note states

var start = time.Unix(1_700_000_000, 0)

// TestSharesStayBounded checks that the shares of two entries whose views are of
// different ages never add up to more than the documented bound.
func TestSharesStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		lag := rapid.IntRange(0, 20).Draw(t, "lag in ticks")
		truth := rapid.SliceOfN(rapid.Float64Range(0, 1), 60, 60).Draw(t, "first entry's part")
		var first, second budget.Budget
		first.SetShare(start, truth[0], 0)
		second.SetShare(start, 1-truth[0], 0)
		for i := range truth {
			now := start.Add(time.Duration(i) * tick)
			first.SetShare(now, truth[i], 0)
			second.SetShare(now, 1-truth[max(0, i-lag)], 0)
			bound := 1 + growth*2*(time.Duration(lag)*tick).Seconds()
			if sum := first.Share() + second.Share(); sum > bound+1e-9 {
				t.Fatalf("shares add up to %g, above %g, with views %v old", sum, bound, time.Duration(lag)*tick)
			}
		}
	})
}

// TestRateFollowsUpstreamSpeed checks that the prefill rate follows an upstream
// that slows down by a factor of five and recovers.
func TestRateFollowsUpstreamSpeed(t *testing.T) {
	var b budget.Budget
	now := start
	learn := func(rate float64) {
		// The upstream computes prompts one after another for ten seconds.
		took := time.Duration(1000 / rate * float64(time.Second))
		for end := now.Add(10 * time.Second); now.Before(end); {
			now = now.Add(took)
			b.FirstToken(now, 1000, took)
		}
	}
	for _, rate := range []float64{10_000, 2_000, 10_000} {
		learn(rate)
		if got := b.PrefillRate(); got < 0.8*rate || got > 1.2*rate {
			t.Fatalf("rate %g after 10 s at %g", got, rate)
		}
	}
}
