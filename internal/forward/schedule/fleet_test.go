package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// The world of these tests: entries that hear each other late, and engines that
// admit requests in the order of arrival, some of them four times slower.
const (
	testNews = 60 * time.Millisecond // between two messages of an entry
	testHop  = time.Millisecond      // from entry to entry and to an engine
)

type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// engine admits requests in the order of arrival into its slots.
type engine struct {
	slow    float64
	running int
	waiting []func(now time.Time)
}

// tally counts what callers got, by rank.
type tally struct {
	asked, inTime, late, refused [3]int
	// longest is the most requests that were at one engine beyond its slots.
	waited, sent int
}

func (t *tally) share(rank int) float64 {
	return float64(t.inTime[rank]) / float64(max(t.asked[rank], 1))
}

// world is a fleet of entries before engines, on virtual time.
type world struct {
	r       *rand.Rand
	now     time.Time
	queue   events
	seq     int
	entries []*Scheduler
	dead    []bool
	engines map[string]*engine
	slots   int
	tally   tally
	ids     uint64
	owner   map[uint64]int
}

func newWorld(entries, engines, slots int, seed uint64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 5)), now: start, engines: make(map[string]*engine), slots: slots, owner: make(map[uint64]int), dead: make([]bool, entries)}
	list := make([]ward.Replica, engines)
	for i := range list {
		id := fmt.Sprintf("engine-%02d", i)
		list[i] = ward.Replica{ID: id, Service: "menus", DataCentre: string(rune('a' + i%3)), Address: id, Slots: slots, Version: "v1"}
		w.engines[id] = &engine{slow: 0.7}
		if i%3 == 2 {
			w.engines[id].slow = 3
		}
	}
	for i := range entries {
		s := &Scheduler{Name: fmt.Sprintf("entry-%02d", i), DataCentre: string(rune('a' + i%3)), Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		s.SetUpstreams(list, w.now)
		w.entries = append(w.entries, s)
		w.after(time.Duration(w.r.Float64()*float64(testNews)), func(time.Time) { w.news(i) })
	}
	return w
}

func (w *world) after(d time.Duration, do func(now time.Time)) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

func (w *world) run(until time.Duration) {
	end := start.Add(until)
	for w.queue.Len() > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do(e.at)
	}
	w.now = end
}

// news tells the others, again and again, what entry i runs and what waits.
func (w *world) news(i int) {
	w.after(testNews, func(time.Time) { w.news(i) })
	if w.dead[i] {
		return
	}
	s := w.entries[i]
	w.carry(i, s.Tick(w.now))
	for k := range w.entries {
		if k == i || w.dead[k] {
			continue
		}
		n := s.PeerState(w.now)
		w.after(testHop, func(now time.Time) { w.carry(k, w.entries[k].UpdatePeer(s.Name, n, now)) })
	}
}

func (w *world) carry(i int, actions []Action) {
	for _, a := range actions {
		switch {
		case a.GrantTo != "":
			for k, s := range w.entries {
				if s.Name == a.GrantTo {
					from, id, n, used := w.entries[i].Name, a.Upstream.ID, a.Sequence, a.Used
					w.after(testHop, func(now time.Time) { w.carry(k, w.entries[k].ReceiveGrant(from, id, n, used, now)) })
				}
			}
		case a.Upstream == nil:
			w.tally.refused[a.Job.Rank[1]]++
		default:
			w.send(i, a)
		}
	}
}

func (w *world) send(i int, a Action) {
	e, j, s := w.engines[a.Upstream.ID], a.Job, w.entries[i]
	w.tally.sent++
	begin := func(now time.Time) {
		e.running++
		first := time.Duration(e.slow * nominalFirst(j) * float64(time.Second))
		rest := time.Duration(e.slow * nominalRest(j) * float64(time.Second))
		w.after(first, func(now time.Time) {
			s.First(j.ID, now)
			if now.Add(testHop).After(j.OnTime) {
				w.tally.late[j.Rank[1]]++
			} else {
				w.tally.inTime[j.Rank[1]]++
			}
		})
		w.after(first+rest, func(now time.Time) {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next(now)
			}
			s.Paced(j.ID, rest/time.Duration(max(j.Output, 1)))
			w.carry(i, s.Done(j.ID, OutcomeOK, now))
		})
	}
	w.after(testHop, func(now time.Time) {
		if e.running >= w.slots {
			w.tally.waited++
			e.waiting = append(e.waiting, begin)
			return
		}
		begin(now)
	})
}

// arrive makes a request at entry i.
func (w *world) arrive(i int) {
	w.ids++
	rank, prompt, output := 2, 1100.0, 170.0
	switch x := w.r.Float64(); {
	case x < 0.41:
		rank, prompt, output = 0, 3700, 120
	case x < 0.6:
		rank, prompt, output = 1, 2900, 50
	}
	j := job(w.ids, rank, w.now)
	j.Prompt = int(min(w.r.ExpFloat64()*prompt, 10*prompt))
	j.Output = 1 + int(min(w.r.ExpFloat64()*output, 8*output))
	w.tally.asked[rank]++
	w.carry(i, w.entries[i].Arrive(j, w.now))
}

// load lets requests arrive at rate a second, from one time to another. uneven
// draws the entry, so that some get more than others.
func (w *world) load(rate float64, from, to time.Duration) {
	at := from
	for at < to {
		at += time.Duration(w.r.ExpFloat64() / rate * float64(time.Second))
		i := w.r.IntN(len(w.entries))
		if w.r.Float64() < 0.3 {
			i = w.r.IntN(1 + len(w.entries)/4)
		}
		w.after(at, func(time.Time) {
			for w.dead[i] {
				i = (i + 1) % len(w.entries)
			}
			w.arrive(i)
		})
	}
}

// A fleet of 8 entries and 9 engines of 6 slots serves about 85 requests a second
// of this mix.
const capacity = 85.0

// TestHeavyLoads answers loads beyond the engines' capacity: the higher ranks are
// served in time, nothing waits for long inside the engines, whose order knows no
// ranks.
func TestHeavyLoads(t *testing.T) {
	cases := []struct {
		name string
		load func(w *world)
		// inTime is the least share of each rank that is served in time.
		inTime [3]float64
	}{
		{"steady at 0.6 of the capacity", func(w *world) {
			w.load(0.6*capacity, 0, 10*time.Second)
		}, [3]float64{0.97, 0.97, 0.97}},
		{"burst of 2 for 3 s", func(w *world) {
			w.load(0.6*capacity, 0, 12*time.Second)
			w.load(0.6*capacity, 4*time.Second, 7*time.Second)
		}, [3]float64{0.95, 0.9, 0.6}},
		{"overload of 1.5 that lasts", func(w *world) {
			w.load(1.5*capacity, 0, 12*time.Second)
		}, [3]float64{0.9, 0.75, 0.05}},
		{"a third of the entries killed in a burst", func(w *world) {
			w.load(0.6*capacity, 0, 12*time.Second)
			w.load(0.5*capacity, 4*time.Second, 7*time.Second)
			w.after(5*time.Second, func(time.Time) { w.dead[0], w.dead[3], w.dead[6] = true, true, true })
		}, [3]float64{0.9, 0.85, 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(8, 9, 6, 3)
			c.load(w)
			w.run(16 * time.Second)
			g := &w.tally
			t.Logf("in time %.3f %.3f %.3f; late %v, refused %v of %v; %d of %d waited in an engine",
				g.share(0), g.share(1), g.share(2), g.late, g.refused, g.asked, g.waited, g.sent)
			for rank, want := range c.inTime {
				if got := g.share(rank); got < want {
					t.Errorf("rank %d: %.3f in time, want %.3f", rank, got, want)
				}
			}
			if most := g.sent / 4; g.waited > most {
				t.Errorf("%d of %d requests waited in an engine, at most %d", g.waited, g.sent, most)
			}
		})
	}
}
