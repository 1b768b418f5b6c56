package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/floor"
	"agateward/internal/result/code"
)

// pumpAll dispatches what fits in every pool.
func (s *Scheduler) pumpAll(now time.Time) {
	for _, p := range s.order {
		s.pump(now, p)
	}
}

// pump dispatches in order until the head fits nowhere.
func (s *Scheduler) pump(now time.Time, p *pool) {
	s.expire(now, p)
	if p.queue.Len() > 0 && !p.serving() {
		s.refuseAll(p)
	}
	defer func() { p.rates.pass(now, p.queue.Len() > 0 && !p.readyAt(now).After(now)) }()
	for it := p.queue.Head(); it != nil; it = p.queue.Head() {
		e := s.requests[it.ID]
		if to, next := s.assign(now, e); to != p {
			p.queue.Remove(it)
			e.pool, e.onNext = to, next
			to.queue.Push(it)
			s.pump(now, to)
			continue
		}
		o := s.choose(now, p, e)
		if o.u == nil {
			return
		}
		p.queue.Pop()
		s.waiting--
		s.send(now, e, o)
	}
}

// refuseAll refuses what waits for a version that no upstream serves any more.
func (s *Scheduler) refuseAll(p *pool) {
	for it := p.queue.Head(); it != nil; it = p.queue.Head() {
		s.refuse(s.requests[it.ID], code.NoUpstream, leastRetryAfter, "no upstream of the version takes work any more")
	}
}

// expire refuses the requests that can't be served in time any more.
func (s *Scheduler) expire(now time.Time, p *pool) {
	for it := p.queue.Expired(now); it != nil; it = p.queue.Expired(now) {
		// One that goes sooner than floors can act was hardly feasible.
		if now.Sub(it.Since) >= floor.Hold {
			s.floor(p.key.serves).Force(now, it.Tier)
		}
		s.refuse(s.requests[it.ID], code.DeadlinePassed, leastRetryAfter, "the last useful moment has passed")
	}
}

// send records the dispatch of a request.
func (s *Scheduler) send(now time.Time, e *entry, o option) {
	u := o.u
	if e.item.Tries == 0 {
		e.team.retries.Sent()
		u.retries.Sent()
	}
	e.item.Tries++
	e.up = u
	e.sent = now
	e.first = time.Time{}
	e.need = o.need
	e.ahead = int(u.backlog(now)) + o.need
	u.inFlight++
	u.budget.Spend(now, o.need)
	u.prefill += o.need
	if len(u.pending) == 0 {
		u.began = now
	}
	u.pending = append(u.pending, e)
	e.team.running++
	if e.onNext {
		e.route.onNext++
	}
	e.pool.rates.serve(now, e.item.Cost)
	s.actions = append(s.actions, Action{
		Kind: Dispatch, ID: e.item.ID, Upstream: u.cfg, FirstToken: o.first,
		Reason: o.reason,
	})
}

// backlog returns the prompt tokens that wait in the upstream. Of the prompt
// that is being computed, only what is expected to be left counts.
func (u *upstream) backlog(now time.Time) float64 {
	left := float64(u.prefill) + othersFactor*float64(u.othersPrefill)
	if len(u.pending) == 0 {
		return left
	}
	done := u.budget.PrefillRate() * now.Sub(u.began).Seconds()
	return left - min(done, float64(u.pending[0].need))
}

// prefilled takes note that a prompt is computed, or given up.
func (u *upstream) prefilled(now time.Time, e *entry) {
	u.prefill -= e.need
	if i := slices.Index(u.pending, e); i >= 0 {
		u.pending = slices.Delete(u.pending, i, i+1)
		u.began = now
	}
}
