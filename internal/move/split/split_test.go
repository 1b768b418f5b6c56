package split_test

import (
	"reflect"
	"testing"

	"agateward/internal/move/split"
	"agateward/ward"
)

func TestSplits(t *testing.T) {
	c := &ward.Config{
		Routes: []ward.Route{{Name: "r", Serves: "m", Version: "v1", Ticket: 1}},
		Moves:  []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 2}},
	}
	cancelled := &ward.Config{Routes: c.Routes, Moves: []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 3, Cancelled: true}}}
	state := func(state string, share float64) []ward.MoveState {
		return []ward.MoveState{{Move: "x", Ticket: 2, Revision: 3, State: state, Share: share}}
	}
	quarantines := []ward.Quarantine{{Serves: "m", Version: "v2", Move: "x", Ticket: 2}}
	old := []ward.Quarantine{{Serves: "m", Version: "v2", Move: "x", Ticket: 1}}
	tests := []struct {
		name        string
		c           *ward.Config
		states      []ward.MoveState
		quarantines []ward.Quarantine
		fleet       split.Fleet
		want        ward.Split
	}{
		{"no state", c, nil, nil, split.Fleet{}, ward.Split{Route: "r", Version: "v1"}},
		{"canary at 8", c, state("canary", 0.04), nil, split.Fleet{Entries: 8, Index: 7}, ward.Split{Route: "r", Version: "v1", Next: "v2", Move: "x", Share: 0.04, MaxInFlight: 2}},
		{"canary at 32", c, state("canary", 0.04), nil, split.Fleet{Entries: 32, Index: 15}, ward.Split{Route: "r", Version: "v1", Next: "v2", Move: "x", Share: 0.08, MaxInFlight: 1}},
		{"beyond the senders", c, state("canary", 0.04), nil, split.Fleet{Entries: 32, Index: 16}, ward.Split{Route: "r", Version: "v1", Next: "v2", Move: "x"}},
		{"step", c, state("stepping", 0.5), nil, split.Fleet{}, ward.Split{Route: "r", Version: "v1", Next: "v2", Move: "x", Share: 0.5}},
		{"quarantined", c, state("stepping", 0.5), quarantines, split.Fleet{}, ward.Split{Route: "r", Version: "v1", Move: "x", Quarantined: []string{"v2"}}},
		{"quarantine of an earlier ticket", c, state("stepping", 0.5), old, split.Fleet{}, ward.Split{Route: "r", Version: "v1", Next: "v2", Move: "x", Share: 0.5}},
		{"quarantined and cancelled", cancelled, state("stepping", 0.5), quarantines, split.Fleet{}, ward.Split{Route: "r", Version: "v1", Move: "x", Quarantined: []string{"v2"}}},
		{"done", c, state("done", 1), nil, split.Fleet{}, ward.Split{Route: "r", Version: "v2"}},
		{"rolled back", c, state("taken-back", 0), nil, split.Fleet{}, ward.Split{Route: "r", Version: "v1"}},
	}
	for _, tt := range tests {
		if got := split.Splits(tt.c, tt.states, tt.quarantines, tt.fleet); !reflect.DeepEqual(got, []ward.Split{tt.want}) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
