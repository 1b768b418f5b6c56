package rollout

import (
	"slices"
	"time"

	"agateward/internal/entry/mover"
	"agateward/ward"
)

// Group returns the scheduler's group of an upstream: its service, or a separate
// group for a version of a roll-out that is not in use: first the target, later the
// previous version, and those that earlier orders have not accepted. Versions that no order
// names belong to the service, as a release may introduce them at any time.
func (r *Rollout) Group(u ward.Replica) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.plans[u.Service]
	if p != nil && (slices.Contains(p.rejected, u.Version) || !p.over && u.Version == r.unused(p)) {
		return groupName(u.Service, u.Version)
	}
	return u.Service
}

// unused returns the version of an order that is not in use: its target until it is completed, and
// then the previous version. It is "" if the target was in use before. The caller must hold mu.
func (r *Rollout) unused(p *plan) string {
	switch {
	case p.from == p.Target:
		return ""
	case r.splits[p.Service].Version == p.Target:
		return p.from
	}
	return p.Target
}

func groupName(service, version string) string { return service + "@" + version }

// Choose returns the group for a request, given a uniform random number u from 0 to 1.
// The caller must call done when the request has ended.
func (r *Rollout) Choose(route, service string, u float64) (group string, done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRequest(routeKey{route, service})
	s, p := r.splits[service], r.plans[service]
	if p != nil {
		p.use.All++
	}
	if s.Next == "" || !r.takesNext(s, p, route, u) || s.MaxInFlight > 0 && r.inFlight[service] >= s.MaxInFlight || !r.hasUpstream(service, s.Next) {
		return service, func() {}
	}
	if p != nil {
		p.use.Exposed++
		p.noteReached(route)
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

// takesNext reports whether a request on a route goes to the new version, given a random number
// u: by the share of the step, or while the version is unproven, by the bound on its exposure. A
// process that has just started takes an approved version for unproven, unless no other is left.
func (r *Rollout) takesNext(s ward.Split, p *plan, route string, u float64) bool {
	if p == nil || s.Share <= 0 || r.states[p.Service].Approved && (p.alone || !r.justStarted(p, time.Now())) {
		return u < s.Share
	}
	use := p.use
	use.Exposed += p.reservedBeside(route)
	return r.Exposure.Allows(use) && p.takesCanary(route, u)
}

// justStarted reports whether this process started after an order and so lately that it may have missed
// harm that began before: it has no evidence of its own for an approval yet. The caller must hold mu.
func (r *Rollout) justStarted(p *plan, now time.Time) bool {
	return p.use.Late && now.Sub(r.started) < cautiousTime
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

// Sent records that a request on a route is sent to a version of a service; at is the time
// from which its Outcome.Total counts.
func (r *Rollout) Sent(route, service, version string, at time.Time) {
	if name, counted, m, active := r.evaluated(route, service, version); active {
		m.Sent(name, counted, at)
	}
}

// evaluated returns the mover, the names under which it counts the outcomes of a route and of a
// version, and whether they count for a roll-out in progress. All versions but the target count
// as the one in use, since releases may replace it meanwhile; rejected ones do not count. The mover
// is nil before Run.
func (r *Rollout) evaluated(route, service, version string) (name, counted string, m *mover.Mover, active bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.plans[service]
	if p == nil || r.mover == nil || ended(r.states[service], p) || slices.Contains(p.rejected, version) {
		return "", version, r.mover, false
	}
	if version != p.Target {
		version = p.from
	}
	return p.key(route), version, r.mover, true
}

// Observe records the outcome of one attempt of a request on a route. Without a
// roll-out in progress it teaches the expected time of the route.
func (r *Rollout) Observe(route, service string, o ward.Outcome) {
	name, counted, m, active := r.evaluated(route, service, o.Version)
	if m == nil {
		return
	}
	o.Sizing = route + "/" + service
	switch {
	case active:
		o.Route, o.Version = name, counted
		m.Observe(o)
	case r.inUse(service, o.Version):
		m.Learn(o)
	}
}

// inUse reports whether a version of a service is not known to be another than the one in
// use.
func (r *Rollout) inUse(service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plans[service] == nil || r.splits[service].Version == version
}

// currentMover returns the mover, or nil before Run.
func (r *Rollout) currentMover() *mover.Mover {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mover
}
