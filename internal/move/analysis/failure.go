package analysis

import "math"

const (
	// priorFailures of priorOutcomes are what the old version's failure rate is
	// taken to be before anything is known.
	priorFailures = 0.1
	priorOutcomes = 10
	// memoryOutcomes bounds the outcomes that the old version's rates are
	// estimated from, so that they follow the environment.
	memoryOutcomes = 4000
	// referencePoints is the reference harm: failures above the old version.
	referencePoints = 0.05
	// tolerancePoints is allowed above the old version's last known rate when it
	// has no traffic left.
	tolerancePoints = 0.05
	// greatest bounds a failure rate below 1.
	greatest = 0.98
)

// failurePoints are the alternatives: failures above the old version.
var failurePoints = [...]float64{0.04, 0.12, 0.5}

// failureTest compares failure rates.
type failureTest struct {
	failed, outcomes float64
	mix              mixture
	// pass is the logarithm of the evidence for the reference harm since the
	// last step.
	pass float64
}

func (t *failureTest) take(b block, weight float64) {
	rate := (t.failed + priorFailures) / (t.outcomes + priorOutcomes)
	var logs [len(failurePoints)]float64
	for i, p := range failurePoints {
		logs[i] = failureEvidence(b, rate, p)
	}
	t.mix.take(logs[:], weight)
	t.pass += failureEvidence(b, rate, referencePoints)
	t.learn(b.old)
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

// failureEvidence returns the logarithm of a block's e-value for the
// alternative that the new version fails by points above rate.
func failureEvidence(b block, rate, points float64) float64 {
	worse := min(rate+points, greatest)
	common := (float64(b.old.Outcomes())*rate + float64(b.next.Outcomes())*worse) /
		float64(b.old.Outcomes()+b.next.Outcomes())
	if b.alone {
		return failureAlone(b, rate, points)
	}
	return bernoulli(b.old, rate, common) + bernoulli(b.next, worse, common)
}

// failureAlone compares with the old version's last known rate: rates from that
// one up to the tolerance above it are no harm.
func failureAlone(b block, rate, points float64) float64 {
	if points < 2*tolerancePoints {
		return 0
	}
	worse := min(rate+points, greatest)
	return float64(b.next.Failed)*math.Log(worse/(rate+tolerancePoints)) +
		float64(b.next.Succeeded)*math.Log((1-worse)/(1-rate))
}

// bernoulli returns the log-likelihood ratio of outcomes at rate p against q.
func bernoulli(t Totals, p, q float64) float64 {
	v := 0.0
	if t.Failed > 0 {
		v += float64(t.Failed) * math.Log(p/q)
	}
	if t.Succeeded > 0 {
		v += float64(t.Succeeded) * math.Log((1-p)/(1-q))
	}
	return v
}
