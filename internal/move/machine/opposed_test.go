package machine_test

import (
	"strings"
	"testing"
	"time"

	"agateward/internal/move/machine"
	"agateward/internal/move/split"
	"agateward/ward"
)

// Guards against a version that is completed though its last answers speak against it, where
// too few requests came to approve it; and against an operator who is not told how little is known.
func TestEndWithoutAnApproval(t *testing.T) {
	begin := time.Unix(1000, 0)
	deadline := begin.Add(10 * time.Second)
	cases := []struct {
		name     string
		approved bool
		opposed  bool
		// state is the one after the deadline, text a part of what the operator is told.
		state, text string
	}{
		{"approved", true, false, split.Done, "done: the whole traffic is on v2"},
		{"nothing against it", false, false, split.Done, "done by the clock: the whole traffic is on v2, too few requests came to approve it: 7 outcomes, 2 of them failures"},
		{"answers against it", false, true, split.RolledBack, "too few requests to approve v2, and they speak against it: 7 outcomes, 2 of them failures"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := ward.MoveState{Move: "m", Ticket: 7, From: "v1", To: "v2", State: "settling", Step: 6, Share: 1, Begin: begin, Since: begin.Add(9 * time.Second), Approved: c.approved}
			in := machine.Input{
				Now: deadline, Move: ward.Move{Name: "m", Ticket: 7, From: "v1", To: "v2", Deadline: deadline}, Loaded: true,
				Opposed: c.opposed, Unclear: c.opposed, Answered: 7, Failed: 2, Requests: 20, Observed: 9 * time.Second,
			}
			for range 4 {
				s, _ = machine.Machine{}.Next(s, in)
				in.Now = in.Now.Add(2 * time.Second)
			}
			if s.State != c.state {
				t.Errorf("state %s, want %s", s.State, c.state)
			}
			if n := len(s.PendingEvents); n == 0 || !strings.Contains(s.PendingEvents[n-1].Text, c.text) {
				t.Errorf("events %+v, want %q", s.PendingEvents, c.text)
			}
		})
	}
}
