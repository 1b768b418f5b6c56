package requestsim

import (
	"math/rand/v2"
	"time"

	"agateward/internal/standin/batch"
)

// arrivals schedules all requests, at random times and random live entries.
func (w *simulation) arrivals() {
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
		if since < w.setup.WarmUp+w.setup.Length {
			w.after(time.Duration(gap*float64(time.Second)), next)
		}
	}
	w.after(0, next)
}

// arrive sends a request to a random live entry.
func (w *simulation) arrive(j *job) {
	for j.entry = w.rng.IntN(w.setup.Entries); w.dead[j.entry]; {
		j.entry = w.rng.IntN(w.setup.Entries)
	}
	w.jobs[j.r.ID] = j
	w.at(j.r.Deadline, func() { w.expire(j) })
	w.balancer.arrive(j)
}

// faults schedules the slow engine and the killed entry.
func (w *simulation) faults() {
	if w.setup.SlowAt > 0 {
		w.after(w.setup.SlowAt, func() {
			w.engines[0].SetSpeed(w.now, SlowFactor)
			w.scheduleWake(w.engines[0])
		})
	}
	if w.setup.KillAt > 0 {
		w.after(w.setup.KillAt, func() { w.kill(0) })
	}
}

// dispatch sends a request to an engine.
func (w *simulation) dispatch(j *job, e *engine) {
	j.engine = e
	w.after(oneWay, func() {
		if j.ended {
			return
		}
		e.Admit(w.now, batch.Job{
			ID: j.r.ID, Route: j.r.Route, Version: version,
			Prompt: j.r.PromptTokens, Output: j.output, Prefix: j.r.Prefix,
		})
		w.scheduleWake(e)
	})
}

// refuse ends a request that no engine has run.
func (w *simulation) refuse(j *job) { w.finish(j) }

func (w *simulation) finish(j *job) {
	j.ended = true
	delete(w.jobs, j.r.ID)
}

// expire cancels a request at its deadline.
func (w *simulation) expire(j *job) {
	if j.ended {
		return
	}
	if j.engine != nil {
		j.engine.Cancel(w.now, j.r.ID)
		w.scheduleWake(j.engine)
	}
	w.finish(j)
	w.balancer.cancel(j)
}

// kill kills an entry: its connections break, engines cancel their work, and
// callers repeat their request once, at another entry. The repeat is a new request
// to that entry, but its deadline stays that of the first attempt.
func (w *simulation) kill(entry int) {
	w.dead[entry] = true
	w.balancer.kill(entry)
	for _, j := range w.all {
		if j.ended || j.entry != entry {
			continue
		}
		if j.engine != nil {
			j.engine.Cancel(w.now, j.r.ID)
			w.scheduleWake(j.engine)
		}
		w.finish(j)
		w.balancer.entryKilled(j)
		repeat := &job{r: j.r, firstSent: j.firstSent, output: j.output, repeat: true}
		repeat.r.ID += "-again"
		w.all = append(w.all, repeat)
		w.after(100*time.Millisecond, func() {
			repeat.r.Arrived = w.now
			w.arrive(repeat)
		})
	}
}

// scheduleWake schedules the wake-up of an engine at its next event.
func (w *simulation) scheduleWake(e *engine) {
	next := e.Next()
	if next.IsZero() || next.Equal(e.nextWake) {
		return
	}
	e.nextWake = next
	w.at(next, func() {
		if !e.nextWake.Equal(next) {
			return
		}
		e.nextWake = time.Time{}
		for _, ev := range e.Advance(w.now) {
			w.after(oneWay, func() { w.engineEvent(ev) })
		}
		w.scheduleWake(e)
	})
}

// engineEvent delivers an event of an engine to the entry.
func (w *simulation) engineEvent(ev batch.Event) {
	j := w.jobs[ev.ID]
	if j == nil {
		return
	}
	switch ev.Kind {
	case batch.FirstToken:
		j.first = w.now
		w.balancer.firstToken(j)
	case batch.Done:
		j.good = j.first.Sub(j.r.Arrived) <= j.r.FirstToken && !w.now.After(j.r.Deadline)
		w.finish(j)
		w.balancer.end(j, true)
	case batch.Failed:
		w.finish(j)
		w.balancer.end(j, false)
	}
}
