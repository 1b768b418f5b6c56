// Package batch simulates a model engine with continuous batching. The caller
// passes the time: the stand-in engine serves the simulation over HTTP, the
// experiments run it on virtual time.
//
// One step of the engine generates one token for each sequence in decode and
// prefills a chunk of the waiting prompts; both make the step longer. Between
// two events the rates are constant, so the simulation computes the time of the
// next event instead of simulating each step: an event costs O(log n). Jobs have
// no priorities and start in order of arrival. A cached prompt prefix is not
// computed again.
//
// # Usage
//
//	e := batch.New(batch.Profile{PrefillRate: 20_000})
//	e.Admit(now, batch.Job{ID: "r1", Prompt: 800, Output: 120})
//	for next := e.Next(); !next.IsZero(); next = e.Next() {
//		for _, event := range e.Advance(next) {
//			...
//		}
//	}
//
// Admit and Cancel first advance the engine to their time; the events until then
// are returned by the next Advance. Times must not decrease.
package batch

import (
	"container/heap"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// Job is one request for the engine.
type Job struct {
	ID      string
	Route   string
	Version string
	// Prompt and Output are lengths in tokens.
	Prompt int
	Output int
	// Prefix holds the hashes of the prompt's leading blocks, as in ward.Request.
	Prefix []uint64
	// Resume is the number of output tokens that the caller already has; they
	// are prefilled like prompt tokens.
	Resume int
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of event.
const (
	FirstToken EventKind = "first-token"
	Done       EventKind = "done"
	Failed     EventKind = "failed"
)

// Event is a change of one job. Tokens is the number of output tokens so far,
// including Resume.
type Event struct {
	At     time.Time
	ID     string
	Kind   EventKind
	Tokens int
}

// Stats are the running totals of an engine, in tokens and jobs.
type Stats struct {
	// Prefilled counts computed prompt tokens, Cached the prompt tokens found in
	// the prefix cache, Wasted the prompt tokens computed for jobs that were
	// cancelled or failed.
	Prefilled float64
	Cached    float64
	Wasted    float64
	Decoded   float64
	Done      int
	Failed    int
	Cancelled int
}

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	p       Profile
	now     time.Time
	speed   float64
	steps   float64
	tasks   map[string]*task
	waiting []*task
	// waitingTokens are the prompt tokens of the waiting jobs.
	waitingTokens int
	prefill       []*task
	decode        taskHeap
	cache         prefixCache
	due           []Event
	stats         Stats
	// visible is the report that readers get, pending the next one.
	visible ward.LoadReport
	pending ward.LoadReport
	leaving bool
}

// New returns an idle engine.
func New(p Profile) *Engine {
	p = p.withDefaults()
	e := &Engine{p: p, speed: 1, tasks: make(map[string]*task)}
	e.cache.init(p)
	return e
}

// Admit adds a job to the engine, which never refuses one. A job with the id of
// an outstanding one is ignored.
func (e *Engine) Admit(now time.Time, j Job) {
	e.advance(now)
	if e.tasks[j.ID] != nil {
		return
	}
	t := &task{job: j, index: -1}
	e.tasks[j.ID] = t
	e.waiting = append(e.waiting, t)
	e.waitingTokens += j.Prompt
	e.start()
}

// Cancel ends a job; its computed prompt tokens count as wasted.
func (e *Engine) Cancel(now time.Time, id string) {
	e.advance(now)
	t := e.tasks[id]
	if t == nil {
		return
	}
	e.stats.Cancelled++
	e.stats.Wasted += t.computed()
	e.stats.Decoded += e.decoded(t)
	e.remove(t)
	e.start()
}

// SetSpeed makes the whole engine run at factor times its normal speed. factor
// is greater than 0.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.advance(now)
	e.speed = factor
}

// SetLeaving sets Leaving in the load reports: the engine wants no new work.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// Next returns the time of the next event, or the zero time when no event will
// come.
func (e *Engine) Next() time.Time {
	if len(e.due) > 0 {
		return e.due[0].At
	}
	at, _ := e.next()
	return at
}

// Advance advances the engine to now and returns the events since the last
// call, in order. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.advance(now)
	events := e.due
	e.due = nil
	return events
}

// Tokens returns the number of output tokens of a job so far, including Resume.
// Before the first token, and for unknown jobs, it is 0.
func (e *Engine) Tokens(id string) int {
	t := e.tasks[id]
	if t == nil || t.index < 0 {
		return 0
	}
	// The first token comes with the end of the prefill.
	return min(t.job.Resume+1+int(e.decoded(t)+stepSlack), t.job.Output)
}

// Outstanding returns the number of jobs that wait or run.
func (e *Engine) Outstanding() int { return len(e.tasks) }

// finishPrefill ends the prefill of the oldest job, which then has its first
// token or fails.
func (e *Engine) finishPrefill() {
	t := e.prefill[0]
	e.prefill = e.prefill[1:]
	t.remaining = 0
	if t.fails {
		e.stats.Failed++
		e.stats.Wasted += t.computed()
		delete(e.tasks, t.job.ID)
		e.emit(t, Failed, t.job.Resume)
		return
	}
	e.cache.store(t.job.Prefix, e.now)
	e.emit(t, FirstToken, t.job.Resume+1)
	t.startStep = e.steps
	t.finishStep = e.steps + t.slow*float64(max(t.job.Output-t.job.Resume-1, 0))
	heap.Push(&e.decode, t)
}

// finishDecode ends the job with the lowest finish step.
func (e *Engine) finishDecode() {
	t := e.decode[0]
	e.steps = max(e.steps, t.finishStep)
	e.stats.Decoded += e.decoded(t)
	e.stats.Done++
	e.remove(t)
	e.emit(t, Done, max(t.job.Output, t.job.Resume+1))
}

// start fills the batch in order of arrival.
func (e *Engine) start() {
	for len(e.waiting) > 0 && len(e.prefill)+len(e.decode) < e.p.MaxBatch {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		if t.cancelled {
			continue
		}
		e.begin(t)
	}
}

// begin applies the prefix cache and the faults to a job and queues its prefill.
func (e *Engine) begin(t *task) {
	t.slow = 1
	e.waitingTokens -= t.job.Prompt
	running := len(e.prefill) + len(e.decode)
	for _, f := range e.p.Faults {
		if !f.matches(t.job, running, e.now) {
			continue
		}
		if f.Slow > 0 {
			t.slow *= f.Slow
		}
		t.fails = t.fails || e.draw(t.job.ID) < f.FailShare
	}
	cached := min(e.cache.lookup(t.job.Prefix), max(t.job.Prompt-1, 0))
	e.stats.Cached += float64(cached)
	t.need = float64(max(t.job.Prompt-cached+t.job.Resume, 1))
	t.remaining = t.need * t.slow
	e.prefill = append(e.prefill, t)
}

// draw returns a pseudo-random number from 0 to 1 that depends only on the seed
// and the job.
func (e *Engine) draw(id string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(e.p.Seed)
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// decoded returns the number of tokens decoded for a job after its first one.
func (e *Engine) decoded(t *task) float64 {
	if t.index < 0 {
		return 0
	}
	return (min(e.steps, t.finishStep) - t.startStep) / t.slow
}

// remove removes a job from the engine, whatever its phase.
func (e *Engine) remove(t *task) {
	delete(e.tasks, t.job.ID)
	if t.index >= 0 {
		heap.Remove(&e.decode, t.index)
		return
	}
	for i, x := range e.prefill {
		if x == t {
			e.prefill = append(e.prefill[:i:i], e.prefill[i+1:]...)
			return
		}
	}
	t.cancelled = true
	e.waitingTokens -= t.job.Prompt
}

func (e *Engine) emit(t *task, kind EventKind, tokens int) {
	e.due = append(e.due, Event{At: e.now, ID: t.job.ID, Kind: kind, Tokens: tokens})
}
