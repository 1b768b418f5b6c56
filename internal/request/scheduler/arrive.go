package scheduler

import (
	"time"

	"agateward/internal/request/floor"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Costs of a request, in tokens.
const (
	// fixedCost is the work of any request; it is the whole work of a call to a
	// plain service.
	fixedCost = 50
	// optimism is the part of the expected wait that must fit: a request that
	// waits in vain costs less than one that is refused in vain.
	optimism = 0.7
	// assumedOutput is planned with when a request says nothing of its output.
	assumedOutput = 128
)

// Bounds of Retry-After.
const (
	leastRetryAfter = time.Second
	mostRetryAfter  = 30 * time.Second
)

// Arrive decides on a new request: it is dispatched, waits or is refused. A
// waiting request of a lower tier may be displaced for it. A request whose ID
// waits or runs already is ignored.
func (s *Scheduler) Arrive(now time.Time, r *ward.Request) []Action {
	if s.requests[r.ID] != nil {
		return nil
	}
	if c, reason := s.unacceptable(r); reason != "" {
		s.refuseID(r.ID, c, leastRetryAfter, reason)
		return s.take()
	}
	e := s.newEntry(now, r)
	if !e.team.allow(now, e.item.Cost, s.entries) {
		s.refuseID(r.ID, code.TeamLimit, leastRetryAfter, "the team's limit is used up")
		return s.take()
	}
	s.admit(now, e)
	return s.take()
}

// unacceptable returns why a request is refused whatever the load is.
func (s *Scheduler) unacceptable(r *ward.Request) (code.Code, string) {
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

func (s *Scheduler) newEntry(now time.Time, r *ward.Request) *entry {
	e := &entry{route: s.routes[r.Route], team: s.team(r.Team)}
	it := &e.item
	it.ID = r.ID
	it.Team = r.Team
	it.Weight = e.team.cfg.Weight
	it.Tier = min(max(r.Tier, ward.TierTop), ward.TierBottom)
	it.Request = r
	it.Draw = s.rng.Float64()
	it.Since = now
	it.Cost = fixedCost + float64(r.PromptTokens+output(r))
	it.Due = r.Deadline
	if r.FirstToken > 0 {
		if t := r.Arrived.Add(r.FirstToken); t.Before(it.Due) {
			it.Due = t
		}
	}
	return e
}

// output returns the output length that is planned with.
func output(r *ward.Request) int {
	switch {
	case r.Kind == ward.KindService:
		return 0
	case r.ExpectOutput > 0:
		return r.ExpectOutput
	case r.MaxOutput > 0:
		return min(r.MaxOutput, assumedOutput)
	}
	return assumedOutput
}

// admit queues a request that may be served, or refuses it.
func (s *Scheduler) admit(now time.Time, e *entry) {
	e.pool, e.onNext = s.assign(now, e)
	if !e.pool.serving() {
		s.refuse(e, code.NoUpstream, leastRetryAfter, "no upstream of the version takes work")
		return
	}
	f := s.floor(e.pool.key.serves)
	if e.item.Tier > f.Level() {
		s.refuse(e, code.Shed, mostRetryAfter/10, "the tier is below the floor")
		return
	}
	e.pool.rates.arrive(now, e.item.Tier, e.item.Cost)
	least := e.pool.leastTime(e.item.Request)
	e.item.Latest = e.latest(least)
	if e.item.Latest.Before(now) {
		s.refuse(e, code.DeadlineUnreachable, leastRetryAfter, "the deadline is shorter than the service time")
		return
	}
	if t := e.pool.readyAt(now); t.After(e.item.Latest) {
		s.refuse(e, code.NoUpstream, retryAfter(t.Sub(now)), "connections to all upstreams of the version fail")
		return
	}
	wait := s.expectedWait(now, e)
	if now.Add(wait).After(e.item.Latest) && !s.hold(now, e, wait) {
		return
	}
	s.makeRoom(now, e)
	if s.waiting >= s.cfg.MaxWaiting {
		f.Force(now, e.item.Tier)
		s.refuse(e, code.QueueFull, retryAfter(wait), "the queue is full")
		return
	}
	s.enqueue(e)
	s.pump(now, e.pool)
}

// hold decides on a request that is not expected to be served in time. It is
// refused when nothing of a lower tier is admitted anywhere; until that is
// observed it waits, for floor.Hold at the most. It tells whether it waits.
func (s *Scheduler) hold(now time.Time, e *entry, wait time.Duration) bool {
	f := s.floor(e.pool.key.serves)
	if f.Shed(now, e.item.Tier, s.waitingFor(e.pool.key.serves)) {
		s.refuse(e, code.Shed, retryAfter(wait-e.item.Latest.Sub(now)), "no capacity in time for the tier")
		return false
	}
	e.holdUntil = now.Add(floor.Hold)
	s.held = append(s.held, e)
	return true
}

// makeRoom displaces a waiting request of a lower tier when the queue is full.
func (s *Scheduler) makeRoom(_ time.Time, e *entry) {
	if s.waiting < s.cfg.MaxWaiting {
		return
	}
	var victim *queueItem
	for _, p := range s.order {
		if v := p.queue.Victim(e.item.Tier); v != nil && (victim == nil || v.Tier > victim.Tier) {
			victim = v
		}
	}
	if victim == nil {
		return
	}
	s.refuse(s.requests[victim.ID], code.Displaced, leastRetryAfter, "a request of a higher tier took its place")
}

// expectedWait returns how long a request is expected to wait in the queue.
func (s *Scheduler) expectedWait(now time.Time, e *entry) time.Duration {
	p := e.pool
	higher, own := p.queue.Ahead(e.item.Tier, e.item.Team, e.item.Weight)
	if higher+own == 0 {
		return 0
	}
	all := p.rates.capacity()
	if all == 0 {
		return 0
	}
	// Work of higher tiers keeps arriving while this request waits.
	rate := max(all-p.rates.above(e.item.Tier), all/20)
	return time.Duration(optimism * (higher + own) / rate * float64(time.Second))
}

// latest returns the last useful moment of a dispatch, given the least times to
// the first and the last token.
func (e *entry) latest(least leastTime) time.Time {
	r := e.item.Request
	t := r.Deadline.Add(-least.total)
	if r.FirstToken > 0 {
		if f := r.Arrived.Add(r.FirstToken - least.first); f.Before(t) {
			t = f
		}
	}
	return t
}

// leastTime is what an idle upstream would need for a request.
type leastTime struct{ first, total time.Duration }

// leastTime returns the times of the fastest upstream of the pool.
func (p *pool) leastTime(r *ward.Request) leastTime {
	var best leastTime
	if r.Kind == ward.KindService {
		return best
	}
	for _, u := range p.own() {
		if !u.usable() {
			continue
		}
		first := u.budget.FirstTokenIn(float64(r.PromptTokens))
		total := first + time.Duration(output(r))*u.budget.TokenTime()
		if best.total == 0 || total < best.total {
			best = leastTime{first, total}
		}
	}
	return best
}

func (s *Scheduler) enqueue(e *entry) {
	s.requests[e.item.ID] = e
	e.pool.queue.Push(&e.item)
	s.waiting++
}

// refuse ends a request that did not run.
func (s *Scheduler) refuse(e *entry, c code.Code, after time.Duration, reason string) {
	s.drop(e)
	s.refuseID(e.item.ID, c, after, reason)
}

// drop forgets a request that waits.
func (s *Scheduler) drop(e *entry) {
	if e.item.Waiting() {
		e.pool.queue.Remove(&e.item)
		s.waiting--
	}
	delete(s.requests, e.item.ID)
}

func (s *Scheduler) refuseID(id string, c code.Code, after time.Duration, reason string) {
	s.actions = append(s.actions, Action{Kind: Refuse, ID: id, Code: c, RetryAfter: after, Reason: reason})
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, leastRetryAfter), mostRetryAfter)
}

// waitingFor counts the requests that wait for a model or service.
func (s *Scheduler) waitingFor(serves string) [ward.TierCount]int {
	var n [ward.TierCount]int
	for _, p := range s.order {
		if p.key.serves != serves {
			continue
		}
		for i, x := range p.queue.Waiting() {
			n[i] += x
		}
	}
	return n
}

// Cancel takes note that the caller left. A waiting request is forgotten; a
// dispatched one is still to be ended by End.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	e := s.requests[id]
	if e == nil || e.up != nil {
		return nil
	}
	s.drop(e)
	s.pump(now, e.pool)
	return s.take()
}

// allow takes the cost of a request from the team's limits, of which this entry
// has an even part.
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
	if t.filled.IsZero() {
		t.tokens = rate * burst
	} else {
		t.tokens = min(rate*burst, t.tokens+rate*now.Sub(t.filled).Seconds())
	}
	t.filled = now
	if t.tokens <= 0 {
		return false
	}
	t.tokens -= cost
	return true
}
