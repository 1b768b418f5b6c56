package evidence

import (
	"math"

	"agateward/ward"
)

const (
	// decayFactor scales the sums of a fit at each answer.
	decayFactor = 0.998
	// ridge is the regularization of a fit, which keeps it solvable while sizes do
	// not vary.
	ridge = 0.05
	// minFitWeight is the weight of answers from which on a fit is used, minPlainWeight the
	// one for requests without tokens, of which only a mean is to be known.
	minFitWeight   = 20
	minPlainWeight = 5
)

// fit is a linear model of the time of an answer by its prompt and output tokens.
// It minimizes the squares of the relative error, with decaying weights of old
// answers. The zero value uses the default coefficients.
type fit struct {
	weight float64
	// a and b are the normal equations of the features against the target 1.
	a [3][3]float64
	b [3]float64
	// x are the coefficients, in seconds, seconds per prompt token and seconds per
	// output token.
	x [3]float64
}

func features(o ward.Outcome) [3]float64 {
	return [3]float64{1, float64(o.PromptTokens), float64(o.OutputTokens)}
}

// usable reports whether the fit has learned from enough answers for an outcome.
func (f *fit) usable(o ward.Outcome) bool {
	return f.weight >= minFitWeight || o.PromptTokens == 0 && o.OutputTokens == 0 && f.weight >= minPlainWeight
}

// ratio returns the ratio of an answer's time to the expected time.
func (f *fit) ratio(o ward.Outcome) float64 {
	expected := 0.0
	for i, v := range features(o) {
		expected += v * f.x[i]
	}
	if !(expected > 0) {
		return 1
	}
	return o.Total.Seconds() / expected
}

// learn adds an answer to the fit.
func (f *fit) learn(o ward.Outcome) {
	total := o.Total.Seconds()
	if total <= 0 {
		return
	}
	v := features(o)
	f.weight = f.weight*decayFactor + 1
	for i := range v {
		v[i] /= total
		f.b[i] = f.b[i]*decayFactor + v[i]
	}
	for i := range v {
		for j := range v {
			f.a[i][j] = f.a[i][j]*decayFactor + v[i]*v[j]
		}
	}
	f.solve()
}

// solve computes coefficients of at least 0 by coordinate descent. It starts from
// the previous ones, so it needs few rounds.
func (f *fit) solve() {
	const rounds = 4
	for range rounds {
		for i := range f.x {
			rest := f.b[i]
			for j := range f.x {
				if j != i {
					rest -= f.a[i][j] * f.x[j]
				}
			}
			scale := f.a[i][i] * (1 + ridge/math.Max(f.weight, 1))
			if scale > 0 {
				f.x[i] = max(rest/scale, 0)
			}
		}
	}
}
