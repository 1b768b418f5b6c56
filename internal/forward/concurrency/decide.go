package concurrency

import (
	"math"
	"time"
)

const (
	// minElasticity is the least growth of the throughput, as a part of the growth of the
	// number of requests, for which more requests are accepted: at 6 requests one more
	// has to add 3 %.
	minElasticity = 0.2
	// steep is the power of the number of requests with which times have to grow for few or
	// old samples at the lower number to count. If the upstream has only become slower as
	// a whole, the limit is wrong until the next answers at the lower number.
	steep = 1.5
	// kneePower is the power with which times are taken to grow beyond a knee until lower
	// numbers are tried. One by one that would take some seconds each.
	kneePower = 3
	// standardErrors is the number of standard errors by which a slowdown has to exceed what the
	// samples' scatter explains.
	standardErrors = 1.5
	// riseInterval is the least time between two rises of the limit.
	riseInterval = 300 * time.Millisecond
	// trialInterval is the time between two trials, trialAgain that after a trial that
	// raised the limit.
	trialInterval = 2 * time.Second
	trialAgain    = 200 * time.Millisecond
)

// decide follows the samples and reports whether the limit changed.
func (l *Limit) decide(now time.Time) bool {
	before := l.Value()
	want := l.best()
	if want > before && l.newest > before {
		if now.Sub(l.raised) < riseInterval {
			return false
		}
		// A trial showed that one more is taken well. What was seen at higher numbers is old.
		want = before + 1
		l.raised = now
		l.trialDue = now.Add(trialAgain)
	}
	l.value = want
	if l.value == l.slots {
		l.value = 0
	}
	return l.Value() != before
}

// best returns the lowest number of requests beyond which the throughput grows too little,
// or the slots.
func (l *Limit) best() int {
	ratios := l.smooth()
	lower := 0.0
	for n := 1; n < l.slots; n++ {
		lower += min(l.bins[n-1].most, seenWeight)
		b := &l.bins[n-1]
		fresh := b.weight >= minWeight
		if !fresh && b.most > 0 && lower >= seenWeight && l.noneAbove(ratios, n, steep) {
			return l.estimate(ratios, n)
		}
		// A limit stays while there are too few samples at it to compare with.
		if (fresh || n == l.value) && l.noneAbove(ratios, n, 1-minElasticity) {
			return n
		}
	}
	return l.slots
}

// estimate returns the number up to which times would not grow if they grew with the power
// kneePower above it, of which old samples at n and new ones above it are known. It is at
// most n, and no number is skipped that was tried since.
func (l *Limit) estimate(ratios []float64, n int) int {
	high := l.slots
	for high > n+1 && l.bins[high-1].most == 0 {
		high--
	}
	v := int(math.Ceil(float64(high) * math.Exp(-(ratios[high-1]-ratios[n-1])/kneePower)))
	v = max(v, 1)
	for v < n && l.bins[v].weight >= seenWeight {
		v++
	}
	return min(v, n)
}

// noneAbove reports whether, from n requests on, times grow at least with the given power of
// the number of requests, as far as higher numbers are known, and for one of them by more
// than the scatter.
func (l *Limit) noneAbove(ratios []float64, n int, power float64) bool {
	sure, higher := false, 0.0
	for m := n; m < l.slots; m++ {
		higher += min(l.bins[m].most, minWeight)
	}
	low := &l.bins[n-1]
	for m := n + 1; m <= l.slots; m++ {
		b := &l.bins[m-1]
		enough := higher >= minWeight
		higher -= min(b.most, minWeight)
		if b.most == 0 || !enough {
			continue // a trial shows it
		}
		growth := math.Log(float64(m) / float64(n))
		scatter := standardErrors * math.Sqrt(l.variance*(1/max(b.weight, seenWeight)+1/max(low.weight, seenWeight)))
		excess := ratios[m-1] - ratios[n-1] - power*growth
		if excess < 0 {
			return false
		}
		sure = sure || excess > scatter
	}
	return sure
}

// smooth returns the mean logarithm of the ratio at each number, made to grow with the
// number (adjacent violators are pooled). An unknown number takes the value of the next
// lower known one, or of the lowest known one.
func (l *Limit) smooth() []float64 {
	type block struct {
		sum, weight float64
		end         int // exclusive
	}
	var blocks []block
	for i := range l.bins {
		b := &l.bins[i]
		if b.weight == 0 {
			continue
		}
		blocks = append(blocks, block{b.sum, b.weight, i + 1})
		for k := len(blocks) - 1; k > 0 && blocks[k-1].sum/blocks[k-1].weight >= blocks[k].sum/blocks[k].weight; k-- {
			blocks[k-1] = block{blocks[k-1].sum + blocks[k].sum, blocks[k-1].weight + blocks[k].weight, blocks[k].end}
			blocks = blocks[:k]
		}
	}
	out := make([]float64, l.slots)
	k := 0
	for i := range out {
		for k < len(blocks)-1 && i+1 > blocks[k].end && l.bins[i].weight > 0 {
			k++
		}
		if len(blocks) > 0 {
			out[i] = blocks[k].sum / blocks[k].weight
		}
	}
	return out
}

// TrialDue reports whether one request beyond the limit may be sent, to learn whether it
// is still too low.
func (l *Limit) TrialDue(now time.Time) bool {
	return l.Value() < l.slots && !now.Before(l.trialDue)
}

// endTrial makes the next trial due at once if a sample beyond the limit shows that one more
// adds to the throughput.
func (l *Limit) endTrial(running int, x float64, now time.Time) {
	v := l.Value()
	at := &l.bins[v-1]
	if running > v && at.weight > 0 && x-at.mean() < (1-minElasticity)*math.Log(float64(running)/float64(v)) {
		l.trialDue = now
	}
}

// BeginTrial records that a request beyond the limit was sent.
func (l *Limit) BeginTrial(now time.Time) { l.trialDue = now.Add(trialInterval) }
