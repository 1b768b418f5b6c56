package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/floor"
	"agateward/ward"
)

// Configure puts a configuration in force. The state of upstreams that remain is
// kept; an older revision is ignored.
func (s *Scheduler) Configure(now time.Time, c *ward.Config) {
	if c.Revision < s.revision {
		return
	}
	s.revision = c.Revision
	s.configureUpstreams(c.Upstreams)
	s.configureRoutes(c.Routes)
	for _, t := range c.Teams {
		s.team(t.Name).cfg = t
	}
	s.rebuildPools(now)
	s.divide(now)
}

func (s *Scheduler) configureUpstreams(list []ward.Upstream) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.Name] = true
		known := s.upstreams[u.Name]
		if known == nil {
			known = &upstream{number: len(s.byNumber)}
			s.byNumber = append(s.byNumber, known)
			s.upstreams[u.Name] = known
		}
		if known.cfg.Address != u.Address {
			known.report = ward.LoadReport{}
		}
		known.cfg = u
		known.draining = s.draining[u.Name]
	}
	for name, u := range s.upstreams {
		if !named[name] {
			u.cfg.Removed = true
			delete(s.upstreams, name)
		}
	}
}

func (s *Scheduler) configureRoutes(list []ward.Route) {
	for _, r := range list {
		known := s.routes[r.Name]
		if known == nil {
			known = &route{}
			s.routes[r.Name] = known
		}
		known.cfg = r
		if known.split.Version == "" || known.split.Move == "" {
			known.split.Version = r.Version
		}
	}
}

// SetSplits puts the traffic splits and quarantines of the routes in force.
// Waiting requests of a version that lost its share are reassigned at once.
func (s *Scheduler) SetSplits(now time.Time, splits []ward.Split) []Action {
	for _, sp := range splits {
		if r := s.routes[sp.Route]; r != nil {
			if r.split.Next != sp.Next {
				r.onNext = 0
			}
			r.split = sp
		}
	}
	s.reassign(now)
	s.dispatchAll(now)
	return s.takeActions()
}

// rebuildPools assigns the upstreams to pools by version, sorted by name.
func (s *Scheduler) rebuildPools(now time.Time) {
	for _, p := range s.pools {
		p.upstreams = p.upstreams[:0]
	}
	names := make([]string, 0, len(s.upstreams))
	for name := range s.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		u := s.upstreams[name]
		if u.cfg.Removed {
			continue
		}
		p := s.pool(poolKey{u.cfg.Serves, u.cfg.Version})
		p.upstreams = append(p.upstreams, u)
	}
	s.reassign(now)
}

// reassign moves waiting requests whose version changed to the pool of the new
// one, in order of arrival.
func (s *Scheduler) reassign(now time.Time) {
	var moved []*requestState
	for _, p := range s.orderedPools {
		p.queue.Each(func(it *queueItem) {
			rs := s.requests[it.ID]
			if to, next := s.assign(now, rs); to != p {
				moved = append(moved, rs)
				rs.onNext = next
			}
		})
	}
	slices.SortFunc(moved, func(a, b *requestState) int { return a.item.Since.Compare(b.item.Since) })
	for _, rs := range moved {
		rs.pool.queue.Remove(&rs.item)
		rs.pool, rs.onNext = s.assign(now, rs)
		rs.pool.queue.Push(&rs.item)
	}
}

// assign chooses the version of a request by its draw, and reports whether it
// is the next version of a move.
func (s *Scheduler) assign(_ time.Time, rs *requestState) (*pool, bool) {
	sp := &rs.route.split
	serves := rs.item.Request.Serves
	if sp.Next != "" && rs.item.Draw < sp.Share && !slices.Contains(sp.Quarantined, sp.Next) {
		full := sp.MaxInFlight > 0 && rs.route.onNext >= sp.MaxInFlight
		next := s.pool(poolKey{serves, sp.Next})
		if !full && next.serving() {
			return next, true
		}
	}
	return s.pool(poolKey{serves, sp.Version}), false
}

// pool returns the pool of a version, and creates it if needed.
func (s *Scheduler) pool(key poolKey) *pool {
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key}
		s.pools[key] = p
		s.orderedPools = append(s.orderedPools, p)
	}
	return p
}

// serving reports whether the pool has a usable upstream.
func (p *pool) serving() bool {
	for _, u := range p.upstreams {
		if u.usable() {
			return true
		}
	}
	return false
}

// preferred returns the upstreams that this entry owns, or all if it owns none.
func (p *pool) preferred() []*upstream {
	if len(p.owned) > 0 {
		return p.owned
	}
	return p.upstreams
}

// readyAt returns the earliest time at which the breaker of a usable upstream
// allows a connection. It is now if one does already.
func (p *pool) readyAt(now time.Time) time.Time {
	var first time.Time
	for _, u := range p.preferred() {
		if !u.usable() {
			continue
		}
		if u.breaker.Ready(now) {
			return now
		}
		if t := u.breaker.NextProbe(); first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}

func (s *Scheduler) floor(serves string) *floor.Floor {
	f := s.floors[serves]
	if f == nil {
		f = &floor.Floor{}
		s.floors[serves] = f
	}
	return f
}

// team returns the team of a name, and creates one without limits if it isn't
// configured.
func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{cfg: ward.Team{Name: name}}
		s.teams[name] = t
	}
	return t
}
