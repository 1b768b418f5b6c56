package schedule

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a pause that a later, shorter answer ends too soon.
func TestShorterAnswerDoesNotShortenPause(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 3))
	id := Identity{ID: "engine-0"}
	s.Pause(id, 2*time.Second, start)
	if end := s.Pause(id, 100*time.Millisecond, start.Add(time.Second)); !end.Equal(start.Add(2 * time.Second)) {
		t.Errorf("the pause ends after %v, want 2s", end.Sub(start))
	}
	for _, at := range []time.Duration{1200 * time.Millisecond, 1990 * time.Millisecond} {
		if a := s.Arrive(job(uint64(at), 0, start.Add(at)), start.Add(at)); len(a) != 0 {
			t.Errorf("at %v: %+v, want that the job waits", at, a)
		}
	}
	if a := s.Tick(start.Add(2 * time.Second)); len(a) == 0 {
		t.Error("nothing is sent after the pause")
	}
}

// Guards against a refusal that lets callers return within the pause, or all of them in
// one moment, and against another reason in the log.
func TestRefusalFollowsPause(t *testing.T) {
	s := newScheduler("entry-1", engines(2, 3))
	for i := range 2 {
		s.Pause(Identity{ID: fmt.Sprint("engine-", i)}, time.Duration(i+20)*time.Second, start)
	}
	seen := make(map[time.Duration]bool)
	for id := range uint64(20) {
		a := s.Arrive(job(id, 0, start), start)
		if len(a) != 1 || a[0].Reason != ReasonPaused {
			t.Fatalf("job %d: %+v", id, a)
		}
		if d := a[0].RetryAfter; d < 20*time.Second || d > 20*time.Second+maxRetryAfter {
			t.Errorf("retry after %v, the first pause ends in 20s", d)
		}
		seen[a[0].RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(seen) < 10 {
		t.Errorf("20 callers return at %d moments", len(seen))
	}
}

// Guards against sending all that waited for an upstream at the end of its pause.
func TestReturnFromPauseIsGradual(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 8))
	s.Pause(Identity{ID: "engine-0"}, time.Second, start)
	for id := range uint64(20) {
		j := job(id, 0, start)
		j.Due, j.Expires = start.Add(5*time.Second), start.Add(7*time.Second)
		if a := s.Arrive(j, start); len(a) != 0 {
			t.Fatalf("job %d in the pause: %+v", id, a)
		}
	}
	now := start.Add(time.Second)
	running := s.Tick(now)
	for _, want := range []int{1, 2, 4, 8, 8} {
		if len(running) != want {
			t.Fatalf("%d requests run, want %d", len(running), want)
		}
		if want < 8 {
			if a := s.Tick(now); len(a) > 0 {
				t.Fatalf("%d more are sent before an answer, %d run", len(a), want)
			}
		}
		now = now.Add(50 * time.Millisecond)
		s.FirstEvent(running[0].Job.ID, now)
		running = append(running[1:], s.Done(running[0].Job.ID, OutcomeOK, now)...)
	}
}

// Guards against an upstream that is held at one request after its pause for good: its
// requests end without an answer, or it asks for another pause.
func TestReturnFromPauseGoesOn(t *testing.T) {
	for _, o := range []Outcome{OutcomeNeutral, OutcomeFailed, OutcomeFull} {
		s := newScheduler("entry-1", engines(1, 4))
		id := Identity{ID: "engine-0"}
		s.Pause(id, time.Second, start)
		now := start.Add(time.Second)
		a := dispatched(t, s.Arrive(job(1, 0, now), now))
		if o == OutcomeFull {
			s.Pause(id, time.Second, now)
		}
		s.Done(a.Job.ID, o, now)
		now = now.Add(2 * time.Second)
		dispatched(t, s.Arrive(job(2, 0, now), now))
	}
}

// Guards against holding a request until it is of no use, if the only upstream that it
// was not sent to returns from its pause too late.
func TestJobDoesNotWaitForLatePause(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		want  string
	}{
		{"in time", time.Second, ""},
		{"too late", 10 * time.Second, ReasonNoUpstream},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(2, 2))
			s.Pause(Identity{ID: "engine-1"}, c.pause, start)
			j := job(1, 0, start)
			j.Avoid = []string{"engine-0"}
			got := ""
			for _, a := range s.Arrive(j, start) {
				got = a.Reason
			}
			if got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}
