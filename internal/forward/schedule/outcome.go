package schedule

import "time"

// Outcome is how a dispatched job ended.
type Outcome int

// Outcomes of a dispatch.
const (
	// OutcomeOK is a whole answer that is no failure.
	OutcomeOK Outcome = iota
	// OutcomeFailed is an answer that says failure, or one that was cut.
	OutcomeFailed
	// OutcomeUnreached says that the upstream could not be connected to, or reset
	// the connection without an answer.
	OutcomeUnreached
	// OutcomeFull says that the upstream refused the request as not run.
	OutcomeFull
	// OutcomeMoved says that another upstream has the address.
	OutcomeMoved
	// OutcomeNeutral says nothing about the upstream: the caller left.
	OutcomeNeutral
)

// fullPause is how long an upstream that refused a request for lack of room gets
// no further one.
const fullPause = 100 * time.Millisecond

// First notes that the first event or byte of an answer came.
func (s *Scheduler) First(id uint64, now time.Time) {
	r := s.jobs[id]
	if r == nil {
		return
	}
	r.up.hear(now)
	if r.heard {
		return
	}
	r.heard = true
	ratio := now.Sub(r.sent).Seconds() / r.nominal
	r.up.learn(ratio)
}

// Heard notes that more of an answer came.
func (s *Scheduler) Heard(id uint64, now time.Time) {
	if r := s.jobs[id]; r != nil {
		r.up.hear(now)
	}
}

// Paced takes the time that an upstream took for each token after the first
// event.
func (s *Scheduler) Paced(id uint64, perTok time.Duration) {
	r := s.jobs[id]
	if r == nil || perTok <= 0 {
		return
	}
	ratio := perTok.Seconds() / perToken
	if r.up.pace == 0 {
		r.up.pace = ratio
		return
	}
	r.up.pace += speedWeight * (ratio - r.up.pace)
}

func (u *upstream) learn(ratio float64) {
	if u.speed == 0 {
		u.speed = ratio
		return
	}
	u.speed += speedWeight * (ratio - u.speed)
}

// Done ends a dispatched job and returns what the free slot leads to.
func (s *Scheduler) Done(id uint64, o Outcome, now time.Time) []Action {
	r := s.jobs[id]
	if r == nil {
		return nil
	}
	delete(s.jobs, id)
	u := r.up
	u.own = max(u.own-1, 0)
	if u.own == 0 {
		u.asked = time.Time{}
	}
	switch o {
	case OutcomeOK, OutcomeFailed:
		u.hear(now)
		u.answers++
		failed := 0.0
		if o == OutcomeFailed {
			failed = 1
		}
		u.fails += max(failWeight, 1/float64(u.answers)) * (failed - u.fails)
	case OutcomeFull:
		u.hear(now)
		u.closedUntil = now.Add(fullPause)
	case OutcomeUnreached:
		u.unreached++
		pause := min(retryBase<<min(u.unreached-1, 4), retryMost)
		u.closedUntil = now.Add(pause)
	case OutcomeMoved:
		// The registration that names the address is out of date.
		u.unreached++
		u.closedUntil = now.Add(retryMost)
	}
	v := s.services[r.job.Service]
	if v == nil {
		return nil
	}
	if a, ok := s.yield(v, u, now); ok {
		return []Action{a}
	}
	// The slot that became free is this entry's to use again.
	return s.refill(v, u, now)
}
