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
	// currentEntries is the number of entries now.
	currentEntries = 8
	// span is the virtual time during which requests arrive. Measurement begins
	// after warmUp, when the burst that the call meter allows is used up.
	span   = 25 * time.Second
	warmUp = 5 * time.Second
	// waitLimit is the time after which a request whose record isn't begun is
	// refused.
	waitLimit = time.Second
	retryWait = 25 * time.Millisecond
	// runTime is the time that a request takes at its upstream.
	runTime = 50 * time.Millisecond
)

// event is a callback at a virtual time.
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

// simulation is a run on virtual time, with the platform and the counters.
type simulation struct {
	entries     int
	time        time.Time
	seq         int
	queue       events
	random      *rand.Rand
	platform    *memory.Platform
	stores      []*meter.Store
	latency     []time.Duration
	refused     int
	extraWrites int // writes beside the records, such as lease renewals
	before      calls
}

// calls are the calls of the store so far.
type calls struct{ reads, writes uint64 }

// Now returns the virtual time.
func (w *simulation) Now() time.Time { return w.time }

// Sleep returns at once: the latency of calls is simulated by events.
func (w *simulation) Sleep(context.Context, time.Duration) error { return nil }

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.time.Add(d), seq: w.seq, do: do})
}

func (w *simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *simulation) callTime() time.Duration {
	return w.uniform(2*time.Millisecond, 5*time.Millisecond)
}

func (w *simulation) hopTime() time.Duration {
	return w.uniform(time.Millisecond, 2*time.Millisecond)
}

// get reads a key through the entry's meter and calls done after the latency of
// the call, or at once when the call is over budget. swap does the same for a
// compare-and-swap.
func (w *simulation) get(entry int, key string, done func(ward.Record, error)) {
	rec, err := w.stores[entry].Get(context.Background(), key)
	w.after(w.duration(err), func() { done(rec, err) })
}

func (w *simulation) swap(entry int, key string, revision uint64, value []byte, done func(ward.Record, error)) {
	rec, err := w.stores[entry].CompareAndSwap(context.Background(), key, revision, value)
	w.after(w.duration(err), func() { done(rec, err) })
}

func (w *simulation) duration(err error) time.Duration {
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

func (w *simulation) recordBegun(r request)  { w.latency = append(w.latency, w.time.Sub(r.since)) }
func (w *simulation) refuse()                { w.refused++ }
func (w *simulation) overdue(r request) bool { return w.time.Sub(r.since) > waitLimit }

// strategy is a way of storing the records. start returns the function that begins
// the record of a request at an entry, and calls recordBegun or refuse.
type strategy struct {
	name  string
	start func(w *simulation) func(entry int, r request)
}

// outcome is the result of a simulation.
type outcome struct {
	writes, reads, p50, p99, refused float64
}

// simulate runs a strategy with requests that arrive at random times at random
// entries.
func simulate(seed uint64, entries, rate int, x strategy) outcome {
	w := &simulation{entries: entries, time: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, uint64(rate)))}
	w.platform = &memory.Platform{Clock: w, Seed: seed}
	for range entries {
		m := meter.New(w.platform, w, meter.DefaultBudget())
		m.SetEntries(entries)
		w.stores = append(w.stores, m)
	}
	arrive := x.start(w)
	begin := w.time
	w.after(warmUp, func() {
		w.latency, w.refused, w.extraWrites = nil, 0, 0
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

// calls counts the calls that reached the store.
func (w *simulation) calls() calls {
	c := calls{writes: uint64(w.extraWrites)}
	for _, x := range w.platform.Calls() {
		if x.Kind == family.Write {
			c.writes += x.Sent
		} else {
			c.reads += x.Sent
		}
	}
	return c
}

func (w *simulation) outcome() outcome {
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
