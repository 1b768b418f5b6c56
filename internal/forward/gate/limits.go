package gate

import (
	"time"

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
		c.log.Info("upstream-limit-invalid", "upstream", id.ID, "value", r.Fault, "ignored", r.Unknown, "limited", r.Limited, "per-second", r.PerSecond)
	}
	if news {
		g.limitChanged(c.log, change, sourceAnswer)
	}
}

// limitChanged records a change of an upstream's limit.
func (g *Gate) limitChanged(l logr.Logger, c schedule.LimitChange, source string) {
	l.Info("upstream-limit", "upstream", c.ID, "born", c.Born, "limited", c.State.Limited, "per-second", c.State.PerSecond,
		"version", c.State.Version, "source", source, "age-of-previous", c.Age)
	g.Metrics.upstreamLimit(source)
}
