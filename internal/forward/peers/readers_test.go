package peers

import (
	"testing"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

// TestReadersWithoutStore simulates a cell in which the store is unreachable for
// some entries, among them the first. At any time some other entry has to follow
// it, and once settled at most storeReaders of them.
func TestReadersWithoutStore(t *testing.T) {
	const maxAge = 1500 * time.Millisecond
	cases := []struct {
		name        string
		unreachable []int
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
			unreachable := make([]bool, len(sets))
			for _, i := range c.unreachable {
				unreachable[i] = true
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
							s.Receive(m, now)
						}
					}
				}
				reading := 0
				for i, s := range sets {
					if s.FollowsStore(now, maxAge) && !unreachable[i] {
						reading++
						answered[i] = now
					}
				}
				if step < 20 {
					continue // until then the initial answers count as fresh
				}
				if reading == 0 {
					t.Fatalf("after %s nobody follows the store", now.Sub(start))
				}
				if settled := step > 50; settled && reading > storeReaders {
					t.Fatalf("after %s %d entries follow the store", now.Sub(start), reading)
				}
			}
		})
	}
}
