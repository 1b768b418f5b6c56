// Package overload measures goodput by tier and wasted prefill at an offered load
// of up to three times the capacity, with request lengths that differ a
// hundredfold. Each result sums four runs, with the given seed and the next ones.
//
// # Usage
//
//	rep, err := overload.Experiment{}.Run(ctx, 1, progress)
package overload

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/measure/report"
	"agateward/internal/measure/requestsim"
)

// Targets at twice the capacity.
const (
	targetLoad     = 2.0
	minTopGoodput  = 0.95
	minGain        = 1.3
	maxWasteRatio  = 0.5
	minOracleRatio = 0.9
	// seeds is the number of runs that are summed.
	seeds = 4
)

var loads = []float64{0.5, 1, 1.5, 2, 3}

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "overload" }

// About says what it shows.
func (Experiment) About() string {
	return "goodput by tier and wasted prefill from half to three times the capacity"
}

// Run runs all policies at all loads.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	rep := report.Report{Experiment: "overload", Seed: seed}
	for _, load := range loads {
		s := requestsim.Setup{Seed: seed, Load: load, WarmUp: 20 * time.Second, Length: time.Minute, Drain: time.Minute}
		if err := addLoad(ctx, &rep, s); err != nil {
			return rep, err
		}
		progress(fmt.Sprintf("load %g done", load))
	}
	return rep, nil
}

func addLoad(ctx context.Context, rep *report.Report, s requestsim.Setup) error {
	baselines, err := requestsim.RunBaselines(ctx, s, seeds)
	if err != nil {
		return err
	}
	s.Policy = requestsim.Oracle
	oracle, err := requestsim.RunSum(ctx, s, seeds)
	if err != nil {
		return err
	}
	s.Policy = requestsim.Agateward
	ours, err := requestsim.RunSum(ctx, s, seeds)
	if err != nil {
		return err
	}
	at := fmt.Sprintf("load-%g-", s.Load)
	for i, t := range ours.Tiers {
		r := report.Result{Name: fmt.Sprintf("%sgoodput-tier-%d", at, i+1), Value: t.Goodput(), Unit: "share"}
		r = r.WithBaseline(requestsim.Best(baselines, func(a, b requestsim.Result) bool { return a.Tiers[i].Goodput() > b.Tiers[i].Goodput() }).Tiers[i].Goodput())
		if i == 0 && s.Load == targetLoad {
			r = r.AtLeast(minTopGoodput)
		}
		rep.Add(r)
	}
	addTotals(rep, at, s.Load == targetLoad, ours, oracle, baselines)
	return nil
}

// addTotals adds the results over all tiers, by requests and by tokens.
func addTotals(rep *report.Report, at string, target bool, ours, oracle requestsim.Result, base []requestsim.Result) {
	requests, tokens := ours.Good()
	baseRequests, baseTokens := bestGood(base)
	oracleRequests, oracleTokens := oracle.Good()
	waste := requestsim.Best(base, func(a, b requestsim.Result) bool { return a.WastedShare() < b.WastedShare() }).WastedShare()
	gain := report.Result{Name: at + "goodput-over-best-baseline", Value: ratio(requests, baseRequests), Unit: "ratio"}
	gainTokens := report.Result{Name: at + "goodput-tokens-over-best-baseline", Value: ratio(tokens, baseTokens), Unit: "ratio"}
	part := report.Result{Name: at + "goodput-of-oracle", Value: ratio(requests, oracleRequests), Unit: "ratio"}
	partTokens := report.Result{Name: at + "goodput-tokens-of-oracle", Value: ratio(tokens, oracleTokens), Unit: "ratio"}
	wasted := report.Result{Name: at + "wasted-prefill", Value: ours.WastedShare(), Unit: "share of prefill"}.WithBaseline(waste)
	if target {
		gain = gain.AtLeast(minGain)
		gainTokens = gainTokens.AtLeast(minGain)
		part = part.AtLeast(minOracleRatio)
		partTokens = partTokens.AtLeast(minOracleRatio)
		wasted = wasted.AtMost(maxWasteRatio * waste)
	}
	rep.Add(gain, gainTokens, part, partTokens, wasted)
}

// bestGood returns the most good requests and the most good tokens of any
// baseline.
func bestGood(base []requestsim.Result) (requests, tokens int) {
	for _, b := range base {
		r, t := b.Good()
		requests = max(requests, r)
		tokens = max(tokens, t)
	}
	return requests, tokens
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
