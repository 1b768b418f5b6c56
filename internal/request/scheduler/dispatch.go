package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/floor"
	"agateward/internal/result/code"
	"agateward/ward"
)

// aheadOf is the wait for prompts before it, in an upstream, that a request is
// handed over to, by tier: the lower tiers leave room for the higher ones.
var aheadOf = [ward.TierCount]time.Duration{
	500 * time.Millisecond, 400 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond,
}

// paceAhead is how far an entry may run before its part of an upstream's prefill
// rate.
const paceAhead = 5 * time.Second

// othersFactor is what a prompt counts that a peer told of: the news is old.
const othersFactor = 0.5

// guestAfter is the time that a request waits before it tries upstreams that
// belong to other entries, by tier.
var guestAfter = [ward.TierCount]time.Duration{
	100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond,
}

// Bounds of the use of upstreams that belong to other entries.
const (
	// guestBacklog is the wait in such an upstream that is put up with.
	guestBacklog = 100 * time.Millisecond
	// guestTries is the number of upstreams that are looked at.
	guestTries = 3
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
		// One that came with less time than floors take to act was hardly feasible.
		if it.Latest.Sub(it.Since) >= floor.Hold {
			s.floor(p.key.serves).Force(now, it.Tier)
		}
		s.refuse(s.requests[it.ID], code.DeadlinePassed, leastRetryAfter, "the last useful moment has passed")
	}
}

// match is an upstream that has a part of a prompt cached.
type match struct {
	u      *upstream
	tokens int
}

// Bounds of prefix affinity.
const (
	// workWeight is what a second of prefill that others wait for counts against
	// a second of the request's own time.
	workWeight = 0.0
	// worthwhile is the part of a prompt that must be cached for an upstream to
	// be used of which this entry has no part.
	worthwhile = 0.5
	// slackPart is the part of the time to the first token that may be used up.
	slackPart = 0.7
	// longestWait is the wait in such an upstream that is put up with.
	longestWait = 4000 * time.Millisecond
)

// option is an upstream that a request may go to, and what is expected of it.
type option struct {
	u            *upstream
	need         int
	first, total time.Duration
	reason       string
}

// choose returns the best option of a request that may be used now; its
// upstream is nil when there is none.
func (s *Scheduler) choose(now time.Time, p *pool, e *entry) option {
	best := s.best(now, p, e)
	if best.u != nil && !best.u.breaker.Allow(now) {
		return option{}
	}
	return best
}

// best is choose without a claim on a breaker's probe.
func (s *Scheduler) best(now time.Time, p *pool, e *entry) option {
	s.findMatches(p, e)
	var best option
	for _, u := range p.owned {
		if s.mayUse(now, u, e) && u.budget.Fits(now, u.inFlight, paceAhead) && u.ready(now, e) {
			best.keep(u.option(now, e, s.cached(u)))
		}
	}
	if best.u == nil && now.Sub(e.item.Since) > guestAfter[e.item.Tier-ward.TierTop] {
		s.tryGuests(now, p, e, &best)
	}
	for _, m := range s.matched {
		part := float64(m.tokens) / float64(max(e.item.Request.PromptTokens, 1))
		if part < worthwhile || m.u.budget.Part() > 0 || !s.mayUse(now, m.u, e) || !m.u.roomForGuest(now) {
			continue
		}
		if o := m.u.option(now, e, m.tokens); float64(o.first) <= slackPart*float64(e.item.Due.Sub(now)) {
			best.keep(o)
		}
	}
	return best
}

// tryGuests looks at a few upstreams that belong to other entries.
func (s *Scheduler) tryGuests(now time.Time, p *pool, e *entry, best *option) {
	for range guestTries {
		u := p.upstreams[s.rng.IntN(len(p.upstreams))]
		if u.budget.Part() > 0 || !s.mayUse(now, u, e) || !u.budget.FitsGuest(now, u.inFlight+u.othersFlight) {
			continue
		}
		if u.budget.FirstTokenIn(u.backlog(now)) <= guestBacklog {
			best.keep(u.option(now, e, s.cached(u)))
		}
	}
}

// findMatches looks for the upstreams of the pool that have a part of the
// prompt.
func (s *Scheduler) findMatches(p *pool, e *entry) {
	s.matched = s.matched[:0]
	s.prefixes.Match(e.item.Request.Prefix, func(number, blocks int) bool {
		u := s.numbers[number]
		if u.cfg.Serves == p.key.serves && u.cfg.Version == p.key.version && !u.cfg.Removed {
			s.matched = append(s.matched, match{u, blocks * ward.PrefixBlockTokens})
		}
		return true
	})
}

func (s *Scheduler) cached(u *upstream) int {
	for _, m := range s.matched {
		if m.u == u {
			return m.tokens
		}
	}
	return 0
}

// mayUse tells whether an upstream may get the request at all.
func (s *Scheduler) mayUse(now time.Time, u *upstream, e *entry) bool {
	return u.usable() && u != e.avoid && u.breaker.Ready(now)
}

// ready tells whether the prompts that wait in the upstream leave room for the
// request's tier.
func (u *upstream) ready(now time.Time, e *entry) bool {
	if u.cfg.Kind == ward.KindService {
		return true
	}
	return u.budget.FirstTokenIn(u.backlog(now)) <= aheadOf[e.item.Tier-ward.TierTop]
}

// roomForGuest tells whether an upstream that belongs to other entries can take
// a request with a cached prompt.
func (u *upstream) roomForGuest(now time.Time) bool {
	if float64(u.inFlight+u.othersFlight+1) > u.budget.Limit() {
		return false
	}
	return u.budget.FirstTokenIn(u.backlog(now)) <= longestWait
}

// option returns what is expected of an upstream that has so many tokens of the
// prompt cached.
func (u *upstream) option(now time.Time, e *entry, cached int) option {
	r := e.item.Request
	o := option{u: u, need: max(r.PromptTokens-cached, 0), reason: "earliest expected completion among the upstreams with room"}
	if cached > 0 {
		o.reason = "earliest expected completion; a part of the prompt is cached there"
	}
	if r.Kind == ward.KindService {
		o.total = time.Duration(u.inFlight+u.othersFlight) * time.Millisecond
		return o
	}
	o.first = u.budget.FirstTokenIn(u.backlog(now) + float64(o.need))
	o.total = o.first + time.Duration(output(r))*u.budget.TokenTime()
	return o
}

// score is what options are compared by: the expected completion, and the work
// that a cached prompt spares others.
func (o *option) score() time.Duration {
	return o.total + time.Duration(workWeight*float64(o.u.budget.FirstTokenIn(float64(o.need))))
}

// keep replaces o by a better option.
func (o *option) keep(x option) {
	if o.u == nil || x.score() < o.score() {
		*o = x
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
