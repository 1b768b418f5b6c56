package tally

import (
	"slices"

	"agateward/internal/result/code"
	"agateward/ward"
)

// maxViolations bounds the violations of each kind that are told one by one.
const maxViolations = 5

// claim is what callers were told of one run.
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
	// FalseNotRun counts runs of which all attempts were told that they had not
	// run, FalseAnswers good answers of something that never ran.
	FalseNotRun  int `json:"false-not-run"`
	FalseAnswers int `json:"false-answers"`
	// WrongAnswers counts answers that are not those of the request.
	WrongAnswers int      `json:"wrong-answers"`
	Details      []string `json:"details,omitempty"`
}

// Sum returns the number of violations.
func (v Violations) Sum() int {
	return v.DoubleRuns + v.DoubleDispatches + v.FalseNotRun + v.FalseAnswers + v.WrongAnswers
}

// claim remembers what the caller was told.
func (t *Tally) claim(o Outcome) {
	if o.Run == "" {
		return
	}
	c := t.claims[o.Run]
	c.attempts++
	c.order = o.Order
	if o.NotSent || o.Result == Refused && runOf(o.Code) == ward.NotRun {
		c.notRun++
	}
	if o.Result == Good || o.Result == Late {
		c.good++
	}
	t.claims[o.Run] = c
}

// Check compares the claims with the runs that all stand-ins counted, by key and
// by hash of a prompt.
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
			v.tell(v.DoubleRuns, "order "+name+" ran more than once")
		case ran > 1:
			v.DoubleDispatches++
			v.tell(v.DoubleDispatches, "request "+name+" ran more than once")
		case ran > 0 && c.notRun == c.attempts:
			v.FalseNotRun++
			v.tell(v.FalseNotRun, name+" ran, and its caller was told that it had not")
		case ran == 0 && c.good > 0:
			v.FalseAnswers++
			v.tell(v.FalseAnswers, name+" never ran, and its caller got an answer")
		}
	}
	return v
}

// tell tells the n-th violation of a kind.
func (v *Violations) tell(n int, text string) {
	if n <= maxViolations {
		v.Details = append(v.Details, text)
	}
}

// runOf returns what a code says about the run, Unknown for an unknown code.
func runOf(number int) ward.RunState {
	for _, c := range code.Table() {
		if c.Number == number {
			return c.Run
		}
	}
	return ward.Unknown
}
