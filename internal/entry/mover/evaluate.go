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

// Sent counts a request on a route that was sent to a version at a time.
func (m *Mover) Sent(route, version string, at time.Time) {
	m.count(route, version, at, func(k evidence.Key, _ bool) { m.recorder.Sent(k) })
}

// Observe counts the outcome of one dispatch.
func (m *Mover) Observe(o ward.Outcome) {
	if o.At.IsZero() {
		o.At = m.Clock.Now()
	}
	counted, inUse := m.count(o.Route, o.Version, o.At.Add(-o.Total), func(k evidence.Key, old bool) { m.recorder.Observe(k, o, old) })
	if !counted && inUse {
		m.Learn(o)
	}
}

// count calls f for the count of each run to which a request belongs, with whether it
// was sent to the old version. It returns whether there was one, and whether the
// configuration puts the version on the route.
func (m *Mover) count(name, version string, sent time.Time, f func(k evidence.Key, old bool)) (counted, inUse bool) {
	c := m.Config()
	if c == nil {
		return false, false
	}
	i := slices.IndexFunc(c.Routes, func(r ward.Route) bool { return r.Name == name })
	if i < 0 {
		return false, false
	}
	route := c.Routes[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range c.Moves {
		old := version == x.From
		if !quarantine.Covers(x, route) || !old && version != x.To {
			continue
		}
		run := evidence.RunName(x.Name, x.Ticket)
		r := m.runs[run]
		if r == nil {
			continue
		}
		if step := r.stepAt(sent); step > 0 {
			counted = true
			f(evidence.Key{Move: evidence.StepName(run, step), Route: route.Name, Serves: route.Serves, Version: version}, old)
		}
	}
	return counted, version == route.Version
}

// Learn updates the expected times with the outcome of a dispatch while no move is
// known.
func (m *Mover) Learn(o ward.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorder.Learn(o.Route, o)
}

// Evaluate evaluates the evidence of each move and quarantines each new version that
// is found to be harmful.
func (m *Mover) Evaluate() {
	c := m.Config()
	if c == nil {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	if m.pausedUntil(now) {
		m.holdUntil = now.Add(resumeDelay)
	}
	m.lastEvaluation = now
	var found []ward.Quarantine
	active := map[string]bool{}
	m.addOwnChanges()
	for _, x := range c.Moves {
		s := split.StateOf(x, []ward.MoveState{m.states[x.Name]})
		if s.Begin.IsZero() || m.machine.Final(s) || x.Cancelled {
			continue
		}
		name := evidence.RunName(x.Name, x.Ticket)
		active[name] = true
		found = append(found, m.evaluateMove(c, x, s, now)...)
	}
	m.cleanup(c, active)
	added := m.quarantines.Merge(found)
	for _, b := range added {
		m.enqueue(quarantineEvent(b))
	}
	m.mu.Unlock()
	for _, b := range added {
		m.Log.Info("version-braked", "move", b.Move, "ticket", b.Ticket, "version", b.Version, "route", b.Route, "reason", b.Reason)
	}
	if len(added) > 0 {
		m.publish()
	}
}

// evaluateMove evaluates the routes of one move and returns the quarantines to add.
func (m *Mover) evaluateMove(c *ward.Config, x ward.Move, s ward.MoveState, now time.Time) []ward.Quarantine {
	name := evidence.RunName(x.Name, x.Ticket)
	r := m.runs[name]
	if r == nil {
		r = &run{seen: map[string]uint64{}, analyses: map[string]*analysis.Analysis{}, verdicts: map[string]analysis.Verdict{}}
		m.runs[name] = r
		r.before, r.arrivedBefore = m.requests(name), m.arrivals(x.Name)
	}
	r.begin = s.Begin
	routes, silent := routesOf(c, x), m.baseSilent(x, s)
	stepped := len(r.steps) == 0 || r.steps[len(r.steps)-1].step != s.Step
	if stepped {
		m.logEvidence(x, r, routes)
		r.steps = append(r.steps, stepStart{s.Step, s.Share, now})
	}
	p := plan.Plan{Begin: s.Begin, Deadline: x.Deadline}
	m.assess(r, name, routes, x, s.Step)
	for _, route := range routes {
		a := r.analyses[route.Name]
		if a == nil {
			a = &analysis.Analysis{Begin: s.Begin, Window: p.Window(), Tests: 2 * len(routes)}
			r.analyses[route.Name] = a
		}
		for n := a.Steps() + 1; n <= s.Step; n++ {
			a.Step(n, p.Share(n)) // also the steps before this entry started
		}
		list, outcomes := m.samples(name, route, x, s.Step)
		list[len(list)-1].Silent = silent
		if outcomes == r.seen[route.Name] && !stepped {
			continue
		}
		r.seen[route.Name] = outcomes
		v := a.Update(now, list...)
		r.verdicts[route.Name] = v
		if v.Harm {
			return m.quarantinesOf(x, "route "+route.Name+": "+v.Reason, now)
		}
	}
	return nil
}

// baseSilent reports whether no upstream but those of a move's target accepts requests of its
// service.
func (m *Mover) baseSilent(x ward.Move, s ward.MoveState) bool {
	list := m.replicas(x)
	return len(list) > 0 && !slices.ContainsFunc(list, func(u ward.Replica) bool {
		return !u.Draining && u.Version != x.To && !slices.Contains(s.Rejected, u.Version)
	})
}

// assess updates the approvals of a run.
func (m *Mover) assess(r *run, name string, routes []ward.Route, x ward.Move, step int) {
	r.approvals, r.doubted = r.approvals[:0], false
	for _, route := range routes {
		samples, _ := m.samples(name, route, x, step)
		a := analysis.Assess(samples, 1)
		a.Expected = m.Expected != nil && m.Expected(x.Name, route.Name)
		r.approvals = append(r.approvals, a)
		r.doubted = r.doubted || a.Doubtful()
	}
}

// requests returns the number of requests that are known of a run.
func (m *Mover) requests(name string) (n uint64) {
	for k, t := range m.totals {
		if evidence.RunOf(k.Move) == name {
			n += t.Requests()
		}
	}
	return n
}

// ownRequests returns the number of requests of a run that this entry sent.
func (m *Mover) ownRequests(name string) (n uint64) {
	for _, c := range m.recorder.Counts() {
		if evidence.RunOf(c.Move) == name {
			n += c.Sent
		}
	}
	return n
}

// logEvidence logs what the evidence of a run is when its next step is put in force:
// the totals of the step before and the results of the analyses.
func (m *Mover) logEvidence(x ward.Move, r *run, routes []ward.Route) {
	if len(r.steps) == 0 {
		return
	}
	step := r.steps[len(r.steps)-1].step
	for _, route := range routes {
		v := r.verdicts[route.Name]
		k := evidence.Key{Move: evidence.StepName(evidence.RunName(x.Name, x.Ticket), step), Route: route.Name, Serves: route.Serves, Version: x.From}
		old := m.total(k)
		k.Version = x.To
		next := m.total(k)
		m.Log.Info("move-evidence", "move", x.Name, "ticket", x.Ticket, "route", route.Name, "step", step,
			"old", old.Outcomes(), "old-failed", old.Failed, "old-median", analysis.Median(old.Latency),
			"next", next.Outcomes(), "next-failed", next.Failed, "next-median", analysis.Median(next.Latency),
			"failures", v.Failures, "slowness", v.Slowness, "limit", v.Limit, "pass", v.Pass)
	}
}

// samples returns the totals of each step up to the current one, and the number of
// outcomes in them.
func (m *Mover) samples(name string, route ward.Route, x ward.Move, step int) ([]analysis.Sample, uint64) {
	var list []analysis.Sample
	var outcomes uint64
	for n := 1; n <= step; n++ {
		k := evidence.Key{Move: evidence.StepName(name, n), Route: route.Name, Serves: route.Serves, Version: x.From}
		s := analysis.Sample{Step: n, Old: m.total(k)}
		k.Version = x.To
		s.Next = m.total(k)
		outcomes += s.Old.Outcomes() + s.Next.Outcomes()
		list = append(list, s)
	}
	return list, outcomes
}

// quarantinesOf returns the quarantines that roll back a move.
func (m *Mover) quarantinesOf(x ward.Move, reason string, now time.Time) []ward.Quarantine {
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

// cleanup removes the state of runs that have ended. It scans the counts of peers
// only after a run has ended here, and at every cleanupTicks-th evaluation.
func (m *Mover) cleanup(c *ward.Config, active map[string]bool) {
	dropped := 0
	for name := range m.runs {
		if !active[name] {
			delete(m.runs, name)
			dropped++
		}
	}
	if m.evaluations++; dropped == 0 && m.evaluations%cleanupTicks != 0 {
		return
	}
	m.recorder.Retain(func(run string) bool { return active[run] })
	for k := range m.peerCounts {
		if run := evidence.RunOf(k.key.Move); !active[run] && !m.activeAtPeer(c, run) {
			delete(m.peerCounts, k)
			dropped++
		}
	}
	if dropped > 0 {
		m.rebuildTotals()
	}
}

// activeAtPeer reports whether a run that is not active here may be active at a peer:
// it is in the configuration and no final state is known.
func (m *Mover) activeAtPeer(c *ward.Config, name string) bool {
	for _, x := range c.Moves {
		if evidence.RunName(x.Name, x.Ticket) == name {
			return !m.machine.Final(split.StateOf(x, []ward.MoveState{m.states[x.Name]}))
		}
	}
	return false
}

// routesOf returns the routes that a move covers.
func routesOf(c *ward.Config, x ward.Move) []ward.Route {
	var list []ward.Route
	for _, r := range c.Routes {
		if quarantine.Covers(x, r) {
			list = append(list, r)
		}
	}
	return list
}
