package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/retry"
	"agateward/internal/request/waste"
	"agateward/internal/result/code"
	"agateward/ward"
)

// FirstToken takes note of the first token of a dispatched request.
func (s *Scheduler) FirstToken(now time.Time, id string) {
	e := s.requests[id]
	if e == nil || e.up == nil || !e.first.IsZero() {
		return
	}
	e.first = now
	e.seen = now
	e.tokens = 1
	e.up.prefilled(now, e)
	if e.item.Request.Kind != ward.KindService {
		for _, h := range e.item.Request.Prefix {
			s.prefixes.Store(h, e.up.number)
		}
		e.up.budget.FirstToken(now, e.ahead, now.Sub(e.sent))
	}
}

// Progress takes note of the output tokens that a dispatched request has so
// far.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) {
	e := s.requests[id]
	if e == nil || e.up == nil || e.first.IsZero() || tokens <= e.tokens {
		return
	}
	e.up.budget.Tokens(now, tokens-e.tokens, now.Sub(e.seen))
	e.tokens = tokens
	e.seen = now
}

// End takes note of how a dispatch ended. When the connection was never made the
// request may wait for another try; otherwise it is never sent again.
func (s *Scheduler) End(now time.Time, id string, o ward.Outcome) []Action {
	e := s.requests[id]
	if e == nil || e.up == nil {
		return nil
	}
	u := e.up
	s.Progress(now, id, o.OutputTokens)
	s.countWork(now, e, o)
	s.release(now, e)
	if o.Connected || o.Cancelled {
		if o.Connected {
			u.breaker.Succeed()
		}
		delete(s.requests, id)
		s.pumpAll(now)
		return s.take()
	}
	u.breaker.Fail(now, s.entries, s.rng)
	s.retry(now, e, u)
	s.pumpAll(now)
	return s.take()
}

// countWork counts the prompt work of a dispatch that ends, and whether it was
// thrown away.
func (s *Scheduler) countWork(now time.Time, e *entry, o ward.Outcome) {
	if !o.Connected {
		return
	}
	computed := float64(e.need)
	if e.first.IsZero() {
		computed = min(computed, max(0, e.up.budget.PrefillRate()*now.Sub(e.sent).Seconds()-float64(e.ahead-e.need)))
	}
	s.waste.Computed += computed
	switch {
	case o.OK:
	case slices.Contains(e.route.split.Quarantined, e.up.cfg.Version):
		s.waste.Add(waste.VersionTakenBack, computed)
	case o.Cancelled && !now.Before(e.item.Request.Deadline):
		s.waste.Add(waste.DeadlinePassed, computed)
	case o.Cancelled:
		s.waste.Add(waste.CallerGone, computed)
	default:
		s.waste.Add(waste.StreamCut, computed)
	}
}

// release gives back what a dispatched request used.
func (s *Scheduler) release(now time.Time, e *entry) {
	u := e.up
	e.up = nil
	u.inFlight--
	if e.first.IsZero() {
		u.prefilled(now, e)
	}
	e.team.running--
	if e.onNext && e.route.onNext > 0 {
		e.route.onNext--
	}
}

// retry lets a request that reached no upstream wait for another try, within
// the budgets of its team and of the upstream.
func (s *Scheduler) retry(now time.Time, e *entry, u *upstream) {
	if e.item.Tries >= retry.MaxTries || !u.retries.Left() || !e.team.retries.Take() {
		s.refuse(e, code.UpstreamUnreachable, leastRetryAfter, "no connection to an upstream, and no retry left")
		return
	}
	u.retries.Take()
	e.avoid = u
	e.retryAt = now.Add(retry.Backoff(e.item.Tries, s.rng))
	s.delayed = append(s.delayed, e)
}

// Report takes an upstream's word on its own load.
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

// Cache takes cache events of an upstream.
func (s *Scheduler) Cache(_ time.Time, name string, events []ward.CacheEvent) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	for _, e := range events {
		if e.Stored {
			s.prefixes.Store(e.Prefix, u.number)
			continue
		}
		s.prefixes.Drop(e.Prefix, u.number)
	}
}

// resume puts the delayed requests whose pause is over back into their queue.
func (s *Scheduler) resume(now time.Time) {
	s.delayed = slices.DeleteFunc(s.delayed, func(e *entry) bool {
		if s.requests[e.item.ID] != e {
			return true
		}
		if now.Before(e.retryAt) {
			return false
		}
		s.readmit(now, e)
		return true
	})
}

func (s *Scheduler) readmit(now time.Time, e *entry) {
	e.pool, e.onNext = s.assign(now, e)
	if len(e.pool.upstreams) < 2 {
		e.avoid = nil
	}
	if e.item.Latest.Before(now) {
		s.refuse(e, code.DeadlinePassed, leastRetryAfter, "the last useful moment has passed")
		return
	}
	s.enqueue(e)
}
