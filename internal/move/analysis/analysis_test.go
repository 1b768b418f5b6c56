package analysis_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/move/analysis"
)

// source generates the outcomes of a version.
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

// simulateMove simulates a move with 2 requests per second over four hours. The
// new version gets a share of them and is bad from the time from on. It returns
// when harm was found and when the version passed (0: never).
func simulateMove(rng *rand.Rand, share float64, good, bad source, from time.Duration) (harm, pass time.Duration) {
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

func TestVerdictRates(t *testing.T) {
	const moves = 200
	good := source{failing: 0.01, factor: 1}
	tests := []struct {
		name  string
		share float64
		bad   source
		from  time.Duration
		// atLeast and atMost bound the number of moves that are found harmful.
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
			harmful, passed := 0, 0
			var delay, passing time.Duration
			for range moves {
				harm, pass := simulateMove(rng, tt.share, good, tt.bad, tt.from)
				if harm > 0 {
					harmful++
					delay += harm - tt.from
				}
				if pass > 0 && (pass < tt.from || tt.from == 0) {
					passed++
					passing += pass
				}
			}
			t.Logf("%d of %d harmful, mean delay %v; %d passed, mean %v", harmful, moves, delay/time.Duration(max(harmful, 1)), passed, passing/time.Duration(max(passed, 1)))
			if harmful < tt.atLeast || harmful > tt.atMost {
				t.Errorf("%d of %d harmful, want %d to %d", harmful, moves, tt.atLeast, tt.atMost)
			}
		})
	}
}
