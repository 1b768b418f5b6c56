package schedule

import (
	"slices"
	"time"
)

// Demand is what waits at one entry for a service, at one rank.
type Demand struct {
	Service string `msgpack:"s"`
	Rank    [2]int `msgpack:"r"`
	Count   int    `msgpack:"c"`
	// Slack is the time that the first of them has left to be in time.
	Slack time.Duration `msgpack:"l"`
}

const (
	// slackMargin is how much less time a peer's request must have left than an own
	// one of the same rank to get the slot: news of it is as old.
	slackMargin = 150 * time.Millisecond
	// demandAge is the age of news after which what a peer waited for is taken to
	// be served.
	demandAge = 200 * time.Millisecond
)

// SlotGrant is a slot that one entry gives to another. Until the receiver's own news
// shows it, it counts as used.
type SlotGrant struct {
	Upstream string `msgpack:"u"`
	To       string `msgpack:"t"`
	Sequence uint64 `msgpack:"s"`

	at time.Time
}

// givenLife is how long a slot that was given away counts without news of the
// receiver: the datagram may have been lost.
const givenLife = 200 * time.Millisecond

// give hands a slot of u to a peer.
func (s *Scheduler) give(u *upstream, to string, now time.Time) Action {
	p := s.peers[to]
	p.sequence++
	p.given = append(p.given, SlotGrant{Upstream: u.ID, To: to, Sequence: p.sequence, at: now})
	u.lent++
	slot := u.Replica
	return Action{Upstream: &slot, GrantTo: to, Sequence: p.sequence}
}

// countGiven counts the slots that were given to a peer, and those that the peer
// gave away, as long as no news of the receiver shows them.
func (s *Scheduler) countGiven(name string, p *peer, now time.Time) {
	kept := p.given[:0]
	for _, g := range p.given {
		if g.Sequence > p.news.ReceivedGrants[s.Name] && now.Sub(g.at) < givenLife {
			kept = append(kept, g)
			if u := s.byID[g.Upstream]; u != nil {
				u.lent++
			}
		}
	}
	p.given = kept
	for _, g := range p.news.Grants {
		shown := p.received
		if g.To != s.Name {
			if to := s.peers[g.To]; to != nil {
				shown = to.news.ReceivedGrants[name]
			}
		}
		if u := s.byID[g.Upstream]; u != nil && g.Sequence > shown {
			u.lent++
		}
	}
}

// demand returns what waits here, for the peers.
func (s *Scheduler) demand(now time.Time) []Demand {
	var list []Demand
	for name, v := range s.services {
		for _, j := range v.queue {
			slack := j.OnTime.Sub(now)
			if n := len(list); n > 0 && list[n-1].Service == name && list[n-1].Rank == j.Rank {
				list[n-1].Count++
				list[n-1].Slack = min(list[n-1].Slack, slack)
				continue
			}
			list = append(list, Demand{Service: name, Rank: j.Rank, Count: 1, Slack: slack})
		}
	}
	return list
}

// yield gives the slot that became free at u to a peer whose waiting request goes
// before the own ones. Without it an entry would fill its own slots again and
// again, with requests of a lower rank than those that wait elsewhere.
func (s *Scheduler) yield(v *service, u *upstream, now time.Time) (Action, bool) {
	if u.Draining || u.load() >= u.Slots || now.Before(u.closedUntil) || u.unreached > 0 {
		return Action{}, false
	}
	var own *Job
	for _, j := range v.queue {
		if !slices.Contains(j.Avoid, u.ID) {
			own = j
			break
		}
	}
	var best *Demand
	to := ""
	for name, p := range s.peers {
		if now.Sub(p.heard) > demandAge {
			continue
		}
		for i := range p.news.Demand {
			d := &p.news.Demand[i]
			if d.Service != v.name || d.Count == 0 || !goesBefore(d, own, now.Sub(p.heard), now) {
				continue
			}
			if best == nil || less(d, best) || !less(best, d) && name < to {
				best, to = d, name
			}
		}
	}
	if best == nil {
		return Action{}, false
	}
	best.Count--
	a := s.give(u, to, now)
	a.Used = true
	return a, true
}

func less(a, b *Demand) bool {
	if a.Rank != b.Rank {
		return a.Rank[0] < b.Rank[0] || a.Rank[0] == b.Rank[0] && a.Rank[1] < b.Rank[1]
	}
	return a.Slack < b.Slack
}

// goesBefore tells whether a peer's request goes before the own one, nil for
// none.
func goesBefore(d *Demand, own *Job, age time.Duration, now time.Time) bool {
	if own == nil {
		return true
	}
	mine := Demand{Rank: own.Rank, Slack: own.OnTime.Sub(now)}
	theirs := Demand{Rank: d.Rank, Slack: d.Slack - age + slackMargin}
	return less(&theirs, &mine)
}

// ReceiveGrant takes a slot of an upstream that a peer gives away. used says that a
// request of the peer had it until now, which its last news still shows.
func (s *Scheduler) ReceiveGrant(from, id string, sequence uint64, used bool, now time.Time) []Action {
	s.init()
	p := s.peer(from)
	if p.heard.IsZero() {
		p.heard = now
	}
	p.received = max(p.received, sequence)
	if used && p.news.Load[id] > 0 {
		p.news.Load[id]--
	}
	s.countPeers(now)
	u := s.byID[id]
	if u == nil {
		return nil
	}
	return s.refill(s.services[u.Service], u, now)
}

// refill lets the waiting jobs use a slot of u that is this entry's to use.
func (s *Scheduler) refill(v *service, u *upstream, now time.Time) []Action {
	if len(v.queue) == 0 {
		return nil
	}
	u.granted = true
	out := s.drainService(v, now)
	u.granted = false
	return out
}
