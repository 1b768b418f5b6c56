package requestsim

import (
	"sort"
	"time"

	"agateward/ward"
)

// oracle schedules for all entries at once, sees the true state of every engine
// and knows the length of each answer. It keeps one queue, ordered by tier and
// then by due time, and dispatches a request only when an engine is about to run
// out of prompts and the answer will be in time.
type oracle struct {
	w       *simulation
	waiting []*job
	load    map[*engine]*oracleLoad
	ticking bool
}

// oracleLoad counts the running requests and the prompt tokens to compute that the
// oracle has dispatched to an engine.
type oracleLoad struct{ running, prefill int }

func (o *oracle) arrive(j *job) {
	i := sort.Search(len(o.waiting), func(i int) bool { return less(j, o.waiting[i]) })
	o.waiting = append(o.waiting, nil)
	copy(o.waiting[i+1:], o.waiting[i:])
	o.waiting[i] = j
	o.dispatchWaiting()
	if !o.ticking {
		o.ticking = true
		o.w.every(0, 5*time.Millisecond, func() bool { o.dispatchWaiting(); return true })
	}
}

func less(a, b *job) bool {
	if a.r.Tier != b.r.Tier {
		return a.r.Tier < b.r.Tier
	}
	return due(a).Before(due(b))
}

func due(j *job) time.Time { return j.r.Arrived.Add(j.r.FirstToken) }

// dispatchWaiting dispatches, in order, the waiting requests for which engines
// have capacity, and refuses those that are past their due time.
func (o *oracle) dispatchWaiting() {
	kept := o.waiting[:0]
	for i, j := range o.waiting {
		switch {
		case j.ended:
		case o.w.now.After(due(j)):
			o.w.refuse(j)
		case !o.anyCapacity():
			kept = append(kept, o.waiting[i:]...)
			o.waiting = kept
			return
		case !o.send(j):
			kept = append(kept, j)
		}
	}
	o.waiting = kept
}

// anyCapacity reports whether any engine is about to run out of prompts.
func (o *oracle) anyCapacity() bool {
	for _, e := range o.w.engines {
		if o.hasCapacity(e) {
			return true
		}
	}
	return false
}

func (o *oracle) hasCapacity(e *engine) bool {
	l := o.loadOf(e)
	return l.running < e.profile.MaxBatch && l.prefill <= e.profile.Chunk
}

// send dispatches a request to the engine with capacity that will return the first
// token soonest, and reports whether any engine can finish the answer in time.
func (o *oracle) send(j *job) bool {
	var best *engine
	var bestFirst float64
	var need int
	for _, e := range o.w.engines {
		if !o.hasCapacity(e) {
			continue
		}
		l := o.loadOf(e)
		uncached := o.uncachedTokens(e, j)
		step := o.stepTime(e, l.running+1)
		first := float64(l.prefill+uncached) / float64(e.profile.Chunk) * step
		total := first + float64(j.output)*step
		if o.w.now.Add(seconds(first)).After(due(j)) || o.w.now.Add(seconds(total)).After(j.r.Deadline) {
			continue
		}
		if best == nil || first < bestFirst {
			best, bestFirst, need = e, first, uncached
		}
	}
	if best == nil {
		return false
	}
	l := o.loadOf(best)
	l.running++
	l.prefill += need
	j.oraclePrefill = need
	o.w.dispatch(j, best)
	return true
}

// stepTime returns the seconds that a step of an engine takes with this number of
// running requests while it prefills.
func (o *oracle) stepTime(e *engine, running int) float64 {
	s := e.profile.DecodeBase.Seconds() + float64(running)*e.profile.DecodePerSequence.Seconds() +
		float64(e.profile.Chunk)/e.profile.PrefillRate
	if e.index == 0 && o.w.setup.SlowAt > 0 && o.w.now.Sub(o.w.start) >= o.w.setup.SlowAt {
		s /= SlowFactor
	}
	return s
}

// uncachedTokens returns the prompt tokens that are not in the cache of an engine,
// at least 1.
func (o *oracle) uncachedTokens(e *engine, j *job) int {
	return max(j.r.PromptTokens-e.Cached(j.r.Prefix)*ward.PrefixBlockTokens, 1)
}

func (o *oracle) loadOf(e *engine) *oracleLoad {
	if o.load == nil {
		o.load = make(map[*engine]*oracleLoad)
	}
	if o.load[e] == nil {
		o.load[e] = &oracleLoad{}
	}
	return o.load[e]
}

func (o *oracle) firstToken(j *job) {
	o.loadOf(j.engine).prefill -= j.oraclePrefill
	j.oraclePrefill = 0
	o.dispatchWaiting()
}

func (o *oracle) end(j *job, _ bool) {
	o.loadOf(j.engine).running--
	o.dispatchWaiting()
}

func (o *oracle) cancel(j *job) {
	if j.engine == nil {
		return
	}
	l := o.loadOf(j.engine)
	l.running--
	l.prefill -= j.oraclePrefill
	o.dispatchWaiting()
}

func (o *oracle) kill(int) {}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (o *oracle) entryKilled(j *job) { o.cancel(j) }
