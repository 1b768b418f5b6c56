package drive

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

// RunBaselines runs the setup under each baseline.
func RunBaselines(ctx context.Context, s Setup) ([]Result, error) {
	var out []Result
	for _, p := range Baselines {
		s.Policy = p
		r, err := Run(ctx, s)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Fall is how the top tier fared around a fault.
type Fall struct {
	// Before is its goodput before the fault, Lowest that of the worst window of
	// fallWindow seconds that touches the fault or comes after it.
	Before, Lowest float64
	// Recovery is the time from the fault to the end of the last second in which
	// the goodput was more than fallPoints below Before.
	Recovery time.Duration
}

// Bounds of a fall.
const (
	fallWindow = 5    // seconds
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
		}
		progress(fmt.Sprintf("%s: run %d of %d", s.Policy, i+1, seeds))
	}
	return fall(sum, int(fault/time.Second)), nil
}

func fall(seconds []Second, fault int) Fall {
	f := Fall{Lowest: 1}
	f.Before = goodput(seconds[:fault-fallWindow])
	for i := fault - fallWindow + 1; i+fallWindow <= len(seconds); i++ {
		f.Lowest = min(f.Lowest, goodput(seconds[i:i+fallWindow]))
	}
	for i := fault; i < len(seconds); i++ {
		if goodput(seconds[i:i+1]) < f.Before-fallPoints {
			f.Recovery = time.Duration(i+1-fault) * time.Second
		}
	}
	return f
}

func goodput(seconds []Second) float64 {
	var sum Second
	for _, s := range seconds {
		sum.Offered += s.Offered
		sum.Good += s.Good
	}
	return share(sum.Good, sum.Offered)
}
