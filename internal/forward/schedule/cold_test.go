package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"agateward/ward"

	"pgregory.net/rapid"
)

// The users' bound for a cold upstream, and what their configuration states.
const (
	coldOvershoot, coldSlack = 1.5, 5
	coldTestTime             = 3 * time.Second
	coldTestRate             = 12.0
	// registrationLag is the longest time until an entry reads a registration.
	registrationLag = 400 * time.Millisecond
	// coldSlots is so large that slots alone do not keep the bound.
	coldSlots = 40
)

// coldStart is the return of engines that are cold, after nobody listened there for off.
type coldStart struct {
	engines []int
	at, off time.Duration
}

// coldSim is a simulation with the registrations that each entry knows.
type coldSim struct {
	*simulation
	known []map[string]ward.Replica
	// cut holds until when an entry reads nothing from the store.
	cut   map[int]time.Time
	rate  float64
	colds map[string][]time.Time // by engine, the times at which it turned cold
}

func newColdSim(entries, engines, slots int, seed uint64, rate float64) *coldSim {
	sim := &coldSim{cut: make(map[int]time.Time), rate: rate, colds: make(map[string][]time.Time)}
	if entries > cellSize {
		sim.simulation = newFleetWithCells(entries, engines, seed)
	} else {
		sim.simulation = newSimulation(entries, engines, 0, seed)
	}
	sim.slots = slots
	for i, s := range sim.entries {
		known := make(map[string]ward.Replica)
		for id, u := range s.byID {
			r := u.Replica
			r.Slots, r.ColdTime, r.ColdRate = slots, coldTestTime, rate
			known[id] = r
		}
		sim.known = append(sim.known, known)
		s.cold.listed = false // the fleet starts with all of them registered
		sim.join(i)
		sim.setUpstreams(i)
	}
	return sim
}

// join tells entry i the names of the entries.
func (sim *coldSim) join(i int) {
	s := sim.entries[i]
	s.Fleet, s.Members = nil, nil
	for k, o := range sim.entries {
		if sim.dead[k] {
			continue
		}
		s.Fleet = append(s.Fleet, o.Name)
		if sim.cells == nil || sim.cells[k] == sim.cells[i] {
			s.Members = append(s.Members, o.Name)
		}
	}
	slices.Sort(s.Fleet)
}

func (sim *coldSim) setUpstreams(i int) {
	var list []ward.Replica
	for _, r := range sim.known[i] {
		list = append(list, r)
	}
	sim.execute(i, sim.entries[i].SetUpstreams(list, sim.now))
}

// register has each entry read a registration that is written now, or its removal.
func (sim *coldSim) register(id string, change func(r *ward.Replica) bool) {
	for i := range sim.entries {
		sim.after(time.Duration(sim.r.Float64()*float64(registrationLag)), func(now time.Time) { sim.read(i, id, now, change) })
	}
}

func (sim *coldSim) read(i int, id string, now time.Time, change func(r *ward.Replica) bool) {
	if end := sim.cut[i]; now.Before(end) {
		sim.after(end.Sub(now), func(now time.Time) { sim.read(i, id, now, change) })
		return
	}
	sim.whenAwake(i, func(now time.Time) {
		r := ward.Replica{ID: id, Service: "menus", Address: id, Slots: sim.slots, Version: "v1", ColdTime: coldTestTime, ColdRate: sim.rate}
		r.DataCentre = sim.dataCentre(id)
		if change(&r) {
			sim.known[i][id] = r
		} else {
			delete(sim.known[i], id)
		}
		sim.setUpstreams(i)
		r.ColdFor = 0 // it counts down: a later list of this entry does not repeat it
		if _, ok := sim.known[i][id]; ok {
			sim.known[i][id] = r
		}
	})
}

func (sim *coldSim) dataCentre(id string) string {
	var n int
	if _, err := fmt.Sscanf(id, "engine-%d", &n); err != nil {
		panic(err)
	}
	return string(rune('a' + n%3))
}

// start has engines return cold at a time, each within spread.
func (sim *coldSim) start(c coldStart, spread time.Duration) {
	for _, n := range c.engines {
		id := engineName(n)
		at := c.at + time.Duration(sim.r.Float64()*float64(spread))
		sim.after(c.at-c.off, func(now time.Time) {
			if c.off > 0 {
				sim.engines[id].down = start.Add(at)
			}
		})
		if lapse := c.at - c.off + 3*coldHeartbeat; c.off > 3*coldHeartbeat {
			sim.after(lapse, func(time.Time) { sim.register(id, func(*ward.Replica) bool { return false }) })
		}
		sim.after(at, func(now time.Time) {
			sim.colds[id] = append(sim.colds[id], now)
			sim.register(id, func(r *ward.Replica) bool {
				r.Born, r.ColdFor = now.UnixNano(), coldTestTime
				return true
			})
		})
	}
}

// worst returns the most requests that reach an engine in a second while it is cold, from
// grace after it turned cold on.
func (sim *coldSim) worst(id string, grace time.Duration) int {
	most := 0
	for _, at := range sim.colds[id] {
		var window []time.Time
		for _, a := range sim.engines[id].arrivals {
			if a.at.Before(at.Add(grace)) || a.at.After(at.Add(coldTestTime)) {
				continue
			}
			window = append(window, a.at)
			for a.at.Sub(window[0]) > time.Second {
				window = window[1:]
			}
			most = max(most, len(window))
		}
	}
	return most
}

// whileCold counts the requests that reach engines while they are cold.
func (sim *coldSim) whileCold() int {
	n := 0
	for id, list := range sim.colds {
		for _, at := range list {
			n += sim.between(id, at.Sub(start), at.Add(coldTestTime).Sub(start))
		}
	}
	return n
}

func (sim *coldSim) check(t interface{ Errorf(string, ...any) }, grace time.Duration) {
	for id := range sim.colds {
		if n, allowed := sim.worst(id, grace), int(coldOvershoot*sim.rate+coldSlack); n > allowed {
			t.Errorf("%s got %d requests in a second while cold, at most %d are allowed", id, n, allowed)
		}
	}
}

// Guards against a data centre that crashes again as it returns: each entry connects at
// once and fills the slots of its upstreams, which bear few requests while they are cold.
func TestDataCentreReturnsCold(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name             string
		entries, engines int
		load             float64
		off              time.Duration
	}{
		{"6 entries, off for 6 s", 6, 9, 0.8, 6 * time.Second},
		{"12 entries, off for 2 s", 12, 9, 0.8, 2 * time.Second},
		{"60 entries in cells, off for 6 s", 60, 30, 0.8, 6 * time.Second},
		{"60 entries in cells, off for 2 s", 60, 30, 0.8, 2 * time.Second},
		{"400 entries in cells, off for 2 s", 400, 102, 0.8, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var dc []int
			for n := 0; n < tt.engines; n += 3 {
				dc = append(dc, n)
			}
			run := func(rate float64) *coldSim {
				sim := newColdSim(tt.entries, tt.engines, 6, 3, rate)
				at := tt.off + time.Second
				sim.start(coldStart{dc, at, tt.off}, time.Second)
				sim.load(tt.load*capacity*float64(tt.engines)/9, 0, at+coldTestTime)
				sim.run(at + coldTestTime + time.Second)
				return sim
			}
			sim := run(coldTestRate)
			sim.check(t, 0)
			g := &sim.counts
			t.Logf("in time %.3f %.3f %.3f; refused %v of %v; %d requests at cold engines", g.onTimeShare(0), g.onTimeShare(1), g.onTimeShare(2), g.refused, g.requests, sim.whileCold())
			if n, want := sim.whileCold(), int(0.3*coldTestRate*coldTestTime.Seconds())*len(dc); n < want {
				t.Errorf("%d requests at the %d cold engines, want %d: their rate is not used", n, len(dc), want)
			}
			if tt.entries > 100 {
				return // a second run would take too long
			}
			free := run(0)
			if got, want := g.onTimeShare(0), free.counts.onTimeShare(0)-0.05; got < want {
				t.Errorf("%.3f of the highest rank in time, want %.3f", got, want)
			}
		})
	}
}

// coldPlan is a generated run of entries with engines that turn cold.
type coldPlan struct {
	entries, engines int
	seed             uint64
	load, rate       float64
	starts           []coldStart
	loss, double     float64
	delay, write     time.Duration
	disturbances     []disturbance
}

func drawColdPlan(t *rapid.T) coldPlan {
	p := coldPlan{
		entries: rapid.SampledFrom([]int{1, 2, 5, 12, 13, 30}).Draw(t, "entries"), seed: rapid.Uint64().Draw(t, "seed"),
		load: rapid.Float64Range(0.3, 1.2).Draw(t, "load"), rate: rapid.SampledFrom([]float64{1, 4, 12, 30}).Draw(t, "rate"),
		loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), double: rapid.Float64Range(0, 0.3).Draw(t, "double"),
		delay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay-ms")) * time.Millisecond,
		write: time.Duration(rapid.SampledFrom([]int{0, 20, 400}).Draw(t, "write-ms")) * time.Millisecond,
	}
	p.engines = max(9, p.entries/12*6)
	off := time.Duration(rapid.SampledFrom([]int{0, 1500, 2500, 5000}).Draw(t, "off-ms")) * time.Millisecond
	dc := rapid.IntRange(0, 2).Draw(t, "data-centre")
	var list []int
	for n := dc; n < p.engines; n += 3 {
		list = append(list, n)
	}
	if rapid.Bool().Draw(t, "one-engine") {
		list = list[:1]
	}
	p.starts = append(p.starts, coldStart{list, 5500 * time.Millisecond, off})
	for range rapid.IntRange(0, 4).Draw(t, "disturbances") {
		p.disturbances = append(p.disturbances, disturbance{
			kind: rapid.SampledFrom([]string{freeze, restart, partition, cutOff, added}).Draw(t, "kind"), entry: rapid.IntRange(0, p.entries-1).Draw(t, "entry"),
			at:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "at-ms")) * time.Millisecond,
			span: time.Duration(rapid.IntRange(100, 6000).Draw(t, "span-ms")) * time.Millisecond,
		})
	}
	return p
}

const (
	cutOff = "cut-off" // an entry that the store does not answer
	added  = "added"   // an entry that starts; the others learn its name within listLag
	// listLag is shorter than the interval of the lists, which is 15 s at most, as the run.
	listLag = 2 * time.Second
)

// grace is the time from which the bound holds: entries learn from the registration alone
// that an engine turned cold which could be reached all the time.
func (p coldPlan) grace() time.Duration {
	if p.starts[0].off > 0 {
		return 0
	}
	return registrationLag + time.Second
}

func (p coldPlan) run() *coldSim {
	sim := newColdSim(p.entries, p.engines, coldSlots, p.seed, p.rate)
	r := rand.New(rand.NewPCG(p.seed, 9))
	sim.deliver = limitPlan{loss: p.loss, double: p.double, delay: p.delay, disturbances: p.disturbances}.deliver(sim.simulation, r)
	if p.write > 0 {
		sim.writeDelay = func() time.Duration { return time.Duration(r.Float64() * float64(p.write)) }
	}
	for _, c := range p.starts {
		sim.start(c, time.Second)
	}
	for _, d := range p.disturbances {
		// The first entry always serves.
		sim.dead[d.entry] = sim.dead[d.entry] || d.kind == added && d.entry > 0
	}
	for i := range sim.entries {
		sim.join(i)
	}
	for _, d := range p.disturbances {
		sim.after(d.at, func(now time.Time) {
			switch d.kind {
			case freeze:
				sim.frozen[d.entry] = now.Add(d.span)
			case restart:
				sim.restartCold(d.entry, p.seed+uint64(d.at))
			case added:
				sim.add(d.entry, p.seed+uint64(d.at))
			case cutOff:
				if p.starts[0].off > 0 { // else nothing shows it that an engine is cold
					sim.cut[d.entry] = now.Add(d.span)
				}
			}
		})
	}
	sim.load(p.load*capacity*float64(p.engines)/9, 2*time.Second, 10*time.Second)
	return sim
}

// add starts an entry that was not there. It keeps its cell: a fleet whose number of cells
// changes is not simulated.
func (sim *coldSim) add(i int, seed uint64) {
	if !sim.dead[i] {
		return
	}
	sim.dead[i] = false
	sim.restartCold(i, seed)
	for k := range sim.entries {
		sim.after(time.Duration(sim.r.Float64()*float64(listLag)), func(time.Time) { sim.join(k) })
	}
}

// restartCold replaces an entry by a new process, which reads the store's list.
func (sim *coldSim) restartCold(i int, seed uint64) {
	old := sim.entries[i]
	s := &Scheduler{Name: old.Name, DataCentre: old.DataCentre, Start: seed, Rand: rand.New(rand.NewPCG(seed, 1)), Cell: old.Cell, Cells: old.Cells}
	sim.entries[i] = s
	for id, r := range sim.known[i] {
		if list := sim.colds[id]; len(list) > 0 {
			r.ColdFor = max(list[len(list)-1].Add(coldTestTime).Sub(sim.now), 0)
		}
		sim.known[i][id] = r
	}
	sim.setUpstreams(i)
	for id, r := range sim.known[i] {
		r.ColdFor = 0
		sim.known[i][id] = r
	}
	sim.after(time.Second, func(time.Time) { sim.join(i) })
}

// Guards against the same in a large fleet, of which one run takes too long for many.
func TestColdInLargeFleet(t *testing.T) {
	t.Parallel()
	p := coldPlan{entries: 400, engines: 102, seed: 5, load: 0.8, rate: coldTestRate, loss: 0.2, double: 0.1, delay: 200 * time.Millisecond, write: 300 * time.Millisecond}
	c := coldStart{at: 5 * time.Second, off: 2 * time.Second}
	for n := 1; n < p.engines; n += 3 {
		c.engines = append(c.engines, n)
	}
	p.starts = []coldStart{c}
	r := rand.New(rand.NewPCG(p.seed, 4))
	for i := range 60 {
		p.disturbances = append(p.disturbances, disturbance{
			kind: []string{freeze, restart, cutOff, added}[i%4], entry: r.IntN(p.entries),
			at:   time.Duration(1500+r.IntN(5500)) * time.Millisecond,
			span: time.Duration(300+r.IntN(3000)) * time.Millisecond,
		})
	}
	sim := p.run()
	sim.run(9 * time.Second)
	sim.check(t, p.grace())
	if n := sim.whileCold(); n < 100 {
		t.Errorf("%d requests at cold engines, want a part of their rate", n)
	}
}

// Guards against more requests than a cold upstream bears, in any second and from all
// entries together, with lost, late and doubled messages, partitions, entries that freeze,
// restart or do not reach the store, and requests that are written late.
func TestColdProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		p := drawColdPlan(rt)
		sim := p.run()
		sim.run(10 * time.Second)
		sim.check(rt, p.grace())
	})
}
