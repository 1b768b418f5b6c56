package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// The simulation has entries that get each other's state late, and engines that
// admit requests in the order of arrival, some of them four times slower.
const (
	broadcastInterval = 60 * time.Millisecond // between two broadcasts of an entry
	hopDelay          = time.Millisecond      // between entries, and from an entry to an engine
)

type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
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
	slowdown float64
	// limit returns the limit that an answer states; nil states none.
	limit   func(now time.Time) ward.RateLimit
	brittle *brittle
	// down is until when nobody listens there.
	down     time.Time
	arrivals []arrival
	running  int
	knee     *knee
	waiting  []func(now time.Time)
}

// arrival is a request that reaches an engine.
type arrival struct {
	at    time.Time
	entry int
}

// counts holds the results of the requests by rank.
type counts struct {
	requests, onTime, late, refused [3]int
	// waited counts the requests that reached an engine without a free slot, of sent.
	waited, sent int
	// held counts the refused requests that had waited for heldFraction of their time.
	held int
	// teams holds the results by team.
	teams map[string]*teamCounts
}

// teamCounts holds the results of the requests of one team. work is the engine time of those
// in time, in seconds.
type teamCounts struct {
	requests, onTime, late, refused int
	work                            float64
}

func (t *counts) team(name string) *teamCounts {
	if t.teams == nil {
		t.teams = make(map[string]*teamCounts)
	}
	if t.teams[name] == nil {
		t.teams[name] = &teamCounts{}
	}
	return t.teams[name]
}

// started counts a request whose first event reached its caller.
func (t *counts) started(j *Job, onTime bool) {
	team := t.team(j.Team)
	if !onTime {
		t.late[j.Rank[1]]++
		team.late++
		return
	}
	t.onTime[j.Rank[1]]++
	team.onTime++
	team.work += engineTime(j)
}

func (t *counts) onTimeShare(rank int) float64 {
	return float64(t.onTime[rank]) / float64(max(t.requests[rank], 1))
}

// simulation runs a fleet of entries and engines on virtual time.
type simulation struct {
	r       *rand.Rand
	now     time.Time
	queue   events
	seq     int
	entries []*Scheduler
	dead    []bool
	engines map[string]*engine
	slots   int
	counts  counts
	ids     uint64
	owner   map[uint64]int
	// deliver returns how often a message from one entry reaches another, and when; nil
	// means once after hopDelay.
	deliver func(from, to int) []time.Duration
	// told holds when an entry got the first answer of an engine that states a limit.
	told map[string]map[int]time.Time
	// frozen holds until when an entry does nothing. Requests to it wait meanwhile.
	frozen map[int]time.Time
	// cells holds the cell of each entry, nil if all entries exchange their state.
	cells []string
	// callers has refused callers come back, nil if they don't.
	callers *callers
	// lendMessages counts the messages between entries of different cells.
	lendMessages int
	// decided is called with the decisions of an entry, unless it is nil.
	decided func(i int, actions []Action)
	// writeDelay is the time from a dispatch until its request is written, nil for none.
	writeDelay func() time.Duration
}

// message delivers a message between two entries.
func (sim *simulation) message(from, to int, run func(now time.Time)) {
	delays := []time.Duration{hopDelay}
	if sim.deliver != nil {
		delays = sim.deliver(from, to)
	}
	for _, d := range delays {
		sim.after(d, func(time.Time) { sim.whenAwake(to, run) })
	}
}

// whenAwake runs an event of entry i once it is not frozen.
func (sim *simulation) whenAwake(i int, run func(now time.Time)) {
	if end := sim.frozen[i]; sim.now.Before(end) {
		sim.after(end.Sub(sim.now), func(time.Time) { sim.whenAwake(i, run) })
		return
	}
	run(sim.now)
}

// gossipTargets is the number of entries of any cell that get news of limits.
const gossipTargets = 8

// gossip passes news of limits on to some entries of a fleet with cells.
func (sim *simulation) gossip(i int, news []LimitChange) {
	if len(news) == 0 || sim.cells == nil {
		return
	}
	list := make([]LimitReport, len(news))
	for n, c := range news {
		list[n] = c.LimitReport
	}
	for range gossipTargets {
		k := sim.r.IntN(len(sim.entries))
		sim.message(i, k, func(now time.Time) { sim.gossip(k, sim.entries[k].LearnLimits(list, now)) })
	}
}

// observeLimit hands the limit that an engine states in an answer to the entry.
func (sim *simulation) observeLimit(i int, a Action, now time.Time) {
	id := a.Upstream.ID
	if sim.engines[id].limit == nil {
		return
	}
	r := sim.engines[id].limit(now)
	if r.Limited {
		if sim.told[id] == nil {
			sim.told[id] = make(map[int]time.Time)
		}
		if _, ok := sim.told[id][i]; !ok {
			sim.told[id][i] = now
		}
	}
	if c, ok := sim.entries[i].ObserveLimit(a.Job.ID, r, now); ok {
		sim.gossip(i, []LimitChange{c})
	}
}

func newSimulation(entries, engines, slots int, seed uint64) *simulation {
	return newSimulationWith(entries, engines, slots, seed, Options{})
}

func newSimulationWith(entries, engines, slots int, seed uint64, options Options) *simulation {
	sim := &simulation{r: rand.New(rand.NewPCG(seed, 5)), now: start, engines: make(map[string]*engine), slots: slots, owner: make(map[uint64]int), dead: make([]bool, entries), told: make(map[string]map[int]time.Time), frozen: make(map[int]time.Time)}
	list := make([]ward.Replica, engines)
	for i := range list {
		id := engineName(i)
		list[i] = ward.Replica{ID: id, Service: "menus", DataCentre: string(rune('a' + i%3)), Address: id, Slots: slots, Version: "v1"}
		sim.engines[id] = &engine{slowdown: 0.7}
		if i%3 == 2 {
			sim.engines[id].slowdown = 3
		}
	}
	for i := range entries {
		s := &Scheduler{Name: fmt.Sprintf("entry-%02d", i), DataCentre: string(rune('a' + i%3)), Rand: rand.New(rand.NewPCG(seed, uint64(i))), Options: options}
		s.SetUpstreams(list, sim.now)
		sim.entries = append(sim.entries, s)
		sim.after(time.Duration(sim.r.Float64()*float64(broadcastInterval)), func(time.Time) { sim.broadcast(i) })
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func(now time.Time)) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, run})
}

func (sim *simulation) run(until time.Duration) {
	end := start.Add(until)
	for sim.queue.Len() > 0 && sim.queue[0].at.Before(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run(e.at)
	}
	sim.now = end
}

// broadcast periodically sends the state of entry i to the others.
func (sim *simulation) broadcast(i int) {
	sim.after(broadcastInterval, func(time.Time) { sim.broadcast(i) })
	if sim.dead[i] || sim.now.Before(sim.frozen[i]) {
		return
	}
	s := sim.entries[i]
	sim.execute(i, s.Tick(sim.now))
	limits := s.LimitNews(sim.now)
	s.ConcurrencyChanges(sim.now)
	for k := range sim.entries {
		if k == i || sim.dead[k] || sim.cells != nil && sim.cells[k] != sim.cells[i] {
			continue
		}
		n := s.PeerState(sim.now)
		sim.message(i, k, func(now time.Time) {
			sim.gossip(k, sim.entries[k].LearnLimits(limits, now))
			sim.entries[k].LearnBrittle(n, now)
			sim.execute(k, sim.entries[k].UpdatePeer(s.Name, n, now))
		})
	}
}

func (sim *simulation) execute(i int, actions []Action) {
	if sim.decided != nil {
		sim.decided(i, actions)
	}
	for _, a := range actions {
		switch {
		case a.Lending != nil:
			sim.lend(i, a)
		case a.GrantTo != "":
			for k, s := range sim.entries {
				if s.Name == a.GrantTo {
					from, id, n, used := sim.entries[i].Name, a.Upstream.ID, a.Sequence, a.Used
					sim.message(i, k, func(now time.Time) {
						receive := sim.entries[k].ReceiveGrant
						if a.Permit {
							receive = sim.entries[k].ReceivePermit
						}
						sim.execute(k, receive(from, id, n, used, now))
					})
				}
			}
		case a.Upstream == nil:
			sim.counts.refused[a.Job.Rank[1]]++
			sim.callers.refused(sim, i, a)
			sim.counts.team(a.Job.Team).refused++
			if j := a.Job; sim.now.Sub(j.Arrived) > time.Duration(heldFraction*float64(j.Expires.Sub(j.Arrived))) {
				sim.counts.held++
			}
		default:
			sim.send(i, a)
		}
	}
}

func (sim *simulation) send(i int, a Action) {
	e, j, s := sim.engines[a.Upstream.ID], a.Job, sim.entries[i]
	sim.counts.sent++
	begin := func(now time.Time) {
		sim.advance(e)
		e.running++
		sim.process(e, nominalFirst(j), func(now time.Time) {
			first := now
			sim.whenAwake(i, func(now time.Time) {
				sim.observeLimit(i, a, now)
				if e.brittle != nil && now.Sub(start) >= brittleStated {
					s.ObserveBrittle(j.ID, now)
				}
				s.FirstEvent(j.ID, now)
			})
			sim.callers.answered(j, now.Add(hopDelay))
			sim.counts.started(j, !now.Add(hopDelay).After(j.Due))
			sim.stream(i, j.ID, e)
			sim.process(e, nominalRest(j), func(now time.Time) {
				rest := now.Sub(first)
				e.running-- // process has done the work until now
				if len(e.waiting) > 0 {
					next := e.waiting[0]
					e.waiting = e.waiting[1:]
					next(now)
				}
				sim.whenAwake(i, func(now time.Time) {
					s.ObservePace(j.ID, rest/time.Duration(max(j.Output, 1)))
					sim.execute(i, s.Done(j.ID, OutcomeOK, now))
				})
			})
		})
	}
	sim.write(i, a, func(now time.Time) {
		if now.Before(e.down) {
			sim.after(hopDelay, func(time.Time) { sim.rejected(i, a, OutcomeUnreachable) })
			return
		}
		e.arrivals = append(e.arrivals, arrival{now, i})
		if b := e.brittle; b != nil && now.Before(b.down) {
			sim.after(hopDelay, func(time.Time) { sim.rejected(i, a, OutcomeUnreachable) })
			return
		}
		if e.running >= sim.slots && e.reject(now) {
			sim.after(hopDelay, func(time.Time) { sim.rejected(i, a, OutcomeFull) })
			return
		}
		if e.running >= sim.slots {
			sim.counts.waited++
			e.waiting = append(e.waiting, begin)
			return
		}
		begin(now)
	})
}

// arrive generates a request at entry i.
func (sim *simulation) arrive(i int) {
	sim.ids++
	rank, prompt, output := 2, 1100.0, 170.0
	switch x := sim.r.Float64(); {
	case x < 0.41:
		rank, prompt, output = 0, 3700, 120
	case x < 0.6:
		rank, prompt, output = 1, 2900, 50
	}
	j := job(sim.ids, rank, sim.now)
	j.Prompt = int(min(sim.r.ExpFloat64()*prompt, 10*prompt))
	j.Output = 1 + int(min(sim.r.ExpFloat64()*output, 8*output))
	sim.counts.requests[rank]++
	sim.callers.arrived(sim, j)
	sim.execute(i, sim.entries[i].Arrive(j, sim.now))
}

// load generates requests at rate per second from one time to another. The first
// quarter of the entries gets more of them than the others.
func (sim *simulation) load(rate float64, from, to time.Duration) {
	at := from
	for at < to {
		at += time.Duration(sim.r.ExpFloat64() / rate * float64(time.Second))
		i := sim.r.IntN(len(sim.entries))
		if sim.r.Float64() < 0.3 {
			i = sim.r.IntN(1 + len(sim.entries)/4)
		}
		sim.after(at, func(time.Time) {
			for sim.dead[i] {
				i = (i + 1) % len(sim.entries)
			}
			sim.whenAwake(i, func(time.Time) { sim.arrive(i) })
		})
	}
}

// A fleet of 8 entries and 9 engines of 6 slots serves about 85 requests a second
// of this mix.
const capacity = 85.0

// TestOverload checks that under loads beyond the engines' capacity the higher ranks
// are served in time and few requests wait inside the engines, which ignore ranks.
func TestOverload(t *testing.T) {
	cases := []struct {
		name string
		load func(sim *simulation)
		// onTime is the least share of each rank that is served in time.
		onTime [3]float64
	}{
		{"steady at 0.6 of the capacity", func(sim *simulation) {
			sim.load(0.6*capacity, 0, 10*time.Second)
		}, [3]float64{0.97, 0.97, 0.97}},
		{"burst of 2 for 3 s", func(sim *simulation) {
			sim.load(0.6*capacity, 0, 12*time.Second)
			sim.load(0.6*capacity, 4*time.Second, 7*time.Second)
		}, [3]float64{0.95, 0.9, 0.6}},
		{"overload of 1.5 that lasts", func(sim *simulation) {
			sim.load(1.5*capacity, 0, 12*time.Second)
		}, [3]float64{0.9, 0.75, 0.05}},
		{"a third of the entries killed in a burst", func(sim *simulation) {
			sim.load(0.6*capacity, 0, 12*time.Second)
			sim.load(0.5*capacity, 4*time.Second, 7*time.Second)
			sim.after(5*time.Second, func(time.Time) { sim.dead[0], sim.dead[3], sim.dead[6] = true, true, true })
		}, [3]float64{0.9, 0.85, 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(8, 9, 6, 3)
			c.load(sim)
			sim.run(16 * time.Second)
			g := &sim.counts
			t.Logf("in time %.3f %.3f %.3f; late %v, refused %v of %v; %d of %d waited in an engine",
				g.onTimeShare(0), g.onTimeShare(1), g.onTimeShare(2), g.late, g.refused, g.requests, g.waited, g.sent)
			for rank, want := range c.onTime {
				if got := g.onTimeShare(rank); got < want {
					t.Errorf("rank %d: %.3f in time, want %.3f", rank, got, want)
				}
			}
			if most := g.sent / 4; g.waited > most {
				t.Errorf("%d of %d requests waited in an engine, at most %d", g.waited, g.sent, most)
			}
		})
	}
}
