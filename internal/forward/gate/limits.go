package gate

import (
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/schedule"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// noteLimit records what an upstream's answer says of the rate at which it takes requests.
func (c *call) noteLimit(a schedule.Action, r ward.RateLimit) {
	g, id := c.gate, schedule.IdentityOf(a.Upstream)
	g.mu.Lock()
	change, news := g.sched.ObserveLimit(a.Job.ID, r, time.Now())
	fault := r.Fault != "" && g.firstFault(id, "limit")
	g.mu.Unlock()
	if fault {
		g.Ignored.Note(c.log, "upstream-limit-invalid", "upstream", id.ID, "value", r.Fault, "ignored", r.Unknown, "limited", r.Limited, "per-second", r.PerSecond)
	}
	if !news {
		return
	}
	g.limitsChanged(c.log, []schedule.LimitChange{change}, sourceAnswer)
	g.TriggerBroadcast()
}

// learnLimits records the limits that a peer reports. The caller must hold mu.
func (g *Gate) learnLimits(m peerstate.Message, now time.Time) {
	if news := g.sched.LearnLimits(m.Limits, now); len(news) > 0 {
		g.limitsChanged(g.Log.WithValues("peer", m.Name), news, sourcePeer)
	}
}

// MergeLimits records the limits that any entry of the fleet reports.
func (g *Gate) MergeLimits(m peerstate.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learnLimits(m, time.Now())
}

// LimitReports returns some of the known limits, at each call the next ones.
func (g *Gate) LimitReports() []schedule.LimitReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.LimitReports()
}

// limited returns the number of upstreams that have a limit, and of the choices that a
// limit changed.
func (g *Gate) limited() (upstreams int, avoided uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.Limited()
}

// withinLimits reports whether the limits of a group's upstreams, and the pauses after answers
// that exceeded the bounds, let this entry send a request now.
func (g *Gate) withinLimits(group string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.sched.LimitAllows(group, now) && !g.sched.Exceeds(group, now)
}

// limitsChanged records changes of upstreams' limits and has other entries told.
func (g *Gate) limitsChanged(l logr.Logger, changes []schedule.LimitChange, source string) {
	list := make([]schedule.LimitReport, len(changes))
	for i, c := range changes {
		list[i] = c.LimitReport
		g.logLimit(l, c, source)
	}
	if g.LimitsChanged != nil {
		g.LimitsChanged(list)
	}
}

func (g *Gate) logLimit(l logr.Logger, c schedule.LimitChange, source string) {
	l.Info("upstream-limit", "upstream", c.Upstream.ID, "born", c.Upstream.Born, "limited", c.State.Limited, "per-second", c.State.PerSecond,
		"version", c.State.Version, "source", source, "age-of-previous", c.Age)
	g.Metrics.upstreamLimit(source)
}
