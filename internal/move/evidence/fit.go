package evidence

import (
	"math"
	"time"

	"agateward/ward"
)

const (
	// forget is what is left of the fit's sums after one more answer.
	forget = 0.998
	// ridge keeps the fit solvable while sizes do not vary.
	ridge = 0.05
	// enough is the weight of answers from which the fit is used.
	enough = 20
)

// Coefficients that are used before enough answers are known.
const (
	baseTime   = 50 * time.Millisecond
	promptTime = 200 * time.Microsecond
	outputTime = 20 * time.Millisecond
)

// fit is a line of the time of an answer in its prompt and output tokens, by
// least squares of the relative error, with old answers forgotten. The zero
// value expects the default times.
type fit struct {
	weight float64
	// a and b are the normal equations of the features against the target 1.
	a [3][3]float64
	b [3]float64
	// x are the coefficients, in seconds, seconds a prompt token and seconds an
	// output token.
	x [3]float64
}

func features(o ward.Outcome) [3]float64 {
	return [3]float64{1, float64(o.PromptTokens), float64(o.OutputTokens)}
}

// ratio returns the time of an answer against the expected one.
func (f *fit) ratio(o ward.Outcome) float64 {
	x := f.x
	if f.weight < enough {
		x = [3]float64{baseTime.Seconds(), promptTime.Seconds(), outputTime.Seconds()}
	}
	expected := 0.0
	for i, v := range features(o) {
		expected += v * x[i]
	}
	if !(expected > 0) {
		return 1
	}
	return o.Total.Seconds() / expected
}

// learn takes an answer into the fit.
func (f *fit) learn(o ward.Outcome) {
	total := o.Total.Seconds()
	if total <= 0 {
		return
	}
	v := features(o)
	f.weight = f.weight*forget + 1
	for i := range v {
		v[i] /= total
		f.b[i] = f.b[i]*forget + v[i]
	}
	for i := range v {
		for j := range v {
			f.a[i][j] = f.a[i][j]*forget + v[i]*v[j]
		}
	}
	f.solve()
}

// solve finds coefficients of at least 0 by coordinate descent, which starts
// from the last ones and so needs few rounds.
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
