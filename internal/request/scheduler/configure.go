package scheduler

import (
	"slices"
	"time"

	"agateward/internal/request/floor"
	"agateward/ward"
)

// Configure puts a configuration in force. What is known of upstreams that stay
// is kept; an older revision is ignored.
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
	s.rebuild(now)
	s.divide(now)
}

func (s *Scheduler) configureUpstreams(list []ward.Upstream) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.Name] = true
		known := s.upstreams[u.Name]
		if known == nil {
			known = &upstream{number: len(s.numbers)}
			s.numbers = append(s.numbers, known)
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

// Splits puts the shares and brakes of the routes in force. Waiting requests of
// a version that lost its share change over at once.
func (s *Scheduler) Splits(now time.Time, splits []ward.Split) []Action {
	for _, sp := range splits {
		if r := s.routes[sp.Route]; r != nil {
			if r.split.Next != sp.Next {
				r.onNext = 0
			}
			r.split = sp
		}
	}
	s.reassign(now)
	s.pumpAll(now)
	return s.take()
}

// rebuild sorts the upstreams into pools.
func (s *Scheduler) rebuild(now time.Time) {
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

// reassign moves waiting requests whose version changed.
func (s *Scheduler) reassign(now time.Time) {
	var moved []*entry
	for _, p := range s.order {
		p.queue.Each(func(it *queueItem) {
			e := s.requests[it.ID]
			if to, next := s.assign(now, e); to != p {
				moved = append(moved, e)
				e.onNext = next
			}
		})
	}
	slices.SortFunc(moved, func(a, b *entry) int { return a.item.Since.Compare(b.item.Since) })
	for _, e := range moved {
		e.pool.queue.Remove(&e.item)
		e.pool, e.onNext = s.assign(now, e)
		e.pool.queue.Push(&e.item)
	}
}

// assign chooses the version of a request by its draw, and tells whether it is
// the next one of a move.
func (s *Scheduler) assign(_ time.Time, e *entry) (*pool, bool) {
	sp := &e.route.split
	serves := e.item.Request.Serves
	if sp.Next != "" && e.item.Draw < sp.Share && !slices.Contains(sp.Quarantined, sp.Next) {
		full := sp.MaxInFlight > 0 && e.route.onNext >= sp.MaxInFlight
		next := s.pool(poolKey{serves, sp.Next})
		if !full && next.serving() {
			return next, true
		}
	}
	return s.pool(poolKey{serves, sp.Version}), false
}

// pool returns the pool of a version and makes it if need be.
func (s *Scheduler) pool(key poolKey) *pool {
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key}
		s.pools[key] = p
		s.order = append(s.order, p)
	}
	return p
}

// serving tells whether the pool has an upstream that takes new work.
func (p *pool) serving() bool {
	for _, u := range p.upstreams {
		if u.usable() {
			return true
		}
	}
	return false
}

// own returns the upstreams that this entry looks at first.
func (p *pool) own() []*upstream {
	if len(p.owned) > 0 {
		return p.owned
	}
	return p.upstreams
}

// readyAt returns when the first usable upstream may be connected to; now when
// one may at once.
func (p *pool) readyAt(now time.Time) time.Time {
	var first time.Time
	for _, u := range p.own() {
		if !u.usable() {
			continue
		}
		if u.breaker.Ready(now) {
			return now
		}
		if t := u.breaker.Until(); first.IsZero() || t.Before(first) {
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

// team returns a team; one without a configuration has no limits.
func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{cfg: ward.Team{Name: name}}
		s.teams[name] = t
	}
	return t
}
