package requestsim

import (
	"time"

	"agateward/internal/standin/batch"
	"agateward/ward"
)

// Tier counts the requests of one tier by result.
type Tier struct {
	Offered, Good, Refused, Late int
	OfferedTokens, GoodTokens    int
}

// Goodput returns the share of the offered requests that were answered in time.
func (t Tier) Goodput() float64 { return share(t.Good, t.Offered) }

// Second counts the top tier's requests that arrived in one second.
// GoodWithoutRepeat counts the good ones that the caller did not have to repeat.
type Second struct{ Offered, Good, GoodWithoutRepeat int }

// Result is the result of a run.
type Result struct {
	Tiers   [ward.TierCount]Tier
	Seconds []Second
	// Prefilled, Wasted and Cached are prompt tokens since the end of the warm-up, as
	// in batch.Stats.
	Prefilled, Wasted, Cached float64
}

// Good returns the good requests of all tiers and their tokens.
func (r Result) Good() (requests, tokens int) {
	for _, t := range r.Tiers {
		requests += t.Good
		tokens += t.GoodTokens
	}
	return requests, tokens
}

// WastedShare returns the share of the computed prompt tokens whose request was
// cancelled or failed.
func (r Result) WastedShare() float64 {
	if r.Prefilled == 0 {
		return 0
	}
	return r.Wasted / r.Prefilled
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (w *simulation) stats() batch.Stats {
	var sum batch.Stats
	for _, e := range w.engines {
		st := e.Stats()
		sum.Prefilled += st.Prefilled
		sum.Wasted += st.Wasted
		sum.Cached += st.Cached
	}
	return sum
}

// result counts the requests that arrived in the measured time. A request that
// was repeated counts once, with the result of its repeat.
func (w *simulation) result(before batch.Stats) Result {
	st := w.stats()
	res := Result{
		Prefilled: st.Prefilled - before.Prefilled, Wasted: st.Wasted - before.Wasted,
		Cached: st.Cached - before.Cached,
	}
	res.Seconds = make([]Second, int(w.setup.Length/time.Second))
	repeated := make(map[string]bool)
	for _, j := range w.all {
		if j.repeat {
			repeated[j.r.ID] = true
		}
	}
	for _, j := range w.all {
		if !repeated[j.r.ID+"-again"] {
			res.count(j, w)
		}
	}
	return res
}

func (r *Result) count(j *job, w *simulation) {
	since := j.firstSent.Sub(w.start) - w.setup.WarmUp
	if since < 0 || since >= w.setup.Length {
		return
	}
	t := &r.Tiers[j.r.Tier-ward.TierTop]
	tokens := j.r.PromptTokens + j.output
	t.Offered++
	t.OfferedTokens += tokens
	second := &r.Seconds[int(since/time.Second)]
	if j.r.Tier == ward.TierTop {
		second.Offered++
	}
	switch {
	case j.good:
		t.Good++
		t.GoodTokens += tokens
		if j.r.Tier == ward.TierTop {
			second.Good++
			if !j.repeat {
				second.GoodWithoutRepeat++
			}
		}
	case j.engine == nil:
		t.Refused++
	default:
		t.Late++
	}
}
