package peers

import (
	"testing"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

// TestReadersThatTheStoreTurnsAway plays a cell in which the store turns the first
// entries away: others have to follow it all the while, and not all of them.
func TestReadersThatTheStoreTurnsAway(t *testing.T) {
	const fresh = 1500 * time.Millisecond
	cases := []struct {
		name string
		away []int
	}{
		{"both readers", []int{0, 1}},
		{"one reader", []int{0}},
		{"the readers and the next one", []int{0, 1, 2}},
		{"every second one", []int{0, 2, 4, 6, 8}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := fleetOf(20, 1)
			cell := CellOf(all, all[0])
			sets := make([]*Set, len(cell.Members))
			answered := make([]time.Time, len(sets))
			away := make([]bool, len(sets))
			for _, i := range c.away {
				away[i] = true
			}
			start := time.Unix(1000, 0)
			for i, e := range cell.Members {
				sets[i] = &Set{Self: e.Name}
				sets[i].SetCell(CellOf(all, ward.ForwardEntry{Name: e.Name, DataCentre: e.DataCentre}))
				answered[i] = start
			}
			for step := range 100 {
				now := start.Add(time.Duration(step) * 100 * time.Millisecond)
				for i, e := range cell.Members {
					m := peerstate.Message{Name: e.Name, Listen: e.Listen, Start: 1, Sequence: uint64(step + 1), StoreAge: now.Sub(answered[i]).Milliseconds()}
					for k, s := range sets {
						if k != i {
							s.Hear(m, now)
						}
					}
				}
				reading := 0
				for i, s := range sets {
					if s.Reads(now, fresh) && !away[i] {
						reading++
						answered[i] = now
					}
				}
				if step < 20 {
					continue // the first answers are as old as the start
				}
				if reading == 0 {
					t.Fatalf("after %s nobody follows the store", now.Sub(start))
				}
				if settled := step > 50; settled && reading > readers {
					t.Fatalf("after %s %d entries follow the store", now.Sub(start), reading)
				}
			}
		})
	}
}
