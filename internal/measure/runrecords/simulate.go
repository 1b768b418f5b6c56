package runrecords

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agateward/internal/platform/family"
	"agateward/internal/platform/memory"
	"agateward/internal/platform/meter"
	"agateward/ward"
)

const (
	// today is the number of entries now.
	today = 8
	// span is the virtual time of requests; what is measured begins after warmUp,
	// when the burst that the call meter allows is used up.
	span   = 25 * time.Second
	warmUp = 5 * time.Second
	// waitLimit is how long a request waits for its record to be begun.
	waitLimit = time.Second
	retryWait = 25 * time.Millisecond
	// runTime is how long a request runs at its upstream.
	runTime = 50 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// world is virtual time, the platform and what is counted.
type world struct {
	entries  int
	time     time.Time
	seq      int
	queue    events
	random   *rand.Rand
	platform *memory.Platform
	stores   []*meter.Store
	latency  []time.Duration
	refused  int
	extra    int // writes beside the records, such as lease renewals
	before   calls
}

// calls are calls of the store so far.
type calls struct{ reads, writes uint64 }

// Now and Sleep make world the clock of the platform, which does not wait here.
func (w *world) Now() time.Time { return w.time }

// Sleep never waits: latency is an event.
func (w *world) Sleep(context.Context, time.Duration) error { return nil }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.time.Add(d), seq: w.seq, do: do})
}

func (w *world) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *world) callTime() time.Duration {
	return w.uniform(2*time.Millisecond, 5*time.Millisecond)
}

func (w *world) hopTime() time.Duration {
	return w.uniform(time.Millisecond, 2*time.Millisecond)
}

// get and swap make a metered call, whose end comes after its time. A call over
// budget ends at once.
func (w *world) get(entry int, key string, done func(ward.Record, error)) {
	rec, err := w.stores[entry].Get(context.Background(), key)
	w.after(w.ends(err), func() { done(rec, err) })
}

func (w *world) swap(entry int, key string, revision uint64, value []byte, done func(ward.Record, error)) {
	rec, err := w.stores[entry].CompareAndSwap(context.Background(), key, revision, value)
	w.after(w.ends(err), func() { done(rec, err) })
}

func (w *world) ends(err error) time.Duration {
	if errors.Is(err, ward.ErrOverBudget) {
		return 0
	}
	return w.callTime()
}

// request is one non-idempotent request.
type request struct {
	id    string
	since time.Time
}

func (w *world) begun(r request)        { w.latency = append(w.latency, w.time.Sub(r.since)) }
func (w *world) refuse()                { w.refused++ }
func (w *world) overdue(r request) bool { return w.time.Sub(r.since) > waitLimit }

// way is one way to keep records. arrive begins the record of a request at an
// entry, and calls begun or refuse.
type way struct {
	name string
	make func(w *world) func(entry int, r request)
}

// outcome is what a simulation measured.
type outcome struct {
	writes, reads, p50, p99, refused float64
}

// simulate has requests arrive at random times and entries.
func simulate(seed uint64, entries, rate int, x way) outcome {
	w := &world{entries: entries, time: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, uint64(rate)))}
	w.platform = &memory.Platform{Clock: w, Seed: seed}
	for range entries {
		m := meter.New(w.platform, w, meter.DefaultBudget())
		m.SetEntries(entries)
		w.stores = append(w.stores, m)
	}
	arrive := x.make(w)
	begin := w.time
	w.after(warmUp, func() {
		w.latency, w.refused, w.extra = nil, 0, 0
		w.before = w.calls()
	})
	total := 0
	gap := float64(time.Second) / float64(rate)
	for at := time.Duration(0); at < span; at += time.Duration(w.random.ExpFloat64() * gap) {
		total++
		r := request{id: fmt.Sprint("request-", total)}
		entry := w.random.IntN(entries)
		w.after(at, func() {
			r.since = w.time
			arrive(entry, r)
		})
	}
	end := begin.Add(span)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.time = e.at
		e.do()
	}
	return w.outcome()
}

// calls counts what reached the store.
func (w *world) calls() calls {
	c := calls{writes: uint64(w.extra)}
	for _, x := range w.platform.Calls() {
		if x.Kind == family.Write {
			c.writes += x.Sent
		} else {
			c.reads += x.Sent
		}
	}
	return c
}

func (w *world) outcome() outcome {
	seconds := (span - warmUp).Seconds()
	c := w.calls()
	o := outcome{
		writes: float64(c.writes-w.before.writes) / seconds,
		reads:  float64(c.reads-w.before.reads) / seconds,
	}
	if all := w.refused + len(w.latency); all > 0 {
		o.refused = float64(w.refused) / float64(all)
	}
	slices.Sort(w.latency)
	if n := len(w.latency); n > 0 {
		o.p50 = milliseconds(w.latency[n/2])
		o.p99 = milliseconds(w.latency[n*99/100])
	}
	return o
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
