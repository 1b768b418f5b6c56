package analysis_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/move/analysis"
)

// allAtOnce is a block size above the number of outcomes of any simulated step.
const allAtOnce = 1 << 20

// simulateStep simulates a step with a share of one half, after a step of the old
// version alone with 400 outcomes. The new version gets imbalance outcomes for each
// of the old one, and the analysis is updated after each block of outcomes. It
// reports whether harm was found.
func simulateStep(rng *rand.Rand, imbalance float64, block, outcomes int, good, bad source) bool {
	begin := time.Unix(0, 0)
	a := analysis.Analysis{Begin: begin, Window: time.Minute}
	a.Step(0, 0)
	var earlier analysis.Totals
	for range 400 {
		good.add(rng, &earlier)
	}
	a.Update(begin, analysis.Sample{Step: 0, Old: earlier})
	a.Step(1, 0.5)
	part := imbalance / (1 + imbalance)
	var old, next analysis.Totals
	for i := 1; i <= outcomes; i++ {
		if rng.Float64() < part {
			bad.add(rng, &next)
		} else {
			good.add(rng, &old)
		}
		if i%block != 0 && i != outcomes {
			continue
		}
		at := begin.Add(time.Duration(i) * 50 * time.Millisecond)
		if a.Update(at, analysis.Sample{Step: 1, Old: old, Next: next}).Harm {
			return true
		}
	}
	return false
}

// TestImbalanceIsNoEvidence simulates steps in which the counts of both versions
// differ from the share of the step: a good version is not found harmful more often
// than the stated probability allows, and a bad one is found, whatever the blocks.
func TestImbalanceIsNoEvidence(t *testing.T) {
	const (
		moves    = 300
		outcomes = 600
	)
	good := source{failing: 0.02, factor: 1}
	tests := []struct {
		name string
		bad  source
		// atLeast and atMost bound the number of moves that are found harmful.
		atLeast, atMost int
	}{
		// Three in 300 has a probability of 0.06 at the stated rate of one in 333.
		{"good", good, 0, 3},
		{"half fail", source{0.5, 1}, moves - 3, moves},
		{"five times slower", source{0.02, 5}, moves - 3, moves},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(21, 1))
			for _, imbalance := range []float64{0.1, 0.3, 1, 3, 10} {
				for _, block := range []int{1, 7, 60, allAtOnce} {
					harmful := 0
					for range moves {
						if simulateStep(rng, imbalance, block, outcomes, good, tt.bad) {
							harmful++
						}
					}
					if harmful < tt.atLeast || harmful > tt.atMost {
						t.Errorf("imbalance %g, blocks of %d: %d of %d harmful, want %d to %d", imbalance, block, harmful, moves, tt.atLeast, tt.atMost)
					}
				}
			}
		})
	}
}

// TestEvidenceAloneInOneBlock feeds 0 failures of 17 and 0 of 70 outcomes, of a step
// with a share of one half, in one block and in several.
func TestEvidenceAloneInOneBlock(t *testing.T) {
	for _, blocks := range []uint64{1, 5, 17} {
		a := analysis.Analysis{Begin: time.Unix(0, 0), Window: time.Minute}
		a.Step(4, 0.5)
		var v analysis.Verdict
		for i := uint64(1); i <= blocks; i++ {
			sample := analysis.Sample{Step: 4, Old: succeeded(70 * i / blocks), Next: succeeded(17 * i / blocks)}
			v = a.Update(time.Unix(int64(i), 0), sample)
		}
		if v.Harm || v.Suspicion > math.Log(2) {
			t.Errorf("%d blocks: %+v", blocks, v)
		}
	}
}

// TestAnswersWithoutLatency feeds a version only part of whose answers have a latency, as
// at an entry that has just started: that is no evidence.
func TestAnswersWithoutLatency(t *testing.T) {
	a := analysis.Analysis{Begin: time.Unix(0, 0), Window: time.Minute}
	a.Step(1, 0.5)
	old, next := succeeded(300), succeeded(40)
	next.Succeeded = 300
	if v := a.Update(time.Unix(1, 0), analysis.Sample{Step: 1, Old: old, Next: next}); v.Harm || v.Slowness > math.Log(2) {
		t.Errorf("%+v", v)
	}
}

// succeeded returns n answers that took the expected time.
func succeeded(n uint64) analysis.Totals {
	t := analysis.Totals{Succeeded: n}
	t.Latency[analysis.Bucket(1)] = n
	return t
}
