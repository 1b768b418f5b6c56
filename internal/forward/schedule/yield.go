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

// Demand returns what waits here, for the peers.
func (s *Scheduler) Demand(now time.Time) []Demand {
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
	if !u.free() || now.Before(u.closedUntil) || u.unreached > 0 {
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
		for i := range p.demand {
			d := &p.demand[i]
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
	s.peers[to].running[u.ID]++
	u.others++
	return Action{Upstream: &u.Replica, Yield: to}, true
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

// Granted takes a slot of an upstream that a peer gives away.
func (s *Scheduler) Granted(from, id string, now time.Time) []Action {
	s.init()
	p, u := s.peers[from], s.byID[id]
	if u == nil {
		return nil
	}
	if p != nil && p.running[id] > 0 {
		p.running[id]--
		u.others = max(u.others-1, 0)
	}
	v := s.services[u.Service]
	if len(v.queue) == 0 {
		return nil
	}
	return s.drainService(v, now)
}
