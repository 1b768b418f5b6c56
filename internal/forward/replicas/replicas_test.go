package replicas

import (
	"fmt"
	"testing"
	"time"

	"agateward/ward"

	_ "agateward/internal/bench/seed"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func replica(id string) ward.Replica {
	return ward.Replica{ID: id, Service: "s", Address: id, Slots: 1}
}

func TestLapsedRegistrationReturns(t *testing.T) {
	var s Set
	s.ApplyList([]Entry{{Replica: replica("a"), Revision: 1}, {Replica: replica("b"), Revision: 2}}, 2, start)
	s.ApplyList([]Entry{{Replica: replica("a"), Revision: 1}}, 9, start)
	if s.Len() != 2 {
		t.Fatal("an upstream that is missing from a list is removed at once")
	}
	s.Put(replica("b"), 10)
	if lapsed := s.Sweep(start.Add(MissingGrace)); len(lapsed) != 0 {
		t.Errorf("%v are removed after their return", lapsed)
	}
	s.ApplyList([]Entry{{Replica: replica("a"), Revision: 1}}, 11, start)
	if lapsed := s.Sweep(start.Add(MissingGrace)); len(lapsed) != 1 || lapsed[0] != "b" {
		t.Errorf("%v are removed, want b", lapsed)
	}
}

// TestLapseReachesPeers checks that an entry that does not follow the store removes
// a lapsed upstream at the same time as the peer that reported the lapse.
func TestLapseReachesPeers(t *testing.T) {
	var reader, other Set
	list := []Entry{{Replica: replica("a"), Revision: 1}, {Replica: replica("b"), Revision: 2}}
	reader.ApplyList(list, 2, start)
	other.ApplyList(list, 2, start)
	reader.MarkMissing("b", 9, start)
	if reader.Revision <= other.Revision {
		t.Fatal("the revision does not show peers that the set changed")
	}
	now := start.Add(time.Second)
	other.Merge(reader.All(now), reader.Revision, now)
	if lapsed := other.Sweep(start.Add(MissingGrace)); len(lapsed) != 1 || lapsed[0] != "b" {
		t.Errorf("%v are removed at the time when the reader removes b", lapsed)
	}
}

func TestRestartIsAChange(t *testing.T) {
	var s Set
	r := replica("a")
	r.Born = 1
	s.Put(r, 1)
	r.Born = 2
	if !s.Put(r, 2) {
		t.Error("a restart under the same id is not reported as a change")
	}
}

// TestLastWriteWins applies changes in any order, some twice and some through a
// peer: the change of the highest revision decides for each upstream.
func TestLastWriteWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			id      string
			rev     uint64
			removed bool
		}
		var changes []change
		want := make(map[string]change)
		for rev := uint64(1); rev <= uint64(rapid.IntRange(1, 20).Draw(t, "changes")); rev++ {
			c := change{fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "id")), rev, rapid.Bool().Draw(t, "removed")}
			changes = append(changes, c)
			want[c.id] = c
		}
		order := rapid.Permutation(changes).Draw(t, "order")
		order = append(order, order[:rapid.IntRange(0, len(order)).Draw(t, "again")]...)
		var s, peer Set
		for i, c := range order {
			to := &s
			if i%3 == 0 {
				to = &peer
			}
			if c.removed {
				to.Remove(c.id, c.rev)
			} else {
				to.Put(replica(c.id), c.rev)
			}
		}
		for _, c := range order {
			if c.removed {
				s.Remove(c.id, c.rev)
			} else {
				s.Put(replica(c.id), c.rev)
			}
		}
		s.Merge(peer.All(start), peer.Revision, start)
		for id, c := range want {
			found := false
			for _, e := range s.All(start) {
				found = found || e.ID == id
			}
			if found == c.removed {
				t.Fatalf("%s: known %v, last change removed it: %v", id, found, c.removed)
			}
		}
	})
}
