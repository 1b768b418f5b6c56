package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"

	"pgregory.net/rapid"
)

// TestQuotaHolds loads one team's quota while entries are disconnected and killed in
// generated schedules, and checks that no window passes more than the platform
// tolerates.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "entries")
		f := newFleet(n)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "sizes"), 1))
		press := rapid.Float64Range(0.5, 6).Draw(t, "press")
		const tick = 20 * time.Millisecond
		const ticks = 1000
		type fault struct{ entry, from, to int }
		var cuts []fault
		kills := make(map[int][]int)
		for range rapid.IntRange(0, 4).Draw(t, "cuts") {
			from := rapid.IntRange(0, ticks).Draw(t, "from")
			cuts = append(cuts, fault{rapid.IntRange(0, n-1).Draw(t, "cut"), from, from + rapid.IntRange(5, 400).Draw(t, "ticks")})
		}
		for range rapid.IntRange(0, 4).Draw(t, "kills") {
			at := rapid.IntRange(0, ticks).Draw(t, "at")
			kills[at] = append(kills[at], rapid.IntRange(0, n-1).Draw(t, "killed"))
		}
		if rapid.Bool().Draw(t, "all are killed") {
			at := rapid.IntRange(0, ticks).Draw(t, "all at")
			for i := range n {
				kills[at] = append(kills[at], i)
			}
		}
		start := time.Unix(1000, 0)
		for i := range ticks {
			now := start.Add(time.Duration(i) * tick)
			clear(f.cut)
			for _, c := range cuts {
				f.cut[c.entry] = f.cut[c.entry] || i >= c.from && i < c.to
			}
			for _, k := range kills[i] {
				f.restart(k, false)
			}
			if i%3 == 0 {
				f.exchange(now)
			}
			for asked := 0.0; asked < press*f.team.Rate*tick.Seconds(); {
				size := 500 + r.ExpFloat64()*4000
				asked += size
				if _, ok := f.ledgers[r.IntN(n)].Take(&f.team, Request{Size: size, Rank: r.IntN(3), Idle: r.IntN(2) == 0}, now); ok {
					f.passed = append(f.passed, use{now, size})
				}
			}
		}
		limit := (f.team.Rate*testWindow.Seconds()+f.team.Burst)*(1+testOvershoot) + testSlack
		if got := f.maxWindowUse(); got > limit {
			t.Fatalf("%.0f tokens in %v, limit %.0f", got, testWindow, limit)
		}
	})
}
