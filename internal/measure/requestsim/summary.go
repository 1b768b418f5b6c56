package requestsim

import (
	"context"
	"fmt"
	"time"
)

// Best returns the baseline that a figure favours, among runs of Baselines.
func Best(runs []Result, better func(a, b Result) bool) Result {
	best := runs[0]
	for _, r := range runs[1:] {
		if better(r, best) {
			best = r
		}
	}
	return best
}

// RunSum runs the setup with several seeds, from its own on, and adds up what
// they showed; the spread of a single run is two points.
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

// RunBaselines runs the setup under each baseline, with several seeds.
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

// Fall is how the top tier fared around a fault.
type Fall struct {
	// Before is its goodput among requests that had ended before the fault, Lowest
	// that of the worst window of fallWindow seconds of later arrivals.
	Before, Lowest float64
	// LowestUnbroken is Lowest when every answer that broke off counts as bad,
	// also where its repeat was in time.
	LowestUnbroken float64
	// Recovery is the time from the fault to the end of the last second in which
	// the goodput was more than fallPoints below Before.
	Recovery time.Duration
}

// Bounds of a fall.
const (
	fallWindow = 5 // seconds
	// lookBack is the age that a request may have which a fault still touches.
	lookBack   = 12   // seconds
	fallPoints = 0.05 // share
)

// Points is how far the goodput fell, in points of a hundred.
func (f Fall) Points() float64 { return 100 * (f.Before - f.Lowest) }

// RunFall adds up the top tier's seconds over several seeds, and measures its
// fall at the fault, which is so long after the warm-up.
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
			sum[k].Unbroken += x.Unbroken
		}
		progress(fmt.Sprintf("%s: run %d of %d", s.Policy, i+1, seeds))
	}
	return fall(sum, int(fault/time.Second)), nil
}

func fall(seconds []Second, fault int) Fall {
	f := Fall{Lowest: 1, LowestUnbroken: 1}
	f.Before = goodput(seconds[:fault-lookBack])
	for i := fault - lookBack; i+fallWindow <= len(seconds); i++ {
		window := seconds[i : i+fallWindow]
		f.Lowest = min(f.Lowest, goodput(window))
		f.LowestUnbroken = min(f.LowestUnbroken, unbroken(window))
	}
	for i := fault; i < len(seconds); i++ {
		if goodput(seconds[i:i+1]) < f.Before-fallPoints {
			f.Recovery = time.Duration(i+1-fault) * time.Second
		}
	}
	return f
}

func goodput(seconds []Second) float64 {
	sum := total(seconds)
	return share(sum.Good, sum.Offered)
}

func unbroken(seconds []Second) float64 {
	sum := total(seconds)
	return share(sum.Unbroken, sum.Offered)
}

func total(seconds []Second) Second {
	var sum Second
	for _, s := range seconds {
		sum.Offered += s.Offered
		sum.Good += s.Good
		sum.Unbroken += s.Unbroken
	}
	return sum
}
