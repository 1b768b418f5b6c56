package peers

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/forward/peerstate"
)

// TestLargeFleetStarts starts fleets of which no entry knows its cell yet, as when
// the store is slow or out: what an entry sends in a round does not grow with the
// fleet, while entries still find others by the seeds.
func TestLargeFleetStarts(t *testing.T) {
	const (
		rounds   = 16 // of one second
		interval = 60 * time.Millisecond
		seeds    = 3
	)
	for _, n := range []int{6, 12, 30, 195, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			now := time.Unix(1000, 0)
			sets := make([]Set, n)
			index := make(map[string]int, n)
			for i := range sets {
				sets[i].Self = fmt.Sprintf("entry-%03d", i)
				index[fmt.Sprint("10.0.0.", i)] = i
				for k := range min(seeds, n) {
					if k != i {
						sets[i].AddCandidate(fmt.Sprint("10.0.0.", k), now)
					}
				}
			}
			for round := range rounds {
				now = now.Add(interval)
				for i := range sets {
					to := sets[i].Targets(now)
					if len(to) > maxUnassigned {
						t.Fatalf("round %d: entry %d sends to %d of %d", round, i, len(to), n)
					}
					m := peerstate.Message{Name: sets[i].Self, Start: 1, Sequence: uint64(round + 1), Listen: fmt.Sprint("10.0.0.", i), Peers: sets[i].AliveAddresses(now)}
					if len(m.Peers) > maxUnassigned {
						t.Fatalf("round %d: entry %d lists %d addresses", round, i, len(m.Peers))
					}
					for _, a := range to {
						sets[index[a]].Receive(m, now)
					}
				}
			}
			if n > maxUndividedFleet {
				return
			}
			for i := range sets {
				if got := sets[i].Alive(now); got != n-1 {
					t.Errorf("entry %d knows %d of %d others", i, got, n-1)
				}
			}
		})
	}
}
