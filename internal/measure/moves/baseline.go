package moves

import (
	"math/rand/v2"
	"time"

	"agateward/ward"
)

const (
	// stepTime is the part of the window between the fixed steps.
	stepTime = 0.2
	// errorLimit of at least errorOutcomes answers within errorWindow take the
	// fixed-step canary back.
	errorLimit    = 0.05
	errorOutcomes = 20
	errorWindow   = 5 * time.Minute
	// cutOverAt is when the straight cut-over is made, as a part of the window.
	cutOverAt = 0.5
)

var fixedShares = [...]float64{0.05, 0.25, 0.5, 1}

// fixedShare is the share of the fixed-step canary at a part of the window.
func fixedShare(part float64) float64 {
	return fixedShares[min(int(part/stepTime), len(fixedShares)-1)]
}

// cutOverShare is the share of the straight cut-over.
func cutOverShare(part float64) float64 {
	if part < cutOverAt {
		return 0
	}
	return 1
}

// baseline runs a move by shares that follow the time alone; threshold says
// that an error threshold takes it back. Both see all answers at once.
func baseline(p profile, seed uint64, share func(part float64) float64, threshold bool) result {
	rng := rand.New(rand.NewPCG(seed, 7))
	res := result{kind: p.kind, outcome: ward.EventMoveDone, onTime: true}
	var failed, outcomes [int(errorWindow / look)]int
	due := map[int][2]int{}
	for tick := range int(p.window / look) {
		at := time.Duration(tick) * look
		s := share(float64(at) / float64(p.window))
		for r := range routes {
			for range poisson(rng, p.rate*look.Seconds()) {
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
				n := due[tick+1+int(total/look)]
				n[1]++
				if !ok {
					n[0]++
				}
				due[tick+1+int(total/look)] = n
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
