package schedule

import (
	"testing"
	"time"
)

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
