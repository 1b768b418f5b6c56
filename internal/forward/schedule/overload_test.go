package schedule

import (
	"testing"
	"time"
)

// heldFraction is the fraction of its time after which a refused request counts as
// held: its caller has too little left to come back.
const heldFraction = 0.75

// TestLastingOverload loads a fleet beyond its capacity for long: no rank is starved,
// the ranks are served in their order, and a request that can't be served is told so
// while its caller can still come back.
func TestLastingOverload(t *testing.T) {
	tests := []struct {
		name string
		load float64
	}{
		{"1.5 times the capacity", 1.5},
		{"twice the capacity", 2},
		{"three times the capacity", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(8, 9, 6, 4)
			sim.load(tt.load*capacity, 0, 15*time.Second)
			sim.run(20 * time.Second)
			g := &sim.counts
			var served [3]float64
			all, requests, refused := 0, 0, 0
			for rank := range served {
				n := g.onTime[rank] + g.late[rank]
				served[rank] = float64(n) / float64(g.requests[rank])
				all += n
				requests += g.requests[rank]
				refused += g.refused[rank]
			}
			t.Logf("served %.3f, in time %.3f %.3f %.3f, held %d of %d refused", served,
				g.onTimeShare(0), g.onTimeShare(1), g.onTimeShare(2), g.held, refused)
			for rank := range served {
				// A kind counts as starved below a quarter of what all get.
				if served[rank] < 0.25*float64(all)/float64(requests) {
					t.Errorf("rank %d is starved: %.3f served", rank, served[rank])
				}
				if rank > 0 && served[rank] > served[rank-1]+0.05 {
					t.Errorf("rank %d is served more often than the rank above it: %.3f", rank, served)
				}
			}
			if g.held > refused/20 {
				t.Errorf("%d of %d refused requests were held for most of their time", g.held, refused)
			}
		})
	}
}

// TestTimelyDemandPrecedesLate frees a slot while a peer's request can still be in
// time and an own one of the same rank can't, and the other way round.
func TestTimelyDemandPrecedesLate(t *testing.T) {
	tests := []struct {
		name    string
		arrived time.Duration // of the own job, before now
		demand  Demand
		granted bool
	}{
		{"own late, peer in time", time.Second, Demand{Service: "menus", Rank: [2]int{0, 1}, Count: 1, Slack: 300 * time.Millisecond}, true},
		{"own in time, peer late", 0, Demand{Service: "menus", Rank: [2]int{0, 1}, Count: 1, Slack: -time.Second, Late: true}, false},
		{"own late, peer late and of a higher rank", time.Second, Demand{Service: "menus", Rank: [2]int{0, 0}, Count: 1, Slack: -time.Second, Late: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(1, 1))
			first := dispatched(t, s.Arrive(job(1, 0, start.Add(-2*time.Second)), start.Add(-2*time.Second)))
			s.Arrive(job(2, 1, start.Add(-tt.arrived)), start.Add(-tt.arrived))
			s.UpdatePeer("entry-2", PeerState{Demand: []Demand{tt.demand}}, start)
			granted := false
			for _, a := range s.Done(first.Job.ID, OutcomeOK, start) {
				granted = granted || a.GrantTo == "entry-2"
			}
			if granted != tt.granted {
				t.Errorf("granted %v, want %v", granted, tt.granted)
			}
		})
	}
}

func refused(actions []Action, id uint64) bool {
	for _, a := range actions {
		if a.Job != nil && a.Job.ID == id && a.Upstream == nil {
			return true
		}
	}
	return false
}

// Guards against a late request being held until it expires since others keep arriving
// that go before it: its caller has no time left to come back.
func TestLateJobIsRefusedOnceItsWaitGrows(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	dispatched(t, s.Arrive(job(1, 0, start), start))
	s.service("menus").departureInterval = 0.5 // one job leaves every half second
	j := job(2, 1, start)
	if refused(s.Arrive(j, start), j.ID) {
		t.Fatal("the job was refused with nothing ahead")
	}
	now := start.Add(700 * time.Millisecond)
	if refused(s.Tick(now), j.ID) {
		t.Fatal("the job was refused with nothing ahead")
	}
	gone := false
	for id := uint64(100); id < 112; id++ {
		p := job(id, 0, now)
		p.Due, p.Expires, p.Deadline = now.Add(50*time.Second), now.Add(time.Minute), now.Add(time.Minute)
		gone = gone || refused(s.Arrive(p, now), j.ID)
	}
	now = start.Add(time.Second)
	if !gone && !refused(s.Tick(now), j.ID) {
		t.Errorf("12 jobs are ahead and one leaves every half second, but the job still waits %v before it expires", j.Expires.Sub(now))
	}
}
