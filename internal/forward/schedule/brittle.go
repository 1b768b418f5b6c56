package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/lending"
)

const (
	// brittleTTL is how long a service counts as brittle after the last statement of one
	// of its upstreams. A sound service loses little by it: entries use only the slots that
	// are assigned to them, and grant the others.
	brittleTTL = 5 * time.Second
	// rejectionPause is how long a brittle upstream gets nothing after it rejected a
	// request for want of room. It falls over when it rejects too many in a second.
	rejectionPause = time.Second
	// loanLifetime is how long a lent slot of a brittle upstream counts as lent if the
	// receiver's state does not show that it got the grant.
	loanLifetime = 500 * time.Millisecond
)

// Loan is a slot of a brittle upstream that its owner granted and that a request of the
// receiver uses.
type Loan struct {
	Owner    string `msgpack:"o"`
	Sequence uint64 `msgpack:"s"`
}

// Rejection is a request that a brittle upstream rejected for want of room.
type Rejection struct {
	Upstream string `msgpack:"u"`
	// Age is the time in milliseconds since then.
	Age int64 `msgpack:"a"`
}

// ownSlot reports whether a slot of a brittle upstream is free that is assigned to this
// entry and that it has not lent. The slots of all entries together are those of the
// upstream, whatever they know of each other's requests.
func (u *upstream) ownSlot() bool { return u.ownLoad+u.loaned-u.borrowed < u.assigned-u.lent }

// borrow makes a request use a slot that a peer lent.
func (u *upstream) borrow(r *running, l Loan) {
	// One grant is one request.
	u.reserved = false
	u.borrowed++
	r.loan = &l
}

// countLoans counts the slots that a peer has not given back.
func (s *Scheduler) countLoans(p *peer, now time.Time) {
	p.loans.Keep(func(e lending.Entry) bool {
		used := slices.Contains(p.state.Loans, Loan{s.Name, e.Sequence})
		return used || e.Sequence > p.state.ReceivedGrants[s.Name] && now.Sub(e.At) < loanLifetime
	})
	p.loans.Each(func(e lending.Entry) {
		if u := s.byID[e.Upstream]; u != nil {
			u.lent++
		}
	})
}

// ObserveBrittle records that the answer to a dispatched job says that the upstreams of its
// service are brittle, and reports whether that was not known.
func (s *Scheduler) ObserveBrittle(id uint64, now time.Time) bool {
	r := s.jobs[id]
	return r != nil && s.learnBrittle(r.upstream.Service, now, now)
}

// learnBrittle records that a service was brittle at a time, and reports whether it did
// not count as brittle.
func (s *Scheduler) learnBrittle(name string, at, now time.Time) bool {
	v := s.service(name)
	if !at.After(v.brittleAt) {
		return false
	}
	news := !v.brittle(now) && now.Sub(at) < brittleTTL
	v.brittleAt = at
	for _, u := range v.upstreams {
		u.brittleAt = at
	}
	return news
}

func (v *service) brittle(now time.Time) bool {
	return !v.brittleAt.IsZero() && now.Sub(v.brittleAt) < brittleTTL
}

func (u *upstream) brittle(now time.Time) bool {
	return !u.brittleAt.IsZero() && now.Sub(u.brittleAt) < brittleTTL
}

// reportBrittle fills in what this entry knows of brittle services.
func (s *Scheduler) reportBrittle(state *PeerState, now time.Time) {
	for _, r := range s.jobs {
		if r.loan != nil {
			state.Loans = append(state.Loans, *r.loan)
		}
	}
	for name, v := range s.services {
		if !v.brittle(now) {
			continue
		}
		if state.Brittle == nil {
			state.Brittle = make(map[string]int64)
		}
		state.Brittle[name] = now.Sub(v.brittleAt).Milliseconds()
		for _, u := range v.upstreams {
			if age := now.Sub(u.rejectedAt); !u.rejectedAt.IsZero() && age < rejectionPause {
				state.Rejections = append(state.Rejections, Rejection{u.ID, age.Milliseconds()})
			}
		}
	}
}

// LearnBrittle takes over what a peer knows of brittle services. It returns those that
// were not known as such.
func (s *Scheduler) LearnBrittle(state PeerState, now time.Time) []string {
	var news []string
	for name, age := range state.Brittle {
		known := s.services[name] != nil && age >= 0 && age < brittleTTL.Milliseconds()
		if known && s.learnBrittle(name, now.Add(-time.Duration(age)*time.Millisecond), now) {
			news = append(news, name)
		}
	}
	for _, r := range state.Rejections {
		if u := s.byID[r.Upstream]; u != nil && r.Age >= 0 && r.Age < rejectionPause.Milliseconds() {
			u.reject(now.Add(-time.Duration(r.Age) * time.Millisecond))
		}
	}
	return news
}

// reject records that a brittle upstream rejected a request for want of room.
func (u *upstream) reject(at time.Time) {
	if at.After(u.rejectedAt) {
		u.rejectedAt = at
	}
	if until := at.Add(rejectionPause); until.After(u.backoffUntil) {
		u.backoffUntil = until
	}
}
