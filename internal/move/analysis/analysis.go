// Package analysis compares the new version of a move with the old one on one
// route.
//
// It is a canary analysis by sequential tests. Each alternative hypothesis states
// that the new version fails by a number of points more often or takes longer by
// a factor. For each one, the likelihood of the outcomes of both versions over
// the same time is compared with their likelihood under one common distribution:
// the mean of the two, weighted by the number of outcomes that each version has.
// The old version's distribution is estimated from earlier outcomes. If the versions
// do not differ, the expectation of such a likelihood ratio (an e-value) is at most
// 1 given the counts, whatever the true rates are: the weighted mean of the expected
// factors is 1, and a geometric mean is at most the arithmetic one. So counts alone
// carry no evidence: a version that has few outcomes, since its requests were sent
// later or an entry learned of the step late, is not suspect for that. At a share of
// 1, or once its instances are gone, the old version has no traffic to compare with, so
// its last known rates with a tolerance are used.
//
// The estimate of the old version is renewed between segments of a step. Within a
// segment the e-value depends on the totals alone, however they are batched.
//
// Harm may begin at any time, so the products of e-values are mixed over the time
// of its onset: some weight lies on the start of the analysis, some on each step,
// and the rest is spread over the window. Earlier good evidence then doesn't mask
// later harm, and the mixture is still a supermartingale that starts at 1. By
// Ville's inequality the probability that it ever reaches 1/alpha, over all
// updates, is at most alpha. So more frequent updates never increase the false
// positive rate.
//
// The version passes a step when the same evidence, counted from the start of the
// step, favours "no worse" by 1/beta over the reference harm (five points or a
// factor of one and a half). A pass is reported; what a step needs is an Approval,
// which a few dozen outcomes can give.
//
// # Usage
//
//	a := analysis.Analysis{Begin: begin, Window: deadline.Sub(begin), Tests: 2 * routes}
//	a.Step(state.Step, state.Share)
//	v := a.Update(now, analysis.Sample{Step: 2, Old: old, Next: next})
//	if v.Harm {
//		quarantines.Merge(...)
//	}
//
// Totals are cumulative counts. Latencies are counted in the buckets of Bucket.
package analysis

import (
	"fmt"
	"math"
	"slices"
	"time"

	"agateward/ward"
)

const (
	// Alpha is the greatest probability that one observer ever finds harm in a move
	// to a version that is no worse, over all its routes and updates.
	Alpha = 0.003
	// Beta is the probability that a version with the reference harm passes a step.
	Beta = 0.001
	// maxStrata is the number of steps whose outcomes are still added. Slow answers come
	// several steps after their requests were sent, as the last steps of a move are short.
	maxStrata = 8
)

// Totals are the outcomes of one version, summed over all entries.
type Totals struct {
	// Sent counts the requests that were sent, Void those of them that ended without
	// being evidence. Sent is too low if entries do not count them.
	Sent, Void uint64

	Succeeded uint64
	Failed    uint64
	Latency   [ward.LatencyBuckets]uint64
}

// Add adds counts of an entry.
func (t *Totals) Add(c ward.Counts) {
	t.Sent += c.Sent
	t.Void += c.Void
	t.Succeeded += c.Succeeded
	t.Failed += c.Failed
	for i, n := range c.Latency {
		t.Latency[i] += n
	}
}

// Merge adds other totals.
func (t *Totals) Merge(u Totals) {
	t.Sent += u.Sent
	t.Void += u.Void
	t.Succeeded += u.Succeeded
	t.Failed += u.Failed
	for i, n := range u.Latency {
		t.Latency[i] += n
	}
}

// Outcomes returns the number of outcomes.
func (t Totals) Outcomes() uint64 { return t.Succeeded + t.Failed }

// Requests returns the number of requests that are or will be evidence.
func (t Totals) Requests() uint64 { return t.unanswered() + t.Outcomes() }

// unanswered returns the number of requests without an outcome yet.
func (t Totals) unanswered() uint64 { return t.Sent - min(t.Sent, t.Void+t.Outcomes()) }

// Verdict is the result of the analysis after an update.
type Verdict struct {
	// Harm reports whether the new version was found to be harmful. Once set it
	// stays set.
	Harm bool
	// Reason states the evidence in one sentence if Harm is set.
	Reason string
	// Pass reports whether the version passes by the evidence since the last step.
	Pass bool
	// Suspicion is the natural logarithm of the evidence for harm, of the test that
	// has more.
	Suspicion float64
	// Failures and Slowness are the natural logarithms of the evidence of both tests,
	// Limit is the one at which harm is found.
	Failures, Slowness, Limit float64
}

// Sample holds the totals of the requests that were sent during one step.
// Outcomes are compared only within a step, since there both versions get fixed
// shares of the same requests.
type Sample struct {
	Step      int
	Old, Next Totals
	// Silent reports whether the old version gets no requests any more, so that its last known
	// rates stand in.
	Silent bool
}

// Analysis is the analysis of one route in one run of a move. Begin and Window
// are required.
type Analysis struct {
	Begin  time.Time
	Window time.Duration
	// Tests is the number of tests that share Alpha: two for each route of the
	// move. 0 means 2.
	Tests int
	// Alpha is the probability of a false positive; 0 means the constant Alpha.
	Alpha float64

	lastBlock  time.Time
	stepOnsets int
	// strata are the last maxStrata steps, the newest first.
	strata  []stratum
	failure failureTest
	latency latencyTest
	verdict Verdict
}

// Steps returns the step that was recorded last, 0 before the first.
func (a *Analysis) Steps() int {
	if len(a.strata) == 0 {
		return 0
	}
	return a.strata[0].step
}

// Step records that a step was made. The evidence for a pass is reset, and the
// step becomes a possible onset of harm.
func (a *Analysis) Step(step int, share float64) {
	a.strata = slices.Insert(a.strata, 0, stratum{step: step, nextOnly: share >= 1})
	a.strata = a.strata[:min(len(a.strata), maxStrata)]
	a.failure.pass = 0
	a.latency.pass = 0
	if a.stepOnsets < maxSteps && !a.lastBlock.IsZero() {
		a.stepOnsets++
		a.failure.mix.addOnset(stepWeight)
		a.latency.mix.addOnset(stepWeight)
	}
	a.verdict.Pass = false
}

// Update adds the totals at now and returns the verdict. It ignores samples of
// steps before the last maxStrata, and totals that decreased because an entry was
// removed.
func (a *Analysis) Update(now time.Time, samples ...Sample) Verdict {
	for i := range samples {
		for j := range a.strata {
			st := &a.strata[j]
			if st.step != samples[i].Step || a.verdict.Harm {
				continue
			}
			if b := st.advance(&samples[i]); b.outcomes() > 0 {
				a.addBlock(now, st, b, j == 0)
				a.updateVerdict(&samples[i])
			}
		}
	}
	return a.verdict
}

// addBlock adds a block to both tests.
func (a *Analysis) addBlock(now time.Time, st *stratum, b block, current bool) {
	w := a.onsetWeight(now)
	a.lastBlock = now
	switched := st.segment.outcomes() > 0 && st.segment.nextOnly != b.nextOnly
	if st.pacer.due() || switched {
		st.startSegment(a.failure.buildTable(), a.latency.buildTable())
	}
	f, l := st.extend(b)
	a.failure.add(f, b.old, w, current)
	a.latency.add(l, b.old, w, current)
	st.pacer.outcomes += float64(b.outcomes())
}

// updateVerdict updates the verdict from the evidence of both tests.
func (a *Analysis) updateVerdict(s *Sample) {
	limit := a.threshold()
	f := a.failure.mix.logEvidence()
	l := a.latency.mix.logEvidence()
	a.verdict.Suspicion = max(f, l)
	a.verdict.Failures, a.verdict.Slowness, a.verdict.Limit = f, l, limit
	switch {
	case f >= limit:
		a.verdict.Harm = true
		a.verdict.Reason = fmt.Sprintf("failures: in step %d %d of %d against %d of %d on the old version (evidence e^%.1f, limit e^%.1f)",
			s.Step, s.Next.Failed, s.Next.Outcomes(), s.Old.Failed, s.Old.Outcomes(), f, limit)
	case l >= limit:
		a.verdict.Harm = true
		a.verdict.Reason = fmt.Sprintf("slowness: in step %d median %.2f of the expected time against %.2f on the old version, %d and %d answers (evidence e^%.1f, limit e^%.1f)",
			s.Step, Median(s.Next.Latency), Median(s.Old.Latency), s.Next.Succeeded, s.Old.Succeeded, l, limit)
	}
	pass := math.Log(Beta)
	a.verdict.Pass = !a.verdict.Harm && a.failure.pass <= pass && a.latency.pass <= pass
}

// threshold returns the natural logarithm of the evidence at which harm is found.
func (a *Analysis) threshold() float64 {
	alpha := a.Alpha
	if alpha == 0 {
		alpha = Alpha
	}
	return math.Log(float64(max(a.Tests, 2)) / alpha)
}

// onsetWeight returns the weight of an onset of harm between the last block and
// this one.
func (a *Analysis) onsetWeight(now time.Time) float64 {
	if a.lastBlock.IsZero() {
		return startWeight
	}
	if a.Window <= 0 {
		return 0
	}
	windows := float64(now.Sub(a.lastBlock)) / float64(a.Window)
	if now.Sub(a.Begin) > a.Window {
		return lateWeight * min(windows/lateWindows, 1)
	}
	return windowWeight * min(max(windows, 0), 1)
}
