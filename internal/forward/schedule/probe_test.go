package schedule

import (
	"testing"
	"time"
)

// Guards against a service being lost for good: all its requests may run only once, and
// no such request was sent to an upstream that had failed.
func TestServiceOfUnrepeatableRequestsReturns(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 4))
	first := dispatched(t, s.Arrive(job(1, 0, start), start))
	s.Done(first.Job.ID, OutcomeUnreachable, start)
	now := start.Add(2 * maxBackoff)
	probe := dispatched(t, s.Arrive(job(2, 0, now), now))
	if a := s.Arrive(job(3, 0, now), now); len(a) > 0 {
		t.Errorf("a second request is sent before the first one is answered: %+v", a)
	}
	now = now.Add(10 * time.Millisecond)
	dispatched(t, s.Done(probe.Job.ID, OutcomeOK, now))
	dispatched(t, s.Arrive(job(4, 0, now), now))
}

// Guards against requests that may run only once being spent on an upstream that failed
// while another one answers.
func TestUnrepeatableRequestsProbeNothing(t *testing.T) {
	s := newScheduler("entry-1", engines(2, 4))
	first := dispatched(t, s.Arrive(job(1, 0, start), start))
	s.Done(first.Job.ID, OutcomeUnreachable, start)
	now := start.Add(2 * maxBackoff)
	for id := uint64(2); id < 6; id++ {
		if a := dispatched(t, s.Arrive(job(id, 0, now), now)); a.Upstream.ID == first.Upstream.ID {
			t.Fatalf("job %d goes to the upstream that failed", id)
		}
	}
	if a := s.Arrive(job(6, 0, now), now); len(a) > 0 {
		t.Errorf("job 6 does not wait for a slot of the upstream that answers: %+v", a)
	}
}
