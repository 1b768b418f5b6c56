// Package drive runs the request path of a whole fleet on virtual time: the
// real schedulers of several entries, or a baseline in their place, against
// stand-in engines. The experiments of the request path share it.
//
// # Usage
//
//	res, err := drive.Run(ctx, drive.Setup{Policy: drive.Agateward, Seed: 1, Load: 2})
//	fmt.Println(res.Tiers[0].Goodput())
//
// The same seed gives every policy the same requests at the same times. A
// request is good when its first token and its last came in time. Callers leave
// at their deadline, and the engine's work for them is then cancelled, also
// under the baselines.
package drive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/standin/batch"
	"agateward/ward"
)

// Policy names what decides in a run.
type Policy string

// Policies. Oracle has a perfect view of the whole fleet and knows output
// lengths; the baselines hand every request over at once.
const (
	Agateward        Policy = "agateward"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
	JoinShortest     Policy = "join-shortest"
	Oracle           Policy = "oracle"
)

// Baselines are the policies that are compared with.
var Baselines = []Policy{RoundRobin, LeastOutstanding, JoinShortest}

const (
	model   = "m"
	version = "v1"
	// oneWay is the delay between an entry and an engine.
	oneWay = time.Millisecond
)

// Setup is one run.
type Setup struct {
	Policy  Policy
	Seed    uint64
	Entries int
	// Engines are the profiles; nil means Engines(10).
	Engines []batch.Profile
	// Load is the offered load as a multiple of the capacity, Burst the load
	// from BurstFrom to BurstTo.
	Load      float64
	Burst     float64
	BurstFrom time.Duration
	BurstTo   time.Duration
	// Warm is not counted; Length is counted after it, and Rest lets requests
	// end.
	Warm, Length, Rest time.Duration
	// Slow makes engine 0 five times slower at SlowAt; Kill ends entry 0 at
	// KillAt. Zero means never. Both are from the start.
	SlowAt time.Duration
	KillAt time.Duration
}

// SlowFactor is the part of its speed that a slow engine keeps.
const SlowFactor = 0.2

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

// Engines returns n profiles of three hardware generations, the fastest twice
// as fast as the slowest.
func Engines(n int, lag time.Duration) []batch.Profile {
	speeds := []float64{0.7, 1, 1.4}
	out := make([]batch.Profile, n)
	for i := range out {
		f := speeds[i%len(speeds)]
		out[i] = batch.Profile{
			Name: fmt.Sprintf("engine-%d", i), Version: version, Generation: i%len(speeds) + 1,
			PrefillRate:       20_000 * f,
			DecodeBase:        time.Duration(float64(12*time.Millisecond) / f),
			DecodePerSequence: time.Duration(float64(150*time.Microsecond) / f),
			MaxBatch:          128, Chunk: 512, CacheTokens: 400_000,
			ReportLag: lag, Seed: uint64(i),
		}
	}
	return out
}

// front decides for all entries of a run.
type front interface {
	arrive(j *job)
	firstToken(j *job)
	end(j *job, ok bool)
	// leave is called when the caller of an unfinished request leaves.
	leave(j *job)
	kill(entry int)
	// lost is called for each unfinished request of a killed entry.
	lost(j *job)
}

// engine is one stand-in engine and when it is woken next.
type engine struct {
	*batch.Engine
	index   int
	profile batch.Profile
	wake    time.Time
}

// world is the state of a run.
type world struct {
	loop
	setup   Setup
	rng     *rand.Rand
	start   time.Time
	engines []*engine
	jobs    map[string]*job
	all     []*job
	dead    map[int]bool
	front   front
}

// Run runs one setup.
func Run(ctx context.Context, s Setup) (Result, error) {
	w := newWorld(s)
	w.arrivals()
	w.faults()
	end := w.start.Add(s.Warm + s.Length + s.Rest)
	var before batch.Stats
	w.at(w.start.Add(s.Warm), func() { before = w.stats() })
	for n := 0; w.step(end); n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
	return w.result(before), nil
}

func newWorld(s Setup) *world {
	if s.Entries == 0 {
		s.Entries = 8
	}
	if s.Engines == nil {
		s.Engines = Engines(10, time.Second)
	}
	w := &world{setup: s, start: time.Unix(1_700_000_000, 0), jobs: make(map[string]*job), dead: make(map[int]bool)}
	w.now = w.start
	w.rng = rand.New(rand.NewPCG(s.Seed, 2))
	for i, p := range s.Engines {
		w.engines = append(w.engines, &engine{Engine: batch.New(p), index: i, profile: p})
	}
	switch s.Policy {
	case Agateward:
		w.front = newFleet(w)
	case Oracle:
		w.front = &oracle{w: w}
	default:
		w.front = newBaseline(w)
	}
	return w
}

// arrivals schedules all requests. They come at random times, at live entries
// at random.
func (w *world) arrivals() {
	g := traffic{rng: rand.New(rand.NewPCG(w.setup.Seed, 1))}
	rate := 0.0
	for _, p := range w.setup.Engines {
		rate += Capacity(p)
	}
	var next func()
	next = func() {
		j := g.next(w.now)
		w.all = append(w.all, j)
		w.arrive(j)
		load := w.setup.Load
		since := w.now.Sub(w.start)
		if since >= w.setup.BurstFrom && since < w.setup.BurstTo {
			load = w.setup.Burst
		}
		gap := g.rng.ExpFloat64() / (rate * load)
		if since < w.setup.Warm+w.setup.Length {
			w.after(time.Duration(gap*float64(time.Second)), next)
		}
	}
	w.after(0, next)
}

// arrive brings a request to a live entry.
func (w *world) arrive(j *job) {
	for j.entry = w.rng.IntN(w.setup.Entries); w.dead[j.entry]; {
		j.entry = w.rng.IntN(w.setup.Entries)
	}
	w.jobs[j.r.ID] = j
	w.at(j.r.Deadline, func() { w.leave(j) })
	w.front.arrive(j)
}

// faults schedules the slow engine and the killed entry.
func (w *world) faults() {
	if w.setup.SlowAt > 0 {
		w.after(w.setup.SlowAt, func() {
			w.engines[0].SetSpeed(w.now, SlowFactor)
			w.poke(w.engines[0])
		})
	}
	if w.setup.KillAt > 0 {
		w.after(w.setup.KillAt, func() { w.kill(0) })
	}
}

// dispatch hands a request to an engine.
func (w *world) dispatch(j *job, e *engine) {
	j.engine = e
	w.after(oneWay, func() {
		if j.ended {
			return
		}
		e.Admit(w.now, batch.Job{
			ID: j.r.ID, Route: j.r.Route, Version: version,
			Prompt: j.r.PromptTokens, Output: j.output, Prefix: j.r.Prefix,
		})
		w.poke(e)
	})
}

// refuse ends a request that did not run.
func (w *world) refuse(j *job) { w.finish(j) }

func (w *world) finish(j *job) {
	j.ended = true
	delete(w.jobs, j.r.ID)
}

// leave lets the caller go at its deadline.
func (w *world) leave(j *job) {
	if j.ended {
		return
	}
	if j.engine != nil {
		j.engine.Cancel(w.now, j.r.ID)
		w.poke(j.engine)
	}
	w.finish(j)
	w.front.leave(j)
}

// kill ends an entry: its connections break, engines cancel their work, and
// callers repeat their request once, at another entry. The repeat is a new request
// to that entry, but its answer is still due at the first deadline.
func (w *world) kill(entry int) {
	w.dead[entry] = true
	w.front.kill(entry)
	for _, j := range w.all {
		if j.ended || j.entry != entry {
			continue
		}
		if j.engine != nil {
			j.engine.Cancel(w.now, j.r.ID)
			w.poke(j.engine)
		}
		w.finish(j)
		w.front.lost(j)
		again := &job{r: j.r, asked: j.asked, output: j.output, repeat: true}
		again.r.ID += "-again"
		w.all = append(w.all, again)
		w.after(100*time.Millisecond, func() {
			again.r.Arrived = w.now
			w.arrive(again)
		})
	}
}

// poke has an engine woken at its next event.
func (w *world) poke(e *engine) {
	next := e.Next()
	if next.IsZero() || next.Equal(e.wake) {
		return
	}
	e.wake = next
	w.at(next, func() {
		if !e.wake.Equal(next) {
			return
		}
		e.wake = time.Time{}
		for _, ev := range e.Advance(w.now) {
			w.after(oneWay, func() { w.engineEvent(ev) })
		}
		w.poke(e)
	})
}

// engineEvent brings the news of an engine to the entry.
func (w *world) engineEvent(ev batch.Event) {
	j := w.jobs[ev.ID]
	if j == nil {
		return
	}
	switch ev.Kind {
	case batch.FirstToken:
		j.first = w.now
		w.front.firstToken(j)
	case batch.Done:
		j.good = j.first.Sub(j.r.Arrived) <= j.r.FirstToken && !w.now.After(j.r.Deadline)
		w.finish(j)
		w.front.end(j, true)
	case batch.Failed:
		w.finish(j)
		w.front.end(j, false)
	}
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
