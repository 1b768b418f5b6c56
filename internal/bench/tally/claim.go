package tally

import (
	"slices"

	"agateward/internal/result/code"
	"agateward/ward"
)

// maxDetailsPerKind bounds the violations of each kind that are listed in Details.
const maxDetailsPerKind = 5

// claim counts what callers were told about one run.
type claim struct {
	attempts int
	notRun   int
	good     int
	order    bool
}

// Violations are broken promises.
type Violations struct {
	// DoubleRuns counts orders that ran more than once, DoubleDispatches model
	// requests that ran more than once from the start.
	DoubleRuns       int `json:"double-runs"`
	DoubleDispatches int `json:"double-dispatches"`
	// FalseNotRun counts runs whose callers were told on every attempt that the
	// request had not run, FalseAnswers good answers to requests that never ran.
	FalseNotRun  int `json:"false-not-run"`
	FalseAnswers int `json:"false-answers"`
	// WrongAnswers counts answers that don't belong to their request.
	WrongAnswers int      `json:"wrong-answers"`
	Details      []string `json:"details,omitempty"`
}

// Sum returns the number of violations.
func (v Violations) Sum() int {
	return v.DoubleRuns + v.DoubleDispatches + v.FalseNotRun + v.FalseAnswers + v.WrongAnswers
}

// recordClaim records what the caller was told about a run.
func (t *Tally) recordClaim(o Outcome) {
	if o.Run == "" {
		return
	}
	c := t.claims[o.Run]
	c.attempts++
	c.order = o.Order
	if o.NotSent || code.PromisesNotRun(o.Status) || o.Result == Refused && runState(o.Code) == ward.NotRun {
		c.notRun++
	}
	if o.Result == Good || o.Result == Late {
		c.good++
	}
	t.claims[o.Run] = c
}

// Check compares the claims with the run counts of all stand-ins, by idempotency
// key and by hash of the prompt.
func (t *Tally) Check(runs map[string]int) Violations {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := Violations{Details: slices.Clone(t.wrong)}
	for _, x := range t.tiers {
		v.WrongAnswers += x.results[Wrong]
	}
	for name, c := range t.claims {
		ran := runs[name]
		switch {
		case ran > 1 && c.order:
			v.DoubleRuns++
			v.addDetail(v.DoubleRuns, "order "+name+" ran more than once")
		case ran > 1:
			v.DoubleDispatches++
			v.addDetail(v.DoubleDispatches, "request "+name+" ran more than once")
		case ran > 0 && c.notRun == c.attempts:
			v.FalseNotRun++
			v.addDetail(v.FalseNotRun, name+" ran, but its caller was told that it had not")
		case ran == 0 && c.good > 0:
			v.FalseAnswers++
			v.addDetail(v.FalseAnswers, name+" never ran, but its caller got an answer")
		}
	}
	return v
}

// addDetail adds the n-th violation of a kind to Details, up to
// maxDetailsPerKind.
func (v *Violations) addDetail(n int, text string) {
	if n <= maxDetailsPerKind {
		v.Details = append(v.Details, text)
	}
}

// runState returns the run state that a result code states, Unknown for an unknown
// code.
func runState(number int) ward.RunState {
	for _, c := range code.Table() {
		if c.Number == number {
			return c.Run
		}
	}
	return ward.Unknown
}
