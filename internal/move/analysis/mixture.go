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
)

// mixture is an e-process: the products of e-values from each possible
// beginning of harm, weighted, for each alternative. Values are natural
// logarithms.
type mixture struct {
	begun bool
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

// take multiplies the e-values of a block in; weight is that of a beginning at
// this block.
func (m *mixture) take(logs []float64, weight float64) {
	if !m.begun {
		m.begun = true
		for i := range m.sum {
			m.sum[i] = math.Inf(-1)
		}
	}
	weight = min(weight+m.extra, 1-m.spent)
	m.extra = 0
	m.spent += weight
	m.n = len(logs)
	begin := math.Log(weight)
	for i, e := range logs {
		m.sum[i] = logAdd(m.sum[i], begin) + e
	}
}

// evidence returns the logarithm of the e-process, with equal weight on each
// alternative.
func (m *mixture) evidence() float64 {
	if !m.begun {
		return 0
	}
	total := math.Log(max(1-m.spent, 0))
	for i := range m.n {
		total = logAdd(total, m.sum[i]-math.Log(float64(m.n)))
	}
	return total
}

// logAdd returns log(e^a + e^b).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
