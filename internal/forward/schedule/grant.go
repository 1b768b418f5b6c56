package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/lending"
)

// Demand summarizes the waiting requests of one entry for a service at one rank that
// can still be in time, or that cannot, and whose teams are within their share, or over it.
type Demand struct {
	Service string `msgpack:"s"`
	Rank    [2]int `msgpack:"r"`
	Count   int    `msgpack:"c"`
	// Slack is the least time that one of them has left to be in time.
	Slack time.Duration `msgpack:"l"`
	// Late is true if none of them can be in time.
	Late bool `msgpack:"e,omitempty"`
	// Over is true if all are of teams over their share. Their Slack counts from the due
	// time that orders them.
	Over bool `msgpack:"o,omitempty"`

	// Homes are the regions of whose upstreams a slot is of use, nil for all.
	Homes []string `msgpack:"h,omitempty"`

	// first is true for returns, which precede the others of their rank. It is not sent:
	// their slack says it.
	first bool
}

// like reports whether d and o are summed up in one row.
func (d Demand) like(o Demand) bool {
	return d.Service == o.Service && d.Rank == o.Rank && d.Late == o.Late && d.Over == o.Over && d.first == o.first && slices.Equal(d.Homes, o.Homes)
}

const (
	// slackMargin is how much less slack a peer's request must have than an own one of
	// the same rank to get the slot. It covers the age of the peer's state.
	slackMargin = 150 * time.Millisecond
	// maxDemandAge is the age of a peer's state after which its demand counts as
	// served.
	maxDemandAge = 200 * time.Millisecond
)

// SlotGrant is a slot that one entry grants to another. It counts as used until the
// receiver's own state shows it.
type SlotGrant struct {
	Upstream string `msgpack:"u"`
	To       string `msgpack:"t"`
	Sequence uint64 `msgpack:"s"`

	at time.Time
}

// grantLifetime is how long a granted slot counts as used if the receiver's state
// does not confirm it: the datagram may have been lost.
const grantLifetime = 200 * time.Millisecond

// grant grants a slot of u to a peer.
func (s *Scheduler) grant(u *upstream, to string, now time.Time) Action {
	p := s.peers[to]
	p.sequence++
	p.grants = append(p.grants, SlotGrant{Upstream: u.ID, To: to, Sequence: p.sequence, at: now})
	u.pendingGrants++
	if u.brittle(now) {
		p.loans.Add(lending.Entry{Loan: lending.Loan{Sequence: p.sequence, Upstream: u.ID}, At: now})
		u.lent++
	}
	permit := u.isCold(now)
	u.takeLimit(now)
	u.noteTrial(now)
	slot := u.Replica
	return Action{Upstream: &slot, GrantTo: to, Sequence: p.sequence, Permit: permit}
}

// countGrants counts the slots that were granted to and by a peer and that the
// receiver's state does not show yet.
func (s *Scheduler) countGrants(name string, p *peer, now time.Time) {
	kept := p.grants[:0]
	for _, g := range p.grants {
		if g.Sequence > p.state.ReceivedGrants[s.Name] && now.Sub(g.at) < grantLifetime {
			kept = append(kept, g)
			if u := s.byID[g.Upstream]; u != nil {
				u.pendingGrants++
			}
		}
	}
	p.grants = kept
	for _, g := range p.state.Grants {
		shown := p.lastReceived
		if g.To != s.Name {
			if to := s.peers[g.To]; to != nil {
				shown = to.state.ReceivedGrants[name]
			}
		}
		if u := s.byID[g.Upstream]; u != nil && g.Sequence > shown {
			u.pendingGrants++
		}
	}
}

// demand returns the demand of this entry's waiting jobs.
func (s *Scheduler) demand(now time.Time) []Demand {
	var list []Demand
	for _, v := range s.services {
		if v.pauseLeft(now) > 0 {
			continue // a granted slot could not be used
		}
		for _, j := range v.queue {
			d := s.demandOf(v, j, now)
			if n := len(list); n > 0 && list[n-1].like(d) {
				list[n-1].Count++
				list[n-1].Slack = min(list[n-1].Slack, d.Slack)
				continue
			}
			list = append(list, d)
		}
	}
	return list
}

// demandOf returns the demand of one job. A raised job precedes the others of its
// effective rank; a return precedes those that are in time as it is, or late as it is.
func (s *Scheduler) demandOf(v *service, j *Job, now time.Time) Demand {
	d := Demand{Service: v.name, Rank: j.effective, Count: 1, Slack: j.orderDue().Sub(now), Late: s.late(v, j, now), Over: j.over, Homes: j.Homes}
	if j.Returned {
		d.Slack, d.first = min(d.Slack, 0), true
	}
	if j.raised {
		d.Slack, d.Late, d.Over = min(d.Slack, 0), false, false
	}
	return d
}

// grantFreed grants the slot freed at u to a peer whose waiting request precedes the
// own ones. Without it, an entry would keep refilling its slots with requests of a
// lower rank than those waiting at other entries.
func (s *Scheduler) grantFreed(v *service, u *upstream, now time.Time) (Action, bool) {
	a, ok := s.grantFirst(v, u, now)
	a.Used = ok
	return a, ok
}

// grantFirst grants a slot of u to the peer whose waiting request precedes those of the
// other peers, if it precedes the own ones.
func (s *Scheduler) grantFirst(v *service, u *upstream, now time.Time) (Action, bool) {
	if s.elsewhere(v, u) || !s.mayGrant(u, now) || v.keepsForTrial(u, now) {
		return Action{}, false
	}
	own := s.firstFor(v, u)
	var best *Demand
	to := ""
	for name, p := range s.peers {
		if now.Sub(p.lastUpdate) > maxDemandAge {
			continue
		}
		for i := range p.state.Demand {
			d := &p.state.Demand[i]
			if d.Service != v.name || d.Count == 0 || !s.Options.InHomes(d.Homes, u.DataCentre) || !s.demandPrecedes(d, v, own, now.Sub(p.lastUpdate), now) {
				continue
			}
			if best == nil || demandLess(d, best) || !demandLess(best, d) && name < to {
				best, to = d, name
			}
		}
	}
	if best == nil {
		return Action{}, false
	}
	best.Count--
	return s.grant(u, to, now), true
}

// elsewhere reports whether only requests with homes elsewhere use u. Peers of this cell
// have no use for its slots.
func (s *Scheduler) elsewhere(v *service, u *upstream) bool {
	return s.Cells > 0 && s.byID[u.ID] == u && !slices.Contains(v.upstreams, u)
}

// firstFor returns the first waiting job that u may get, nil for none.
func (s *Scheduler) firstFor(v *service, u *upstream) *Job {
	for _, j := range v.queue {
		if !slices.Contains(j.Avoid, u.ID) && s.Options.InHomes(j.Homes, u.DataCentre) {
			return j
		}
	}
	return nil
}

// mayGrant reports whether a slot that a request of this entry has freed may be granted.
// The registration of u may have been replaced since the request was sent.
func (s *Scheduler) mayGrant(u *upstream, now time.Time) bool {
	if next := s.byID[u.ID]; next != nil && next != u && next.paced(now) {
		return false // a slot of the process before is no permit of the present one
	}
	if u.Draining || s.statements[IdentityOf(&u.Replica)].wantsNone(now) || u.held || u.barred(now) || !u.limitAllows(now) {
		return false
	}
	if u.brittle(now) && !u.ownSlot() {
		return false
	}
	return u.room(now) > 0 && !now.Before(u.backoffUntil) && u.failedAttempts == 0
}

// demandLess reports whether a is served before b.
func demandLess(a, b *Demand) bool {
	if a.Rank != b.Rank {
		return rankLess(a.Rank, b.Rank)
	}
	if a.Late != b.Late {
		return b.Late
	}
	return a.Slack < b.Slack
}

// demandPrecedes reports whether a peer's demand of the given age precedes the own
// job; nil means that there is no own job.
func (s *Scheduler) demandPrecedes(d *Demand, v *service, own *Job, age time.Duration, now time.Time) bool {
	if own == nil {
		return true
	}
	mine := s.demandOf(v, own, now)
	theirs := Demand{Rank: d.Rank, Late: d.Late, Slack: d.Slack - age + slackMargin}
	return demandLess(&theirs, &mine)
}

// ReceivePermit accepts a slot like ReceiveGrant, of an upstream that is cold as far as the
// peer knows.
func (s *Scheduler) ReceivePermit(from, id string, sequence uint64, used bool, now time.Time) []Action {
	if u := s.byID[id]; u != nil && u.isCold(now) && !s.received(from, sequence) {
		u.said.limit.Grant(now)
	}
	return s.ReceiveGrant(from, id, sequence, used, now)
}

// received reports whether a peer's slot with the given number was received before.
func (s *Scheduler) received(from string, sequence uint64) bool {
	p := s.peers[from]
	return p != nil && slices.Contains(p.received[:], sequence)
}

// ReceiveGrant accepts a slot of an upstream that a peer grants. used is true when a
// request of the peer occupied it until now, which the peer's last state still shows. It is
// no permit to send to a cold upstream: the peer does not know that it is cold.
func (s *Scheduler) ReceiveGrant(from, id string, sequence uint64, used bool, now time.Time) []Action {
	s.init()
	p := s.peer(from)
	if p.lastUpdate.IsZero() {
		p.lastUpdate = now
	}
	repeated := s.received(from, sequence)
	p.received[p.nextReceived%len(p.received)] = sequence
	p.nextReceived++
	p.lastReceived = max(p.lastReceived, sequence)
	if used && p.state.Load[id] > 0 {
		p.state.Load[id]--
	}
	s.aggregatePeers(now)
	u := s.byID[id]
	if u == nil {
		return nil
	}
	if u.limited() && !u.isCold(now) && !repeated {
		u.said.limit.Grant(now)
	}
	s.lent = Loan{from, sequence}
	u.setGranted(true)
	defer u.setGranted(false)
	return s.fillSlot(s.services[u.Service], u, now)
}

// fillSlot dispatches waiting jobs with one slot of u reserved for this entry.
func (s *Scheduler) fillSlot(v *service, u *upstream, now time.Time) []Action {
	if len(v.queue) == 0 {
		return nil
	}
	u.reserved = true
	out := s.dispatchService(v, now)
	u.reserved = false
	return out
}
