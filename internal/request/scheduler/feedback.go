package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/retry"
	"agateward/internal/request/waste"
	"agateward/internal/result/code"
	"agateward/ward"
)

// FirstToken records the first token of a dispatched request.
func (s *Scheduler) FirstToken(now time.Time, id string) {
	rs := s.requests[id]
	if rs == nil || rs.upstream == nil || !rs.firstTokenAt.IsZero() {
		return
	}
	rs.firstTokenAt = now
	rs.lastProgressAt = now
	rs.outputTokens = 1
	rs.upstream.endPrefill(now, rs)
	if rs.item.Request.Kind != ward.KindService {
		for _, h := range rs.item.Request.Prefix {
			s.prefixes.Store(h, rs.upstream.number)
		}
		rs.upstream.budget.FirstToken(now, rs.prefillAhead, now.Sub(rs.dispatchedAt))
	}
}

// Progress records the number of output tokens that a dispatched request has so
// far.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) {
	rs := s.requests[id]
	if rs == nil || rs.upstream == nil || rs.firstTokenAt.IsZero() || tokens <= rs.outputTokens {
		return
	}
	rs.upstream.budget.Tokens(now, tokens-rs.outputTokens, now.Sub(rs.lastProgressAt))
	rs.outputTokens = tokens
	rs.lastProgressAt = now
}

// End records the outcome of a dispatch. If no connection was made the request
// may be queued again; otherwise it is never retried.
func (s *Scheduler) End(now time.Time, id string, o ward.Outcome) []Action {
	rs := s.requests[id]
	if rs == nil || rs.upstream == nil {
		return nil
	}
	u := rs.upstream
	s.Progress(now, id, o.OutputTokens)
	s.countWork(now, rs, o)
	s.release(now, rs)
	if o.Connected || o.Cancelled {
		if o.Connected {
			u.breaker.Succeed()
		}
		delete(s.requests, id)
		s.dispatchAll(now)
		return s.takeActions()
	}
	u.breaker.Fail(now, s.liveEntries, s.rng)
	s.retry(now, rs, u)
	s.dispatchAll(now)
	return s.takeActions()
}

// countWork counts the prompt tokens computed for a dispatch that ended, and by
// cause those that were wasted.
func (s *Scheduler) countWork(now time.Time, rs *requestState, o ward.Outcome) {
	if !o.Connected {
		return
	}
	computed := float64(rs.prefillTokens)
	if rs.firstTokenAt.IsZero() {
		computed = min(computed, max(0, rs.upstream.budget.PrefillRate()*now.Sub(rs.dispatchedAt).Seconds()-float64(rs.prefillAhead-rs.prefillTokens)))
	}
	s.waste.Computed += computed
	switch {
	case o.OK:
	case slices.Contains(rs.route.split.Quarantined, rs.upstream.cfg.Version):
		s.waste.Add(waste.VersionRolledBack, computed)
	case o.Cancelled && !now.Before(rs.item.Request.Deadline):
		s.waste.Add(waste.DeadlinePassed, computed)
	case o.Cancelled:
		s.waste.Add(waste.CallerGone, computed)
	default:
		s.waste.Add(waste.StreamCut, computed)
	}
}

// release frees the capacity that a dispatched request used.
func (s *Scheduler) release(now time.Time, rs *requestState) {
	u := rs.upstream
	rs.upstream = nil
	u.inFlight--
	if rs.firstTokenAt.IsZero() {
		u.endPrefill(now, rs)
	}
	rs.team.running--
	if rs.onNext && rs.route.onNext > 0 {
		rs.route.onNext--
	}
}

// retry schedules another attempt for a request that reached no upstream, within
// the retry budgets of its team and of the upstream.
func (s *Scheduler) retry(now time.Time, rs *requestState, u *upstream) {
	if rs.item.Attempts >= retry.MaxAttempts || !u.retries.Available() || !rs.team.retries.Take() {
		s.refuse(rs, code.UpstreamUnreachable, minRetryAfter, "no connection to an upstream, and no retry left")
		return
	}
	u.retries.Take()
	rs.avoid = u
	rs.retryAt = now.Add(retry.Backoff(rs.item.Attempts, s.rng))
	s.delayed = append(s.delayed, rs)
}

// Report records the load that an upstream reported.
func (s *Scheduler) Report(now time.Time, r ward.LoadReport) {
	u := s.upstreams[r.Upstream]
	if u == nil {
		return
	}
	u.breaker.Reachable(now)
	if r.At.Before(u.report.At) {
		return
	}
	u.report = r
	u.budget.Report(r)
}

// AddCacheEvents records cache events of an upstream.
func (s *Scheduler) AddCacheEvents(_ time.Time, name string, events []ward.CacheEvent) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	for _, ev := range events {
		if ev.Stored {
			s.prefixes.Store(ev.Prefix, u.number)
			continue
		}
		s.prefixes.Drop(ev.Prefix, u.number)
	}
}

// resumeDelayed queues the delayed requests whose back-off is over.
func (s *Scheduler) resumeDelayed(now time.Time) {
	s.delayed = slices.DeleteFunc(s.delayed, func(rs *requestState) bool {
		if s.requests[rs.item.ID] != rs {
			return true
		}
		if now.Before(rs.retryAt) {
			return false
		}
		s.readmit(now, rs)
		return true
	})
}

func (s *Scheduler) readmit(now time.Time, rs *requestState) {
	rs.pool, rs.onNext = s.assign(now, rs)
	if len(rs.pool.upstreams) < 2 {
		rs.avoid = nil
	}
	if rs.item.Latest.Before(now) {
		s.refuse(rs, code.DeadlinePassed, minRetryAfter, "the last useful moment has passed")
		return
	}
	s.enqueue(rs)
}
