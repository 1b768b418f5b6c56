package schedule

import (
	"slices"
	"time"
)

const (
	// minExcess is the number of answers in a row, without one that ends within the bounds,
	// from which an upstream is paused. Single requests may ask for too much by themselves.
	minExcess = 3
	// minExcessPause is the first pause of such an upstream. It doubles with each one up to
	// maxExcessPause, until an answer ends within the bounds.
	minExcessPause = 500 * time.Millisecond
	maxExcessPause = 8 * time.Second
)

// excess counts the answers of a process that exceeded a bound of what an entry holds for
// them.
type excess struct {
	// inRow counts them since the last answer within the bounds, pauses the pauses since then.
	inRow, pauses int
}

// ObserveExcess records that the answer to a dispatched job exceeded a bound, and returns the
// end of the pause that its upstream gets, if it gets one now. After the pause it gets one
// request at a time until a whole answer came. Requests that were dispatched before a pause
// don't prolong it.
func (s *Scheduler) ObserveExcess(id uint64, now time.Time) (until time.Time, paused bool) {
	r := s.jobs[id]
	if r == nil {
		return time.Time{}, false
	}
	r.exceeded = true
	st := s.statement(IdentityOf(&r.upstream.Replica))
	st.excess.inRow++
	if st.excess.inRow < minExcess || st.pause != nil && st.pause != r.pause || st.pauseLeft(now) > 0 {
		return time.Time{}, false
	}
	until = now.Add(min(minExcessPause<<min(st.excess.pauses, 16), maxExcessPause))
	st.excess.pauses++
	st.pause = &pause{until: until, limit: firstAfterPause, whole: true}
	return until, true
}

// endAnswer records an answer that ended, or was cut off, within the bounds.
func (s *Scheduler) endAnswer(r *running, o Outcome) {
	if r.exceeded || o != OutcomeOK && o != OutcomeFailed && o != OutcomeFull {
		return
	}
	if st := s.statements[IdentityOf(&r.upstream.Replica)]; st != nil {
		st.excess = excess{}
	}
	if o == OutcomeOK && !r.started || r.pause != nil && r.pause.whole {
		s.answered(r)
	}
}

// exceeding reports whether the process returns from a pause after answers that exceeded the
// bounds, or is in it, and may get no request now; it may be nil.
func (st *statement) exceeding(now time.Time) bool {
	return st != nil && st.pause != nil && st.pause.whole && !st.takesMore(now)
}

// Exceeds reports whether no upstream of a group may get a request now, as the answers of all
// exceeded the bounds.
func (s *Scheduler) Exceeds(group string, now time.Time) bool {
	v := s.services[group]
	return v != nil && s.allExceed(v.upstreams, &Job{}, now)
}

// allExceed reports whether each upstream that j might wait for is exceeding: it would most
// likely wait in vain.
func (s *Scheduler) allExceed(list []*upstream, j *Job, now time.Time) bool {
	found := false
	for _, u := range list {
		if u.Draining || slices.Contains(j.Avoid, u.ID) {
			continue
		}
		if !u.said.exceeding(now) {
			return false
		}
		found = true
	}
	return found
}
