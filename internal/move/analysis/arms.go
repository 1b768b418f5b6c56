package analysis

const (
	// maxBaselineOutcomes bounds the outcomes from which the old version's rates
	// are estimated, so that the rates follow changes of the environment.
	maxBaselineOutcomes = 4000
	// maxArmOutcomes bounds the outcomes from which the new version's fraction of
	// them is estimated.
	maxArmOutcomes = 200
	// maxNextFraction bounds the new version's fraction of the outcomes, so that some
	// are left to the old version.
	maxNextFraction = 0.9
	// priorArmOutcomes is the weight of a step's share as the prior of the new
	// version's fraction, in outcomes.
	priorArmOutcomes = 20
	// refreshRatio is the relative growth of the number of outcomes after which the
	// tables are computed again, bounded by minRefresh and maxRefresh outcomes.
	refreshRatio = 0.05
	minRefresh   = 10
	maxRefresh   = 400
)

// arms estimates the new version's fraction of a step's outcomes. It may differ
// from the share, since the requests in flight are bounded.
type arms struct{ next, all float64 }

// begin sets the prior from the share of the step.
func (a *arms) begin(share float64) { *a = arms{next: priorArmOutcomes * share, all: priorArmOutcomes} }

func (a *arms) add(b block) {
	next := float64(b.next.Outcomes())
	a.next += next
	a.all += next + float64(b.old.Outcomes())
	if a.all > maxArmOutcomes {
		a.next *= maxArmOutcomes / a.all
		a.all = maxArmOutcomes
	}
}

func (a *arms) nextFraction() float64 {
	if a.all == 0 {
		return 0
	}
	return min(a.next/a.all, maxNextFraction)
}

// pacer decides when the tables are computed again.
type pacer struct{ outcomes, lastRefresh float64 }

func (p *pacer) due() bool {
	if p.lastRefresh > 0 && p.outcomes < p.lastRefresh+min(max(refreshRatio*p.lastRefresh, minRefresh), maxRefresh) {
		return false
	}
	p.lastRefresh = max(p.outcomes, 1)
	return true
}
