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

// failureLogRatios are the logarithms of the likelihood ratio by outcome.
type failureLogRatios struct {
	oldFailed, oldOK, nextFailed, nextOK float64
	// nextOnlyFailed and nextOnlyOK are used while the old version has no traffic.
	nextOnlyFailed, nextOnlyOK float64
}

// failureTable holds the log ratios of each alternative.
type failureTable [len(failurePoints)]failureLogRatios

// failureTest compares failure rates.
type failureTest struct {
	failed, outcomes float64
	mix              mixture
	// pass is the logarithm of the evidence for the reference harm since the last
	// step.
	pass float64
}

// addBlock adds a block. current reports whether it belongs to the current step;
// it then counts for a pass.
func (t *failureTest) addBlock(table *failureTable, b block, weight float64, current bool) {
	var logs [len(failurePoints)]float64
	for i := range table {
		logs[i] = table[i].logEvidence(b)
	}
	last := len(logs) - 1
	t.mix.multiply(logs[:last], weight, current)
	if current {
		t.pass += logs[last]
	}
	t.updateBaseline(b.old)
}

// buildTable computes the log ratios from the old version's failure rate and the
// new version's fraction of the outcomes.
func (t *failureTest) buildTable(nextFraction float64) failureTable {
	var table failureTable
	rate := (t.failed + priorFailures) / (t.outcomes + priorOutcomes)
	for i, points := range failurePoints {
		worse := min(rate+points, maxFailureRate)
		common := (1-nextFraction)*rate + nextFraction*worse
		o := failureLogRatios{
			oldFailed: math.Log(rate / common), oldOK: math.Log((1 - rate) / (1 - common)),
			nextFailed: math.Log(worse / common), nextOK: math.Log((1 - worse) / (1 - common)),
		}
		if points >= 2*tolerancePoints {
			// A rate between the last known one and the tolerance is not harm.
			o.nextOnlyFailed = math.Log(worse / (rate + tolerancePoints))
			o.nextOnlyOK = math.Log((1 - worse) / (1 - rate))
		}
		table[i] = o
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

// logEvidence returns the logarithm of a block's e-value.
func (o *failureLogRatios) logEvidence(b block) float64 {
	failed, ok := float64(b.next.Failed), float64(b.next.Succeeded)
	if b.nextOnly {
		return failed*o.nextOnlyFailed + ok*o.nextOnlyOK
	}
	return failed*o.nextFailed + ok*o.nextOK + float64(b.old.Failed)*o.oldFailed + float64(b.old.Succeeded)*o.oldOK
}
