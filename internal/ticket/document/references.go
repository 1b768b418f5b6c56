package document

import (
	"fmt"
	"slices"
	"time"

	"agateward/internal/move/quarantine"
	"agateward/ward"
)

// references checks the references between the objects of a ticket and to those
// in force.
type references struct {
	*checker
	ticket ward.Ticket
	before ward.Config
	after  ward.Config
	now    time.Time
}

func (r *references) check() {
	r.removals()
	for i, x := range r.ticket.Routes {
		if !x.Removed {
			r.version(fmt.Sprintf("routes[%d].version", i), x.Kind, x.Serves, x.Version)
		}
	}
	for i, m := range r.ticket.Moves {
		path := fmt.Sprintf("moves[%d]", i)
		switch {
		case m.Removed:
			r.removedMove(path, m)
		default:
			r.move(path, m)
		}
	}
	r.routesInMove()
	r.upstreamsInUse()
}

// routesInMove refuses to set a route while a move of it may be in progress: the
// ticket's version would contradict the outcome of the move.
func (r *references) routesInMove() {
	for i, x := range r.ticket.Routes {
		for _, m := range r.before.Moves {
			over := m.Cancelled || !m.Deadline.After(r.now)
			ends := slices.ContainsFunc(r.ticket.Moves, func(y ward.Move) bool { return y.Name == m.Name && (y.Cancelled || y.Removed) })
			if over || ends || !quarantine.Covers(m, x) {
				continue
			}
			r.add(fmt.Sprintf("routes[%d].name", i), "move %q moves route %q until %s; cancel it or wait", m.Name, x.Name, m.Deadline.Format(time.RFC3339))
		}
	}
}

// removals checks that the objects to be removed exist.
func (r *references) removals() {
	for i, u := range r.ticket.Upstreams {
		if u.Removed && !slices.ContainsFunc(r.before.Upstreams, func(x ward.Upstream) bool { return x.Name == u.Name }) {
			r.add(fmt.Sprintf("upstreams[%d].name", i), "there is no upstream %q to remove", u.Name)
		}
	}
	for i, t := range r.ticket.Teams {
		if t.Removed && !slices.ContainsFunc(r.before.Teams, func(x ward.Team) bool { return x.Name == t.Name }) {
			r.add(fmt.Sprintf("teams[%d].name", i), "there is no team %q to remove", t.Name)
		}
	}
	for i, t := range r.ticket.Routes {
		if t.Removed && !slices.ContainsFunc(r.before.Routes, func(x ward.Route) bool { return x.Name == t.Name }) {
			r.add(fmt.Sprintf("routes[%d].name", i), "there is no route %q to remove", t.Name)
		}
	}
}

// serving counts the upstreams of a version that take new work.
func (r *references) serving(kind ward.UpstreamKind, serves, version string) int {
	n := 0
	for _, u := range r.after.Upstreams {
		if u.Serves == serves && u.Version == version && (kind == "" || u.Kind == kind) && !u.Leaving {
			n++
		}
	}
	return n
}

func (r *references) version(path string, kind ward.UpstreamKind, serves, version string) {
	if r.serving(kind, serves, version) == 0 {
		r.add(path, "no upstream of kind %q serves %q at version %q; add one or name another version", kind, serves, version)
	}
}

func (r *references) move(path string, m ward.Move) {
	r.fixedFields(path, m)
	routes := r.routesOf(m)
	if len(routes) == 0 && len(m.Routes) == 0 {
		r.add(path+".serves", "no route leads to %q; add one or name another model or service", m.Serves)
	}
	for j, name := range m.Routes {
		if !slices.ContainsFunc(routes, func(x ward.Route) bool { return x.Name == name }) {
			r.add(fmt.Sprintf("%s.routes[%d]", path, j), "no route %q leads to %q", name, m.Serves)
		}
	}
	if len(routes) > 0 && !m.Cancelled {
		r.version(path+".from", routes[0].Kind, m.Serves, m.From)
		r.version(path+".to", routes[0].Kind, m.Serves, m.To)
	}
	for j, name := range m.Load {
		if !slices.ContainsFunc(r.after.Upstreams, func(x ward.Upstream) bool {
			return x.Name == name && x.Serves == m.Serves && x.Version == m.To && x.Kind == ward.KindEngine
		}) {
			r.add(fmt.Sprintf("%s.load[%d]", path, j), "no engine %q serves %q at version %q", name, m.Serves, m.To)
		}
	}
	if !m.Cancelled {
		r.overlap(path, m, routes)
	}
}

// fixedFields checks that a move keeps the fields of the one in force under its
// name, and that a cancelled move exists.
func (r *references) fixedFields(path string, m ward.Move) {
	old := slices.IndexFunc(r.before.Moves, func(x ward.Move) bool { return x.Name == m.Name })
	if old < 0 && m.Cancelled {
		r.add(path+".cancelled", "there is no move %q to cancel", m.Name)
	}
	if old >= 0 {
		o := r.before.Moves[old]
		if o.Serves != m.Serves || o.From != m.From || o.To != m.To || !slices.Equal(o.Routes, m.Routes) {
			r.add(path+".name", "move %q keeps its serves, routes, from and to; use another name", m.Name)
		}
	}
}

// overlap refuses a second move of a route while the first may still be in
// progress.
func (r *references) overlap(path string, m ward.Move, routes []ward.Route) {
	for _, other := range r.after.Moves {
		if other.Name == m.Name || other.Cancelled || !other.Deadline.After(r.now) {
			continue
		}
		for _, x := range r.routesOf(other) {
			if slices.ContainsFunc(routes, func(y ward.Route) bool { return y.Name == x.Name }) {
				r.add(path+".name", "move %q moves route %q until %s; cancel it or wait", other.Name, x.Name, other.Deadline.Format(time.RFC3339))
			}
		}
	}
}

// removedMove checks that the ticket sets a version for the routes of a removed
// move, because the outcome of the move no longer does.
func (r *references) removedMove(path string, m ward.Move) {
	i := slices.IndexFunc(r.before.Moves, func(x ward.Move) bool { return x.Name == m.Name })
	if i < 0 {
		r.add(path+".name", "there is no move %q to remove", m.Name)
		return
	}
	for _, x := range r.routesOf(r.before.Moves[i]) {
		if !slices.ContainsFunc(r.ticket.Routes, func(y ward.Route) bool { return y.Name == x.Name }) {
			r.add(path+".removed", "put route %q into the ticket too, with the version that is to serve it", x.Name)
		}
	}
}

// upstreamsInUse refuses to remove the last upstream of a version that a route
// outside the ticket needs.
func (r *references) upstreamsInUse() {
	for i, u := range r.ticket.Upstreams {
		was := slices.IndexFunc(r.before.Upstreams, func(x ward.Upstream) bool { return x.Name == u.Name })
		if was < 0 {
			continue
		}
		old := r.before.Upstreams[was]
		if r.serving(old.Kind, old.Serves, old.Version) > 0 {
			continue
		}
		for _, x := range r.after.Routes {
			if x.Serves == old.Serves && x.Version == old.Version && x.Kind == old.Kind && x.Ticket != r.ticket.Number {
				r.add(fmt.Sprintf("upstreams[%d].name", i), "%q is the last upstream at version %q, which route %q is set to; set the route's version in the same ticket", u.Name, old.Version, x.Name)
			}
		}
	}
}

// routesOf returns the routes in force that a move covers.
func (r *references) routesOf(m ward.Move) []ward.Route {
	var list []ward.Route
	for _, x := range r.after.Routes {
		if x.Serves == m.Serves && (len(m.Routes) == 0 || slices.Contains(m.Routes, x.Name)) {
			list = append(list, x)
		}
	}
	return list
}
