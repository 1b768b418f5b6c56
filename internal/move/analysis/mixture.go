package analysis

import "math"

// Weights of the onset of harm. Their sum is at most 1.
const (
	startWeight  = 0.25
	stepWeight   = 0.05
	maxSteps     = 7
	windowWeight = 0.35
	lateWeight   = 0.05
	// lateWindows is the time after the deadline over which lateWeight is spread,
	// in windows.
	lateWindows = 4.0
	// maxAlternatives bounds the number of alternatives of a test.
	maxAlternatives = 4
	// maxLogValue bounds the logarithm of an e-value.
	maxLogValue = 300
)

// mixture is an e-process: for each alternative, the weighted sum of the products
// of e-values since each possible onset of harm.
type mixture struct {
	// sum is the weighted sum over the onsets before the last step, recent the sum
	// over those since. Requests that were sent before the step say nothing about
	// harm that begins with it, so they do not change recent.
	sum    [maxAlternatives]float64
	recent [maxAlternatives]float64
	// used is the total weight of the onsets so far, n the number of alternatives.
	used float64
	n    int
}

// addOnset adds an onset at a step.
func (m *mixture) addOnset(weight float64) {
	weight = min(weight, 1-m.used)
	m.used += weight
	for i := range m.sum {
		m.sum[i] += m.recent[i]
		m.recent[i] = weight
	}
}

// multiply multiplies the products by the e-values of a block, given as
// logarithms. weight is the weight of an onset at this block. A block that is not
// current holds outcomes of an earlier step.
func (m *mixture) multiply(logs []float64, weight float64, current bool) {
	weight = min(weight, 1-m.used)
	m.used += weight
	m.n = len(logs)
	for i, e := range logs {
		v := math.Exp(min(e, maxLogValue))
		m.sum[i] *= v
		if current {
			m.recent[i] = (m.recent[i] + weight) * v
		} else {
			m.sum[i] += weight * v
		}
	}
}

// logEvidence returns the logarithm of the e-process, with equal weights on the
// alternatives.
func (m *mixture) logEvidence() float64 {
	total := 0.0
	for i := range m.sum {
		total += m.sum[i] + m.recent[i]
	}
	return math.Log(max(1-m.used, 0) + total/float64(max(m.n, 1)))
}
