package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// Guards against a leaving upstream without a limit that ends the entry: it was asked for
// its limit when all others had one.
func TestLimitBesideLeavingUpstream(t *testing.T) {
	list := engines(2, 1)
	s := newScheduler("entry-1", list)
	a := dispatched(t, s.Arrive(job(1, 0, start), start))
	s.ObserveLimit(a.Job.ID, ward.RateLimit{Limited: true, PerSecond: 1}, start)
	for i := range list {
		list[i].Draining = list[i].ID != a.Upstream.ID
	}
	s.SetUpstreams(list, start)
	for id := uint64(2); id < 6; id++ {
		s.Arrive(job(id, 0, start), start)
	}
	later := start.Add(3 * time.Second)
	s.Tick(later)
	if n := s.Waiting(); n > 4 {
		t.Errorf("%d requests wait, 4 arrived", n)
	}
}

// Guards against entries of a cell that divide its slots differently, since some of them
// also use an upstream of another cell of which they hold the limit.
func TestSlotsBesideHeldLimit(t *testing.T) {
	sim := newFleetWithCells(60, 30, 11)
	for i := range 30 {
		sim.engines[engineName(i)].limit = limitBetween(2, 0, time.Minute)
	}
	sim.load(200, 0, 3*time.Second)
	sim.run(3 * time.Second)
	assigned := make(map[string]int)
	held := 0
	for i, s := range sim.entries {
		s.assignServices(sim.now) // as after a change of a registration
		for _, v := range s.services {
			for _, u := range v.upstreams {
				if u.held {
					held++
				} else {
					assigned[sim.cells[i]+" "+u.ID] += u.assigned
				}
			}
		}
	}
	if held == 0 {
		t.Error("no entry holds the limit of another cell's upstream")
	}
	for name, n := range assigned {
		if n != sim.slots {
			t.Errorf("%s: %d slots are assigned, it has %d", name, n, sim.slots)
		}
	}
}

// Guards against limits that do not hold in a fleet with cells if messages are lost or late
// and entries freeze.
func TestLimitInDisturbedFleetWithCells(t *testing.T) {
	const (
		entries, engines, limited = 60, 30, 6
		rate                      = 2.0
		from, to                  = time.Second, 12 * time.Second
		loss                      = 0.3
		maxDelay                  = 200 * time.Millisecond
		freezes, frozenFor        = 5, 3 * time.Second
	)
	for seed := range uint64(2) {
		r := rand.New(rand.NewPCG(seed, 3))
		sim := newFleetWithCells(entries, engines, seed)
		for i := range limited {
			sim.engines[engineName(i)].limit = limitBetween(rate, from, to)
		}
		sim.deliver = func(int, int) []time.Duration {
			if r.Float64() < loss {
				return nil
			}
			return []time.Duration{time.Duration(r.Float64() * float64(maxDelay))}
		}
		for k := range freezes {
			i := r.IntN(entries)
			sim.after(time.Duration(2+2*k)*time.Second, func(now time.Time) { sim.frozen[i] = now.Add(frozenFor) })
		}
		sim.load(300, 0, to)
		sim.run(to)
		for i := range limited {
			id := engineName(i)
			if n := sim.excess(id, rate, from, to); n > 0 {
				t.Errorf("seed %d: %s with a limit of %v a second got %d requests too many in %v", seed, id, rate, n, limitWindow)
			}
			for k, s := range sim.entries {
				if !s.byID[id].limited() {
					t.Errorf("seed %d: entry %d doesn't know the limit of %s", seed, k, id)
				}
			}
		}
	}
}
