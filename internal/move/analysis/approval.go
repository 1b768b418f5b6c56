package analysis

import (
	"math"

	"agateward/ward"
)

const (
	// approvalPoints is the least increase of the failure rate that an approved version
	// would show.
	approvalPoints = 0.2
	// approvalLog is the natural logarithm of the likelihood of the outcomes of a version
	// with the least harm, against one without, at which a version is approved.
	approvalLog = -3.0
	// doubtLog is the natural logarithm of the same likelihoods at which a version is in
	// doubt.
	doubtLog = 6.0
	// opposingSlowness is the natural logarithm of the likelihood of the latencies from which
	// on they speak against a version that is not approved. Few answers that are slow by
	// chance stay below it.
	opposingSlowness = 4.0
	// fewOutcomes is the number of outcomes of the new version up to which opposingSlowness
	// holds for a route at the end.
	fewOutcomes = 10
	// majorParts is the number of equal routes of which each one needs approvalLog by
	// itself. A smaller route needs a part of it.
	majorParts = 2.0
)

// slowdown is a part of the answers that take factor times as long.
type slowdown struct{ part, factor float64 }

// excludedSlowdowns are the least slowdowns that an approved version would show.
var excludedSlowdowns = [...]slowdown{{1, 2}, {0.3, 4}}

// Approval compares the outcomes of a version on one route with those that it would have
// if it were harmful. Unlike a Verdict it asks for evidence that the version is no worse:
// an absence of outcomes speaks for nothing, and requests that are not answered yet
// count as failed at both versions.
type Approval struct {
	// Failures and Slowness are the natural logarithms of the likelihood of the outcomes
	// under the harm that explains them best, against no harm. Slowness is 0 without
	// latencies.
	Failures, Slowness float64
	// AnsweredFailures is Failures by the requests that have an outcome.
	AnsweredFailures float64
	// Answered is the number of outcomes of the new version, Failed that of the failures
	// among them.
	Answered, Failed uint64
	// Expected is true if requests are known to come on the route.
	Expected bool
	// Requests is the number of requests of both versions.
	Requests uint64
}

// Assess returns the approval by the outcomes of the new version since a step, given the
// totals of all steps.
func Assess(samples []Sample, since int) Approval {
	var old, next Totals
	for _, s := range samples {
		old.Merge(s.Old)
		if s.Step >= since {
			next.Merge(s.Next)
		}
	}
	return Approval{
		Failures: failuresAgainst(samples, since, old, Totals.unanswered), AnsweredFailures: failuresAgainst(samples, since, old, none),
		Slowness: slownessAgainst(old, next), Requests: old.Requests() + next.Requests(),
		Answered: next.Outcomes(), Failed: next.Failed,
	}
}

// none counts no request without an outcome.
func none(Totals) uint64 { return 0 }

// Opposes reports whether the outcomes on the route speak against the version, by however
// little. It decides on a version that gets too few requests to be approved.
func (a Approval) Opposes() bool { return a.AnsweredFailures > 0 || a.Slowness > opposingSlowness }

// Unclear reports whether they would, if all requests without an outcome failed.
func (a Approval) Unclear() bool { return a.Failures > 0 || a.Opposes() }

// Worse reports whether the outcomes on the route speak for harm as clearly as those of an
// approved version speak against it.
func (a Approval) Worse() bool { return max(a.Failures, a.Slowness) > -approvalLog }

// Doubtful reports whether they speak for harm so clearly that the version should get fewer
// requests.
func (a Approval) Doubtful() bool { return max(a.Failures, a.Slowness) > doubtLog }

// Worst returns the approval of the route whose outcomes speak against the version most, the
// zero value without outcomes.
func Worst(routes []Approval) Approval {
	worst, against := Approval{}, math.Inf(-1)
	for _, a := range routes {
		if e := max(a.AnsweredFailures, a.Slowness); a.Answered > 0 && e > against {
			worst, against = a, e
		}
	}
	return worst
}

// Approved reports whether a version is approved by its approvals on all routes. Each route
// has to speak for the version according to its part of the requests, and by at least one
// outcome where requests are expected. If the time is up, it is enough that none speaks against
// it and that all together do; a few answers that are slow by chance do not speak against it.
func Approved(routes []Approval, timeUp bool) bool {
	var all Approval
	for _, a := range routes {
		all.Requests += a.Requests
		all.Failures += a.Failures
		all.Slowness += a.Slowness
	}
	if max(all.Failures, all.Slowness) > approvalLog {
		return false
	}
	for _, a := range routes {
		limit := approvalLog * min(1, majorParts*float64(a.Requests)/float64(all.Requests))
		slowness := limit
		if !timeUp && a.Expected && a.Answered == 0 {
			return false
		}
		if timeUp {
			limit, slowness = 0, 0
			if a.Answered < fewOutcomes {
				slowness = opposingSlowness
			}
		}
		if a.Failures > limit || a.Slowness > slowness {
			return false
		}
	}
	return true
}

// failuresAgainst returns the logarithm for the failures. The old version's rate is that
// of each step, so that a disturbance of both versions is none of the new one. Of the requests
// without an outcome those that pending returns count as failed.
func failuresAgainst(samples []Sample, since int, old Totals, pending func(Totals) uint64) float64 {
	common := rate(old, pending(old), priorFailures/priorOutcomes)
	sum := 0.0
	for _, s := range samples {
		if s.Step < since {
			continue
		}
		p := rate(s.Old, pending(s.Old), common)
		bad := float64(s.Next.Failed + pending(s.Next))
		ok := float64(s.Next.Succeeded)
		if bad+ok == 0 {
			continue
		}
		q := min(max(p+approvalPoints, bad/(bad+ok)), maxFailureRate)
		if q <= p {
			continue // both versions fail
		}
		sum += bad*math.Log(q/p) + ok*math.Log((1-q)/(1-p))
	}
	return sum
}

// rate returns the fraction of requests without a good answer, given the number of those that
// have none yet and an earlier estimate.
func rate(t Totals, pending uint64, earlier float64) float64 {
	bad := float64(t.Failed + pending)
	return min((bad+earlier*priorOutcomes)/(bad+float64(t.Succeeded)+priorOutcomes), maxFailureRate)
}

// slownessAgainst returns the logarithm for the latencies.
func slownessAgainst(old, next Totals) float64 {
	if answers(next) == 0 {
		return 0
	}
	var t latencyTest
	t.updateBaseline(old)
	s := t.distribution()
	same := smoothed(s)
	best := math.Inf(-1)
	for _, x := range excludedSlowdowns {
		slower, sum := smoothed(mixed(s, x.part, x.factor)), 0.0
		for i := range ward.LatencyBuckets {
			sum += float64(next.Latency[i]) * math.Log(slower[i]/same[i])
		}
		best = max(best, sum)
	}
	return best
}
