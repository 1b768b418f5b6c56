package requestsim

import (
	"context"
	"fmt"
	"time"
)

// Best returns the best run according to better.
func Best(runs []Result, better func(a, b Result) bool) Result {
	best := runs[0]
	for _, r := range runs[1:] {
		if better(r, best) {
			best = r
		}
	}
	return best
}

// RunSum runs the setup with several consecutive seeds, from s.Seed on, and sums
// the results: single runs differ by two percentage points.
func RunSum(ctx context.Context, s Setup, seeds int) (Result, error) {
	var sum Result
	for i := range seeds {
		one := s
		one.Seed += uint64(i)
		r, err := Run(ctx, one)
		if err != nil {
			return Result{}, err
		}
		sum.add(r)
	}
	return sum, nil
}

func (r *Result) add(x Result) {
	for i := range r.Tiers {
		t, o := &r.Tiers[i], x.Tiers[i]
		t.Offered += o.Offered
		t.Good += o.Good
		t.Refused += o.Refused
		t.Late += o.Late
		t.OfferedTokens += o.OfferedTokens
		t.GoodTokens += o.GoodTokens
	}
	r.Prefilled += x.Prefilled
	r.Wasted += x.Wasted
	r.Cached += x.Cached
}

// RunBaselines runs the setup under each of Baselines, with several seeds.
func RunBaselines(ctx context.Context, s Setup, seeds int) ([]Result, error) {
	var out []Result
	for _, p := range Baselines {
		s.Policy = p
		r, err := RunSum(ctx, s, seeds)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Fall describes the fall of the top tier's goodput at a fault.
type Fall struct {
	// Before is the goodput of requests that had ended before the fault, Lowest that
	// of the worst window of fallWindow seconds of later arrivals.
	Before, Lowest float64
	// LowestWithoutRepeats is Lowest with every answer that broke off counted as bad,
	// even if its repeat was in time.
	LowestWithoutRepeats float64
	// Recovery is the time from the fault to the end of the last second in which
	// the goodput was more than recoveryTolerance below Before.
	Recovery time.Duration
}

// Parameters of Fall.
const (
	fallWindow = 5 // seconds
	// maxRequestAge is the maximum age of a request that a fault still affects.
	maxRequestAge     = 12   // seconds
	recoveryTolerance = 0.05 // share
)

// Points returns the fall of the goodput in percentage points.
func (f Fall) Points() float64 { return 100 * (f.Before - f.Lowest) }

// RunFall sums the top tier's results by second over several seeds, and measures
// the fall of its goodput at the fault. fault is the time of the fault after the
// warm-up.
func RunFall(ctx context.Context, s Setup, fault time.Duration, seeds int, progress func(string)) (Fall, error) {
	sum := make([]Second, int(s.Length/time.Second))
	first := s.Seed
	for i := range seeds {
		s.Seed = first + uint64(i)
		r, err := Run(ctx, s)
		if err != nil {
			return Fall{}, err
		}
		for k, x := range r.Seconds {
			sum[k].Offered += x.Offered
			sum[k].Good += x.Good
			sum[k].GoodWithoutRepeat += x.GoodWithoutRepeat
		}
		progress(fmt.Sprintf("%s: run %d of %d", s.Policy, i+1, seeds))
	}
	return fall(sum, int(fault/time.Second)), nil
}

func fall(seconds []Second, fault int) Fall {
	f := Fall{Lowest: 1, LowestWithoutRepeats: 1}
	f.Before = goodput(seconds[:fault-maxRequestAge])
	for i := fault - maxRequestAge; i+fallWindow <= len(seconds); i++ {
		window := seconds[i : i+fallWindow]
		f.Lowest = min(f.Lowest, goodput(window))
		f.LowestWithoutRepeats = min(f.LowestWithoutRepeats, goodputWithoutRepeats(window))
	}
	for i := fault; i < len(seconds); i++ {
		if goodput(seconds[i:i+1]) < f.Before-recoveryTolerance {
			f.Recovery = time.Duration(i+1-fault) * time.Second
		}
	}
	return f
}

func goodput(seconds []Second) float64 {
	sum := total(seconds)
	return share(sum.Good, sum.Offered)
}

func goodputWithoutRepeats(seconds []Second) float64 {
	sum := total(seconds)
	return share(sum.GoodWithoutRepeat, sum.Offered)
}

func total(seconds []Second) Second {
	var sum Second
	for _, s := range seconds {
		sum.Offered += s.Offered
		sum.Good += s.Good
		sum.GoodWithoutRepeat += s.GoodWithoutRepeat
	}
	return sum
}
