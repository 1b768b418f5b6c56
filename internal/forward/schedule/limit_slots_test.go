package schedule

import (
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
