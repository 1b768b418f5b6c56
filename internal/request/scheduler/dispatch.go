package scheduler

import (
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// aheadOf is how far an entry may run before its pace at an upstream, by tier.
var aheadOf = [ward.TierCount]time.Duration{1500 * time.Millisecond, time.Second, 500 * time.Millisecond, 0}

// pumpAll dispatches what fits in every pool.
func (s *Scheduler) pumpAll(now time.Time) {
	for _, p := range s.order {
		s.pump(now, p)
	}
}

// pump dispatches in order until the head fits nowhere.
func (s *Scheduler) pump(now time.Time, p *pool) {
	s.expire(now, p)
	for it := p.queue.Head(); it != nil; it = p.queue.Head() {
		e := s.requests[it.ID]
		if to, next := s.assign(now, e); to != p {
			p.queue.Remove(it)
			e.pool, e.onNext = to, next
			to.queue.Push(it)
			s.pump(now, to)
			continue
		}
		u, first := s.choose(now, p, e)
		if u == nil {
			return
		}
		p.queue.Pop()
		s.waiting--
		s.send(now, e, u, first)
	}
}

// expire refuses the requests that can't be served in time any more.
func (s *Scheduler) expire(now time.Time, p *pool) {
	for it := p.queue.Expired(now); it != nil; it = p.queue.Expired(now) {
		s.refuse(s.requests[it.ID], code.DeadlinePassed, leastRetryAfter, "the last useful moment has passed")
	}
}

// choose returns the upstream with room that is expected to finish first, and
// the expected time to its first token.
func (s *Scheduler) choose(now time.Time, p *pool, e *entry) (*upstream, time.Duration) {
	var best *upstream
	var bestFirst, bestTotal time.Duration
	r := e.item.Request
	for _, u := range p.upstreams {
		if !u.usable() || u == e.avoid || !u.breaker.Ready(now) {
			continue
		}
		if !u.budget.Fits(now, u.inFlight, aheadOf[e.item.Tier-ward.TierTop]) {
			continue
		}
		first := u.budget.FirstTokenIn(float64(u.prefill + u.othersPrefill + r.PromptTokens))
		total := first + time.Duration(output(r))*u.budget.TokenTime()
		if r.Kind == ward.KindService {
			total = time.Duration(u.inFlight+u.othersFlight) * time.Millisecond
		}
		if best == nil || total < bestTotal {
			best, bestFirst, bestTotal = u, first, total
		}
	}
	if best != nil && !best.breaker.Allow(now) {
		return nil, 0
	}
	return best, bestFirst
}

// send records the dispatch of a request.
func (s *Scheduler) send(now time.Time, e *entry, u *upstream, first time.Duration) {
	r := e.item.Request
	if e.item.Tries == 0 {
		e.team.retries.Sent()
		u.retries.Sent()
	}
	e.item.Tries++
	e.up = u
	e.sent = now
	e.first = time.Time{}
	e.ahead = u.prefill + u.othersPrefill + r.PromptTokens
	u.inFlight++
	u.budget.Spend(now, r.PromptTokens)
	u.prefill += r.PromptTokens
	e.team.running++
	if e.onNext {
		e.route.onNext++
	}
	e.pool.drain.add(now, e.item.Tier, e.item.Cost)
	s.actions = append(s.actions, Action{
		Kind: Dispatch, ID: e.item.ID, Upstream: u.cfg, FirstToken: first,
		Reason: "earliest expected completion among the upstreams with room",
	})
}
