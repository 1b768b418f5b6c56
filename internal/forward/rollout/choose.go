package rollout

import (
	"agateward/internal/entry/mover"
	"agateward/ward"
)

// Group returns the scheduler's group of an upstream: its service, or a separate
// group for the version of a roll-out that is not in use: first the target, later the
// previous version. Versions that no order names belong to the service, as a release
// may introduce them at any time.
func (r *Rollout) Group(u ward.Replica) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.plans[u.Service]
	if p == nil || p.from == "" {
		return u.Service
	}
	unused := p.Target
	if r.splits[u.Service].Version == p.Target {
		unused = p.from
	}
	if u.Version != unused {
		return u.Service
	}
	return groupName(u.Service, u.Version)
}

func groupName(service, version string) string { return service + "@" + version }

// Choose returns the group for a request, given a uniform random number u from 0 to 1.
// The caller must call done when the request has ended.
func (r *Rollout) Choose(route, service string, u float64) (group string, done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRequest(routeKey{route, service})
	s := r.splits[service]
	if s.Next == "" || u >= s.Share || s.MaxInFlight > 0 && r.inFlight[service] >= s.MaxInFlight || !r.hasUpstream(service, s.Next) {
		return service, func() {}
	}
	if r.inFlight == nil {
		r.inFlight = make(map[string]int)
	}
	r.inFlight[service]++
	return groupName(service, s.Next), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight[service]--
	}
}

func (r *Rollout) countRequest(k routeKey) {
	if r.requests == nil {
		r.requests = make(map[routeKey]int)
	}
	if r.requests[k] > 0 || len(r.requests) < maxCountedRoutes {
		r.requests[k]++
	}
}

// hasUpstream reports whether an upstream of the version accepts requests.
func (r *Rollout) hasUpstream(service, version string) bool {
	for _, u := range r.Upstreams() {
		if u.Service == service && u.Version == version && !u.Draining {
			return true
		}
	}
	return false
}

// Observe records the outcome of one attempt of a request on a route. Without a
// roll-out in progress it teaches the expected time of the route.
func (r *Rollout) Observe(route, service string, o ward.Outcome) {
	r.mu.Lock()
	p, m := r.plans[service], r.mover
	idle := p == nil || ended(r.states[service], p)
	inUse := r.splits[service].Version
	r.mu.Unlock()
	if m == nil {
		return
	}
	o.Sizing = route + "/" + service
	switch {
	case !idle:
		o.Route = p.key(route)
		m.Observe(o)
	case p == nil || o.Version == inUse:
		m.Learn(o)
	}
}

// currentMover returns the mover, or nil before Run.
func (r *Rollout) currentMover() *mover.Mover {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mover
}
