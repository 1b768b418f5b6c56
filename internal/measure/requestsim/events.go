package requestsim

import (
	"math/rand/v2"
	"time"

	"agateward/internal/standin/batch"
)

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
