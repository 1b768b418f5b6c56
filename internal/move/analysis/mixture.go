package analysis

import "math"

// Weights of the time at which badness begins. Together they are at most 1.
const (
	startWeight  = 0.25
	stepWeight   = 0.05
	maxSteps     = 7
	spreadWeight = 0.35
	lateWeight   = 0.05
	// lateWindows is the number of windows after the deadline over which
	// lateWeight is spread.
	lateWindows = 4.0
	// maxAlternatives bounds the alternatives of one test.
	maxAlternatives = 4
	// greatestLog bounds the logarithm of one e-value.
	greatestLog = 300
)

// mixture is an e-process: the products of e-values from each possible
// beginning of harm, weighted, for each alternative.
type mixture struct {
	// sum is the weighted sum over the beginnings before the last step, fresh
	// that over those since. Requests that were sent before the step say nothing
	// about harm that begins with it, so they leave fresh as it is.
	sum   [maxAlternatives]float64
	fresh [maxAlternatives]float64
	// spent is the weight of the beginnings so far.
	spent float64
	n     int
}

// step puts weight on a beginning at a step.
func (m *mixture) step(weight float64) {
	weight = min(weight, 1-m.spent)
	m.spent += weight
	for i := range m.sum {
		m.sum[i] += m.fresh[i]
		m.fresh[i] = weight
	}
}

// take multiplies the e-values of a block in, given as logarithms; weight is
// that of a beginning at this block. A block that is not current holds outcomes
// of the step before.
func (m *mixture) take(logs []float64, weight float64, current bool) {
	weight = min(weight, 1-m.spent)
	m.spent += weight
	m.n = len(logs)
	for i, e := range logs {
		v := math.Exp(min(e, greatestLog))
		m.sum[i] *= v
		if current {
			m.fresh[i] = (m.fresh[i] + weight) * v
		} else {
			m.sum[i] += weight * v
		}
	}
}

// evidence returns the logarithm of the e-process, with equal weight on each
// alternative.
func (m *mixture) evidence() float64 {
	total := 0.0
	for i := range m.sum {
		total += m.sum[i] + m.fresh[i]
	}
	return math.Log(max(1-m.spent, 0) + total/float64(max(m.n, 1)))
}
