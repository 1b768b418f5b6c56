package schedule

import (
	"time"

	"agateward/internal/forward/limit"
	"agateward/ward"
)

// LimitChange is a change of what is known of the limit of an upstream. Age is how long
// the state before it was known.
type LimitChange struct {
	Identity
	State limit.State
	Age   time.Duration
}

// ObserveLimit records what the answer to a dispatched job says of the limit of its
// upstream, and reports whether that is news.
func (s *Scheduler) ObserveLimit(job uint64, r ward.RateLimit, now time.Time) (LimitChange, bool) {
	j := s.jobs[job]
	if j == nil {
		return LimitChange{}, false
	}
	id := IdentityOf(&j.upstream.Replica)
	if s.statements[id] == nil && !r.Limited {
		return LimitChange{}, false
	}
	l := &s.statement(id).limit
	_, since := l.State()
	if !l.Observe(r, j.sent, now) {
		return LimitChange{}, false
	}
	return newLimitChange(id, l, since, now), true
}

func newLimitChange(id Identity, l *limit.Limit, before, now time.Time) LimitChange {
	c := LimitChange{Identity: id}
	c.State, _ = l.State()
	if !before.IsZero() {
		c.Age = now.Sub(before)
	}
	return c
}
