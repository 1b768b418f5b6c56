// Package route looks up routes, teams and services in one version of the forwarding
// configuration.
//
// # Usage
//
//	t := route.New(f)
//	r := t.Route("example.org", "/menus/today")
//	team, known := t.Team(key)
//	service := t.PickService(r, rand.Float64())
package route

import (
	"sort"
	"strings"
	"time"

	"agateward/ward"
)

// Table is an indexed configuration. It is immutable after New.
type Table struct {
	Config   ward.Forwarding
	byHost   map[string][]*ward.ForwardRoute
	byKey    map[string]*ward.ForwardTeam
	services map[string]*ward.ForwardService
	// named holds the services that the configuration lists or a route leads to.
	named map[string]bool
}

// New indexes a configuration.
func New(f ward.Forwarding) *Table {
	t := &Table{
		Config: f, byHost: make(map[string][]*ward.ForwardRoute),
		byKey: make(map[string]*ward.ForwardTeam), services: make(map[string]*ward.ForwardService), named: make(map[string]bool),
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, s := range r.Split {
			t.named[s.Service] = true
		}
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range f.Teams {
		for _, key := range f.Teams[i].Keys {
			t.byKey[key] = &f.Teams[i]
		}
	}
	for i := range f.Services {
		t.services[f.Services[i].Name] = &f.Services[i]
		t.named[f.Services[i].Name] = true
	}
	return t
}

// Route returns the route of the host with the longest prefix of path, or nil. The
// host may include a port.
func (t *Table) Route(host, path string) *ward.ForwardRoute {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*ward.ForwardTeam, bool) {
	team, ok := t.byKey[key]
	return team, ok
}

// NeedsKey reports whether a request of the route needs a team's key.
func (t *Table) NeedsKey(r *ward.ForwardRoute) bool { return len(t.Config.Teams) > 0 && !r.Public }

// PickService returns the service of a request, chosen by the weights of its route. u
// is a uniform random number from 0 to 1.
func (t *Table) PickService(r *ward.ForwardRoute, u float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	point := u * float64(total)
	for _, s := range r.Split {
		point -= float64(max(s.Weight, 0))
		if point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Names reports whether the configuration names a service.
func (t *Table) Names(service string) bool { return t.named[service] }

// Connections returns the maximum number of connections that one upstream of a
// service accepts from all entries together; 0 means no bound.
func (t *Table) Connections(service string) int {
	if s := t.services[service]; s != nil {
		return s.MaxConnections
	}
	return 0
}

// Cold returns how long an upstream of a service is cold after its start, and the requests
// a second that it takes meanwhile from all entries together; 0 means that it is never cold.
func (t *Table) Cold(service string) (d time.Duration, perSecond float64) {
	if s := t.services[service]; s != nil {
		return s.ColdTime.Std(), s.ColdRate
	}
	return 0, 0
}

// Stride returns the number of tokens per event in a service's streams, at least 1.
func (t *Table) Stride(service string) int {
	if s := t.services[service]; s != nil {
		return max(s.Stride, 1)
	}
	return 1
}
