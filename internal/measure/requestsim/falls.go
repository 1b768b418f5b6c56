package requestsim

import (
	"context"
	"time"

	"agateward/internal/measure/report"
)

// Targets of a fall, and the number of seeds it is measured over.
const (
	maxFall     = 5.0 // points of a hundred
	maxRecovery = 5.0 // seconds
	fallSeeds   = 6
)

// AddFall measures the fall of the top tier's goodput under Agateward, the oracle
// and the best baseline, and adds it to the report. fault is the time of the fault
// after the warm-up.
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
		report.Result{Name: name + "-top-before", Value: ours.Before, Unit: "share"}.WithBaseline(best.Before),
		report.Result{Name: name + "-top-lowest", Value: ours.Lowest, Unit: "share"}.WithBaseline(best.Lowest),
		report.Result{Name: name + "-top-lowest-oracle", Value: falls[Oracle].Lowest, Unit: "share"},
		report.Result{Name: name + "-top-lowest-without-repeats", Value: ours.LowestWithoutRepeats, Unit: "share"}.WithBaseline(best.LowestWithoutRepeats),
		report.Result{Name: name + "-top-lowest-without-repeats-oracle", Value: falls[Oracle].LowestWithoutRepeats, Unit: "share"},
		report.Result{Name: name + "-top-fall", Value: ours.Points(), Unit: "points"}.WithBaseline(best.Points()).AtMost(maxFall),
		report.Result{Name: name + "-top-recovery", Value: ours.Recovery.Seconds(), Unit: "s"}.
			WithBaseline(best.Recovery.Seconds()).AtMost(maxRecovery),
	)
	return nil
}
