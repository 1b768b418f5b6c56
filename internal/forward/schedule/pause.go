package schedule

import "time"

const (
	// firstAfterPause is the number of requests that an upstream may have running after
	// its pause until it has answered one. Each answer multiplies it by returnGrowth,
	// up to the upstream's slots: all that waited at once would overload it again.
	firstAfterPause = 1
	returnGrowth    = 2
)

// pause is a pause that a process of an upstream asked for, or got as its answers exceeded
// the bounds, and its return from it.
type pause struct {
	until time.Time
	// limit bounds the requests sent after the pause that are running, which open
	// counts.
	limit, open int
	// whole is true if only whole answers raise the limit, not those that have begun.
	whole bool
}

// Pause records that a process of an upstream asked to get no requests for d, and
// returns the end of its pause. A later answer does not shorten it.
func (s *Scheduler) Pause(id Identity, d time.Duration, now time.Time) time.Time {
	s.init()
	if d <= 0 {
		return now
	}
	st := s.statement(id)
	end := now.Add(d)
	if st.pauseLeft(now) == 0 {
		st.pause = &pause{until: end, limit: firstAfterPause}
	} else if end.After(st.pause.until) {
		st.pause.until = end
	}
	return st.pause.until
}

// pauseLeft is how long the process wants no requests; it may be nil.
func (st *statement) pauseLeft(now time.Time) time.Duration {
	if st == nil || st.pause == nil {
		return 0
	}
	return max(st.pause.until.Sub(now), 0)
}

// wantsNone reports whether the process wants no requests now; it may be nil.
func (st *statement) wantsNone(now time.Time) bool {
	return st != nil && (st.leaving || st.pauseLeft(now) > 0)
}

// takesMore reports whether the process may get another request now; it may be nil.
func (st *statement) takesMore(now time.Time) bool {
	return !st.wantsNone(now) && (st == nil || st.pause == nil || st.pause.open < st.pause.limit)
}

// returnsFor reports whether the upstream has no pause or returns in time to answer j.
func (u *upstream) returnsFor(j *Job, now time.Time) bool {
	left := u.said.pauseLeft(now)
	return left == 0 || !now.Add(left+u.timeToFirst(j)).After(j.Expires)
}

// begin counts a request to a process that returns from a pause.
func (st *statement) begin(r *running) {
	if st != nil && st.pause != nil {
		r.pause = st.pause
		r.pause.open++
	}
}

// answered raises the limit of a process that returns from a pause.
func (s *Scheduler) answered(r *running) {
	if r.pause == nil {
		return
	}
	r.pause.limit *= returnGrowth
	st := s.statements[IdentityOf(&r.upstream.Replica)]
	if st != nil && st.pause == r.pause && r.pause.limit >= r.upstream.Slots {
		st.pause = nil
	}
}

// pauseLeft is the time until the pause of the first upstream of the service ends. It
// is 0 if one that does not drain has none.
func (v *service) pauseLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	for _, u := range v.upstreams {
		if u.Draining {
			continue
		}
		d := u.said.pauseLeft(now)
		if d == 0 {
			return 0
		}
		if left == 0 || d < left {
			left = d
		}
	}
	return left
}

// PauseLeft returns the time until the first upstream of a service takes requests
// again if all of them have asked for a pause, else 0.
func (s *Scheduler) PauseLeft(name string, now time.Time) time.Duration {
	if v := s.services[name]; v != nil {
		return v.pauseLeft(now)
	}
	return 0
}

// MaySend reports whether a dispatch that was not written yet may still be written. If
// not, its upstream has said since that it wants no requests, or named a limit or turned cold
// and there is no permit for it, or its data centre was evacuated; the job is to be ended by Done and to arrive anew.
func (s *Scheduler) MaySend(id uint64, now time.Time) bool {
	r := s.jobs[id]
	if r == nil {
		return true
	}
	if u := s.byID[r.upstream.ID]; u != nil && u.Evacuated {
		return false
	}
	st := s.statements[IdentityOf(&r.upstream.Replica)]
	// A dispatch from before the pause would pass by the limit after it.
	if st.wantsNone(now) || st != nil && st.pause != nil && st.pause != r.pause {
		return false
	}
	if st == nil || !st.limit.Paced(now) {
		return true
	}
	stale := st.limit.Cold(now) && now.Sub(r.paced) > permitTime
	if r.paced.IsZero() || stale {
		if !st.limit.Take(now) {
			return false
		}
		r.paced = now
	}
	return true
}
