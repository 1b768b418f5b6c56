package schedule

import (
	"testing"
	"time"
)

// TestStoppingEntryServesWhatEnds gives a stopping entry requests of different
// lengths: those that end before its exit are dispatched, the others are refused at
// once.
func TestStoppingEntryServesWhatEnds(t *testing.T) {
	// An engine of the initial estimates makes 1,000 tokens in 5.2 s with the margin.
	tests := []struct {
		name   string
		output int
		left   time.Duration
		want   string
	}{
		{"short answer, much time", 100, 6 * time.Second, ""},
		{"short answer, little time", 100, 200 * time.Millisecond, ReasonStopping},
		{"long answer, much time", 1000, 6 * time.Second, ""},
		{"long answer, little time", 1000, 3 * time.Second, ReasonStopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(2, 4))
			s.Stop(start.Add(tt.left), start.Add(tt.left))
			j := job(1, 0, start)
			j.Output, j.EndBy = tt.output, start.Add(tt.left)
			a := s.Arrive(j, start)
			if len(a) != 1 || a[0].Reason != tt.want || (a[0].Upstream != nil) != (tt.want == "") {
				t.Errorf("actions %+v", a)
			}
		})
	}
}

// TestWaitingJobsOfStoppingEntry stops an entry while a long request waits: it is
// refused as soon as it can't end any more, not at the exit.
func TestWaitingJobsOfStoppingEntry(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	dispatched(t, s.Arrive(job(1, 0, start), start))
	long := job(2, 0, start)
	long.Output = 1000
	if a := s.Arrive(long, start); len(a) != 0 {
		t.Fatalf("with no free slot: %+v", a)
	}
	s.Stop(start.Add(6*time.Second), start.Add(6*time.Second))
	if a := s.Tick(start.Add(300 * time.Millisecond)); len(a) != 0 {
		t.Fatalf("with time to end: %+v", a)
	}
	a := s.Tick(start.Add(1500 * time.Millisecond))
	if len(a) != 1 || a[0].Job.ID != 2 || a[0].Reason != ReasonStopping {
		t.Errorf("with no time to end: %+v", a)
	}
}

// Guards against a late request of a stopping entry that is cut at the exit: the fast
// upstream had no room, and the slow one could not end it in time.
func TestStoppingEntryAvoidsSlowUpstream(t *testing.T) {
	s := newScheduler("entry-1", engines(2, 1))
	fast, slow := s.services["menus"].upstreams[0], s.services["menus"].upstreams[1]
	slow.tokenRatio = 4 * fast.tokenFactor()
	first := job(1, 0, start)
	first.Avoid = []string{slow.ID}
	dispatched(t, s.Arrive(first, start))
	s.Stop(start.Add(4*time.Second), start.Add(4*time.Second))
	late := job(9, 0, start)
	late.Output, late.EndBy = 300, start.Add(4*time.Second)
	if a := s.Arrive(late, start); len(a) != 0 {
		t.Fatalf("%+v, want it to wait for the fast upstream", a)
	}
	if a := s.Tick(start.Add(3500 * time.Millisecond)); len(a) != 1 || a[0].Reason != ReasonStopping {
		t.Errorf("%+v, want it refused when no upstream can end it", a)
	}
}

// Guards against a request that comes late in a stop, is expected to end in time, and is
// cut at the exit: its upstream is slower than expected, or pauses.
func TestLateRequestsEndBeforeTheExit(t *testing.T) {
	const late, end = 2600 * time.Millisecond, 7200 * time.Millisecond
	tests := []struct {
		name            string
		sent            time.Duration
		deadline        time.Duration
		output          int
		resumed, queued bool
		want            string
	}{
		{"early, may outlast the exit", time.Second, 8 * time.Second, 10, false, false, ""},
		{"late, may outlast the exit", late, 8 * time.Second, 10, false, false, ReasonStopping},
		{"late, no deadline", late, 0, 10, false, false, ReasonStopping},
		{"late, deadline before the exit", late, 4 * time.Second, 10, false, false, ""},
		{"late plain request", 5 * time.Second, time.Second, 0, false, false, ""},
		{"late plain request, no deadline", 5 * time.Second, 0, 0, false, false, ReasonStopping},
		{"rest of a stream", 6 * time.Second, 8 * time.Second, 10, true, false, ""},
		{"waits since before", time.Second, 8 * time.Second, 10, false, true, ReasonStopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(1, 1))
			if tt.queued {
				dispatched(t, s.Arrive(job(1, 0, start), start))
			}
			s.Stop(start.Add(late), start.Add(end))
			now := start.Add(tt.sent)
			j := job(2, 0, now)
			j.Output, j.EndBy, j.Resumed, j.Deadline = tt.output, start.Add(end), tt.resumed, time.Time{}
			if tt.deadline > 0 {
				j.Deadline = now.Add(tt.deadline)
			}
			a := s.Arrive(j, now)
			if tt.queued {
				if len(a) != 0 {
					t.Fatalf("with no free slot: %+v", a)
				}
				a = s.Done(1, OutcomeOK, start.Add(late))
			}
			if len(a) != 1 || a[0].Reason != tt.want || (a[0].Upstream != nil) != (tt.want == "") {
				t.Errorf("actions %+v, want reason %q", a, tt.want)
			}
		})
	}
}

// TestReturnAfterStop checks when a refused caller is told to come back while
// entries are stopped in turn.
func TestReturnAfterStop(t *testing.T) {
	leaving := func(d time.Duration) PeerState {
		return PeerState{Load: map[string]int{"engine-0": 1}, Leaving: true, ExitsIn: d}
	}
	tests := []struct {
		name        string
		peers       []PeerState
		least, most time.Duration
	}{
		{"most entries serve", []PeerState{{}, {}, leaving(time.Second)}, 0, 200 * time.Millisecond},
		{"most entries stop", []PeerState{{}, leaving(2 * time.Second), leaving(time.Second)}, time.Second + restartLag, maxRetryAfter},
		{"alone", nil, maxRetryAfter, maxRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler("entry-1", engines(1, 4))
			for i, p := range tt.peers {
				s.UpdatePeer(string(rune('a'+i)), p, start)
			}
			s.Stop(start.Add(5*time.Second), start.Add(5*time.Second))
			j := job(1, 0, start)
			j.Output, j.EndBy = 5000, start.Add(5*time.Second)
			a := s.Arrive(j, start)
			if len(a) != 1 || a[0].RetryAfter < tt.least || a[0].RetryAfter > tt.most {
				t.Errorf("actions %+v", a)
			}
			if d := s.StoppingRetry(start); d < tt.least || d > tt.most {
				t.Errorf("at the exit: %v", d)
			}
		})
	}
}
