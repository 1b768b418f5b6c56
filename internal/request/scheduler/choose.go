package scheduler

import (
	"time"

	"agateward/ward"
)

// aheadOf is the wait for prompts before it, in an upstream, that a request is
// handed over to, by tier: the lower tiers leave room for the higher ones.
var aheadOf = [ward.TierCount]time.Duration{
	500 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond,
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

// guestBacklog is the wait in such an upstream that is put up with.
var guestBacklog = [ward.TierCount]time.Duration{
	400 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond,
}

// Bounds of the use of upstreams that belong to other entries.
const (
	// lastChance is the time before a request's last useful moment from which on
	// any upstream will do that is expected to be in time.
	lastChance = 400 * time.Millisecond
	// guestTries is the number of upstreams that are looked at.
	guestTries = 3
)

// match is an upstream that has a part of a prompt cached.
type match struct {
	u      *upstream
	tokens int
}

// Bounds of prefix affinity.
const (
	// worthwhile is the part of a prompt that must be cached for an upstream to
	// be used of which this entry has no part.
	worthwhile = 0.5
	// slackPart is the part of the time to the first token that may be used up.
	slackPart = 0.7
	// longestWait is the wait in such an upstream that is put up with.
	longestWait = 4 * time.Second
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
	if best.u == nil && e.item.Latest.Sub(now) < lastChance {
		s.tryAny(now, p, e, &best)
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
		if u.budget.FirstTokenIn(u.backlog(now)) <= guestBacklog[e.item.Tier-ward.TierTop] {
			best.keep(u.option(now, e, s.cached(u)))
		}
	}
}

// tryAny looks at a few upstreams of any entry, this one's among them, for one
// that is expected to be in time whatever waits there.
func (s *Scheduler) tryAny(now time.Time, p *pool, e *entry, best *option) {
	keep := func(u *upstream) {
		if !s.mayUse(now, u, e) || float64(u.inFlight+u.othersFlight+1) > u.budget.Limit() {
			return
		}
		if o := u.option(now, e, s.cached(u)); !now.Add(o.first).After(e.item.Due) {
			best.keep(o)
		}
	}
	for _, u := range p.owned {
		keep(u)
	}
	for range guestTries {
		keep(p.upstreams[s.rng.IntN(len(p.upstreams))])
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

// keep replaces o by a better option.
func (o *option) keep(x option) {
	if o.u == nil || x.total < o.total {
		*o = x
	}
}
