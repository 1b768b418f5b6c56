package scheduler

import (
	"time"

	"agateward/ward"
)

// maxTierBacklog is the longest prefill backlog of an upstream, in time, at
// which it gets a request of a tier. Lower tiers leave room for higher ones.
var maxTierBacklog = [ward.TierCount]time.Duration{
	500 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond,
}

// maxPaceLead is how far an entry's dispatches may run ahead of its share of an
// upstream's prefill rate.
const maxPaceLead = 5 * time.Second

// peerPrefillFactor weighs prompt tokens reported by peers. It is below 1
// because a part of them is computed by the time the report arrives.
const peerPrefillFactor = 0.5

// spilloverDelay is the time that a request of a tier waits before it may use
// upstreams that other entries own.
var spilloverDelay = [ward.TierCount]time.Duration{
	100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond,
}

// maxSpilloverBacklog is the longest prefill backlog, in time, at which such an
// upstream is used.
var maxSpilloverBacklog = [ward.TierCount]time.Duration{
	400 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond,
}

// Bounds of the use of upstreams that other entries own.
const (
	// urgentThreshold is the time to a request's latest dispatch below which any
	// upstream is used that is expected to be in time.
	urgentThreshold = 400 * time.Millisecond
	// spilloverSamples is the number of upstreams that are sampled.
	spilloverSamples = 3
)

// match is an upstream that has cached a prefix of a prompt.
type match struct {
	u      *upstream
	tokens int
}

// Bounds of prefix affinity.
const (
	// minCachedFraction is the least fraction of a prompt that must be cached for an
	// upstream to be used of which this entry has no share.
	minCachedFraction = 0.5
	// maxSlackFraction is the greatest expected time to the first token, as a
	// fraction of the time left until the request is due.
	maxSlackFraction = 0.7
	// maxAffinityBacklog is the longest prefill backlog, in time, at which such an
	// upstream is used.
	maxAffinityBacklog = 4 * time.Second
)

// candidate is an upstream that may get a request, with the prompt tokens it
// needs to compute and the expected times to the first token and to the end.
type candidate struct {
	u            *upstream
	need         int
	first, total time.Duration
	reason       string
}

// choose returns the best candidate for a request, and claims a probe if its
// breaker is open. The candidate's upstream is nil when there is none.
func (s *Scheduler) choose(now time.Time, p *pool, rs *requestState) candidate {
	best := s.best(now, p, rs)
	if best.u != nil && !best.u.breaker.Allow(now) {
		return candidate{}
	}
	return best
}

// best returns the best candidate for a request without claiming a probe.
func (s *Scheduler) best(now time.Time, p *pool, rs *requestState) candidate {
	s.findMatches(p, rs)
	var best candidate
	for _, u := range p.owned {
		if s.eligible(now, u, rs) && u.budget.Fits(now, u.inFlight, maxPaceLead) && u.hasRoomForTier(now, rs) {
			best.takeBetter(u.candidate(now, rs, s.cached(u)))
		}
	}
	if best.u == nil && now.Sub(rs.item.Since) > spilloverDelay[rs.item.Tier-ward.TierTop] {
		s.trySpillover(now, p, rs, &best)
	}
	if best.u == nil && rs.item.Latest.Sub(now) < urgentThreshold {
		s.tryAny(now, p, rs, &best)
	}
	for _, m := range s.matched {
		cached := float64(m.tokens) / float64(max(rs.item.Request.PromptTokens, 1))
		if cached < minCachedFraction || m.u.budget.Share() > 0 || !s.eligible(now, m.u, rs) || !m.u.hasAffinityRoom(now) {
			continue
		}
		if c := m.u.candidate(now, rs, m.tokens); float64(c.first) <= maxSlackFraction*float64(rs.item.Due.Sub(now)) {
			best.takeBetter(c)
		}
	}
	return best
}

// trySpillover samples a few upstreams that other entries own.
func (s *Scheduler) trySpillover(now time.Time, p *pool, rs *requestState, best *candidate) {
	for range spilloverSamples {
		u := p.upstreams[s.rng.IntN(len(p.upstreams))]
		if u.budget.Share() > 0 || !s.eligible(now, u, rs) || !u.budget.FitsSpillover(now, u.inFlight+u.peerInFlight) {
			continue
		}
		if u.budget.TimeToFirstToken(u.prefillBacklog(now)) <= maxSpilloverBacklog[rs.item.Tier-ward.TierTop] {
			best.takeBetter(u.candidate(now, rs, s.cached(u)))
		}
	}
}

// tryAny tries this entry's upstreams and a few others, and accepts one that is
// expected to be in time whatever its backlog is.
func (s *Scheduler) tryAny(now time.Time, p *pool, rs *requestState, best *candidate) {
	try := func(u *upstream) {
		if !s.eligible(now, u, rs) || float64(u.inFlight+u.peerInFlight+1) > u.budget.Limit() {
			return
		}
		if c := u.candidate(now, rs, s.cached(u)); !now.Add(c.first).After(rs.item.Due) {
			best.takeBetter(c)
		}
	}
	for _, u := range p.owned {
		try(u)
	}
	for range spilloverSamples {
		try(p.upstreams[s.rng.IntN(len(p.upstreams))])
	}
}

// findMatches finds the upstreams of the pool that have cached a prefix of the
// prompt.
func (s *Scheduler) findMatches(p *pool, rs *requestState) {
	s.matched = s.matched[:0]
	s.prefixes.Match(rs.item.Request.Prefix, func(number, blocks int) bool {
		u := s.byNumber[number]
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

// eligible reports whether an upstream may get the request, apart from its load.
func (s *Scheduler) eligible(now time.Time, u *upstream, rs *requestState) bool {
	return u.usable() && u != rs.avoid && u.breaker.Ready(now)
}

// hasRoomForTier reports whether the upstream's prefill backlog leaves room for
// the request's tier.
func (u *upstream) hasRoomForTier(now time.Time, rs *requestState) bool {
	if u.cfg.Kind == ward.KindService {
		return true
	}
	return u.budget.TimeToFirstToken(u.prefillBacklog(now)) <= maxTierBacklog[rs.item.Tier-ward.TierTop]
}

// hasAffinityRoom reports whether an upstream that other entries own has room
// for a request whose prompt is cached there.
func (u *upstream) hasAffinityRoom(now time.Time) bool {
	if float64(u.inFlight+u.peerInFlight+1) > u.budget.Limit() {
		return false
	}
	return u.budget.TimeToFirstToken(u.prefillBacklog(now)) <= maxAffinityBacklog
}

// candidate returns the upstream as a candidate, given the number of prompt
// tokens that it has cached.
func (u *upstream) candidate(now time.Time, rs *requestState, cached int) candidate {
	r := rs.item.Request
	c := candidate{u: u, need: max(r.PromptTokens-cached, 0), reason: "earliest expected completion among the upstreams with room"}
	if cached > 0 {
		c.reason = "earliest expected completion; a part of the prompt is cached there"
	}
	if r.Kind == ward.KindService {
		c.total = time.Duration(u.inFlight+u.peerInFlight) * time.Millisecond
		return c
	}
	c.first = u.budget.TimeToFirstToken(u.prefillBacklog(now) + float64(c.need))
	c.total = c.first + time.Duration(plannedOutput(r))*u.budget.TokenTime()
	return c
}

// takeBetter replaces c by x if x is expected to end earlier.
func (c *candidate) takeBetter(x candidate) {
	if c.u == nil || x.total < c.total {
		*c = x
	}
}
