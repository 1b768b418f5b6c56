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
	// sum is the weighted sum over the beginnings so far.
	sum [maxAlternatives]float64
	// spent is the weight of the beginnings so far, extra what is put on the
	// next block.
	spent float64
	extra float64
	n     int
}

// expect puts more weight on a beginning at the next block.
func (m *mixture) expect(weight float64) { m.extra += weight }

// take multiplies the e-values of a block in, given as logarithms; weight is
// that of a beginning at this block.
func (m *mixture) take(logs []float64, weight float64) {
	weight = min(weight+m.extra, 1-m.spent)
	m.extra = 0
	m.spent += weight
	m.n = len(logs)
	for i, e := range logs {
		m.sum[i] = (m.sum[i] + weight) * math.Exp(min(e, greatestLog))
	}
}

// evidence returns the logarithm of the e-process, with equal weight on each
// alternative.
func (m *mixture) evidence() float64 {
	total := 0.0
	for _, v := range m.sum {
		total += v
	}
	return math.Log(max(1-m.spent, 0) + total/float64(max(m.n, 1)))
}
