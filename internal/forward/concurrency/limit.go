// Package concurrency learns how many requests at once one process of an upstream takes
// well.
//
// An upstream may slow down long before its slots are full. The time of each answer, as a
// multiple of its request's nominal time, is counted at the number of requests that ran
// beside it. The limit is the number from which on one more adds little to the
// throughput. A slowdown that does not grow with the number of requests leaves the limit
// at the slots.
//
// Entries exchange what they observed as counters that only grow, so lost, late and
// duplicated messages do no harm. All then follow from nearly the same samples.
//
// # Usage
//
//	var l concurrency.Limit
//	l.SetSlots(8, now)
//	l.Observe(running, ratio, now)
//	l.Merge("entry-2", report, now)
//	n := l.Value()
//	if l.TrialDue(now) { l.BeginTrial(now) } // send one request beyond the limit
//
// The package reads no clock and does no I/O.
package concurrency

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which a sample loses half of its weight.
	halfLife = 10 * time.Second
	// minWeight is the weight from which a number of requests counts as observed. Fewer
	// samples change nothing.
	minWeight = 3
	// seenWeight is the weight from which a number of requests may show that a higher one
	// is far too slow.
	seenWeight = 1.5
	// expectedWeight is the weight from which samples predict a time. It is more than
	// keptWeight, so that old ones do not.
	expectedWeight = 0.9
	// keptWeight is the least weight of an observed number: two answers of a trial then
	// outweigh what was seen before.
	keptWeight = 0.5
	// forgetAfter is the time without a sample after which all are dropped.
	forgetAfter = 30 * time.Second
	// maxLog bounds the logarithm of one ratio, so that a single answer moves no mean far.
	maxLog = 5
	// maxMerged bounds the samples that one report adds to a number, such as after a
	// partition.
	maxMerged = 50
	// maxSlots bounds the numbers of requests that are told apart.
	maxSlots = 256
	// initialVariance is that of the logarithms of ratios until it is measured;
	// varianceWeight is the weight of one sample in it.
	initialVariance, varianceWeight = 0.1, 0.03
	minVariance, maxVariance        = 0.01, 0.5
	// maxOutlier bounds the square of one deviation, as a multiple of the variance: a change
	// of the upstream is no scatter.
	maxOutlier = 4
	// surprise is the least difference in the logarithm by which an answer shows that the
	// upstream has changed; fadeOlder multiplies the weights of the samples with which it
	// is then not comparable any more.
	// fadeSame is that for older samples at the same number.
	surprise, fadeOlder, fadeSame = 0.6, 0.35, 0.4
)

// bin holds the samples at one number of running requests.
type bin struct {
	// weight and sum are the decayed number of samples and sum of their logarithms.
	weight, sum float64
	// most is the highest weight until now.
	most float64
	// count and total are those of this entry's own samples, never decayed; total is in
	// units of 1/unit.
	count uint32
	total int32
	// sent is the count in the last report.
	sent uint32
}

// known reports whether enough samples were seen at this number.
func (b *bin) known() bool { return b.most >= minWeight }

// seen reports whether some samples were seen at this number.
func (b *bin) seen() bool { return b.most >= seenWeight }

// mean is the mean logarithm of the ratio.
func (b *bin) mean() float64 { return b.sum / b.weight }

// Limit is the number of requests that one process of an upstream takes well. Its zero
// value knows no samples; SetSlots sets the bound.
type Limit struct {
	slots int
	bins  []bin
	// value is the limit, 0 for the slots.
	value int
	// decayed is the time up to which the weights are decayed, last that of the newest
	// sample, raised that of the last rise of the limit.
	decayed, last, raised time.Time
	// trialDue is the time of the next trial.
	trialDue time.Time
	variance float64
	// newest is the number of running requests of the newest sample.
	newest int
	peers  map[string]*counters
}

// SetSlots sets the number of slots. Samples at higher numbers are dropped.
func (l *Limit) SetSlots(n int, now time.Time) {
	n = min(max(n, 1), maxSlots)
	if n == l.slots {
		return
	}
	old := l.bins
	l.slots, l.bins = n, make([]bin, n)
	copy(l.bins, old)
	if l.value > n {
		l.value = 0
	}
	l.decide(now)
}

// Value returns the number of requests to run at once, from 1 to the slots.
func (l *Limit) Value() int {
	if l.value == 0 {
		return l.slots
	}
	return l.value
}

// Observe counts an answer whose time was ratio times the nominal one while running
// requests ran at the upstream. It reports whether the limit changed.
func (l *Limit) Observe(running int, ratio float64, now time.Time) bool {
	if l.slots == 0 || !(ratio > 0) || math.IsInf(ratio, 0) {
		return false
	}
	running = min(max(running, 1), l.slots)
	b := &l.bins[running-1]
	x := min(max(math.Log(ratio), -maxLog), maxLog)
	if b.count < math.MaxUint32 && math.Abs(float64(b.total)) < math.MaxInt32-maxLog*unit {
		b.count++
		b.total += int32(math.Round(x * unit))
	}
	l.add(running, 1, x, now)
	return l.decide(now)
}

// add adds n samples with the mean logarithm x at a number of running requests.
func (l *Limit) add(running int, n, x float64, now time.Time) {
	l.decay(now)
	b := &l.bins[running-1]
	if b.seen() {
		d := x - b.mean()
		l.variance += min(varianceWeight*n, 1) * (min(d*d, maxOutlier*l.variance) - l.variance)
		l.variance = min(max(l.variance, minVariance), maxVariance)
		if math.Abs(d) > max(surprise, 2*math.Sqrt(l.variance)) {
			l.fade(b, d, n)
		}
	}
	l.endTrial(running, x, now)
	b.weight += n
	b.sum += n * x
	b.most = max(b.most, b.weight)
	l.last, l.newest = now, running
}

// fade reduces the weights of the samples that a change of the upstream makes
// incomparable: at lower numbers if it has become slower at b.
func (l *Limit) fade(b *bin, d, n float64) {
	f := math.Pow(fadeOlder, min(n, 1))
	for i := range l.bins {
		c := &l.bins[i]
		if c == b {
			break
		}
		if d > 0 {
			c.weight *= f
			c.sum *= f
		}
	}
	// What was seen at the same number is out of date.
	if f := math.Pow(fadeSame, min(n, 1)); b.weight > 1 {
		b.weight *= f
		b.sum *= f
	}
}

// decay reduces the weights with the time.
func (l *Limit) decay(now time.Time) {
	if l.variance == 0 {
		l.variance = initialVariance
	}
	d := now.Sub(l.decayed)
	if !l.decayed.IsZero() && d <= 0 {
		return
	}
	f := math.Exp2(-d.Seconds() / halfLife.Seconds())
	if l.decayed.IsZero() {
		f = 1
	}
	l.decayed = now
	for i := range l.bins {
		b := &l.bins[i]
		w := b.weight * f
		if b.seen() {
			w = min(max(w, keptWeight), max(b.weight, keptWeight))
		}
		if b.weight > 0 {
			b.sum *= w / b.weight
		}
		b.weight = w
	}
}

// Tick drops all samples if none came for forgetAfter, and lets the limit follow. It
// reports whether the limit changed.
func (l *Limit) Tick(now time.Time) bool {
	if l.last.IsZero() || l.slots == 0 {
		return false
	}
	if now.Sub(l.last) > forgetAfter {
		for i := range l.bins {
			b := &l.bins[i]
			b.weight, b.sum, b.most = 0, 0, 0
		}
		l.last, l.variance = time.Time{}, 0
		changed := l.Value() != l.slots
		l.value = 0
		return changed
	}
	return l.decide(now)
}

// Age returns the time since the newest sample, 0 if there is none.
func (l *Limit) Age(now time.Time) time.Duration {
	if l.last.IsZero() {
		return 0
	}
	return now.Sub(l.last)
}

// Expected returns the mean ratio that was seen lately while running requests ran, or the
// nearest lower number for which there are samples, 0 if there are none. Exact is true if
// it is of that number.
func (l *Limit) Expected(running int) (ratio float64, exact bool) {
	for n := min(running, l.slots); n > 0; n-- {
		if b := &l.bins[n-1]; b.weight >= expectedWeight {
			return math.Exp(b.mean()), n == running
		}
	}
	return 0, false
}

// Samples returns the decayed number of samples, and the mean ratio at the limit and, if
// it is known, at the next higher number; 0 is not known.
func (l *Limit) Samples() (weight, at, above float64) {
	for i := range l.bins {
		weight += l.bins[i].weight
	}
	ratio := func(n int) float64 {
		if n > l.slots || l.bins[n-1].weight == 0 {
			return 0
		}
		return math.Exp(l.bins[n-1].mean())
	}
	if l.slots == 0 {
		return 0, 0, 0
	}
	return weight, ratio(l.Value()), ratio(l.Value() + 1)
}
