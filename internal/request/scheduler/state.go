package scheduler

import (
	"slices"
	"strings"
	"time"

	"agateward/internal/request/waste"
	"agateward/ward"
)

// State is the state that an entry reports to its peers and operators.
type State struct {
	// Floor is the highest-ranked floor in force for any model or service.
	// Floors lists the models and services that have a floor in force or waiting
	// requests.
	Floor   ward.Tier
	Floors  []ward.ServesFloor
	Waiting [ward.TierCount]int
	Running int
	Demand  []ward.Demand
	// Waste counts the computed prompt tokens that were discarded, by cause.
	Waste waste.Counts
	// Upstreams is sorted by name.
	Upstreams []UpstreamState
}

// UpstreamState is the entry's view of one upstream. Reason explains why the
// upstream is usable or not.
type UpstreamState struct {
	Name         string
	Version      string
	Usable       bool
	Reason       string
	InFlight     int
	PeerInFlight int
	Prefill      int
	// Limit is the fleet-wide limit of requests in flight, Share this entry's
	// share of it, from 0 to 1.
	Limit       float64
	Share       float64
	PrefillRate float64
	TokenTime   time.Duration
}

// State returns the state as of the last call.
func (s *Scheduler) State() State {
	now := s.now
	st := State{Floor: ward.TierBottom, Waste: s.waste}
	for _, p := range s.orderedPools {
		for i, n := range p.queue.Waiting() {
			st.Waiting[i] += n
		}
	}
	for _, u := range s.upstreams {
		st.Running += u.inFlight
		st.Upstreams = append(st.Upstreams, s.upstreamState(u))
	}
	for serves, f := range s.floors {
		st.Floor = min(st.Floor, f.Level())
		waiting := s.waitingFor(serves)
		if f.Level() == ward.TierBottom && waiting == ([ward.TierCount]int{}) {
			continue
		}
		st.Floors = append(st.Floors, ward.ServesFloor{Serves: serves, Need: f.Need(), Floor: f.Level(), Waiting: waiting})
	}
	st.Demand = s.demands(now)
	slices.SortFunc(st.Upstreams, func(a, b UpstreamState) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Floors, func(a, b ward.ServesFloor) int { return strings.Compare(a.Serves, b.Serves) })
	return st
}

// demands lists the upstreams on which this entry has requests in flight or
// for which requests wait, sorted by name.
func (s *Scheduler) demands(now time.Time) []ward.Demand {
	var out []ward.Demand
	for _, p := range s.orderedPools {
		if len(p.upstreams) == 0 {
			continue
		}
		waiting := int(p.queue.Cost()) / len(p.upstreams)
		for _, u := range p.upstreams {
			if u.inFlight == 0 && waiting == 0 {
				continue
			}
			out = append(out, ward.Demand{
				Upstream: u.cfg.Name, InFlight: u.inFlight, Prefill: u.prefill, Waiting: waiting,
				Rate: int(u.budget.ObservedRate(now)),
			})
		}
	}
	slices.SortFunc(out, func(a, b ward.Demand) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

func (s *Scheduler) upstreamState(u *upstream) UpstreamState {
	st := UpstreamState{
		Name: u.cfg.Name, Version: u.cfg.Version, Usable: u.usable(), Reason: "takes work",
		InFlight: u.inFlight, PeerInFlight: u.peerInFlight, Prefill: u.prefill,
		Limit: u.budget.Limit(), Share: u.budget.Share(),
		PrefillRate: u.budget.PrefillRate(), TokenTime: u.budget.TokenTime(),
	}
	switch {
	case u.draining, u.cfg.Leaving:
		st.Reason = "leaving by ticket or list"
	case u.report.Leaving:
		st.Reason = "leaving by its own word"
	case u.breaker.Open():
		st.Usable = false
		st.Reason = "connections failed; the breaker is open"
	}
	return st
}

// Preview returns the upstream that a request arriving at now would be
// dispatched to, and why. It changes nothing; ok is false when the request
// would wait or be refused.
func (s *Scheduler) Preview(now time.Time, r *ward.Request) (u ward.Upstream, reason string, ok bool) {
	rt := s.routes[r.Route]
	if rt == nil {
		return u, "no such route is in force", false
	}
	rs := &s.preview
	*rs = requestState{route: rt}
	rs.item.Request = r
	rs.item.Tier = min(max(r.Tier, ward.TierTop), ward.TierBottom)
	rs.item.Draw = 1
	rs.item.Since = now
	p, _ := s.assign(now, rs)
	c := s.best(now, p, rs)
	if c.u == nil {
		return u, "no upstream has room for the tier", false
	}
	return c.u.cfg, c.reason, true
}
