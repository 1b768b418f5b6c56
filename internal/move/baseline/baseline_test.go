package baseline_test

import (
	"slices"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/move/baseline"
	"agateward/internal/move/machine"
	"agateward/internal/move/split"
	"agateward/ward"

	"pgregory.net/rapid"
)

// replicas returns upstreams of versions; "~" before a version means that it drains.
func replicas(versions ...string) []ward.Replica {
	var list []ward.Replica
	for _, v := range versions {
		drains := v[0] == '~'
		if drains {
			v = v[1:]
		}
		list = append(list, ward.Replica{Service: "s", Version: v, Draining: drains})
	}
	return list
}

// Guards against EXPOSURE: a version that was rolled back is taken for the one in use, since it has
// more upstreams, so that the next one is compared with a version without requests.
func TestDecide(t *testing.T) {
	done := ward.MoveState{State: split.Done, From: "v1", To: "v2"}
	back := ward.MoveState{State: split.RolledBack, From: "v1", To: "v2"}
	cases := []struct {
		name     string
		last     ward.MoveState
		seen     string
		replicas []ward.Replica
		target   string
		want     baseline.Decision
	}{
		{"rolled back, with more upstreams", back, "", replicas("v1", "v2", "v2", "v3"), "v3", baseline.Decision{Version: "v1", Rejected: []string{"v2"}, Source: baseline.FromRecord}},
		{"rolled back, with the lower name", ward.MoveState{State: split.RolledBack, From: "v9", To: "v10"}, "", replicas("v9", "v10", "v11"), "v11",
			baseline.Decision{Version: "v9", Rejected: []string{"v10"}, Source: baseline.FromRecord}},
		{"rolled back, and gone", back, "", replicas("v1", "v3"), "v3", baseline.Decision{Version: "v1", Source: baseline.FromRecord}},
		{"rolled back, and ordered again", back, "", replicas("v1", "v2"), "v2", baseline.Decision{Version: "v1", Source: baseline.FromRecord}},
		{"two rolled back", ward.MoveState{State: split.RolledBack, From: "v1", To: "v3", Rejected: []string{"v2"}}, "", replicas("v1", "v2", "v3", "v4"), "v4",
			baseline.Decision{Version: "v1", Rejected: []string{"v2", "v3"}, Source: baseline.FromRecord}},
		{"replaced by the next order", ward.MoveState{State: split.Canary, From: "v1", To: "v2"}, "", replicas("v1", "v2", "v2", "v3"), "v3",
			baseline.Decision{Version: "v1", Rejected: []string{"v2"}, Source: baseline.FromRecord}},
		{"completed", done, "", replicas("v1", "v1", "v2", "v3"), "v3", baseline.Decision{Version: "v2", Source: baseline.FromRecord}},
		{"completed, an order back", done, "", replicas("v1", "v1", "v2"), "v1", baseline.Decision{Version: "v2", Source: baseline.FromRecord}},
		{"completed, ordered again", done, "", replicas("v2", "v2"), "v2", baseline.Decision{Version: "v2", Source: baseline.FromRecord}},
		{"rolled back, an order for the version in use", back, "", replicas("v1", "v2"), "v1", baseline.Decision{Version: "v1", Rejected: []string{"v2"}, Source: baseline.FromRecord}},
		{"replaced by releases", done, "", replicas("v3", "v3", "v4"), "v4", baseline.Decision{Version: "v3", Source: baseline.FromReplicas}},
		{"the version in use drains", back, "", replicas("~v1", "v2", "v3"), "v3", baseline.Decision{Version: "v1", Rejected: []string{"v2"}, Source: baseline.FromRecord}},
		{"no record", ward.MoveState{}, "", replicas("v1", "v1", "v2", "v3"), "v3", baseline.Decision{Version: "v1", Source: baseline.FromReplicas}},
		{"no record, the target alone", ward.MoveState{}, "", replicas("v3"), "v3", baseline.Decision{Version: "v3", Source: baseline.OnlyTarget}},
		{"no record, the target alone, another was seen", ward.MoveState{}, "v1", replicas("v3"), "v3", baseline.Decision{Version: "v1", Source: baseline.FromReplicas}},
		{"the record of an earlier build", ward.MoveState{State: split.RolledBack, To: "v2"}, "", replicas("v1", "v2", "v2", "v3"), "v3",
			baseline.Decision{Version: "v1", Rejected: []string{"v2"}, Source: baseline.FromReplicas}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := baseline.Service{Last: c.last, Seen: c.seen, Replicas: c.replicas}.Decide(c.target)
			if got.Version != c.want.Version || got.Source != c.want.Source || !slices.Equal(got.Rejected, c.want.Rejected) {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against EXPOSURE in sequences of orders: whatever is registered, and however the runs before
// ended, a run starts from the version that the last completed one has left in use, and versions that
// were rolled back are rejected for as long as they are registered.
func TestSequencesOfOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := []string{"v1", "v2", "v3", "v9", "v10"}
		now := time.Unix(1000, 0)
		inUse, bad := "v1", map[string]bool{}
		var s ward.MoveState
		for ticket := range uint64(rapid.IntRange(1, 6).Draw(rt, "orders")) {
			target := rapid.SampledFrom(versions).Draw(rt, "target")
			registered := []string{inUse, target}
			if ticket > 0 { // before any order only the version in use is registered
				for v := range bad {
					if n := rapid.IntRange(0, 3).Draw(rt, "left of "+v); n > 0 {
						registered = append(registered, slices.Repeat([]string{v}, n)...)
					} else {
						delete(bad, v)
					}
				}
			}
			delete(bad, target)
			in := machine.Input{Now: now, Move: ward.Move{Name: "s", Ticket: ticket + 1, To: target, Deadline: now.Add(time.Minute)}, Replicas: replicas(registered...), Loaded: true}
			s, _ = machine.Machine{}.Next(s, in)
			if s.From != inUse || slices.Contains(s.Rejected, inUse) || slices.Contains(s.Rejected, target) {
				rt.Fatalf("order %d to %s starts from %q and rejects %v, %q is in use", ticket+1, target, s.From, s.Rejected, inUse)
			}
			for v := range bad {
				if v != inUse && !slices.Contains(s.Rejected, v) {
					rt.Fatalf("order %d to %s does not reject %s: %v", ticket+1, target, v, s.Rejected)
				}
			}
			if target == inUse {
				if s.State != split.Done {
					rt.Fatalf("an order for the version in use is %q", s.State)
				}
				continue
			}
			switch rapid.SampledFrom([]string{split.Done, split.RolledBack, "replaced"}).Draw(rt, "outcome") {
			case split.Done:
				s.State, inUse = split.Done, target
				delete(bad, target)
			case split.RolledBack:
				s.State, bad[target] = split.RolledBack, true
			default: // the next order comes first
				s.State, bad[target] = split.Canary, true
			}
		}
	})
}
