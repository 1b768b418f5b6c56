package replicas

import (
	"fmt"
	"slices"
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
	s.Put(replica("b"), 10, start)
	if lapsed, _ := s.Sweep(start.Add(MissingGrace)); len(lapsed) != 0 {
		t.Errorf("%v are removed after their return", lapsed)
	}
	s.ApplyList([]Entry{{Replica: replica("a"), Revision: 1}}, 11, start)
	if lapsed, _ := s.Sweep(start.Add(MissingGrace)); len(lapsed) != 1 || lapsed[0] != "b" {
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
	if lapsed, _ := other.Sweep(start.Add(MissingGrace)); len(lapsed) != 1 || lapsed[0] != "b" {
		t.Errorf("%v are removed at the time when the reader removes b", lapsed)
	}
}

func TestRestartIsAChange(t *testing.T) {
	var s Set
	r := replica("a")
	r.Born = 1
	s.Put(r, 1, start)
	r.Born = 2
	if !s.Put(r, 2, start) {
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
				to.Put(replica(c.id), c.rev, start)
			}
		}
		for _, c := range order {
			if c.removed {
				s.Remove(c.id, c.rev)
			} else {
				s.Put(replica(c.id), c.rev, start)
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

// TestStoreReturnsFromOlderCopy applies lists of an older copy of the store: an
// upstream that has left stays out for a while, one that drains goes on draining, and
// one that the copy lacks is kept until it can have registered again.
func TestStoreReturnsFromOlderCopy(t *testing.T) {
	draining := replica("drains")
	draining.Draining = true
	var s Set
	list := []Entry{
		{Replica: replica("left"), Revision: ward.StampRevision(1, 2)},
		{Replica: replica("drains"), Revision: ward.StampRevision(1, 3)},
	}
	s.ApplyList(list, ward.StampRevision(1, 3), start)
	s.Remove("left", ward.StampRevision(1, 4))
	s.Put(draining, ward.StampRevision(1, 5), start)
	s.Put(replica("new"), ward.StampRevision(1, 6), start)
	for i := range list {
		_, own := ward.SplitRevision(list[i].Revision)
		list[i].Revision = ward.StampRevision(2, own)
	}
	s.ApplyList(list, ward.StampRevision(2, 3), start)
	tests := []struct {
		name  string
		after time.Duration
		want  []string
	}{
		{"at once", 0, []string{"drains", "new"}},
		{"after the time of lapsed registrations", MissingGrace, []string{"drains"}},
		{"after the time of registrations that are gone", returnGrace, []string{"drains", "left"}},
	}
	for _, tt := range tests {
		s.Sweep(start.Add(tt.after))
		var got []string
		for _, e := range s.All(start) {
			got = append(got, e.ID)
			if e.ID == "drains" && !e.Draining {
				t.Errorf("%s: an upstream that drains is ready again", tt.name)
			}
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	s.Put(replica("drains"), ward.StampRevision(2, 9), start)
	if s.All(start)[0].Draining {
		t.Error("a registration of the present era is not believed")
	}
}

// TestColdRegistrations guards against renewed registrations that count as changes while
// their remaining time counts down, and against one that forgets a cold upstream.
func TestColdRegistrations(t *testing.T) {
	cold := func(ms int) ward.Replica {
		r := replica("a")
		r.ColdFor = time.Duration(ms) * time.Millisecond
		return r
	}
	tests := []struct {
		name     string
		after    time.Duration
		ms       int
		revision uint64
		changed  bool
		left     time.Duration
	}{
		{"first", 0, 3000, 1, true, 3 * time.Second},
		{"renewed on time", 1200 * time.Millisecond, 1800, 2, false, 1800 * time.Millisecond},
		{"the same from a peer, late", 1500 * time.Millisecond, 1800, 2, false, 1500 * time.Millisecond},
		{"cold again", 2400 * time.Millisecond, 3000, 3, true, 3 * time.Second},
		{"warm", 5400 * time.Millisecond, 0, 4, false, 0},
		{"renewed while warm", 7 * time.Second, 0, 5, false, 0},
	}
	var s Set
	for _, tt := range tests {
		now := start.Add(tt.after)
		if got := s.Put(cold(tt.ms), tt.revision, now); got != tt.changed {
			t.Errorf("%s: changed %t, want %t", tt.name, got, tt.changed)
		}
		if got := s.All(now)[0].ColdFor; got != tt.left {
			t.Errorf("%s: cold for %v, want %v", tt.name, got, tt.left)
		}
	}
}
