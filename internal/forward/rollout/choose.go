package rollout

import (
	"agateward/internal/entry/mover"
	"agateward/ward"
)

// Group returns the group of the scheduler that an upstream belongs to: its
// service, or a group of its own for the version that a roll-out does not use: the
// target, and once that is in use the version before. Versions that no order names
// belong to the service: a release may bring them at any time.
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
	return groupOf(u.Service, u.Version)
}

func groupOf(service, version string) string { return service + "@" + version }

// Choose returns the group that a request is sent to, by a number u from 0 to 1.
// done is called when the request has ended.
func (r *Rollout) Choose(route, service string, u float64) (group string, done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(use{route, service})
	s := r.splits[service]
	if s.Next == "" || u >= s.Share || s.MaxInFlight > 0 && r.running[service] >= s.MaxInFlight || !r.present(service, s.Next) {
		return service, func() {}
	}
	if r.running == nil {
		r.running = make(map[string]int)
	}
	r.running[service]++
	return groupOf(service, s.Next), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running[service]--
	}
}

func (r *Rollout) count(k use) {
	if r.used == nil {
		r.used = make(map[use]int)
	}
	if r.used[k] > 0 || len(r.used) < mostUsed {
		r.used[k]++
	}
}

// present tells whether an upstream of the version takes requests.
func (r *Rollout) present(service, version string) bool {
	for _, u := range r.Upstreams() {
		if u.Service == service && u.Version == version && !u.Draining {
			return true
		}
	}
	return false
}

// Observe counts one ended attempt of a request on a route.
func (r *Rollout) Observe(route, service string, o ward.Outcome) {
	r.mu.Lock()
	p, m := r.plans[service], r.mover
	r.mu.Unlock()
	if p == nil || m == nil {
		return
	}
	o.Route = p.key(route)
	m.Observe(o)
}

// steering returns the mover once Run has begun.
func (r *Rollout) steering() *mover.Mover {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mover
}
