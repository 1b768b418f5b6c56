package scheduler

import (
	"slices"
	"strings"
	"time"

	"agateward/internal/request/waste"
	"agateward/ward"
)

// State is what an entry tells its peers and its operators.
type State struct {
	// Floor is the highest-ranked floor in force for any model or service,
	// Floors those that are not at rest.
	Floor   ward.Tier
	Floors  []ward.ServesFloor
	Waiting [ward.TierCount]int
	Running int
	Demand  []ward.Demand
	// Waste counts the prompt work that was thrown away, by cause.
	Waste waste.Counts
	// Upstreams is the view of each upstream, by name.
	Upstreams []UpstreamState
}

// UpstreamState is the view of one upstream, with the reason of its state.
type UpstreamState struct {
	Name         string
	Version      string
	Usable       bool
	Reason       string
	InFlight     int
	PeerInFlight int
	Prefill      int
	// Limit is the fleet's bound of requests in flight, Part this entry's part.
	Limit       float64
	Share       float64
	PrefillRate float64
	TokenTime   time.Duration
}

// State returns the state as of the last call.
func (s *Scheduler) State() State {
	now := s.now
	st := State{Floor: ward.TierBottom, Waste: s.waste}
	for _, p := range s.order {
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

// demands lists the upstreams that this entry uses or wants, by name.
func (s *Scheduler) demands(now time.Time) []ward.Demand {
	var out []ward.Demand
	for _, p := range s.order {
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
				Rate: int(u.budget.Known(now)),
			})
		}
	}
	slices.SortFunc(out, func(a, b ward.Demand) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

func (s *Scheduler) upstreamState(u *upstream) UpstreamState {
	st := UpstreamState{
		Name: u.cfg.Name, Version: u.cfg.Version, Usable: u.usable(), Reason: "takes work",
		InFlight: u.inFlight, PeerInFlight: u.othersFlight, Prefill: u.prefill,
		Limit: u.budget.Limit(), Share: u.budget.Part(),
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

// Preview tells where a request would go if it came now, and why. It changes
// nothing; ok is false when the request would wait or be refused.
func (s *Scheduler) Preview(now time.Time, r *ward.Request) (u ward.Upstream, reason string, ok bool) {
	rt := s.routes[r.Route]
	if rt == nil {
		return u, "no such route is in force", false
	}
	e := &s.preview
	*e = entry{route: rt}
	e.item.Request = r
	e.item.Tier = min(max(r.Tier, ward.TierTop), ward.TierBottom)
	e.item.Draw = 1
	e.item.Since = now
	p, _ := s.assign(now, e)
	o := s.best(now, p, e)
	if o.u == nil {
		return u, "no upstream has room for the tier", false
	}
	return o.u.cfg, o.reason, true
}
