package mover

import (
	"slices"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/brake"
	"agateward/internal/move/evidence"
	"agateward/internal/move/plan"
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
		if !brake.Covers(x, route) || !old && o.Version != x.To {
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

// Judge takes one look at the evidence of each move and quarantines a version
// that is convicted.
func (m *Mover) Judge() {
	c := m.Config()
	if c == nil {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	var brakes []ward.Brake
	active := map[string]bool{}
	totals := m.totals()
	for _, x := range c.Moves {
		s := split.StateOf(x, []ward.MoveState{m.states[x.Name]})
		if s.Begin.IsZero() || m.machine.Final(s) || x.Cancelled {
			continue
		}
		name := evidence.RunName(x.Name, x.Ticket)
		active[name] = true
		brakes = append(brakes, m.look(c, x, s, now, totals)...)
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
func (m *Mover) look(c *ward.Config, x ward.Move, s ward.MoveState, now time.Time, totals map[evidence.Key]analysis.Totals) []ward.Brake {
	name := evidence.RunName(x.Name, x.Ticket)
	r := m.runs[name]
	if r == nil {
		r = &run{analyses: map[string]*analysis.Analysis{}, verdicts: map[string]analysis.Verdict{}}
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
		v := a.Look(now, samples(name, route, x, s.Step, totals)...)
		r.verdicts[route.Name] = v
		if v.Harm {
			return m.brakesOf(x, "route "+route.Name+": "+v.Reason, now)
		}
	}
	return nil
}

// samples returns the totals of the step before and of the current one.
func samples(name string, route ward.Route, x ward.Move, step int, totals map[evidence.Key]analysis.Totals) []analysis.Sample {
	var list []analysis.Sample
	for n := max(step-1, 1); n <= step; n++ {
		k := evidence.Key{Move: evidence.StepName(name, n), Route: route.Name, Serves: route.Serves, Version: x.From}
		s := analysis.Sample{Step: n, Old: totals[k]}
		k.Version = x.To
		s.Next = totals[k]
		list = append(list, s)
	}
	return list
}

// brakesOf returns the quarantines that take a move back.
func (m *Mover) brakesOf(x ward.Move, reason string, now time.Time) []ward.Brake {
	b := ward.Brake{Serves: x.Serves, Version: x.To, Move: x.Name, Ticket: x.Ticket, Reason: reason, By: m.Self, At: now}
	if len(x.Routes) == 0 {
		return []ward.Brake{b}
	}
	var list []ward.Brake
	for _, name := range x.Routes {
		b.Route = name
		list = append(list, b)
	}
	return list
}

// totals sums the counts of all entries.
func (m *Mover) totals() map[evidence.Key]analysis.Totals {
	sums := map[evidence.Key]analysis.Totals{}
	add := func(c ward.Counts) {
		k := evidence.Key{Move: c.Move, Route: c.Route, Serves: c.Serves, Version: c.Version}
		t := sums[k]
		t.Add(c)
		sums[k] = t
	}
	for _, c := range m.recorder.Counts() {
		add(c)
	}
	for _, c := range m.merged {
		add(c)
	}
	return sums
}

// forget drops what is known of runs that have ended.
func (m *Mover) forget(active map[string]bool) {
	for name := range m.runs {
		if !active[name] {
			delete(m.runs, name)
		}
	}
	m.recorder.Keep(func(run string) bool { return active[run] })
	for k := range m.merged {
		if run := evidence.RunOf(k.key.Move); !active[run] && !m.expected(run) {
			delete(m.merged, k)
		}
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
		if brake.Covers(x, r) {
			list = append(list, r)
		}
	}
	return list
}

// sum returns the counts of a run over all entries and steps, one for each
// route and version, as evidence of an outcome.
func (m *Mover) sum(c *ward.Config, x ward.Move) []ward.Counts {
	const maxEvidence = 16
	name := evidence.RunName(x.Name, x.Ticket)
	sums := map[evidence.Key]analysis.Totals{}
	for k, t := range m.totals() {
		if k.Move = evidence.RunOf(k.Move); k.Move == name {
			s := sums[k]
			s.Merge(t)
			sums[k] = s
		}
	}
	var list []ward.Counts
	for _, r := range routesOf(c, x) {
		for _, version := range []string{x.From, x.To} {
			t := sums[evidence.Key{Move: name, Route: r.Name, Serves: x.Serves, Version: version}]
			if t.Outcomes() > 0 && len(list) < maxEvidence {
				list = append(list, ward.Counts{
					Serves: x.Serves, Version: version, Route: r.Name, Move: name,
					Succeeded: t.Succeeded, Failed: t.Failed, Latency: t.Latency,
				})
			}
		}
	}
	return list
}
