package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

func fleetOf(n, centres int) []ward.ForwardEntry {
	var list []ward.ForwardEntry
	for i := range n {
		list = append(list, ward.ForwardEntry{Name: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprint("dc-", i%centres), Listen: fmt.Sprint("10.0.0.", i)})
	}
	return list
}

// TestCellOf checks that every entry computes the same cells, and that none is
// larger than maxCellSize or spans two data centres.
func TestCellOf(t *testing.T) {
	for _, n := range []int{1, 6, 8, 12, 13, 65, 70, 300, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all := fleetOf(n, 3)
			cells, seen := make(map[string]string), make(map[string]string)
			for _, self := range all {
				r := rand.New(rand.NewPCG(uint64(n), 1))
				shuffled := append([]ward.ForwardEntry(nil), all...)
				r.Shuffle(n, func(i, k int) { shuffled[i], shuffled[k] = shuffled[k], shuffled[i] })
				c := CellOf(shuffled, self)
				for _, e := range all {
					if local := e.DataCentre == self.DataCentre && e.Name != self.Name; slices.Contains(c.Local, e.Listen) != local {
						t.Fatalf("%s at %s: local entry %v, want %v", e.Name, self.Name, !local, local)
					}
				}
				if c.FleetSize != n {
					t.Fatalf("fleet of %d, want %d", c.FleetSize, n)
				}
				if n <= maxUndividedFleet {
					if c.Count != 0 || len(c.Members) != n {
						t.Fatalf("%d entries are divided into cells: %+v", n, c)
					}
					continue
				}
				if len(c.Members) > maxCellSize || c.Index >= c.Count {
					t.Fatalf("cell %d of %d with %d members", c.Index, c.Count, len(c.Members))
				}
				id := fmt.Sprint(self.DataCentre, c.Index)
				known := len(c.Members)
				for _, o := range c.Others {
					known += len(o.Members)
					seen[o.Members[0].Name] = fmt.Sprint(o)
				}
				if own := fmt.Sprint(OtherCell{DataCentre: self.DataCentre, Members: c.Members}); known != n || seen[c.Members[0].Name] != "" && seen[c.Members[0].Name] != own {
					t.Fatalf("%s knows %d entries of %d; its cell is %s to others, %s to itself", self.Name, known, n, seen[c.Members[0].Name], own)
				}
				for _, m := range c.Members {
					if m.DataCentre != self.DataCentre {
						t.Fatalf("%s and %s share a cell", m.Name, self.Name)
					}
					if other, ok := cells[m.Name]; ok && other != id {
						t.Fatalf("%s is in cells %s and %s", m.Name, other, id)
					}
					cells[m.Name] = id
				}
			}
		})
	}
}

// TestFollowsStore checks that a few entries of a cell follow the store, and that
// others do when the store answers none of them.
func TestFollowsStore(t *testing.T) {
	now := time.Unix(1000, 0)
	all := fleetOf(30, 1)
	cases := []struct {
		name string
		self string
		age  int64
		want bool
	}{
		{"the first", "entry-000", 100, true},
		{"the second", "entry-003", 100, false},
		{"the second, and the store answers nobody", "entry-003", 3000, true},
		{"the third", "entry-006", 100, false},
		{"the third, and the store answers nobody", "entry-006", 3000, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Set{Self: c.self}
			cell := CellOf(all, ward.ForwardEntry{Name: c.self, DataCentre: "dc-0"})
			s.SetCell(cell)
			for _, e := range cell.Members {
				s.Receive(peerstate.Message{Name: e.Name, Listen: e.Listen, Start: 1, Sequence: 1, StoreAge: c.age}, now)
			}
			if got := s.FollowsStore(now, 1500*time.Millisecond); got != c.want {
				t.Errorf("reads: %v", got)
			}
		})
	}
	whole := Set{Self: "entry-006"}
	if !whole.FollowsStore(now, time.Second) {
		t.Error("an entry of a small fleet does not read the store")
	}
}

// TestFollowsStoreWhenBehind checks that an entry follows the store when it lacks
// versions of its peers for too long, for example because they run another version
// of the program and it cannot fetch from them.
func TestFollowsStoreWhenBehind(t *testing.T) {
	start := time.Unix(1000, 0)
	all := fleetOf(30, 1)
	s := Set{Self: "entry-006"}
	cell := CellOf(all, ward.ForwardEntry{Name: s.Self, DataCentre: "dc-0"})
	s.SetCell(cell)
	cases := []struct {
		name              string
		after             time.Duration
		config, upstreams uint64
		want              bool
	}{
		{"has both versions", 0, 5, 50, false},
		{"a version appears", time.Second, 4, 50, false},
		{"still missing", 1400 * time.Millisecond, 4, 50, false},
		{"missing for long", 1600 * time.Millisecond, 4, 50, true},
		{"caught up", 1700 * time.Millisecond, 5, 50, false},
		{"upstreams are behind", 2 * time.Second, 5, 40, false},
		{"upstreams advance slowly", 2400 * time.Millisecond, 5, 49, false},
		{"upstreams are behind for long", 2600 * time.Millisecond, 5, 49, true},
	}
	for i, c := range cases {
		now := start.Add(c.after)
		for _, e := range cell.Members {
			m := peerstate.Message{Name: e.Name, Listen: e.Listen, Start: 1, Sequence: uint64(i + 1), StoreAge: 10, Documents: ward.DocumentVersions{Config: 5, Replicas: 50}}
			s.Receive(m, now)
			s.TrackLag(m, ward.DocumentVersions{Config: c.config, Replicas: c.upstreams}, now)
		}
		if got := s.FollowsStore(now, time.Second); got != c.want {
			t.Errorf("%s: reads %v", c.name, got)
		}
	}
}

func TestSetCellDropsNonMembers(t *testing.T) {
	s := Set{Self: "entry-000"}
	c := CellOf(fleetOf(65, 1), ward.ForwardEntry{Name: "entry-000", DataCentre: "dc-0"})
	s.SetCell(c)
	members := 0
	for _, e := range fleetOf(65, 1) {
		if s.IsMember(e.Name) {
			members++
		}
	}
	if members != len(c.Members) {
		t.Errorf("%d entries are members, the cell has %d", members, len(c.Members))
	}
}
