package gate

import (
	"net/http"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/ward"
)

// noteStatements records what an upstream says of itself in the head of an answer.
// reason is why the answer is refused, or "".
func (c *call) noteStatements(a schedule.Action, x *backend.Exchange, reply ward.ForwardReply, reason string) {
	own := reason == "" || reply.ID != "" && reply.ID == c.head.ID
	if !own || x.Status == http.StatusMisdirectedRequest {
		return // it speaks of another request, or of another upstream at the address
	}
	if reply.Leaving {
		c.noteLeaving(a)
	}
}

func (c *call) noteLeaving(a schedule.Action) {
	g := c.gate
	g.mu.Lock()
	news := g.sched.Leave(schedule.IdentityOf(a.Upstream), time.Now())
	g.mu.Unlock()
	if !news {
		return
	}
	c.log.Info("upstream-leaving", "upstream", a.Upstream.ID, "born", a.Upstream.Born, "source", sourceAnswer)
	g.Metrics.upstreamLeaving(sourceAnswer)
	g.TriggerBroadcast()
}

// maySend reports whether a dispatch may still be written.
func (c *call) maySend(a schedule.Action) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.sched.MaySend(a.Job.ID)
}

// withdraw ends an attempt of which no byte was written.
func (c *call) withdraw(a schedule.Action) {
	c.log.Info("dispatch-withdrawn", "upstream", a.Upstream.ID, "elapsed", time.Since(c.arrived))
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.apply(c.gate.sched.Done(a.Job.ID, schedule.OutcomeNeutral, time.Now()))
}
