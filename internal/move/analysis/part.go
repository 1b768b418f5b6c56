package analysis

const (
	// memoryOutcomes bounds the outcomes that the old version's rates are
	// estimated from, so that they follow the environment.
	memoryOutcomes = 4000
	// memoryPart does so for the part of the outcomes that is the new version's.
	memoryPart = 200
	// greatestPart leaves the old version a part.
	greatestPart = 0.9
	// partPrior is the weight of the share of a step, in outcomes, against what
	// is seen.
	partPrior = 20
	// refresh is the growth of the outcomes after which the tables are worked
	// out afresh, between refreshLeast and refreshMost outcomes.
	refresh      = 0.05
	refreshLeast = 10
	refreshMost  = 400
)

// arms follows the part of a step's outcomes that is the new version's. It may
// differ from the share, since the requests in flight are bounded.
type arms struct{ next, all float64 }

// begin starts from the share of the step.
func (a *arms) begin(share float64) { *a = arms{next: partPrior * share, all: partPrior} }

func (a *arms) learn(b block) {
	next := float64(b.next.Outcomes())
	a.next += next
	a.all += next + float64(b.old.Outcomes())
	if a.all > memoryPart {
		a.next *= memoryPart / a.all
		a.all = memoryPart
	}
}

func (a *arms) part() float64 {
	if a.all == 0 {
		return 0
	}
	return min(a.next/a.all, greatestPart)
}

// pacer tells when tables are to be worked out afresh.
type pacer struct{ seen, at float64 }

func (p *pacer) due() bool {
	if p.at > 0 && p.seen < p.at+min(max(refresh*p.at, refreshLeast), refreshMost) {
		return false
	}
	p.at = max(p.seen, 1)
	return true
}
