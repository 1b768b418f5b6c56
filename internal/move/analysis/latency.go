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
	// refresh is the growth of the old version's answers after which the
	// alternatives are worked out afresh.
	refresh = 1.05
	// refreshAnswers is the same as a number of answers.
	refreshAnswers = 200
	// toleranceFactor is allowed above the old version's last known times when
	// it has no traffic left.
	toleranceFactor = 1.4
	// referenceFactor is the reference harm: time against the old version.
	referenceFactor = 1.5
	// tailPart of the answers are slowed by tailFactor in the last alternative.
	tailPart   = 0.25
	tailFactor = 3.0
)

// latencyFactors are the alternatives that slow every answer; a last one slows
// the tail only.
var latencyFactors = [...]float64{1.37, 2, 5}

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

// latencyTest compares the distributions of normalized latency.
type latencyTest struct {
	old     shape
	answers float64
	// seen counts all answers, shapedAt those that the shapes were worked out
	// from.
	seen      float64
	shapedAt  float64
	base      shape
	worse     [maxAlternatives]shape
	reference shape
	tolerated shape
	mix       mixture
	pass      float64
}

func (t *latencyTest) take(b block, weight float64) {
	t.prepare()
	var logs [maxAlternatives]float64
	for i := range t.worse {
		if b.alone && i == 0 {
			continue
		}
		logs[i] = t.evidence(b, &t.worse[i])
	}
	t.mix.take(logs[:], weight)
	if !b.alone {
		t.pass += t.evidence(b, &t.reference)
	}
	t.learn(b.old)
}

// evidence returns the logarithm of a block's e-value for one alternative.
func (t *latencyTest) evidence(b block, worse *shape) float64 {
	n := float64(b.next.Succeeded)
	o := float64(b.old.Succeeded)
	if n == 0 || o == 0 && !b.alone {
		return 0
	}
	v := 0.0
	for i := range worse {
		x, y := b.old.Latency[i], b.next.Latency[i]
		if x == 0 && y == 0 {
			continue
		}
		common := (o*t.base[i] + n*worse[i]) / (o + n)
		if b.alone {
			// The old version's last shape and that shape slowed by what is
			// tolerated are both no harm.
			common = max(t.base[i], t.tolerated[i])
		}
		if x > 0 {
			v += float64(x) * math.Log(t.base[i]/common)
		}
		if y > 0 {
			v += float64(y) * math.Log(worse[i]/common)
		}
	}
	return v
}

// prepare works the alternatives out from what the old version has shown.
func (t *latencyTest) prepare() {
	if t.shapedAt > 0 && t.seen < refresh*t.shapedAt && t.seen < t.shapedAt+refreshAnswers {
		return
	}
	t.shapedAt = max(t.seen, 1)
	var s shape
	for i := range s {
		d := (float64(i) + 0.5 - unitBucket) / priorSpread
		s[i] = priorAnswers * math.Exp(-d*d/2) / (priorSpread * math.Sqrt(2*math.Pi))
		s[i] = (s[i] + t.old[i]) / (priorAnswers + t.answers)
	}
	t.base = floored(s)
	for i, f := range latencyFactors {
		t.worse[i] = floored(shifted(s, f))
	}
	slow := shifted(s, tailFactor)
	var tail shape
	for i := range tail {
		tail[i] = (1-tailPart)*s[i] + tailPart*slow[i]
	}
	t.worse[len(latencyFactors)] = floored(tail)
	t.reference = floored(shifted(s, referenceFactor))
	t.tolerated = floored(shifted(s, toleranceFactor))
}

// learn follows the old version's latencies with a bounded memory.
func (t *latencyTest) learn(old Totals) {
	for i, n := range old.Latency {
		t.old[i] += float64(n)
		t.answers += float64(n)
		t.seen += float64(n)
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
