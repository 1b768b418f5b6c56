package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

var start = time.Unix(1000, 0)

func engines(n, slots int) []ward.Replica {
	list := make([]ward.Replica, n)
	for i := range list {
		list[i] = ward.Replica{ID: fmt.Sprint("engine-", i), Service: "menus", DataCentre: "a", Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: slots, Version: "v1"}
	}
	return list
}

func newScheduler(name string, list []ward.Replica) *Scheduler {
	s := &Scheduler{Name: name, DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	s.SetUpstreams(list, start)
	return s
}

func job(id uint64, rank int, now time.Time) *Job {
	return &Job{
		ID: id, Service: "menus", Rank: [2]int{0, rank}, Arrived: now, Due: now.Add(600 * time.Millisecond),
		Expires: now.Add(2700 * time.Millisecond), Deadline: now.Add(8 * time.Second), Prompt: 1000, Output: 100,
	}
}

func dispatched(t *testing.T, actions []Action) Action {
	t.Helper()
	for _, a := range actions {
		if a.Job != nil && a.Upstream != nil {
			return a
		}
	}
	t.Fatalf("no dispatch in %+v", actions)
	return Action{}
}

func TestWaitingJobsAreDispatchedByRank(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	first := dispatched(t, s.Arrive(job(1, 2, start), start))
	for _, j := range []*Job{job(2, 2, start), job(3, 0, start), job(4, 1, start)} {
		if a := s.Arrive(j, start); len(a) != 0 {
			t.Fatalf("job %d with no free slot: %+v", j.ID, a)
		}
	}
	for _, want := range []uint64{3, 4, 2} {
		got := dispatched(t, s.Done(first.Job.ID, OutcomeOK, start.Add(10*time.Millisecond)))
		if got.Job.ID != want {
			t.Fatalf("job %d was sent, want %d", got.Job.ID, want)
		}
		first = got
	}
}

// TestFreedSlotIsGrantedToHigherRank checks that a freed slot goes to a peer's waiting
// request of a higher rank, not to an own one of a lower rank, when a burst hits one
// entry more than another.
func TestFreedSlotIsGrantedToHigherRank(t *testing.T) {
	cases := []struct {
		name    string
		load    map[string]int
		demand  Demand
		granted bool
	}{
		{"a higher rank waits at a peer that runs nothing", nil, Demand{Service: "menus", Rank: [2]int{0, 0}, Count: 1, Slack: time.Second}, true},
		{"a higher rank waits at a busy peer", map[string]int{"engine-1": 1}, Demand{Service: "menus", Rank: [2]int{0, 0}, Count: 1, Slack: time.Second}, true},
		{"the same rank waits much longer", nil, Demand{Service: "menus", Rank: [2]int{0, 1}, Count: 1, Slack: 100 * time.Millisecond}, true},
		{"the same rank waits about as long", nil, Demand{Service: "menus", Rank: [2]int{0, 1}, Count: 1, Slack: 550 * time.Millisecond}, false},
		{"a lower rank waits", nil, Demand{Service: "menus", Rank: [2]int{0, 2}, Count: 5, Slack: 0}, false},
		{"another service's request waits", nil, Demand{Service: "bookings", Rank: [2]int{0, 0}, Count: 1, Slack: 0}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(1, 1))
			a := dispatched(t, s.Arrive(job(1, 1, start), start))
			s.Arrive(job(2, 1, start), start)
			s.UpdatePeer("entry-2", PeerState{Load: c.load, Demand: []Demand{c.demand}}, start)
			got := s.Done(a.Job.ID, OutcomeOK, start.Add(time.Millisecond))
			if granted := len(got) == 1 && got[0].GrantTo == "entry-2"; granted != c.granted {
				t.Fatalf("granted %v, want %v: %+v", granted, c.granted, got)
			}
			if c.granted && s.byID["engine-0"].load() != 1 {
				t.Error("the granted slot counts as free")
			}
		})
	}
}

func TestGrantedSlotIsUsed(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	s.UpdatePeer("entry-2", PeerState{Load: map[string]int{"engine-0": 1}}, start)
	if a := s.Arrive(job(1, 0, start), start); len(a) != 0 {
		t.Fatalf("sent to a full upstream: %+v", a)
	}
	if a := dispatched(t, s.ReceiveGrant("entry-2", "engine-0", 1, true, start)); a.Job.ID != 1 {
		t.Errorf("job %d was sent", a.Job.ID)
	}
}

// TestActionKeepsItsUpstream checks that an action still names the chosen upstream
// when the registration changes while the request is sent.
func TestActionKeepsItsUpstream(t *testing.T) {
	list := engines(1, 1)
	s := newScheduler("entry-1", list)
	a := dispatched(t, s.Arrive(job(1, 0, start), start))
	list[0].Draining, list[0].Version = true, "v2"
	s.SetUpstreams(list, start)
	if a.Upstream.Draining || a.Upstream.Version != "v1" {
		t.Errorf("the action's upstream changed to %+v", *a.Upstream)
	}
}

// TestLateJobsFollowTimelyOnes guards against sustained overload: in order of due
// times alone every request would be late.
func TestLateJobsFollowTimelyOnes(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	a := dispatched(t, s.Arrive(job(1, 0, start), start))
	s.Arrive(job(2, 0, start), start)
	now := start.Add(700 * time.Millisecond)
	s.Arrive(job(3, 0, now), now)
	if a := dispatched(t, s.Done(a.Job.ID, OutcomeOK, now)); a.Job.ID != 3 {
		t.Errorf("job %d was sent before the one that can be in time", a.Job.ID)
	}
}

// TestLongOutputAvoidsSlowEngine checks that a long output isn't sent to an engine too
// slow to end it before its deadline.
func TestLongOutputAvoidsSlowEngine(t *testing.T) {
	s := newScheduler("entry-1", engines(2, 2))
	s.byID["engine-0"].latencyRatio, s.byID["engine-0"].tokenRatio = 3, 3
	s.byID["engine-1"].latencyRatio, s.byID["engine-1"].tokenRatio = 0.7, 0.7
	now := start
	for id := uint64(1); id <= 2; id++ {
		j := job(id, 0, now)
		j.Output = 700 // 9 s at the slow engine
		if a := dispatched(t, s.Arrive(j, now)); a.Upstream.ID != "engine-1" {
			t.Errorf("job %d went to the slow engine", id)
		}
	}
	j := job(3, 0, now)
	j.Output = 700
	if a := s.Arrive(j, now); len(a) != 0 {
		t.Errorf("a third long output is sent to the slow engine: %+v", a)
	}
}

func TestRefusesUnservableJobs(t *testing.T) {
	s := newScheduler("entry-1", nil)
	a := s.Arrive(job(1, 0, start), start)
	if len(a) != 1 || a[0].Reason != ReasonNoUpstream || a[0].RetryAfter <= 0 {
		t.Fatalf("without upstreams: %+v", a)
	}
	s = newScheduler("entry-1", engines(1, 1))
	s.Arrive(job(1, 0, start), start)
	s.Arrive(job(2, 0, start), start)
	a = s.Tick(start.Add(2800 * time.Millisecond))
	if len(a) != 1 || a[0].Job.ID != 2 || a[0].Reason != ReasonTooLate {
		t.Errorf("after its time: %+v", a)
	}
}

// TestPeersAvoidUnresponsiveEngine checks that an entry sends only probes to an engine
// that a peer reports as unresponsive.
func TestPeersAvoidUnresponsiveEngine(t *testing.T) {
	list := engines(2, 6)
	a, b := newScheduler("entry-1", list), newScheduler("entry-2", list)
	for id := range uint64(6) {
		if x := dispatched(t, a.Arrive(job(id, 0, start), start)); x.Upstream.ID == "engine-0" {
			a.FirstEvent(x.Job.ID, start.Add(50*time.Millisecond))
			a.Progress(x.Job.ID, start.Add(900*time.Millisecond))
		}
	}
	now := start.Add(900 * time.Millisecond)
	if got := a.PeerState(now).Unresponsive; len(got) != 1 || got[0] != "engine-1" {
		t.Fatalf("unresponsive: %v, want engine-1", got)
	}
	b.UpdatePeer("entry-1", PeerState{Unresponsive: a.PeerState(now).Unresponsive}, now)
	for id := range uint64(4) {
		if x := dispatched(t, b.Arrive(job(id, 0, now), now)); x.Upstream.ID == "engine-1" {
			t.Error("a request was sent to the engine that does not answer a peer")
		}
	}
}

// TestCellsPartitionEngines checks that each engine of a data centre belongs to one
// cell, and that a service with few upstreams is used by all cells.
func TestCellsPartitionEngines(t *testing.T) {
	cases := []struct {
		name        string
		engines     int
		partitioned bool
	}{
		{"many engines", 20, true},
		{"fewer than two a cell", 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			used := make(map[string]int)
			for cell := range 3 {
				s := &Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Cell: cell, Cells: 3}
				s.SetUpstreams(engines(c.engines, 4), start)
				for _, u := range s.services["menus"].upstreams {
					used[u.ID]++
				}
			}
			want := 3
			if c.partitioned {
				want = 1
			}
			if len(used) != c.engines {
				t.Errorf("%d of %d engines are used", len(used), c.engines)
			}
			for id, n := range used {
				if n != want {
					t.Errorf("%s is used by %d cells, want %d", id, n, want)
				}
			}
		})
	}
}
