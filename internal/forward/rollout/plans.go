package rollout

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/move/baseline"
	"agateward/internal/move/exposure"
	"agateward/internal/move/split"
	"agateward/ward"
)

const (
	// A roll-out ends marginFraction of the operator's time limit, and at least
	// minMargin, before that limit, as its outcome has to be in the store by then.
	minMargin      = 2 * time.Second
	marginFraction = 0.1
	// minRouteShare is the fraction of a service's requests from which a route is
	// evaluated separately. The others are evaluated together under otherRoutes.
	minRouteShare = 0.05
	otherRoutes   = "*"
	// minCounted is the time after which an entry knows how many requests of a service come.
	minCounted = time.Second
	// startTime is the time in which a process that starts learns of earlier orders.
	startTime = 5 * time.Second
	// cautiousTime is the time after its start in which a process does not rely on an approval by
	// others.
	cautiousTime = 3 * time.Second
)

// plan is a roll-out order as this entry executes it.
type plan struct {
	ward.Rollout
	// from is the version in use when the order arrived, "" while it is not known. rejected lists
	// the versions that earlier orders have not accepted. Both are a guess until the record of the
	// move names them.
	from     string
	rejected []string
	// over is set once the order no longer affects any version.
	over bool
	// alone is true while no upstream of another version accepts requests.
	alone bool
	// orderedAt is when the order was issued, as far as this entry knows, countedSince the
	// time from which use.All counts.
	orderedAt, countedSince time.Time
	// routes lists the routes that are evaluated separately; otherRoutes in it stands
	// for all others.
	routes []string
	// parts holds the fraction of the service's requests by the name under which the
	// outcomes of a route are counted, as of the last update.
	parts map[string]float64
	// share is the fraction of the requests that the unproven version gets, by how many come; 0
	// means exposure.MaxShare.
	share float64
	// owed holds the requests that the unproven version is still to get for its share, by the
	// same name.
	owed map[string]float64
	// reached holds the same names of the routes on which the unproven version has got a request.
	reached map[string]bool
	// use is what this entry has used of the bound on the target's exposure.
	use exposure.Use
	// adopted is set once the record of the move has named what the roll-out starts from; basis
	// is the revision of the earlier record that the guess follows from.
	adopted bool
	basis   uint64
	// recordRead is set once this process has read the records of the move.
	recordRead bool
}

// deadline returns when the roll-out must have ended. An entry that started after the
// order takes the time of the order from the record of the move.
func (p *plan) deadline(s ward.MoveState) time.Time {
	orderedAt := p.orderedAt
	if !s.Begin.IsZero() && s.Ticket == p.Revision && s.Begin.Before(orderedAt) {
		orderedAt = s.Begin
	}
	return orderedAt.Add(p.Within - max(minMargin, time.Duration(marginFraction*float64(p.Within))))
}

// key returns the name under which the outcomes of a route are counted.
func (p *plan) key(route string) string {
	if !slices.Contains(p.routes, route) {
		route = otherRoutes
	}
	return route + "/" + p.Service
}

// maxCanaryFactor bounds how much more of a route's requests than of all requests an unproven
// version gets.
const maxCanaryFactor = 2

// canaryShare returns the fraction of a route's requests that an unproven version gets. It is
// higher for a route with few requests, so that their outcomes are as many as those of the
// others: a version that fails on that route alone would pass by chance.
func (p *plan) canaryShare(route string) float64 {
	share := max(p.share, exposure.MaxShare)
	part := p.parts[p.key(route)]
	if part == 0 {
		return share
	}
	return min(share*min(maxCanaryFactor, 1/(float64(len(p.parts))*part)), exposure.ThinShare)
}

// takesCanary reports whether a request on a route goes to the unproven version, given a random
// number u. Where few requests come, in all or on the route, independent choices could leave the
// version without any, so it gets the first one, and what it did not get of its share is made up
// for.
func (p *plan) takesCanary(route string, u float64) bool {
	share, key := p.canaryShare(route), p.key(route)
	if p.share <= exposure.MaxShare && p.parts[key] >= minRouteShare {
		return u < share
	}
	if p.owed == nil {
		p.owed = make(map[string]float64)
	}
	owed := 1.0
	if before, ok := p.owed[key]; ok {
		owed = min(before+share, 1)
	}
	taken := u < owed
	if taken {
		owed--
	}
	p.owed[key] = owed
	return taken
}

// reservedBeside returns the number of requests of the bound that are kept for the other routes in
// use of which the unproven version has not got any here: busy routes would spend all of it.
func (p *plan) reservedBeside(route string) int {
	n, own := 0, p.key(route)
	for key := range p.parts {
		if key != own && !p.reached[key] {
			n++
		}
	}
	return n
}

// noteReached notes that the unproven version gets a request on a route.
func (p *plan) noteReached(route string) {
	if p.reached == nil {
		p.reached = make(map[string]bool)
	}
	p.reached[p.key(route)] = true
}

// updateParts updates the fractions of the service's requests. The caller must hold mu.
func (r *Rollout) updateParts(p *plan) {
	all, counts := 0, make(map[string]int, len(p.routes))
	for k, n := range r.requests {
		if k.service == p.Service {
			all += n
			counts[p.key(k.route)] += n
		}
	}
	p.parts = make(map[string]float64, len(counts))
	for key, n := range counts {
		p.parts[key] = float64(n) / float64(all)
	}
}

// Plan plans the orders that have arrived since, so that Group tells their upstreams
// apart.
func (r *Rollout) Plan() {
	if r.Orders == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updatePlans(time.Now())
}

// updatePlans updates the plans from the current orders, and reports whether Group may
// return other groups since. The caller must hold mu.
func (r *Rollout) updatePlans(now time.Time) (changed bool) {
	orders := r.Orders()
	ordered := make(map[string]bool, len(orders))
	for _, o := range orders {
		ordered[o.Service] = true
		if p := r.plans[o.Service]; p != nil && p.Revision == o.Revision {
			continue
		}
		replicas := r.replicas(o.Service)
		if len(replicas) == 0 {
			continue // no upstream of the service is known yet
		}
		d := r.baseline(o, "", replicas)
		p := &plan{
			Rollout: o, from: d.Version, rejected: d.Rejected, basis: r.states[o.Service].Revision, orderedAt: now.Add(-o.Age), countedSince: now,
			routes: r.evaluatedRoutes(o.Service), use: exposure.Use{Late: now.Sub(r.started) < startTime},
		}
		if r.plans == nil {
			r.plans = make(map[string]*plan)
		}
		r.plans[o.Service] = p
		changed = true
		signal(r.readDue)
		r.Log.Info("rollout-planned", "service", o.Service, "from", p.from, "source", d.Source, "rejected", p.rejected, "to", o.Target, "deadline", p.deadline(ward.MoveState{}), "revision", o.Revision, "routes", p.routes)
	}
	for service, p := range r.plans {
		if !ended(r.states[service], p) {
			r.updateParts(p)
		}
		if !ordered[service] {
			delete(r.plans, service)
			changed = true
			r.Log.Info("rollout-order-gone", "service", service)
			continue
		}
		// After the old upstreams are gone, the order no longer affects their version. Without
		// upstreams of the target it is over too: releases have replaced them.
		if s := r.states[service]; !p.over && ended(s, p) && s.State == split.Done && (!r.registered(service, p.from) || !r.registered(service, p.Target)) {
			changed, p.over = true, true
		}
		changed = r.dropRejected(p) || changed
		r.noteAlone(p)
	}
	return changed
}

// baseline returns what the roll-out of an order starts from, as far as this entry knows: the record
// of the service's last roll-out may not have been read. seen is a version that was seen in use before, ""
// for none. The caller must hold mu.
func (r *Rollout) baseline(o ward.Rollout, seen string, replicas []ward.Replica) baseline.Decision {
	last := r.states[o.Service]
	if last.Ticket == o.Revision && last.From != "" {
		return baseline.Decision{Version: last.From, Rejected: last.Rejected, Source: baseline.FromRecord}
	}
	d := baseline.Service{Last: last, Seen: seen, Replicas: replicas}.Decide(o.Target)
	if d.Source == baseline.OnlyTarget {
		d.Version = "" // another version may have been in use
	}
	return d
}

// adopt takes what the roll-out of a plan starts from from the record of its move, or until that is
// written, from a record of an earlier one that was not known before. It reports whether Group may
// return other groups since. The caller must hold mu.
func (r *Rollout) adopt(p *plan) bool {
	s := r.states[p.Service]
	changed := p.adopt(s)
	if !p.adopted && s.Ticket != p.Revision && s.Revision > p.basis {
		d := r.baseline(p.Rollout, p.from, r.replicas(p.Service))
		changed = p.from != d.Version || !slices.Equal(p.rejected, d.Rejected)
		p.from, p.rejected, p.basis = d.Version, d.Rejected, s.Revision
	}
	if changed {
		r.Log.Info("rollout-start-adopted", "service", p.Service, "from", p.from, "rejected", p.rejected, "to", p.Target, "revision", p.Revision, "of-this-order", p.adopted)
	}
	return changed
}

// dropRejected forgets the rejected versions of which no upstream is left, as a release may
// introduce them again, and reports whether there was one. The caller must hold mu.
func (r *Rollout) dropRejected(p *plan) bool {
	n := len(p.rejected)
	p.rejected = slices.DeleteFunc(p.rejected, func(v string) bool { return !r.registered(p.Service, v) })
	return len(p.rejected) < n
}

// noteAlone logs when an unproven version becomes the only one whose upstreams accept requests, and
// when it no longer is. Its bound holds all the same. The caller must hold mu.
func (r *Rollout) noteAlone(p *plan) {
	// An order stays after its end, so the upstreams are not searched then.
	alone := !ended(r.states[p.Service], p) && !slices.ContainsFunc(r.replicas(p.Service), func(u ward.Replica) bool {
		return !u.Draining && u.Version != p.Target && !slices.Contains(p.rejected, u.Version)
	})
	if alone != p.alone {
		p.alone = alone
		r.Log.Info("rollout-target-alone", "service", p.Service, "target", p.Target, "from", p.from, "alone", alone, "revision", p.Revision)
	}
}

// adopt takes the routes that are evaluated, and what the roll-out starts from, from the record
// of the move, and reports whether Group may return other groups since. An entry that starts
// after releases knows neither.
func (p *plan) adopt(s ward.MoveState) (changed bool) {
	if s.Ticket != p.Revision {
		return false
	}
	if len(s.Evaluated) > 0 {
		p.routes = s.Evaluated
	}
	if s.From == "" || p.adopted {
		return false
	}
	p.adopted = true
	changed = p.from != s.From || !slices.Equal(p.rejected, s.Rejected)
	p.from, p.rejected = s.From, slices.Clone(s.Rejected)
	return changed
}

// updateUse updates what the bound on the exposure depends on besides the requests. started is when
// this process did: one that starts towards the end of the roll-out has none of the final requests, as
// an earlier one may have spent them.
func (p *plan) updateUse(s ward.MoveState, bound exposure.Bound, entries int, doubted bool, started, now time.Time) {
	p.use.Entries, p.use.Doubted = entries, doubted
	if counted := now.Sub(p.countedSince); counted >= minCounted {
		early := exposure.EarlyPart * float64(p.deadline(s).Sub(p.orderedAt))
		p.share = bound.CanaryShare(float64(p.use.All*max(entries, 1)) * early / float64(counted))
	}
	final := s.Begin.Add(time.Duration(exposure.FinalPart * float64(p.deadline(s).Sub(s.Begin))))
	p.use.Final = !s.Begin.IsZero() && !now.Before(final) && started.Before(final)
}

// replicas returns the registered upstreams of a service.
func (r *Rollout) replicas(service string) []ward.Replica {
	var list []ward.Replica
	for _, u := range r.Upstreams() {
		if u.Service == service {
			list = append(list, u)
		}
	}
	return list
}

// arrivals returns the number of requests for a service that have reached this entry since the order.
func (r *Rollout) arrivals(service string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.plans[service]; p != nil {
		return uint64(p.use.All)
	}
	return 0
}

// expected reports whether requests of the service have come on the routes that are counted under
// a name, also before the order.
func (r *Rollout) expected(service, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.plans[service]
	return p != nil && p.parts[key] > 0
}

// registered reports whether an upstream of the version is known.
func (r *Rollout) registered(service, version string) bool {
	return slices.ContainsFunc(r.Upstreams(), func(u ward.Replica) bool { return u.Service == service && u.Version == version })
}

// evaluatedRoutes returns the routes by which the requests of a service are evaluated:
// those that get at least minRouteShare of them, and otherRoutes, however few requests those
// get: a version may fail on such a route alone.
func (r *Rollout) evaluatedRoutes(service string) []string {
	all := 0
	for k, n := range r.requests {
		if k.service == service {
			all += n
		}
	}
	list := []string{otherRoutes}
	for k, n := range r.requests {
		if k.service == service && float64(n) >= minRouteShare*float64(all) {
			list = append(list, k.route)
		}
	}
	slices.Sort(list)
	return list
}

// config returns the plans as the moves of a configuration, or nil without plans.
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
			Evaluated: p.routes,
		})
	}
	slices.SortFunc(c.Moves, func(a, b ward.Move) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// splitFor returns the current split of a plan's requests.
func splitFor(list []ward.Split, p *plan) ward.Split {
	for _, s := range list {
		for _, name := range p.routes {
			if s.Route == p.key(name) {
				return s
			}
		}
	}
	return ward.Split{Version: p.from}
}

// ended reports whether the move of a plan has ended.
func ended(s ward.MoveState, p *plan) bool {
	return s.Ticket == p.Revision && (s.State == split.Done || s.State == split.RolledBack)
}
