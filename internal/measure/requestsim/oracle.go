package requestsim

import (
	"sort"
	"time"

	"agateward/ward"
)

// oracle decides for all entries at once, sees the true state of every engine
// and knows how long each answer will be. It keeps one queue, tiers before due
// times, and hands a request over only when an engine is about to run out of
// prompts and the answer will be in time.
type oracle struct {
	w       *world
	waiting []*job
	load    map[*engine]*oracleLoad
	ticking bool
}

// oracleLoad is what the oracle has given to an engine.
type oracleLoad struct{ running, prefill int }

func (o *oracle) arrive(j *job) {
	i := sort.Search(len(o.waiting), func(i int) bool { return before(j, o.waiting[i]) })
	o.waiting = append(o.waiting, nil)
	copy(o.waiting[i+1:], o.waiting[i:])
	o.waiting[i] = j
	o.pump()
	if !o.ticking {
		o.ticking = true
		o.w.every(0, 5*time.Millisecond, func() bool { o.pump(); return true })
	}
}

func before(a, b *job) bool {
	if a.r.Tier != b.r.Tier {
		return a.r.Tier < b.r.Tier
	}
	return due(a).Before(due(b))
}

func due(j *job) time.Time { return j.r.Arrived.Add(j.r.FirstToken) }

// pump hands over what the engines can take, in order.
func (o *oracle) pump() {
	kept := o.waiting[:0]
	for i, j := range o.waiting {
		switch {
		case j.ended:
		case o.w.now.After(due(j)):
			o.w.refuse(j)
		case !o.room():
			kept = append(kept, o.waiting[i:]...)
			o.waiting = kept
			return
		case !o.send(j):
			kept = append(kept, j)
		}
	}
	o.waiting = kept
}

// room tells whether any engine is about to run out of prompts.
func (o *oracle) room() bool {
	for _, e := range o.w.engines {
		if o.hasRoom(e) {
			return true
		}
	}
	return false
}

func (o *oracle) hasRoom(e *engine) bool {
	l := o.of(e)
	return l.running < e.profile.MaxBatch && l.prefill <= e.profile.Chunk
}

// send hands a request to the engine with room that gives the first token
// soonest, if the whole answer will be in time.
func (o *oracle) send(j *job) bool {
	var best *engine
	var bestFirst float64
	var need int
	for _, e := range o.w.engines {
		if !o.hasRoom(e) {
			continue
		}
		l := o.of(e)
		missing := o.missing(e, j)
		step := o.step(e, l.running+1)
		first := float64(l.prefill+missing) / float64(e.profile.Chunk) * step
		total := first + float64(j.output)*step
		if o.w.now.Add(seconds(first)).After(due(j)) || o.w.now.Add(seconds(total)).After(j.r.Deadline) {
			continue
		}
		if best == nil || first < bestFirst {
			best, bestFirst, need = e, first, missing
		}
	}
	if best == nil {
		return false
	}
	l := o.of(best)
	l.running++
	l.prefill += need
	j.need = need
	o.w.dispatch(j, best)
	return true
}

// step returns the length of an engine's step with so many running requests
// while it takes in prompts.
func (o *oracle) step(e *engine, running int) float64 {
	s := e.profile.DecodeBase.Seconds() + float64(running)*e.profile.DecodePerSequence.Seconds() +
		float64(e.profile.Chunk)/e.profile.PrefillRate
	if e.index == 0 && o.w.setup.SlowAt > 0 && o.w.now.Sub(o.w.start) >= o.w.setup.SlowAt {
		s /= SlowFactor
	}
	return s
}

// missing returns the prompt tokens that an engine would have to compute.
func (o *oracle) missing(e *engine, j *job) int {
	return max(j.r.PromptTokens-e.Cached(j.r.Prefix)*ward.PrefixBlockTokens, 1)
}

func (o *oracle) of(e *engine) *oracleLoad {
	if o.load == nil {
		o.load = make(map[*engine]*oracleLoad)
	}
	if o.load[e] == nil {
		o.load[e] = &oracleLoad{}
	}
	return o.load[e]
}

func (o *oracle) firstToken(j *job) {
	o.of(j.engine).prefill -= j.need
	j.need = 0
	o.pump()
}

func (o *oracle) end(j *job, _ bool) {
	o.of(j.engine).running--
	o.pump()
}

func (o *oracle) leave(j *job) {
	if j.engine == nil {
		return
	}
	l := o.of(j.engine)
	l.running--
	l.prefill -= j.need
	o.pump()
}

func (o *oracle) kill(int) {}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (o *oracle) lost(j *job) { o.leave(j) }
