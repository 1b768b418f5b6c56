package scheduler

import (
	"time"

	"agateward/internal/request/floor"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Costs of a request, in tokens.
const (
	// fixedCost is added to every request; a call to a plain service has no
	// other cost.
	fixedCost = 50
	// waitFactor scales the expected wait, so that requests are admitted rather
	// than refused in doubt: a request that waits and then expires costs less
	// than one that is refused though it could have been served.
	waitFactor = 0.7
	// defaultOutput is the planned output of a request that states no length.
	defaultOutput = 128
)

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Arrive dispatches, queues or refuses a new request. It may displace a waiting
// request of a lower tier. A request whose ID already waits or runs is ignored.
func (s *Scheduler) Arrive(now time.Time, r *ward.Request) []Action {
	if s.requests[r.ID] != nil {
		return nil
	}
	if c, reason := s.refusalReason(r); reason != "" {
		s.refuseID(r.ID, c, minRetryAfter, reason)
		return s.takeActions()
	}
	rs := s.newRequest(now, r)
	if !rs.team.allow(now, rs.item.Cost, s.liveEntries) {
		s.refuseID(r.ID, code.TeamLimit, minRetryAfter, "the team's limit is used up")
		return s.takeActions()
	}
	s.admit(now, rs)
	return s.takeActions()
}

// refusalReason returns the code and reason of a refusal that doesn't depend on
// the load; the reason is empty when there is none.
func (s *Scheduler) refusalReason(r *ward.Request) (code.Code, string) {
	switch {
	case s.revision == 0 && len(s.routes) == 0:
		return code.NotReady, "no configuration is in force"
	case s.stopping:
		return code.Stopping, "the entry is stopping"
	case s.routes[r.Route] == nil || s.routes[r.Route].cfg.Removed:
		return code.UnknownRoute, "no such route is in force"
	}
	return code.Code{}, ""
}

func (s *Scheduler) newRequest(now time.Time, r *ward.Request) *requestState {
	rs := &requestState{route: s.routes[r.Route], team: s.team(r.Team)}
	it := &rs.item
	it.ID = r.ID
	it.Team = r.Team
	it.Weight = rs.team.cfg.Weight
	it.Tier = min(max(r.Tier, ward.TierTop), ward.TierBottom)
	it.Request = r
	it.Draw = s.rng.Float64()
	it.Since = now
	it.Cost = fixedCost + float64(r.PromptTokens+plannedOutput(r))
	it.Due = r.Deadline
	if r.FirstToken > 0 {
		if t := r.Arrived.Add(r.FirstToken); t.Before(it.Due) {
			it.Due = t
		}
	}
	return rs
}

// plannedOutput returns the expected number of output tokens.
func plannedOutput(r *ward.Request) int {
	switch {
	case r.Kind == ward.KindService:
		return 0
	case r.ExpectOutput > 0:
		return r.ExpectOutput
	case r.MaxOutput > 0:
		return min(r.MaxOutput, defaultOutput)
	}
	return defaultOutput
}

// admit queues a request, or refuses it when it can't be served.
func (s *Scheduler) admit(now time.Time, rs *requestState) {
	rs.pool, rs.onNext = s.assign(now, rs)
	if !rs.pool.serving() {
		s.refuse(rs, code.NoUpstream, minRetryAfter, "no upstream of the version takes work")
		return
	}
	f := s.floor(rs.pool.key.serves)
	if rs.item.Tier > f.Level() {
		s.refuse(rs, code.Shed, maxRetryAfter/10, "the tier is below the floor")
		return
	}
	rs.pool.rates.recordArrival(now, rs.item.Tier, rs.item.Cost)
	least := rs.pool.minServiceTime(rs.item.Request)
	rs.item.Latest = rs.latestDispatch(least)
	if rs.item.Latest.Before(now) {
		s.refuse(rs, code.DeadlineUnreachable, minRetryAfter, "the deadline is shorter than the service time")
		return
	}
	if t := rs.pool.readyAt(now); t.After(rs.item.Latest) {
		s.refuse(rs, code.NoUpstream, retryAfter(t.Sub(now)), "connections to all upstreams of the version fail")
		return
	}
	wait := s.expectedWait(now, rs)
	if now.Add(wait).After(rs.item.Latest) && !s.hold(now, rs, wait) {
		return
	}
	s.displace(now, rs)
	if s.waiting >= s.cfg.MaxWaiting {
		f.Force(now, rs.item.Tier)
		s.refuse(rs, code.QueueFull, retryAfter(wait), "the queue is full")
		return
	}
	s.enqueue(rs)
	s.dispatchPool(now, rs.pool)
}

// hold handles a request that is not expected to be served in time. The request
// is refused once no entry admits a lower tier. Until that is observed it waits,
// for floor.MaxHold at most. hold reports whether the request waits.
func (s *Scheduler) hold(now time.Time, rs *requestState, wait time.Duration) bool {
	f := s.floor(rs.pool.key.serves)
	if f.Shed(now, rs.item.Tier, s.waitingFor(rs.pool.key.serves)) {
		s.refuse(rs, code.Shed, retryAfter(wait-rs.item.Latest.Sub(now)), "no capacity in time for the tier")
		return false
	}
	rs.holdUntil = now.Add(floor.MaxHold)
	s.held = append(s.held, rs)
	return true
}

// displace refuses a waiting request of a lower tier when the queue is full.
func (s *Scheduler) displace(_ time.Time, rs *requestState) {
	if s.waiting < s.cfg.MaxWaiting {
		return
	}
	var victim *queueItem
	for _, p := range s.orderedPools {
		if v := p.queue.Victim(rs.item.Tier); v != nil && (victim == nil || v.Tier > victim.Tier) {
			victim = v
		}
	}
	if victim == nil {
		return
	}
	s.refuse(s.requests[victim.ID], code.Displaced, minRetryAfter, "a request of a higher tier took its place")
}

// expectedWait returns how long a request is expected to wait in the queue.
func (s *Scheduler) expectedWait(now time.Time, rs *requestState) time.Duration {
	p := rs.pool
	higher, own := p.queue.CostAhead(rs.item.Tier, rs.item.Team, rs.item.Weight)
	if higher+own == 0 {
		return 0
	}
	all := p.rates.capacity()
	if all == 0 {
		return 0
	}
	// Work of higher tiers keeps arriving while this request waits.
	rate := max(all-p.rates.arrivalRateAbove(rs.item.Tier), all/20)
	return time.Duration(waitFactor * (higher + own) / rate * float64(time.Second))
}

// latestDispatch returns the latest useful time of a dispatch, given the
// minimum service time.
func (rs *requestState) latestDispatch(least minServiceTime) time.Time {
	r := rs.item.Request
	t := r.Deadline.Add(-least.total)
	if r.FirstToken > 0 {
		if f := r.Arrived.Add(r.FirstToken - least.first); f.Before(t) {
			t = f
		}
	}
	return t
}

// minServiceTime is the time that an idle upstream needs for a request: to its
// first token and to its end.
type minServiceTime struct{ first, total time.Duration }

// minServiceTime returns the service time of the pool's fastest upstream.
func (p *pool) minServiceTime(r *ward.Request) minServiceTime {
	var best minServiceTime
	if r.Kind == ward.KindService {
		return best
	}
	for _, u := range p.preferred() {
		if !u.usable() {
			continue
		}
		first := u.budget.TimeToFirstToken(float64(r.PromptTokens))
		total := first + time.Duration(plannedOutput(r))*u.budget.TokenTime()
		if best.total == 0 || total < best.total {
			best = minServiceTime{first, total}
		}
	}
	return best
}

func (s *Scheduler) enqueue(rs *requestState) {
	s.requests[rs.item.ID] = rs
	rs.pool.queue.Push(&rs.item)
	s.waiting++
}

// refuse refuses a request, and removes it from the queue if it waits.
func (s *Scheduler) refuse(rs *requestState, c code.Code, after time.Duration, reason string) {
	s.drop(rs)
	s.refuseID(rs.item.ID, c, after, reason)
}

// drop removes a request that does not run.
func (s *Scheduler) drop(rs *requestState) {
	if rs.item.Waiting() {
		rs.pool.queue.Remove(&rs.item)
		s.waiting--
	}
	delete(s.requests, rs.item.ID)
}

func (s *Scheduler) refuseID(id string, c code.Code, after time.Duration, reason string) {
	s.actions = append(s.actions, Action{Kind: Refuse, ID: id, Code: c, RetryAfter: after, Reason: reason})
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// waitingFor returns the number of requests that wait for a model or service,
// by tier.
func (s *Scheduler) waitingFor(serves string) [ward.TierCount]int {
	var n [ward.TierCount]int
	for _, p := range s.orderedPools {
		if p.key.serves != serves {
			continue
		}
		for i, x := range p.queue.Waiting() {
			n[i] += x
		}
	}
	return n
}

// Cancel records that the caller left. A waiting request is removed; a
// dispatched one still needs a call of End.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	rs := s.requests[id]
	if rs == nil || rs.upstream != nil {
		return nil
	}
	s.drop(rs)
	s.dispatchPool(now, rs.pool)
	return s.takeActions()
}

// allow charges the cost of a request to the team's limits, and reports whether
// they allow it. The limits are divided evenly over the live entries.
func (t *team) allow(now time.Time, cost float64, entries int) bool {
	n := float64(max(entries, 1))
	if t.cfg.InFlight > 0 && float64(t.running) >= max(1, float64(t.cfg.InFlight)/n) {
		return false
	}
	if t.cfg.TokensPerSecond == 0 {
		return true
	}
	const burst = 2 // seconds
	rate := float64(t.cfg.TokensPerSecond) / n
	if t.refilledAt.IsZero() {
		t.tokens = rate * burst
	} else {
		t.tokens = min(rate*burst, t.tokens+rate*now.Sub(t.refilledAt).Seconds())
	}
	t.refilledAt = now
	if t.tokens <= 0 {
		return false
	}
	t.tokens -= cost
	return true
}
