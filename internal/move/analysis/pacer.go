package analysis

const (
	// maxBaselineOutcomes bounds the outcomes from which the old version's rates
	// are estimated, so that the rates follow changes of the environment.
	maxBaselineOutcomes = 4000
	// refreshRatio is the relative growth of the number of outcomes after which the
	// tables are computed again and a segment begins, bounded by minRefresh and maxRefresh outcomes.
	refreshRatio = 0.5
	minRefresh   = 40
	maxRefresh   = 400
)

// pacer decides when the tables are computed again.
type pacer struct{ outcomes, lastRefresh float64 }

func (p *pacer) due() bool {
	if p.lastRefresh > 0 && p.outcomes < p.lastRefresh+min(max(refreshRatio*p.lastRefresh, minRefresh), maxRefresh) {
		return false
	}
	p.lastRefresh = max(p.outcomes, 1)
	return true
}
