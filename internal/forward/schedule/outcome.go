package schedule

import "time"

// Outcome is how a dispatched job ended.
type Outcome int

// Outcomes of a dispatch.
const (
	// OutcomeOK is a complete answer that reports no failure.
	OutcomeOK Outcome = iota
	// OutcomeFailed is an answer that reports a failure or was truncated.
	OutcomeFailed
	// OutcomeUnreachable means that the connection failed, or was reset without an
	// answer.
	OutcomeUnreachable
	// OutcomeFull means that the upstream rejected the request without running it.
	OutcomeFull
	// OutcomeMoved means that another upstream now has the address.
	OutcomeMoved
	// OutcomeNeutral is no evidence about the upstream: the caller left.
	OutcomeNeutral
)

// fullPause is how long an upstream gets no requests after it rejected one for lack
// of capacity.
const fullPause = 100 * time.Millisecond

// FirstEvent records the arrival of the first event or byte of an answer.
func (s *Scheduler) FirstEvent(id uint64, now time.Time) {
	r := s.jobs[id]
	if r == nil {
		return
	}
	s.outcomeCold(r.upstream, true, now)
	r.upstream.markResponsive(now)
	if r.started {
		return
	}
	r.started = true
	if r.pause != nil && !r.pause.whole {
		s.answered(r)
	}
	ratio := now.Sub(r.sent).Seconds() / r.nominal
	r.upstream.observeLatency(ratio)
	if r.job.Prompt > 0 {
		r.upstream.reading.observe(float64(r.job.Prompt), now.Sub(r.sent).Seconds())
	}
	s.sampleFirst(r, ratio, now)
}

// Progress records the arrival of more of an answer.
func (s *Scheduler) Progress(id uint64, now time.Time) {
	if r := s.jobs[id]; r != nil {
		r.upstream.markResponsive(now)
	}
}

// ObservePace records the time per token after the first event.
func (s *Scheduler) ObservePace(id uint64, d time.Duration) {
	r := s.jobs[id]
	if r == nil || d <= 0 {
		return
	}
	ratio := d.Seconds() / perToken
	r.samplePace(ratio)
	if r.upstream.tokenRatio == 0 {
		r.upstream.tokenRatio = ratio
		return
	}
	r.upstream.tokenRatio += ratioWeight * (ratio - r.upstream.tokenRatio)
}

func (u *upstream) observeLatency(ratio float64) {
	if u.latencyRatio == 0 {
		u.latencyRatio = ratio
		return
	}
	u.latencyRatio += ratioWeight * (ratio - u.latencyRatio)
}

// Done ends a dispatched job and returns the actions for the freed slot.
func (s *Scheduler) Done(id uint64, o Outcome, now time.Time) []Action {
	r := s.jobs[id]
	if r == nil {
		return nil
	}
	delete(s.jobs, id)
	if r.pause != nil {
		r.pause.open--
	}
	s.endAnswer(r, o)
	u := r.upstream
	u.ownLoad = max(u.ownLoad-1, 0)
	if r.loan != nil {
		u.borrowed = max(u.borrowed-1, 0)
	}
	if u.ownLoad == 0 {
		u.awaitingSince = time.Time{}
	}
	s.noteOutcome(u, o, now)
	s.endSample(r, o, now)
	v := s.services[r.job.Service]
	if v == nil {
		return nil
	}
	if r.borrowed != nil {
		s.endLoan(r)
		return append(s.dispatchService(v, now), s.Lending(now)...)
	}
	if a, ok := s.lend(v, u, now); ok {
		return []Action{a}
	}
	if a, ok := s.grantFreed(v, u, now); ok {
		return []Action{a}
	}
	if u.brittle(now) {
		return s.dispatchService(v, now)
	}
	// This entry may reuse the freed slot.
	return s.fillSlot(v, u, now)
}

// noteOutcome records what an outcome says of the state of u.
func (s *Scheduler) noteOutcome(u *upstream, o Outcome, now time.Time) {
	switch o {
	case OutcomeOK, OutcomeFailed, OutcomeFull:
		s.outcomeCold(u, true, now)
	case OutcomeUnreachable:
		s.outcomeCold(u, false, now)
	}
	switch o {
	case OutcomeOK, OutcomeFailed:
		u.markResponsive(now)
		u.answers++
		failed := 0.0
		if o == OutcomeFailed {
			failed = 1
		}
		u.failureRate += max(failureWeight, 1/float64(u.answers)) * (failed - u.failureRate)
	case OutcomeFull:
		u.markResponsive(now)
		u.backoffUntil = now.Add(fullPause)
		if u.brittle(now) {
			u.reject(now)
		}
	case OutcomeUnreachable:
		u.failedAttempts++
		pause := min(minBackoff<<min(u.failedAttempts-1, 4), maxBackoff)
		u.backoffUntil = now.Add(pause)
	case OutcomeMoved:
		// The registration that names the address is out of date.
		u.failedAttempts++
		u.backoffUntil = now.Add(maxBackoff)
	}
}

// Forgive forgets the attempts that failed: this entry had lost its links to upstreams.
func (s *Scheduler) Forgive(now time.Time) []Action {
	for _, u := range s.byID {
		u.failedAttempts, u.backoffUntil = 0, time.Time{}
		if u.ownLoad > 0 {
			u.awaitingSince = now
		}
	}
	return s.dispatchWaiting(now)
}
