package analysis

import (
	"math"

	"agateward/ward"
)

const (
	// bucketsPerOctave is the number of latency buckets for a factor of two.
	bucketsPerOctave = 4
	// unitBucket is the bucket that begins at the expected time.
	unitBucket = ward.LatencyBuckets / 2
	// priorAnswers is the weight of the prior distribution, in answers.
	priorAnswers = 10
	// priorSpread is the standard deviation of the prior distribution, in buckets.
	priorSpread = 3
	// smoothing is the fraction of each distribution that is spread over all
	// buckets.
	smoothing = 0.03
	// toleranceFactor is the accepted slowdown against the old version's last known
	// latencies while the old version has no traffic.
	toleranceFactor = 1.4
	// referenceFactor is the reference harm, as a slowdown against the old version.
	referenceFactor = 1.5
	// tailPart is the fraction of answers that are slowed by tailFactor in the
	// alternative slowTail.
	tailPart   = 0.25
	tailFactor = 3.0
)

// Alternatives of the latency test.
const (
	smallSlowdown = iota
	doubleTime
	fivefoldTime
	slowTail
	// reference is the reference harm, which only the pass test uses.
	reference
	alternativeCount
)

// slowdowns are the factors of the alternatives that slow every answer.
var slowdowns = [alternativeCount]float64{smallSlowdown: 1.37, doubleTime: 2, fivefoldTime: 5, reference: referenceFactor}

type distribution [ward.LatencyBuckets]float64

// Bucket returns the bucket of an answer that took ratio times the expected time
// for its size. Four buckets cover a factor of two; the outer ones also count
// answers below an eighth and above eight times the expected time.
func Bucket(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	b := unitBucket + math.Floor(bucketsPerOctave*math.Log2(ratio))
	return int(min(max(b, 0), ward.LatencyBuckets-1))
}

// latencyTable holds the distributions of the old version and, for each
// alternative, of the new one. nextOnly holds the logarithms of the likelihood
// ratios while the old version has no traffic.
type latencyTable struct {
	old      distribution
	next     [alternativeCount]distribution
	nextOnly [alternativeCount]distribution
}

// latencyLogs are the logarithms of the e-values by alternative.
type latencyLogs [alternativeCount]float64

// latencyTest compares the distributions of normalized latency.
type latencyTest struct {
	old     distribution
	answers float64
	mix     mixture
	// pass is the logarithm of the evidence for the reference harm since the last
	// step.
	pass float64
}

// add multiplies the evidence by the e-values of a block with the outcomes old of
// the old version. current reports whether it belongs to the current step; it then
// counts for a pass.
func (t *latencyTest) add(logs latencyLogs, old Totals, weight float64, current bool) {
	t.mix.multiply(logs[:reference], weight, current)
	if current {
		t.pass += logs[reference]
	}
	t.updateBaseline(old)
}

// logEvidence returns the logarithms of a segment's e-values. The common
// distribution is the mean of both, weighted by the answers that each version has.
func (t *latencyTable) logEvidence(b block) latencyLogs {
	var logs latencyLogs
	old, next := answers(b.old), answers(b.next)
	part := float64(next) / float64(max(old+next, 1))
	for i := range ward.LatencyBuckets {
		x, y := float64(b.old.Latency[i]), float64(b.next.Latency[i])
		if x == 0 && y == 0 {
			continue
		}
		for j := range logs {
			if b.nextOnly {
				logs[j] += y * t.nextOnly[j][i]
				continue
			}
			old, next := t.old[i], t.next[j][i]
			common := (1-part)*old + part*next
			logs[j] += x*math.Log(old/common) + y*math.Log(next/common)
		}
	}
	return logs
}

// answers returns the number of answers whose latencies were counted.
func answers(t Totals) (n uint64) {
	for _, x := range t.Latency {
		n += x
	}
	return n
}

// buildTable computes the distributions from the old version's latencies.
func (t *latencyTest) buildTable() latencyTable {
	var table latencyTable
	s := t.distribution()
	table.old = smoothed(s)
	tolerated := smoothed(shifted(s, toleranceFactor))
	for j := range table.next {
		table.next[j] = smoothed(slowed(s, j))
		if j != doubleTime && j != fivefoldTime && j != slowTail {
			continue
		}
		for i, p := range table.next[j] {
			// Neither the last known distribution nor that one slowed by
			// toleranceFactor is harm.
			table.nextOnly[j][i] = math.Log(p / max(table.old[i], tolerated[i]))
		}
	}
	return table
}

// distribution estimates the old version's distribution.
func (t *latencyTest) distribution() distribution {
	var s distribution
	for i := range s {
		d := (float64(i) + 0.5 - unitBucket) / priorSpread
		s[i] = priorAnswers * math.Exp(-d*d/2) / (priorSpread * math.Sqrt(2*math.Pi))
		s[i] = (s[i] + t.old[i]) / (priorAnswers + t.answers)
	}
	return s
}

// slowed returns the distribution s under an alternative.
func slowed(s distribution, alternative int) distribution {
	if alternative != slowTail {
		return shifted(s, slowdowns[alternative])
	}
	return mixed(s, tailPart, tailFactor)
}

// mixed returns the distribution s with a part of the answers slowed by factor.
func mixed(s distribution, part, factor float64) distribution {
	slow := shifted(s, factor)
	for i := range s {
		s[i] = (1-part)*s[i] + part*slow[i]
	}
	return s
}

// updateBaseline updates the distribution of the old version's latencies, over a
// bounded number of answers.
func (t *latencyTest) updateBaseline(old Totals) {
	for i, n := range old.Latency {
		t.old[i] += float64(n)
		t.answers += float64(n)
	}
	if t.answers > maxBaselineOutcomes {
		k := maxBaselineOutcomes / t.answers
		for i := range t.old {
			t.old[i] *= k
		}
		t.answers = maxBaselineOutcomes
	}
}

// shifted returns the distribution s with every answer slowed by factor.
func shifted(s distribution, factor float64) distribution {
	by := bucketsPerOctave * math.Log2(factor)
	whole := int(by)
	fraction := by - float64(whole)
	var r distribution
	for i, p := range s {
		low := min(i+whole, len(r)-1)
		high := min(low+1, len(r)-1)
		r[low] += p * (1 - fraction)
		r[high] += p * fraction
	}
	return r
}

// smoothed spreads a small fraction of s over all buckets and normalizes the sum
// to 1.
func smoothed(s distribution) distribution {
	sum := 0.0
	for _, p := range s {
		sum += p
	}
	for i := range s {
		s[i] = (1-smoothing)*s[i]/sum + smoothing/float64(len(s))
	}
	return s
}

// Median returns the median of a histogram, as a ratio to the expected time.
func Median(h [ward.LatencyBuckets]uint64) float64 {
	total := uint64(0)
	for _, n := range h {
		total += n
	}
	seen := uint64(0)
	for i, n := range h {
		seen += n
		if n > 0 && 2*seen >= total {
			return math.Exp2((float64(i) + 0.5 - unitBucket) / bucketsPerOctave)
		}
	}
	return 0
}
