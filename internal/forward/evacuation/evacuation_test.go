package evacuation

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

func begun(name string, era, revision uint64) ward.Evacuation {
	return ward.Evacuation{DataCentre: name, Revision: ward.StampRevision(era, revision)}
}

func ended(name string, era, revision uint64) ward.Evacuation {
	e := begun(name, era, revision)
	e.Ended = true
	return e
}

// TestListOfRestoredStore guards against an evacuation that is forgotten as a store that
// returned from an older copy does not list it yet.
func TestListOfRestoredStore(t *testing.T) {
	cases := []struct {
		name  string
		after func(s *Set)
		at    time.Duration
		want  bool
	}{
		{"list of the same era without it", func(s *Set) { s.ApplyList(nil, ward.StampRevision(1, 60), start) }, 0, false},
		{"older list without it", func(s *Set) { s.ApplyList(nil, ward.StampRevision(1, 40), start) }, time.Minute, true},
		{"restored store, within the grace", func(s *Set) { s.ApplyList(nil, ward.StampRevision(2, 40), start) }, rewriteGrace - 1, true},
		{"restored store, after the grace", func(s *Set) { s.ApplyList(nil, ward.StampRevision(2, 40), start) }, rewriteGrace, false},
		{"restored store, written again", func(s *Set) {
			s.ApplyList(nil, ward.StampRevision(2, 40), start)
			s.Apply([]ward.Evacuation{begun("a", 2, 41)})
		}, time.Minute, true},
		{"restored store, removed", func(s *Set) { s.Apply([]ward.Evacuation{ended("a", 2, 41)}) }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Set
			s.Apply([]ward.Evacuation{begun("a", 1, 50)})
			c.after(&s)
			s.Sweep(start.Add(c.at))
			if s.Active("a") != c.want {
				t.Errorf("evacuated: %v, want %v", s.Active("a"), c.want)
			}
		})
	}
}

// TestEntriesAgree generates changes that reach up to 400 entries in any order, some twice and some
// only through a peer: all must hold the newest change of each data centre.
func TestEntriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]Set, rapid.SampledFrom([]int{1, 2, 8, 80, 400}).Draw(t, "entries"))
		newest := make(map[string]ward.Evacuation)
		var log []ward.Evacuation
		for revision := range uint64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			e := begun(fmt.Sprint("dc-", rapid.IntRange(0, 2).Draw(t, "data-centre")), 1, revision+1)
			e.Ended = rapid.Bool().Draw(t, "ended")
			log = append(log, e)
			newest[e.DataCentre] = e
		}
		seed := rapid.Permutation(log).Draw(t, "order")
		for i := range entries {
			for k := range seed {
				if e := seed[(i+k)%len(seed)]; (i+k)%3 != 0 { // a third of the changes is lost
					entries[i].Apply([]ward.Evacuation{e, e})
				}
			}
		}
		entries[0].Apply(log)
		for i := range entries {
			entries[i].Apply(entries[0].All())
			for name, want := range newest {
				if entries[i].Active(name) == want.Ended {
					t.Fatalf("entry %d: %s evacuated: %v, newest change %+v", i, name, entries[i].Active(name), want)
				}
			}
			if !slices.Equal(entries[i].All(), entries[0].All()) {
				t.Fatalf("entry %d holds %v, entry 0 %v", i, entries[i].All(), entries[0].All())
			}
		}
	})
}
