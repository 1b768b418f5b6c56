package gate

import (
	"slices"
	"testing"

	"agateward/internal/forward/schedule"
	"agateward/ward"
)

// TestHomesBindRelay guards against bodies that an entry passes on to one outside the homes
// of the request and its own region, or to one of which the data centre is not known.
func TestHomesBindRelay(t *testing.T) {
	places := map[string]string{"in-a": "a", "in-b": "b", "in-c": "c", "in-d": "d"}
	g := &Gate{sched: schedule.Scheduler{DataCentre: "a", Options: schedule.Options{Regions: map[string]string{"a": "north", "b": "north", "c": "south"}}}}
	g.Relay = &Relay{
		Entries:    func() []string { return []string{"in-a", "in-b", "in-c", "in-d", "unlisted"} },
		DataCentre: func(address string) string { return places[address] },
	}
	tests := []struct {
		name        string
		route, team []string
		want        []string
	}{
		{"no homes", nil, nil, nil},
		{"of the route", []string{"south"}, nil, []string{"in-a", "in-b", "in-c"}},
		{"of the team", nil, []string{"d"}, []string{"in-a", "in-b", "in-d"}},
		{"of both", []string{"south", "d"}, []string{"d", "north"}, []string{"in-a", "in-b", "in-d"}},
		{"nothing in common", []string{"south"}, []string{"d"}, []string{"in-a", "in-b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &call{gate: g, route: &ward.ForwardRoute{Homes: tt.route}, team: &ward.ForwardTeam{Homes: tt.team}}
			seen := make(map[string]bool)
			for range 200 {
				for _, address := range c.relayTargets() {
					seen[address] = true
					if tt.want != nil && !slices.Contains(tt.want, address) {
						t.Fatalf("the body may go to %s", address)
					}
				}
			}
			if want := max(len(tt.want), 2); len(seen) < want {
				t.Errorf("targets %v, want %d", seen, want)
			}
		})
	}
}
