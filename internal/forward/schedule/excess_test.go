package schedule

import (
	"testing"
	"time"
)

// exceed ends a dispatched job with an answer that exceeds a bound, and returns the length of
// the pause that its upstream gets, 0 for none.
func exceed(s *Scheduler, id uint64, now time.Time) time.Duration {
	until, paused := s.ObserveExcess(id, now)
	s.Done(id, OutcomeFailed, now)
	if !paused {
		return 0
	}
	return until.Sub(now)
}

// Guards against an upstream that answers without end and is asked at full rate, against a
// pause that grows without bound or by requests from before it, and against callers that wait
// for such a service instead of being told.
func TestUpstreamThatExceedsIsPaused(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 8))
	now := start
	for id := range uint64(8) {
		if a := s.Arrive(job(id, 0, now), now); len(a) != 1 || a[0].Upstream == nil {
			t.Fatalf("job %d: %+v", id, a)
		}
	}
	for id := range uint64(8) {
		want := time.Duration(0)
		if id == minExcess-1 {
			want = minExcessPause
		}
		if got := exceed(s, id, now); got != want {
			t.Errorf("after %d answers the pause is %v, want %v", id+1, got, want)
		}
	}
	id := uint64(100)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		id += 10
		if a := s.Arrive(job(id, 0, now), now); len(a) != 1 || a[0].Reason != ReasonPaused || a[0].RetryAfter < minRetryAfter {
			t.Fatalf("in the pause: %+v, want a refusal", a)
		}
		now = now.Add(maxExcessPause)
		if a := s.Arrive(job(id+1, 0, now), now); len(a) != 1 || a[0].Upstream == nil {
			t.Fatalf("after the pause: %+v, want a dispatch", a)
		}
		s.FirstEvent(id+1, now)
		if a := s.Arrive(job(id+2, 0, now), now); len(a) != 1 || a[0].Reason != ReasonPaused {
			t.Fatalf("beside the first request after the pause: %+v, want a refusal", a)
		}
		if got := exceed(s, id+1, now); got != min(want*2*minExcessPause, maxExcessPause) {
			t.Errorf("the next pause is %v, want %v", got, min(want*2*minExcessPause, maxExcessPause))
		}
	}
	now = now.Add(maxExcessPause)
	for n, id := 1, uint64(1000); n <= 8; n *= 2 {
		for i := range n {
			if a := s.Arrive(job(id+uint64(i), 0, now), now); len(a) != 1 || a[0].Upstream == nil {
				t.Fatalf("%d whole answers: %+v", n-1, a)
			}
		}
		s.FirstEvent(id, now)
		s.Done(id, OutcomeOK, now)
		for i := 1; i < n; i++ {
			s.Done(id+uint64(i), OutcomeNeutral, now)
		}
		id += 100
	}
}

// Guards against a sound upstream that is paused for the answers to single requests which ask
// for too much.
func TestSingleAnswersThatExceed(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 8))
	for id := range uint64(100) {
		if a := s.Arrive(job(id, 0, start), start); len(a) != 1 || a[0].Upstream == nil {
			t.Fatalf("job %d: %+v", id, a)
		}
		if id%minExcess == 0 {
			s.Done(id, OutcomeOK, start)
		} else if d := exceed(s, id, start); d > 0 {
			t.Errorf("job %d: a pause of %v", id, d)
		}
	}
}
