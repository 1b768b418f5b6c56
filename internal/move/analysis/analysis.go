// Package analysis judges the new version of a move against the old one, on one
// route.
//
// It is a canary analysis by sequential tests. For each alternative (the new
// version fails by so many points more, or takes so many times as long) the
// likelihood of the outcomes of both versions over the same time is compared
// with their likelihood under one common distribution: the mixture of the two in
// the parts in which the versions get requests. The old version's distribution
// is estimated from outcomes before. If the versions do not differ, and each
// outcome is the new version's with the probability of that part, the
// expectation of such a ratio, an e-value, is 1 whatever the true rates are; if
// the new version is better it is below 1. At a share of 1 the old version has
// no traffic to compare with; its last known rates with a tolerance stand in. One outcome gives one factor, so what
// is found hardly depends on how counts arrive.
//
// Badness may begin at any time, so the products of e-values are mixed over the
// time of its beginning: a part of the weight lies on the start of the analysis,
// a part on each step and the rest is spread over the window. Good evidence
// that was collected earlier does not mask later harm, and the mixture is still
// a supermartingale that starts at 1. By Ville's inequality the chance that it
// ever reaches 1/alpha, over all looks, is at most alpha: one more look never
// inflates the false alarm rate.
//
// The version passes a step when the same evidence, from the step's beginning,
// speaks for "no worse" by 1/beta against the reference harm (five points or
// one and a half times).
//
// # Usage
//
//	a := analysis.Analysis{Begin: begin, Window: deadline.Sub(begin), Tests: 2 * routes}
//	a.Step(state.Step, state.Share)
//	v := a.Look(now, analysis.Sample{Step: 2, Old: old, Next: next})
//	if v.Harm {
//		brakes.Merge(...)
//	}
//
// Totals are cumulative counts. Latencies are
// counted in the buckets of Bucket.
package analysis

import (
	"fmt"
	"math"
	"time"

	"agateward/ward"
)

const (
	// Alpha is the greatest chance that one observer ever convicts a move to a
	// version that is no worse, over all its routes and looks.
	Alpha = 0.003
	// Beta is the chance that a version of the reference harm passes a step.
	Beta = 0.001
)

// Totals are the outcomes of one version, summed over all entries.
type Totals struct {
	Succeeded uint64
	Failed    uint64
	Latency   [ward.LatencyBuckets]uint64
}

// Add adds the counts of one run of an entry.
func (t *Totals) Add(c ward.Counts) {
	t.Succeeded += c.Succeeded
	t.Failed += c.Failed
	for i, n := range c.Latency {
		t.Latency[i] += n
	}
}

// Merge adds the totals of others.
func (t *Totals) Merge(u Totals) {
	t.Succeeded += u.Succeeded
	t.Failed += u.Failed
	for i, n := range u.Latency {
		t.Latency[i] += n
	}
}

// Outcomes returns the number of outcomes.
func (t Totals) Outcomes() uint64 { return t.Succeeded + t.Failed }

// Verdict is what the analysis says at a look.
type Verdict struct {
	// Harm says that the new version is convicted; it stays so.
	Harm bool
	// Reason gives the evidence in one sentence when Harm is set.
	Reason string
	// Pass says that the evidence since the last step speaks for the version.
	Pass bool
	// Suspicion is the greater of the two tests' natural logarithm of evidence
	// for harm.
	Suspicion float64
}

// Sample is the totals of the outcomes of requests that were sent during one
// step. Outcomes are compared within a step only: there both versions get their
// parts of the same requests.
type Sample struct {
	Step      int
	Old, Next Totals
}

// Analysis judges one route of one run of a move. Begin and Window are needed;
// a zero Tests stands for the two tests of a single route.
type Analysis struct {
	Begin  time.Time
	Window time.Duration
	// Tests is the number of tests that share Alpha: two for each route of the
	// move.
	Tests int
	// Alpha is the chance of a false alarm; 0 stands for the constant.
	Alpha float64

	last    time.Time
	stepped int
	// strata are the last two steps, the newer one first.
	strata  [2]stratum
	failure failureTest
	latency latencyTest
	verdict Verdict
}

// Step tells the analysis that a step was made: the evidence for a pass starts
// afresh, and harm that begins there is expected.
func (a *Analysis) Step(step int, share float64) {
	a.strata[1] = a.strata[0]
	a.strata[0] = stratum{step: step, alone: share >= 1}
	a.strata[0].arms.begin(share)
	a.failure.pass = 0
	a.latency.pass = 0
	if a.stepped < maxSteps && !a.last.IsZero() {
		a.stepped++
		a.failure.mix.step(stepWeight)
		a.latency.mix.step(stepWeight)
	}
	a.verdict.Pass = false
}

// Update takes in the totals at now and returns the verdict. A sample of a step
// that is neither of the last two adds nothing, nor do totals that went down,
// since an entry was forgotten.
func (a *Analysis) Update(now time.Time, samples ...Sample) Verdict {
	for i := range samples {
		for j := range a.strata {
			st := &a.strata[j]
			if st.step != samples[i].Step || a.verdict.Harm {
				continue
			}
			if b := st.advance(&samples[i]); b.outcomes() > 0 {
				a.take(now, st, b, j == 0)
				a.decide(&samples[i])
			}
		}
	}
	return a.verdict
}

// take puts one block into both tests.
func (a *Analysis) take(now time.Time, st *stratum, b block, current bool) {
	w := a.weight(now)
	a.last = now
	if st.pacer.due() {
		st.failure = a.failure.prepare(st.arms.part())
		st.latency = a.latency.prepare(st.arms.part())
	}
	a.failure.take(&st.failure, b, w, current)
	a.latency.take(&st.latency, b, w, current)
	st.arms.learn(b)
	st.pacer.seen += float64(b.outcomes())
}

func (a *Analysis) decide(s *Sample) {
	limit := a.limit()
	f := a.failure.mix.evidence()
	l := a.latency.mix.evidence()
	a.verdict.Suspicion = max(f, l)
	switch {
	case f >= limit:
		a.verdict.Harm = true
		a.verdict.Reason = fmt.Sprintf("failures: in step %d %d of %d against %d of %d on the old version (evidence e^%.1f, limit e^%.1f)",
			s.Step, s.Next.Failed, s.Next.Outcomes(), s.Old.Failed, s.Old.Outcomes(), f, limit)
	case l >= limit:
		a.verdict.Harm = true
		a.verdict.Reason = fmt.Sprintf("slowness: in step %d median %.2f of the expected time against %.2f on the old version, %d and %d answers (evidence e^%.1f, limit e^%.1f)",
			s.Step, median(s.Next.Latency), median(s.Old.Latency), s.Next.Succeeded, s.Old.Succeeded, l, limit)
	}
	pass := math.Log(Beta)
	a.verdict.Pass = !a.verdict.Harm && a.failure.pass <= pass && a.latency.pass <= pass
}

// limit returns the logarithm of the evidence that convicts.
func (a *Analysis) limit() float64 {
	alpha := a.Alpha
	if alpha == 0 {
		alpha = Alpha
	}
	return math.Log(float64(max(a.Tests, 2)) / alpha)
}

// weight returns the part of the mixture that lies between the last block and
// this one.
func (a *Analysis) weight(now time.Time) float64 {
	if a.last.IsZero() {
		return startWeight
	}
	if a.Window <= 0 {
		return 0
	}
	part := float64(now.Sub(a.last)) / float64(a.Window)
	if now.Sub(a.Begin) > a.Window {
		return lateWeight * min(part/lateWindows, 1)
	}
	return spreadWeight * min(max(part, 0), 1)
}
