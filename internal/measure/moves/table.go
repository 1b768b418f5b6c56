package moves

import "agateward/internal/measure/report"

// share returns n as a share of all, or 0 when all is 0.
func share(n, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

// addKinds adds the results of each kind with those of the better baseline.
func addKinds(r *report.Report, groups map[string]*tally) {
	g, fixed, cut := groups["good"], groups["fixed/good"], groups["cut-over/good"]
	r.Add(
		report.Result{Name: "good/done-by-deadline", Value: share(g.onTime, g.moves), Unit: "share"}.
			AtLeast(0.99).WithBaseline(max(share(fixed.onTime, fixed.moves), share(cut.onTime, cut.moves))),
		report.Result{Name: "good/taken-back", Value: share(g.rolledBack, g.moves), Unit: "share"}.
			AtMost(0.01).WithBaseline(min(share(fixed.rolledBack, fixed.moves), share(cut.rolledBack, cut.moves))),
		report.Result{Name: "good/told-once", Value: share(g.notifiedOnce, g.moves), Unit: "share"}.AtLeast(1),
	)
	for _, k := range badKinds {
		name := string(k)
		t, fixed, cut := groups[name], groups["fixed/"+name], groups["cut-over/"+name]
		r.Add(
			report.Result{Name: name + "/taken-back", Value: share(t.rolledBack, t.moves), Unit: "share"}.
				AtLeast(0.99).WithBaseline(max(share(fixed.rolledBack, fixed.moves), share(cut.rolledBack, cut.moves))),
			report.Result{Name: name + "/requests-on-bad", Value: share(t.bad, t.all), Unit: "share"}.
				AtMost(0.05).WithBaseline(min(share(fixed.bad, fixed.all), share(cut.bad, cut.all))),
			report.Result{Name: name + "/last-request-after-shown", Value: t.lag.Seconds(), Unit: "s"}.AtMost(lagLimit.Seconds()),
			report.Result{Name: name + "/later-than-3s", Value: share(t.late, t.moves), Unit: "share"},
			report.Result{Name: name + "/told-once", Value: share(t.notifiedOnce, t.moves), Unit: "share"}.AtLeast(1),
		)
	}
}

// addVariants adds the results under faults.
func addVariants(r *report.Report, groups map[string]*tally) {
	for _, v := range variants {
		g, b := groups[v+"/good"], groups[v+"/bad"]
		r.Add(
			report.Result{Name: v + "/good-done-by-deadline", Value: share(g.onTime, g.moves), Unit: "share"}.AtLeast(0.99),
			report.Result{Name: v + "/good-taken-back", Value: share(g.rolledBack, g.moves), Unit: "share"}.AtMost(0.01),
			report.Result{Name: v + "/bad-taken-back", Value: share(b.rolledBack, b.moves), Unit: "share"}.AtLeast(0.99),
			report.Result{Name: v + "/bad-requests-on-bad", Value: share(b.bad, b.all), Unit: "share"}.AtMost(0.05),
			report.Result{Name: v + "/bad-last-request-after-shown", Value: b.lag.Seconds(), Unit: "s"}.AtMost(lagLimit.Seconds()),
			report.Result{Name: v + "/bad-later-than-3s", Value: share(b.late, b.moves), Unit: "share"},
			report.Result{Name: v + "/told-once", Value: share(g.notifiedOnce+b.notifiedOnce, g.moves+b.moves), Unit: "share"}.AtLeast(1),
			report.Result{Name: v + "/steps-while-store-down", Value: float64(g.steps + b.steps), Unit: "steps"}.AtMost(0),
			report.Result{Name: v + "/writes-of-paused-holders", Value: float64(g.stale + b.stale), Unit: "writes"}.AtMost(0),
		)
	}
}

// addGrid adds the results of the grid of degradation and request rate.
func addGrid(r *report.Report, groups map[string]*tally) {
	for _, c := range cells() {
		t := groups[c.name()]
		back := report.Result{Name: c.name() + "/taken-back", Value: share(t.rolledBack, t.moves), Unit: "share"}
		on := report.Result{Name: c.name() + "/requests-on-bad", Value: share(t.bad, t.all), Unit: "share"}
		if c.hasTarget() {
			back = back.AtLeast(0.99)
			on = on.AtMost(0.05)
		}
		r.Add(back, on)
	}
}
