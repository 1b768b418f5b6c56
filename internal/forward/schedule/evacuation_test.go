package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// TestEvacuatedDataCentreGetsNothing guards against requests, granted slots and unwritten
// dispatches that reach upstreams of an evacuated data centre.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	list := func(evacuated bool) []ward.Replica {
		return []ward.Replica{
			{ID: "a1", Service: "s", DataCentre: "a", Address: "a1", Slots: 2, Draining: evacuated, Evacuated: evacuated},
			{ID: "b1", Service: "s", DataCentre: "b", Address: "b1", Slots: 2},
		}
	}
	now := time.Unix(1000, 0)
	s := Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	s.SetUpstreams(list(false), now)
	job := func(id uint64) *Job {
		return &Job{ID: id, Service: "s", Arrived: now, Due: now.Add(time.Second), Expires: now.Add(time.Minute)}
	}
	if got := s.Arrive(job(1), now); len(got) != 1 || got[0].Upstream == nil || got[0].Upstream.ID != "a1" {
		t.Fatalf("the first request goes to %+v, want a1 of its own data centre", got)
	}
	s.SetUpstreams(list(true), now)
	if s.MaySend(1, now) {
		t.Error("a dispatch that was not written yet may still be written")
	}
	s.Done(1, OutcomeNeutral, now)
	s.ReceiveGrant("entry-2", "a1", 1, false, now)
	for id := uint64(2); id < 6; id++ {
		for _, a := range s.Arrive(job(id), now) {
			if a.Upstream != nil && a.Upstream.ID != "b1" {
				t.Errorf("request %d goes to %s", id, a.Upstream.ID)
			}
		}
	}
	if got := s.SetUpstreams(list(false), now); len(got) != 1 || got[0].Upstream.ID != "a1" {
		t.Errorf("after the end of the evacuation: %+v, want a waiting request to go to a1", got)
	}
	s.SetUpstreams([]ward.Replica{list(true)[0]}, now)
	if got := s.Arrive(job(9), now); len(got) != 1 || got[0].Reason != ReasonEvacuated {
		t.Errorf("without another data centre: %+v, want a refusal", got)
	}
}

// TestCellsOfEvacuatedDataCentre guards against entries of an evacuated data centre that
// all use all upstreams elsewhere: each upstream would get requests of every cell.
func TestCellsOfEvacuatedDataCentre(t *testing.T) {
	var list []ward.Replica
	for _, dc := range []string{"a", "b"} {
		for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
			list = append(list, ward.Replica{ID: dc + n, Service: "s", DataCentre: dc, Address: dc + n, Slots: 2, Draining: dc == "a", Evacuated: dc == "a"})
		}
	}
	cells := make(map[string]int)
	for cell := range 3 {
		s := Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Cell: cell, Cells: 3}
		s.SetUpstreams(list, time.Unix(1000, 0))
		for _, u := range s.services["s"].upstreams {
			cells[u.ID]++
		}
	}
	for _, r := range list {
		want := 1
		if r.Evacuated {
			want = 0
		}
		if cells[r.ID] != want {
			t.Errorf("%s is used by %d cells of the evacuated data centre, want %d", r.ID, cells[r.ID], want)
		}
	}
}
