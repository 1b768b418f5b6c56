package requestsim

import (
	"context"
	"time"

	"agateward/internal/measure/report"
)

// Targets of a fall.
const (
	mostPoints   = 5.0 // points of a hundred
	mostRecovery = 5.0 // seconds
	fallSeeds    = 6
)

// AddFall measures the fall of the top tier under our policy, with the best
// baseline and the oracle beside it, and adds it to the report. The fault comes
// so long after the warm-up.
func AddFall(ctx context.Context, rep *report.Report, name string, s Setup, fault time.Duration, progress func(string)) error {
	falls := make(map[Policy]Fall)
	for _, p := range append([]Policy{Agateward, Oracle}, Baselines...) {
		s.Policy = p
		f, err := RunFall(ctx, s, fault, fallSeeds, progress)
		if err != nil {
			return err
		}
		falls[p] = f
	}
	best := falls[Baselines[0]]
	for _, p := range Baselines[1:] {
		if falls[p].Lowest > best.Lowest {
			best = falls[p]
		}
	}
	ours := falls[Agateward]
	rep.Add(
		report.Result{Name: name + "-top-before", Value: ours.Before, Unit: "share"}.Against(best.Before),
		report.Result{Name: name + "-top-lowest", Value: ours.Lowest, Unit: "share"}.Against(best.Lowest),
		report.Result{Name: name + "-top-lowest-oracle", Value: falls[Oracle].Lowest, Unit: "share"},
		report.Result{Name: name + "-top-lowest-without-repeats", Value: ours.LowestUnbroken, Unit: "share"}.Against(best.LowestUnbroken),
		report.Result{Name: name + "-top-lowest-without-repeats-oracle", Value: falls[Oracle].LowestUnbroken, Unit: "share"},
		report.Result{Name: name + "-top-fall", Value: ours.Points(), Unit: "points"}.Against(best.Points()).AtMost(mostPoints),
		report.Result{Name: name + "-top-recovery", Value: ours.Recovery.Seconds(), Unit: "s"}.
			Against(best.Recovery.Seconds()).AtMost(mostRecovery),
	)
	return nil
}
