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
