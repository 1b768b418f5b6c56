package view

import (
	"testing"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
)

// TestOrdersAfterReturn gives orders of a store that has returned from an older copy:
// neither an order that was replaced before nor one that is written again is a new
// one, so no roll-out begins again.
func TestOrdersAfterReturn(t *testing.T) {
	order := func(target string, era, revision uint64) ward.Rollout {
		return ward.Rollout{Service: "s", Target: target, Within: time.Minute, Revision: ward.StampRevision(era, revision)}
	}
	v := &View{Log: logr.Discard(), Changed: func() {}}
	tests := []struct {
		name  string
		given ward.Rollout
		want  ward.Rollout
	}{
		{"first order", order("v2", 1, 40), order("v2", 1, 40)},
		{"next order", order("v3", 1, 57), order("v3", 1, 57)},
		{"older order, held by the copy", order("v2", 2, 40), order("v3", 1, 57)},
		{"present order, written again", order("v3", 2, 45), order("v3", 1, 57)},
		{"present order, from a peer that saw it before the return", order("v3", 1, 57), order("v3", 1, 57)},
		{"new order, under a revision that was given out before", order("v4", 2, 57), order("v4", 2, 57)},
	}
	for _, tt := range tests {
		v.Merge("entry-2", State{Rollouts: []ward.Rollout{tt.given}})
		got := v.Rollouts()
		if len(got) != 1 || got[0].Target != tt.want.Target || got[0].Revision != tt.want.Revision {
			t.Errorf("%s: %+v, want %s at %s", tt.name, got, tt.want.Target, ward.RevisionText(tt.want.Revision))
		}
	}
}

// TestOrderOfFreshEntry starts an entry after a return, which sees an order only as it
// was written again: once it has exchanged documents with its peers, both must know
// the order by the same revision.
func TestOrderOfFreshEntry(t *testing.T) {
	order := func(target string, era, revision uint64) ward.Rollout {
		return ward.Rollout{Service: "s", Target: target, Within: time.Minute, Revision: ward.StampRevision(era, revision)}
	}
	tests := []struct {
		name        string
		peer, fresh []ward.Rollout
		want        uint64
	}{
		{"written again", []ward.Rollout{order("v2", 1, 57), order("v2", 2, 45)}, []ward.Rollout{order("v2", 2, 45)}, ward.StampRevision(1, 57)},
		{"the peer has not seen it yet", []ward.Rollout{order("v2", 1, 57)}, []ward.Rollout{order("v2", 2, 45)}, ward.StampRevision(1, 57)},
		{"given again on purpose", []ward.Rollout{order("v2", 1, 57), order("v2", 2, 57), order("v2", 2, 70)}, []ward.Rollout{order("v2", 2, 70)}, ward.StampRevision(2, 70)},
		{"on purpose, and the peer has not seen the copy's", []ward.Rollout{order("v2", 1, 57), order("v2", 2, 70)}, []ward.Rollout{order("v2", 2, 57)}, ward.StampRevision(2, 70)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer, fresh := &View{Log: logr.Discard(), Changed: func() {}}, &View{Log: logr.Discard(), Changed: func() {}}
			peer.adoptRollouts(tt.peer, "store")
			fresh.adoptRollouts(tt.fresh, "store")
			exchange(t, peer, fresh)
			exchange(t, fresh, peer)
			for name, v := range map[string]*View{"peer": peer, "fresh entry": fresh} {
				if got := v.Rollouts(); len(got) != 1 || got[0].Revision != tt.want {
					t.Errorf("%s: %+v, want the order at %s", name, got, ward.RevisionText(tt.want))
				}
			}
			if peer.Versions().OlderThan(fresh.Versions()) || peer.Versions().OrdersDiffer(fresh.Versions()) {
				t.Error("the entries still exchange documents")
			}
		})
	}
}

// exchange passes on the documents of from that to lacks.
func exchange(t *testing.T, from, to *View) {
	t.Helper()
	_, packed, err := from.Newer(to.Versions())
	if err != nil {
		t.Fatal(err)
	}
	var s State
	if len(packed) == 0 {
		return
	}
	if err := packed.Open(&s); err != nil {
		t.Fatal(err)
	}
	to.Merge("peer", s)
}
