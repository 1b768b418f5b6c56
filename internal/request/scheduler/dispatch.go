package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/floor"
	"agateward/internal/result/code"
)

// dispatchAll dispatches the waiting requests of all pools that fit.
func (s *Scheduler) dispatchAll(now time.Time) {
	for _, p := range s.orderedPools {
		s.dispatchPool(now, p)
	}
}

// dispatchPool dispatches a pool's requests in queue order until no upstream has
// room for the head.
func (s *Scheduler) dispatchPool(now time.Time, p *pool) {
	s.expire(now, p)
	if p.queue.Len() > 0 && !p.serving() {
		s.refuseAll(p)
	}
	defer func() { p.rates.advance(now, p.queue.Len() > 0 && !p.readyAt(now).After(now)) }()
	for it := p.queue.Head(); it != nil; it = p.queue.Head() {
		rs := s.requests[it.ID]
		if to, next := s.assign(now, rs); to != p {
			p.queue.Remove(it)
			rs.pool, rs.onNext = to, next
			to.queue.Push(it)
			s.dispatchPool(now, to)
			continue
		}
		c := s.choose(now, p, rs)
		if c.u == nil {
			return
		}
		p.queue.Pop()
		s.waiting--
		s.recordDispatch(now, rs, c)
	}
}

// refuseAll refuses the requests that wait for a version which no upstream
// serves any more.
func (s *Scheduler) refuseAll(p *pool) {
	for it := p.queue.Head(); it != nil; it = p.queue.Head() {
		s.refuse(s.requests[it.ID], code.NoUpstream, minRetryAfter, "no upstream of the version takes work any more")
	}
}

// expire refuses the requests that can no longer be served in time.
func (s *Scheduler) expire(now time.Time, p *pool) {
	for it := p.queue.Expired(now); it != nil; it = p.queue.Expired(now) {
		// A request that expires before floors could act was hardly feasible, so it
		// doesn't raise the floor.
		if now.Sub(it.Since) >= floor.MaxHold {
			s.floor(p.key.serves).Force(now, it.Tier)
		}
		s.refuse(s.requests[it.ID], code.DeadlinePassed, minRetryAfter, "the last useful moment has passed")
	}
}

// recordDispatch records the dispatch of a request.
func (s *Scheduler) recordDispatch(now time.Time, rs *requestState, c candidate) {
	u := c.u
	if rs.item.Attempts == 0 {
		rs.team.retries.RecordAttempt()
		u.retries.RecordAttempt()
	}
	rs.item.Attempts++
	rs.upstream = u
	rs.dispatchedAt = now
	rs.firstTokenAt = time.Time{}
	rs.prefillTokens = c.need
	rs.prefillAhead = int(u.prefillBacklog(now)) + c.need
	u.inFlight++
	u.budget.Spend(now, c.need)
	u.prefill += c.need
	if len(u.prefilling) == 0 {
		u.prefillStart = now
	}
	u.prefilling = append(u.prefilling, rs)
	rs.team.running++
	if rs.onNext {
		rs.route.onNext++
	}
	rs.pool.rates.recordServed(now, rs.item.Cost)
	s.actions = append(s.actions, Action{
		Kind: Dispatch, ID: rs.item.ID, Upstream: u.cfg, FirstToken: c.first,
		Reason: c.reason,
	})
}

// prefillBacklog returns the prompt tokens that wait in the upstream. Tokens of
// the current prompt that should be computed by now don't count.
func (u *upstream) prefillBacklog(now time.Time) float64 {
	left := float64(u.prefill) + peerPrefillFactor*float64(u.peerPrefill)
	if len(u.prefilling) == 0 {
		return left
	}
	done := u.budget.PrefillRate() * now.Sub(u.prefillStart).Seconds()
	return left - min(done, float64(u.prefilling[0].prefillTokens))
}

// endPrefill records that a prompt was computed or abandoned.
func (u *upstream) endPrefill(now time.Time, rs *requestState) {
	u.prefill -= rs.prefillTokens
	if i := slices.Index(u.prefilling, rs); i >= 0 {
		u.prefilling = slices.Delete(u.prefilling, i, i+1)
		u.prefillStart = now
	}
}
