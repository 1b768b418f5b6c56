package budget_test

import (
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/budget"

	"pgregory.net/rapid"
)

const growth = 2.0 // a second, as the design note states

var start = time.Unix(1_700_000_000, 0)

// TestPartsStayBounded runs two entries that divide an upstream from views of
// different ages: together they never use more than the stated bound.
func TestPartsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		lag := rapid.IntRange(0, 20).Draw(t, "lag in ticks")
		truth := rapid.SliceOfN(rapid.Float64Range(0, 1), 60, 60).Draw(t, "first entry's part")
		var first, second budget.Budget
		first.Divide(start, truth[0], 0)
		second.Divide(start, 1-truth[0], 0)
		for i := range truth {
			now := start.Add(time.Duration(i) * tick)
			first.Divide(now, truth[i], 0)
			second.Divide(now, 1-truth[max(0, i-lag)], 0)
			bound := 1 + growth*2*(time.Duration(lag)*tick).Seconds()
			if sum := first.Part() + second.Part(); sum > bound+1e-9 {
				t.Fatalf("parts add up to %g, above %g, with views %v old", sum, bound, time.Duration(lag)*tick)
			}
		}
	})
}

// TestFollowsSpeed shows that the rate follows an upstream that slows down
// fivefold and recovers.
func TestFollowsSpeed(t *testing.T) {
	var b budget.Budget
	now := start
	learn := func(rate float64) {
		// The upstream computes one prompt after the other, for ten seconds.
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
