package moves

import (
	"math/rand/v2"
	"time"

	"agateward/ward"
)

const (
	// stepFraction is the time between the fixed steps, as a fraction of the window.
	stepFraction = 0.2
	// The fixed-step canary is rolled back when more than errorLimit of at least
	// errorOutcomes answers within errorWindow failed.
	errorLimit    = 0.05
	errorOutcomes = 20
	errorWindow   = 5 * time.Minute
	// cutOverFraction is the time of the direct cut-over, as a fraction of the window.
	cutOverFraction = 0.5
)

var fixedShares = [...]float64{0.05, 0.25, 0.5, 1}

// fixedShare returns the share of the fixed-step canary at a fraction of the
// window.
func fixedShare(fraction float64) float64 {
	return fixedShares[min(int(fraction/stepFraction), len(fixedShares)-1)]
}

// cutOverShare returns the share of the direct cut-over at a fraction of the
// window.
func cutOverShare(fraction float64) float64 {
	if fraction < cutOverFraction {
		return 0
	}
	return 1
}

// runBaseline runs a move whose share depends on the time alone. With threshold, an
// error threshold rolls it back. The answers of all entries are seen at once.
func runBaseline(p profile, seed uint64, share func(fraction float64) float64, threshold bool) result {
	rng := rand.New(rand.NewPCG(seed, 7))
	res := result{kind: p.kind, outcome: ward.EventMoveDone, onTime: true}
	var failed, outcomes [int(errorWindow / tickInterval)]int
	due := map[int][2]int{}
	for tick := range int(p.window / tickInterval) {
		at := time.Duration(tick) * tickInterval
		s := share(float64(at) / float64(p.window))
		for r := range routes {
			for range poisson(rng, p.rate*tickInterval.Seconds()) {
				next := rng.Float64() < s
				bad := next && p.bad(at, r, s)
				if p.route < 0 || p.route == r {
					res.all++
					if bad {
						res.bad++
					}
				}
				_, _, total, ok := p.answer(rng, at, bad)
				if !next {
					continue
				}
				n := due[tick+1+int(total/tickInterval)]
				n[1]++
				if !ok {
					n[0]++
				}
				due[tick+1+int(total/tickInterval)] = n
			}
		}
		slot := tick % len(failed)
		failed[slot], outcomes[slot] = due[tick][0], due[tick][1]
		delete(due, tick)
		f, n := sum(failed[:]), sum(outcomes[:])
		if threshold && n >= errorOutcomes && float64(f) > errorLimit*float64(n) {
			res.outcome = ward.EventMoveRolledBack
			res.onTime = false
			return res
		}
	}
	return res
}

func sum(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}
