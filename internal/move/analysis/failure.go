package analysis

import "math"

const (
	// priorFailures and priorOutcomes are the prior of the old version's failure
	// rate.
	priorFailures = 0.1
	priorOutcomes = 10
	// referencePoints is the reference harm, as an increase of the failure rate.
	referencePoints = 0.05
	// tolerancePoints is the accepted increase over the old version's last known
	// failure rate while the old version has no traffic.
	tolerancePoints = 0.05
	// maxFailureRate bounds the failure rates of alternatives.
	maxFailureRate = 0.98
)

// failurePoints are the alternatives, as increases of the failure rate. The last
// one is the reference harm, which only the pass test uses.
var failurePoints = [...]float64{0.04, 0.12, 0.5, referencePoints}

// failureRates are the failure rates of one alternative.
type failureRates struct {
	old, next float64
	// tolerated is the rate up to which the new version is not harmful while the
	// old version has no traffic; 0 means that the alternative does not count then.
	tolerated float64
}

// failureTable holds the failure rates of each alternative.
type failureTable [len(failurePoints)]failureRates

// failureLogs are the logarithms of the e-values by alternative.
type failureLogs [len(failurePoints)]float64

// failureTest compares failure rates.
type failureTest struct {
	failed, outcomes float64
	mix              mixture
	// pass is the logarithm of the evidence for the reference harm since the last
	// step.
	pass float64
}

// add multiplies the evidence by the e-values of a block with the outcomes old of
// the old version. current reports whether it belongs to the current step; it then
// counts for a pass.
func (t *failureTest) add(logs failureLogs, old Totals, weight float64, current bool) {
	last := len(logs) - 1
	t.mix.multiply(logs[:last], weight, current)
	if current {
		t.pass += logs[last]
	}
	t.updateBaseline(old)
}

// buildTable computes the rates of the alternatives from the old version's rate.
func (t *failureTest) buildTable() failureTable {
	var table failureTable
	rate := (t.failed + priorFailures) / (t.outcomes + priorOutcomes)
	for i, points := range failurePoints {
		table[i] = failureRates{old: rate, next: max(rate, min(rate+points, maxFailureRate))}
		if points >= 2*tolerancePoints {
			table[i].tolerated = rate + tolerancePoints
		}
	}
	return table
}

// updateBaseline updates the old version's failure rate, over a bounded number
// of outcomes.
func (t *failureTest) updateBaseline(old Totals) {
	t.failed += float64(old.Failed)
	t.outcomes += float64(old.Outcomes())
	if t.outcomes > maxBaselineOutcomes {
		t.failed *= maxBaselineOutcomes / t.outcomes
		t.outcomes = maxBaselineOutcomes
	}
}

// logEvidence returns the logarithms of a segment's e-values.
func (t *failureTable) logEvidence(b block) failureLogs {
	var logs failureLogs
	for i := range t {
		logs[i] = t[i].logEvidence(b)
	}
	return logs
}

// logEvidence returns the logarithm of a segment's e-value. The common rate is the
// mean of both rates, weighted by the outcomes that each version has.
func (r *failureRates) logEvidence(b block) float64 {
	failed, ok := float64(b.next.Failed), float64(b.next.Succeeded)
	if b.nextOnly {
		if r.tolerated == 0 {
			return 0
		}
		// A rate between the last known one and the tolerance is not harm.
		return failed*math.Log(r.next/r.tolerated) + ok*math.Log((1-r.next)/(1-r.old))
	}
	part := float64(b.next.Outcomes()) / float64(max(b.outcomes(), 1))
	common := (1-part)*r.old + part*r.next
	return failed*math.Log(r.next/common) + ok*math.Log((1-r.next)/(1-common)) +
		float64(b.old.Failed)*math.Log(r.old/common) + float64(b.old.Succeeded)*math.Log((1-r.old)/(1-common))
}
