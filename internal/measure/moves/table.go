package moves

import "agateward/internal/measure/report"

// part returns n of all, and 0 of none.
func part(n, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

// addKinds adds the figures of each kind with the better baseline beside them.
func addKinds(r *report.Report, groups map[string]*tally) {
	g, fixed, cut := groups["good"], groups["fixed/good"], groups["cut-over/good"]
	r.Add(
		report.Result{Name: "good/done-by-deadline", Value: part(g.onTime, g.moves), Unit: "share"}.
			AtLeast(0.99).Against(max(part(fixed.onTime, fixed.moves), part(cut.onTime, cut.moves))),
		report.Result{Name: "good/taken-back", Value: part(g.takenBack, g.moves), Unit: "share"}.
			AtMost(0.01).Against(min(part(fixed.takenBack, fixed.moves), part(cut.takenBack, cut.moves))),
		report.Result{Name: "good/told-once", Value: part(g.once, g.moves), Unit: "share"}.AtLeast(1),
	)
	for _, k := range badKinds {
		name := string(k)
		t, fixed, cut := groups[name], groups["fixed/"+name], groups["cut-over/"+name]
		r.Add(
			report.Result{Name: name + "/taken-back", Value: part(t.takenBack, t.moves), Unit: "share"}.
				AtLeast(0.99).Against(max(part(fixed.takenBack, fixed.moves), part(cut.takenBack, cut.moves))),
			report.Result{Name: name + "/requests-on-bad", Value: part(t.bad, t.all), Unit: "share"}.
				AtMost(0.05).Against(min(part(fixed.bad, fixed.all), part(cut.bad, cut.all))),
			report.Result{Name: name + "/last-request-after-shown", Value: t.lag.Seconds(), Unit: "s"}.AtMost(lagLimit.Seconds()),
			report.Result{Name: name + "/later-than-3s", Value: part(t.late, t.moves), Unit: "share"},
			report.Result{Name: name + "/told-once", Value: part(t.once, t.moves), Unit: "share"}.AtLeast(1),
		)
	}
}

// addVariants adds the figures under faults.
func addVariants(r *report.Report, groups map[string]*tally) {
	for _, v := range variants {
		g, b := groups[v+"/good"], groups[v+"/bad"]
		r.Add(
			report.Result{Name: v + "/good-done-by-deadline", Value: part(g.onTime, g.moves), Unit: "share"}.AtLeast(0.99),
			report.Result{Name: v + "/good-taken-back", Value: part(g.takenBack, g.moves), Unit: "share"}.AtMost(0.01),
			report.Result{Name: v + "/bad-taken-back", Value: part(b.takenBack, b.moves), Unit: "share"}.AtLeast(0.99),
			report.Result{Name: v + "/bad-requests-on-bad", Value: part(b.bad, b.all), Unit: "share"}.AtMost(0.05),
			report.Result{Name: v + "/bad-last-request-after-shown", Value: b.lag.Seconds(), Unit: "s"}.AtMost(lagLimit.Seconds()),
			report.Result{Name: v + "/bad-later-than-3s", Value: part(b.late, b.moves), Unit: "share"},
			report.Result{Name: v + "/told-once", Value: part(g.once+b.once, g.moves+b.moves), Unit: "share"}.AtLeast(1),
			report.Result{Name: v + "/steps-while-store-down", Value: float64(g.steps + b.steps), Unit: "steps"}.AtMost(0),
			report.Result{Name: v + "/writes-of-paused-holders", Value: float64(g.stale + b.stale), Unit: "writes"}.AtMost(0),
		)
	}
}

// addGrid adds the grid of badness and rate.
func addGrid(r *report.Report, groups map[string]*tally) {
	for _, c := range cells() {
		t := groups[c.name()]
		back := report.Result{Name: c.name() + "/taken-back", Value: part(t.takenBack, t.moves), Unit: "share"}
		on := report.Result{Name: c.name() + "/requests-on-bad", Value: part(t.bad, t.all), Unit: "share"}
		if c.held() {
			back = back.AtLeast(0.99)
			on = on.AtMost(0.05)
		}
		r.Add(back, on)
	}
}
