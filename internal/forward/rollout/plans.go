package rollout

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/move/split"
	"agateward/ward"
)

const (
	// leastMargin and marginPart are kept free before the operator's time is over:
	// the outcome has to be in the store by then.
	leastMargin = 2 * time.Second
	marginPart  = 0.1
	// judgedPart is the part of a service's requests from which a route is judged
	// by itself; the others are judged together, under rest, if they make up as much.
	judgedPart = 0.05
	rest       = "*"
)

// plan is one order as this entry carries it out.
type plan struct {
	ward.Rollout
	// from is the version in use when the order came.
	from string
	// given is when the order was given, as far as is known.
	given time.Time
	// routes are judged by themselves; rest among them stands for all others.
	routes []string
}

// deadline is when the roll-out has to have ended. An entry that started after the
// order knows its time from the record of the move.
func (p *plan) deadline(s ward.MoveState) time.Time {
	given := p.given
	if !s.Begin.IsZero() && s.Ticket == p.Revision && s.Begin.Before(given) {
		given = s.Begin
	}
	return given.Add(p.Within - max(leastMargin, time.Duration(marginPart*float64(p.Within))))
}

// key names what the outcomes of a route are counted under.
func (p *plan) key(route string) string {
	if !slices.Contains(p.routes, route) {
		route = rest
	}
	return route + "/" + p.Service
}

// update takes the orders that stand. It must be called with the mutex held.
func (r *Rollout) update(now time.Time) {
	orders := r.Orders()
	stand := make(map[string]bool, len(orders))
	for _, o := range orders {
		stand[o.Service] = true
		if p := r.plans[o.Service]; p != nil && p.Revision == o.Revision {
			continue
		}
		from, known := r.inUse(o)
		if !known {
			continue // until an upstream of the service is known
		}
		p := &plan{Rollout: o, from: from, given: now.Add(-o.Age), routes: r.judged(o.Service)}
		if r.plans == nil {
			r.plans = make(map[string]*plan)
		}
		r.plans[o.Service] = p
		r.Log.Info("rollout-planned", "service", o.Service, "from", from, "to", o.Target, "deadline", p.deadline(ward.MoveState{}), "revision", o.Revision, "routes", p.routes)
	}
	for service, p := range r.plans {
		if !stand[service] {
			delete(r.plans, service)
			r.Log.Info("rollout-order-gone", "service", service)
			continue
		}
		// Once the old upstreams are gone, the order says nothing of their version.
		if s := r.states[service]; ended(s, p) && s.State == split.Done && !r.registered(service, p.from) {
			p.from = ""
		}
	}
}

// registered tells whether an upstream of the version is known.
func (r *Rollout) registered(service, version string) bool {
	return slices.ContainsFunc(r.Upstreams(), func(u ward.Replica) bool { return u.Service == service && u.Version == version })
}

// inUse returns the version that most upstreams of the service have besides the
// target, and whether any upstream is known.
func (r *Rollout) inUse(o ward.Rollout) (string, bool) {
	n := make(map[string]int)
	known := false
	for _, u := range r.Upstreams() {
		if u.Service != o.Service {
			continue
		}
		known = true
		if u.Version != o.Target {
			n[u.Version]++
		}
	}
	best := ""
	for version, count := range n {
		if best == "" || count > n[best] || count == n[best] && version < best {
			best = version
		}
	}
	return best, known
}

// judged returns what the requests of a service are judged by: the routes that get
// a good part of them, and rest.
func (r *Rollout) judged(service string) []string {
	all := 0
	for k, n := range r.used {
		if k.service == service {
			all += n
		}
	}
	var list []string
	others := all
	for k, n := range r.used {
		if k.service == service && float64(n) >= judgedPart*float64(all) {
			list = append(list, k.route)
			others -= n
		}
	}
	if len(list) == 0 || float64(others) >= judgedPart*float64(all) {
		list = append(list, rest)
	}
	slices.Sort(list)
	return list
}

// config returns the plans as the moves of a configuration, nil when there are
// none.
func (r *Rollout) config() *ward.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.plans) == 0 {
		return nil
	}
	c := &ward.Config{}
	for _, p := range r.plans {
		for _, name := range p.routes {
			c.Routes = append(c.Routes, ward.Route{Name: p.key(name), Serves: p.Service, Version: p.from})
		}
		c.Moves = append(c.Moves, ward.Move{
			Name: p.Service, Ticket: p.Revision, Serves: p.Service, From: p.from, To: p.Target, Deadline: p.deadline(r.states[p.Service]),
		})
	}
	slices.SortFunc(c.Moves, func(a, b ward.Move) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// splitOf returns how a service's requests divide now.
func splitOf(list []ward.Split, p *plan) ward.Split {
	for _, s := range list {
		for _, name := range p.routes {
			if s.Route == p.key(name) {
				return s
			}
		}
	}
	return ward.Split{Version: p.from}
}

// ended tells whether the move of a plan has ended.
func ended(s ward.MoveState, p *plan) bool {
	return s.Ticket == p.Revision && (s.State == split.Done || s.State == split.RolledBack)
}
