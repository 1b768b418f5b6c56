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
	// priorAnswers is the weight of the prior shape, in answers.
	priorAnswers = 10
	// priorSpread is the standard deviation of the prior shape, in buckets.
	priorSpread = 3
	// floor is the part of each distribution that is spread over all buckets.
	floor = 0.03
	// toleranceFactor is allowed above the old version's last known times when
	// it has no traffic left.
	toleranceFactor = 1.4
	// referenceFactor is the reference harm: time against the old version.
	referenceFactor = 1.5
	// tailPart of the answers are slowed by tailFactor in one alternative.
	tailPart   = 0.25
	tailFactor = 3.0
)

// alternatives of the latency test.
const (
	smallSlowdown = iota
	doubleTime
	fivefoldTime
	slowTail
	// reference is the reference harm, which only the pass test uses.
	reference
	shapes
)

// slowdowns are those of the alternatives that slow every answer.
var slowdowns = [shapes]float64{smallSlowdown: 1.37, doubleTime: 2, fivefoldTime: 5, reference: referenceFactor}

type shape [ward.LatencyBuckets]float64

// Bucket returns the bucket of an answer that took ratio times the expected
// time for its size. Four buckets stand for a factor of two; the outer ones
// take what lies beyond an eighth and eight times.
func Bucket(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	b := unitBucket + math.Floor(bucketsPerOctave*math.Log2(ratio))
	return int(min(max(b, 0), ward.LatencyBuckets-1))
}

// ratios are the logarithms of the likelihood ratio of one answer by bucket.
type ratios struct{ old, next, alone shape }

// latencyTable holds the ratios of each alternative.
type latencyTable [shapes]ratios

// latencyTest compares the distributions of normalized latency.
type latencyTest struct {
	old     shape
	answers float64
	mix     mixture
	// pass is the logarithm of the evidence for the reference harm since the
	// last step.
	pass float64
}

// take puts a block in; current says that it counts for a pass.
func (t *latencyTest) take(table *latencyTable, b block, weight float64, current bool) {
	var logs [shapes]float64
	for i := range ward.LatencyBuckets {
		x, y := float64(b.old.Latency[i]), float64(b.next.Latency[i])
		if x == 0 && y == 0 {
			continue
		}
		for j := range table {
			if b.alone {
				logs[j] += y * table[j].alone[i]
			} else {
				logs[j] += x*table[j].old[i] + y*table[j].next[i]
			}
		}
	}
	t.mix.take(logs[:reference], weight, current)
	if current {
		t.pass += logs[reference]
	}
	t.learn(b.old)
}

// prepare works the table out from what the old version has shown, for a part
// of the outcomes that is the new version's.
func (t *latencyTest) prepare(part float64) latencyTable {
	var table latencyTable
	var s shape
	for i := range s {
		d := (float64(i) + 0.5 - unitBucket) / priorSpread
		s[i] = priorAnswers * math.Exp(-d*d/2) / (priorSpread * math.Sqrt(2*math.Pi))
		s[i] = (s[i] + t.old[i]) / (priorAnswers + t.answers)
	}
	base := floored(s)
	tolerated := floored(shifted(s, toleranceFactor))
	for j := range table {
		worse := floored(slowed(s, j))
		for i := range worse {
			common := (1-part)*base[i] + part*worse[i]
			r := &table[j]
			r.old[i] = math.Log(base[i] / common)
			r.next[i] = math.Log(worse[i] / common)
			if j == doubleTime || j == fivefoldTime || j == slowTail {
				// The last known shape and that shape slowed by what is tolerated
				// are both no harm.
				r.alone[i] = math.Log(worse[i] / max(base[i], tolerated[i]))
			}
		}
	}
	return table
}

// slowed returns s under an alternative.
func slowed(s shape, alternative int) shape {
	if alternative != slowTail {
		return shifted(s, slowdowns[alternative])
	}
	slow := shifted(s, tailFactor)
	for i := range s {
		s[i] = (1-tailPart)*s[i] + tailPart*slow[i]
	}
	return s
}

// learn follows the old version's latencies with a bounded memory.
func (t *latencyTest) learn(old Totals) {
	for i, n := range old.Latency {
		t.old[i] += float64(n)
		t.answers += float64(n)
	}
	if t.answers > memoryOutcomes {
		k := memoryOutcomes / t.answers
		for i := range t.old {
			t.old[i] *= k
		}
		t.answers = memoryOutcomes
	}
}

// shifted returns s when every answer takes factor times as long.
func shifted(s shape, factor float64) shape {
	by := bucketsPerOctave * math.Log2(factor)
	whole := int(by)
	part := by - float64(whole)
	var r shape
	for i, p := range s {
		low := min(i+whole, len(r)-1)
		high := min(low+1, len(r)-1)
		r[low] += p * (1 - part)
		r[high] += p * part
	}
	return r
}

// floored spreads a small part of s over all buckets and makes the sum 1.
func floored(s shape) shape {
	sum := 0.0
	for _, p := range s {
		sum += p
	}
	for i := range s {
		s[i] = (1-floor)*s[i]/sum + floor/float64(len(s))
	}
	return s
}

// median returns the ratio in the middle of a histogram.
func median(h [ward.LatencyBuckets]uint64) float64 {
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
