package mover

import (
	"slices"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/internal/move/plan"
	"agateward/internal/move/quarantine"
	"agateward/internal/move/split"
	"agateward/ward"
)

// Observe counts one ended dispatch.
func (m *Mover) Observe(o ward.Outcome) {
	c := m.Config()
	if c == nil {
		return
	}
	i := slices.IndexFunc(c.Routes, func(r ward.Route) bool { return r.Name == o.Route })
	if i < 0 {
		return
	}
	route := c.Routes[i]
	if o.At.IsZero() {
		o.At = m.Clock.Now()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	counted := false
	for _, x := range c.Moves {
		old := o.Version == x.From
		if !quarantine.Covers(x, route) || !old && o.Version != x.To {
			continue
		}
		name := evidence.RunName(x.Name, x.Ticket)
		r := m.runs[name]
		if r == nil {
			continue
		}
		step := r.stepAt(o.At.Add(-o.Total))
		if step == 0 {
			continue
		}
		counted = true
		m.recorder.Observe(evidence.Key{Move: evidence.StepName(name, step), Route: route.Name, Serves: route.Serves, Version: o.Version}, o, old)
	}
	if !counted && o.Version == route.Version {
		m.recorder.Learn(route.Name, o)
	}
}

// Evaluate takes one look at the evidence of each move and quarantines a version
// that is convicted.
func (m *Mover) Evaluate() {
	c := m.Config()
	if c == nil {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	if m.pausedUntil(now) {
		m.held = now.Add(holdTime)
	}
	m.judged = now
	var brakes []ward.Quarantine
	active := map[string]bool{}
	m.sumOwn()
	for _, x := range c.Moves {
		s := split.StateOf(x, []ward.MoveState{m.states[x.Name]})
		if s.Begin.IsZero() || m.machine.Final(s) || x.Cancelled {
			continue
		}
		name := evidence.RunName(x.Name, x.Ticket)
		active[name] = true
		brakes = append(brakes, m.look(c, x, s, now)...)
	}
	m.forget(active)
	added := m.brakes.Merge(brakes)
	for _, b := range added {
		m.enqueue(braked(b))
	}
	m.mu.Unlock()
	for _, b := range added {
		m.Log.Info("version-braked", "move", b.Move, "ticket", b.Ticket, "version", b.Version, "route", b.Route, "reason", b.Reason)
	}
	if len(added) > 0 {
		m.publish()
	}
}

// look judges the routes of one move and returns the quarantines to make.
func (m *Mover) look(c *ward.Config, x ward.Move, s ward.MoveState, now time.Time) []ward.Quarantine {
	name := evidence.RunName(x.Name, x.Ticket)
	r := m.runs[name]
	if r == nil {
		r = &run{seen: map[string]uint64{}, analyses: map[string]*analysis.Analysis{}, verdicts: map[string]analysis.Verdict{}}
		m.runs[name] = r
	}
	routes := routesOf(c, x)
	stepped := len(r.steps) == 0 || r.steps[len(r.steps)-1].step != s.Step
	if stepped {
		r.steps = append(r.steps, stepTaken{s.Step, s.Share, now})
	}
	p := plan.Plan{Begin: s.Begin, Deadline: x.Deadline}
	for _, route := range routes {
		a := r.analyses[route.Name]
		if a == nil {
			a = &analysis.Analysis{Begin: s.Begin, Window: p.Window(), Tests: 2 * len(routes)}
			r.analyses[route.Name] = a
		}
		if stepped {
			a.Step(s.Step, s.Share)
		}
		list, outcomes := m.samples(name, route, x, s.Step)
		if outcomes == r.seen[route.Name] && !stepped {
			continue
		}
		r.seen[route.Name] = outcomes
		v := a.Update(now, list...)
		r.verdicts[route.Name] = v
		if v.Harm {
			return m.brakesOf(x, "route "+route.Name+": "+v.Reason, now)
		}
	}
	return nil
}

// samples returns the totals of the step before and of the current one, and the
// number of outcomes in them.
func (m *Mover) samples(name string, route ward.Route, x ward.Move, step int) ([]analysis.Sample, uint64) {
	var list []analysis.Sample
	var outcomes uint64
	for n := max(step-1, 1); n <= step; n++ {
		k := evidence.Key{Move: evidence.StepName(name, n), Route: route.Name, Serves: route.Serves, Version: x.From}
		s := analysis.Sample{Step: n, Old: m.total(k)}
		k.Version = x.To
		s.Next = m.total(k)
		outcomes += s.Old.Outcomes() + s.Next.Outcomes()
		list = append(list, s)
	}
	return list, outcomes
}

// brakesOf returns the quarantines that take a move back.
func (m *Mover) brakesOf(x ward.Move, reason string, now time.Time) []ward.Quarantine {
	b := ward.Quarantine{Serves: x.Serves, Version: x.To, Move: x.Name, Ticket: x.Ticket, Reason: reason, By: m.Self, At: now}
	if len(x.Routes) == 0 {
		return []ward.Quarantine{b}
	}
	var list []ward.Quarantine
	for _, name := range x.Routes {
		b.Route = name
		list = append(list, b)
	}
	return list
}

// forget drops what is known of runs that have ended. The counts of others are
// gone through only after a run has ended here, and now and then.
func (m *Mover) forget(active map[string]bool) {
	dropped := 0
	for name := range m.runs {
		if !active[name] {
			delete(m.runs, name)
			dropped++
		}
	}
	if m.looks++; dropped == 0 && m.looks%forgetLooks != 0 {
		return
	}
	m.recorder.Retain(func(run string) bool { return active[run] })
	for k := range m.merged {
		if run := evidence.RunOf(k.key.Move); !active[run] && !m.expected(run) {
			delete(m.merged, k)
			dropped++
		}
	}
	if dropped > 0 {
		m.sumAfresh()
	}
}

// expected tells whether a run that is not active here may be at a peer: the
// configuration holds it and no final state is known.
func (m *Mover) expected(name string) bool {
	for _, x := range m.Config().Moves {
		if evidence.RunName(x.Name, x.Ticket) == name {
			return !m.machine.Final(split.StateOf(x, []ward.MoveState{m.states[x.Name]}))
		}
	}
	return false
}

func routesOf(c *ward.Config, x ward.Move) []ward.Route {
	var list []ward.Route
	for _, r := range c.Routes {
		if quarantine.Covers(x, r) {
			list = append(list, r)
		}
	}
	return list
}
