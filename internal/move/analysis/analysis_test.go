package analysis_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/move/analysis"
)

// source draws outcomes of a version.
type source struct {
	failing, factor float64
}

func (s source) add(rng *rand.Rand, t *analysis.Totals) {
	if rng.Float64() < s.failing {
		t.Failed++
		return
	}
	t.Succeeded++
	t.Latency[analysis.Bucket(s.factor*math.Exp(0.4*rng.NormFloat64()))]++
}

// run draws one move of 2 requests a second over four hours, a share of them on
// the new version, which turns bad at the time from, and returns when it was
// convicted and when it passed (0: never).
func run(rng *rand.Rand, share float64, good, bad source, from time.Duration) (harm, pass time.Duration) {
	const window = 4 * time.Hour
	begin := time.Unix(0, 0)
	a := analysis.Analysis{Begin: begin, Window: window}
	a.Step(1, share)
	var old, next analysis.Totals
	for at := time.Duration(0); at < window; at += 8 * time.Second {
		for range 16 {
			version := good
			if at >= from {
				version = bad
			}
			if rng.Float64() < share {
				version.add(rng, &next)
			} else {
				good.add(rng, &old)
			}
		}
		v := a.Update(begin.Add(at), analysis.Sample{Step: 1, Old: old, Next: next})
		if v.Pass && pass == 0 {
			pass = at
		}
		if v.Harm {
			return at, pass
		}
	}
	return 0, pass
}

func TestRates(t *testing.T) {
	const moves = 200
	good := source{failing: 0.01, factor: 1}
	tests := []struct {
		name  string
		share float64
		bad   source
		from  time.Duration
		// convicted and passed bound the moves with the verdict.
		atLeast, atMost int
	}{
		{"good", 0.25, good, 0, 0, 2},
		{"good canary", 0.045, good, 0, 0, 2},
		{"faster", 0.25, source{0.01, 0.7}, 0, 0, 2},
		{"fails less", 0.25, source{0.001, 1}, 0, 0, 2},
		{"five points", 0.045, source{0.06, 1}, 0, 198, moves},
		{"five points later", 0.25, source{0.06, 1}, 90 * time.Minute, 198, moves},
		{"1.5 times", 0.045, source{0.01, 1.5}, 0, 198, moves},
		{"1.5 times later", 0.25, source{0.01, 1.5}, 90 * time.Minute, 198, moves},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 5))
			convicted, passed := 0, 0
			var delay, passing time.Duration
			for range moves {
				harm, pass := run(rng, tt.share, good, tt.bad, tt.from)
				if harm > 0 {
					convicted++
					delay += harm - tt.from
				}
				if pass > 0 && (pass < tt.from || tt.from == 0) {
					passed++
					passing += pass
				}
			}
			t.Logf("%d of %d convicted, mean delay %v; %d passed, mean %v", convicted, moves, delay/time.Duration(max(convicted, 1)), passed, passing/time.Duration(max(passed, 1)))
			if convicted < tt.atLeast || convicted > tt.atMost {
				t.Errorf("%d of %d convicted, want %d to %d", convicted, moves, tt.atLeast, tt.atMost)
			}
		})
	}
}
