package analysis

import "math"

const (
	// priorFailures of priorOutcomes are what the old version's failure rate is
	// taken to be before anything is known.
	priorFailures = 0.1
	priorOutcomes = 10
	// referencePoints is the reference harm: failures above the old version.
	referencePoints = 0.05
	// tolerancePoints is allowed above the old version's last known rate when it
	// has no traffic left.
	tolerancePoints = 0.05
	// greatest bounds a failure rate below 1.
	greatest = 0.98
)

// failurePoints are the alternatives: failures above the old version. The last
// one is the reference harm, which only the pass test uses.
var failurePoints = [...]float64{0.04, 0.12, 0.5, referencePoints}

// odds are the logarithms of the likelihood ratio of one outcome.
type odds struct {
	oldFailed, oldOK, nextFailed, nextOK float64
	// alone are those of the new version when the old one has no traffic.
	aloneFailed, aloneOK float64
}

// failureTable holds the odds of each alternative.
type failureTable [len(failurePoints)]odds

// failureTest compares failure rates.
type failureTest struct {
	failed, outcomes float64
	mix              mixture
	// pass is the logarithm of the evidence for the reference harm since the
	// last step.
	pass float64
}

// take puts a block in; current says that it counts for a pass.
func (t *failureTest) take(table *failureTable, b block, weight float64, current bool) {
	var logs [len(failurePoints)]float64
	for i := range table {
		logs[i] = table[i].evidence(b)
	}
	last := len(logs) - 1
	t.mix.take(logs[:last], weight, current)
	if current {
		t.pass += logs[last]
	}
	t.learn(b.old)
}

// prepare works the table out from what the old version has shown, for a part
// of the outcomes that is the new version's.
func (t *failureTest) prepare(part float64) failureTable {
	var table failureTable
	rate := (t.failed + priorFailures) / (t.outcomes + priorOutcomes)
	for i, points := range failurePoints {
		worse := min(rate+points, greatest)
		common := (1-part)*rate + part*worse
		o := odds{
			oldFailed: math.Log(rate / common), oldOK: math.Log((1 - rate) / (1 - common)),
			nextFailed: math.Log(worse / common), nextOK: math.Log((1 - worse) / (1 - common)),
		}
		if points >= 2*tolerancePoints {
			// Rates from the last known one up to the tolerance are no harm.
			o.aloneFailed = math.Log(worse / (rate + tolerancePoints))
			o.aloneOK = math.Log((1 - worse) / (1 - rate))
		}
		table[i] = o
	}
	return table
}

// learn follows the old version's failure rate with a bounded memory.
func (t *failureTest) learn(old Totals) {
	t.failed += float64(old.Failed)
	t.outcomes += float64(old.Outcomes())
	if t.outcomes > memoryOutcomes {
		t.failed *= memoryOutcomes / t.outcomes
		t.outcomes = memoryOutcomes
	}
}

// evidence returns the logarithm of a block's e-value.
func (o *odds) evidence(b block) float64 {
	failed, ok := float64(b.next.Failed), float64(b.next.Succeeded)
	if b.alone {
		return failed*o.aloneFailed + ok*o.aloneOK
	}
	return failed*o.nextFailed + ok*o.nextOK + float64(b.old.Failed)*o.oldFailed + float64(b.old.Succeeded)*o.oldOK
}
