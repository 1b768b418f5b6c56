package requestsim

import (
	"time"

	"agateward/internal/standin/batch"
	"agateward/ward"
)

// Tier counts what became of one tier's requests.
type Tier struct {
	Offered, Good, Refused, Late int
	OfferedTokens, GoodTokens    int
}

// Goodput is the share of the offered requests that were answered in time.
func (t Tier) Goodput() float64 { return share(t.Good, t.Offered) }

// Second counts the top tier's requests by the second of their arrival. Unbroken
// are the good ones whose caller did not have to repeat them.
type Second struct{ Offered, Good, Unbroken int }

// Result is what a run showed.
type Result struct {
	Tiers   [ward.TierCount]Tier
	Seconds []Second
	// Prefilled and Wasted are prompt tokens over the counted time and after.
	Prefilled, Wasted, Cached float64
}

// Good returns the good requests of all tiers, and Tokens their tokens.
func (r Result) Good() (requests, tokens int) {
	for _, t := range r.Tiers {
		requests += t.Good
		tokens += t.GoodTokens
	}
	return requests, tokens
}

// WastedShare is the part of the computed prompt tokens that was thrown away.
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

func (w *world) stats() batch.Stats {
	var sum batch.Stats
	for _, e := range w.engines {
		st := e.Stats()
		sum.Prefilled += st.Prefilled
		sum.Wasted += st.Wasted
		sum.Cached += st.Cached
	}
	return sum
}

// result counts the requests that arrived in the counted time. A request that
// was repeated counts once, as its repeat ended.
func (w *world) result(before batch.Stats) Result {
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

func (r *Result) count(j *job, w *world) {
	since := j.asked.Sub(w.start) - w.setup.Warm
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
				second.Unbroken++
			}
		}
	case j.engine == nil:
		t.Refused++
	default:
		t.Late++
	}
}
