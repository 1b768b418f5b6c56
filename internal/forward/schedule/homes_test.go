package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// TestHomesBindChoice guards against requests that reach an upstream outside their homes,
// when those are full, drain or lie in another data centre than the entry's cell, and by
// slots that peers grant.
func TestHomesBindChoice(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	tests := []struct {
		name   string
		cells  int
		homes  []string
		drains string // a data centre
		want   map[string]bool
		reason string
	}{
		{"none", 0, nil, "", map[string]bool{"a": true, "b": true, "c": true, "d": true}, ""},
		{"own region", 0, []string{"north"}, "", map[string]bool{"a": true, "b": true}, ""},
		{"another region", 0, []string{"south"}, "", map[string]bool{"c": true}, ""},
		{"a data centre without a region", 0, []string{"d"}, "", map[string]bool{"d": true}, ""},
		{"two", 0, []string{"south", "d"}, "", map[string]bool{"c": true, "d": true}, ""},
		{"the region of a listed data centre is not its name", 0, []string{"c"}, "", nil, ReasonNoUpstream},
		{"unknown", 0, []string{"east"}, "", nil, ReasonNoUpstream},
		{"nothing in common", 0, []string{}, "", nil, ReasonNoUpstream},
		{"homes drain", 0, []string{"south"}, "c", nil, ReasonNoUpstream},
		{"outside the cell", 2, []string{"south"}, "", map[string]bool{"c": true}, ""},
		{"in the cell", 2, []string{"north"}, "", map[string]bool{"a": true}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Cells: tt.cells, Options: Options{Regions: regions}}
			var list []ward.Replica
			for _, dc := range []string{"a", "b", "c", "d"} {
				for i := range 4 {
					id := fmt.Sprint(dc, i)
					list = append(list, ward.Replica{ID: id, Service: "menus", DataCentre: dc, Address: id, Slots: 2, Draining: dc == tt.drains})
				}
			}
			s.SetUpstreams(list, start)
			got := make(map[string]bool)
			note := func(actions []Action) {
				for _, a := range actions {
					if a.Reason != "" && a.Reason != tt.reason {
						t.Errorf("refused with %q, want %q", a.Reason, tt.reason)
					}
					if a.Upstream != nil && a.GrantTo == "" {
						got[a.Upstream.DataCentre] = true
					}
				}
			}
			for id := range uint64(60) {
				j := job(id+1, 0, start)
				j.Due, j.Expires, j.Homes = start.Add(time.Hour), start.Add(time.Hour), tt.homes
				note(s.Arrive(j, start))
			}
			for i, r := range list {
				note(s.ReceiveGrant("entry-2", r.ID, uint64(i+1), true, start))
			}
			for dc := range got {
				if !tt.want[dc] {
					t.Errorf("a request reached data centre %s", dc)
				}
			}
			if len(got) == 0 && tt.reason == "" {
				t.Error("no request was dispatched")
			}
		})
	}
}
