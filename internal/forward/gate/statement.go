package gate

import (
	"math/rand/v2"
	"net/http"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/peerstate"
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
	if reply.HasRetryAfter {
		c.notePause(a, reply)
	}
	c.noteLimit(a, reply.Limit)
	if reply.Brittle {
		c.noteBrittle(a, reply)
	}
}

// noteBrittle records that an upstream said that its service is brittle.
func (c *call) noteBrittle(a schedule.Action, reply ward.ForwardReply) {
	g := c.gate
	var news bool
	g.locked(func() { news = g.sched.ObserveBrittle(a.Job.ID, time.Now()) })
	if !news {
		return
	}
	c.log.Info("service-brittle", "service", a.Upstream.Service, "upstream", a.Upstream.ID, "value", reply.BrittleValue, "source", sourceAnswer)
	g.Metrics.serviceBrittle(sourceAnswer)
	g.TriggerBroadcast()
}

// learnBrittle logs the services that a peer reports as brittle. The caller must hold mu.
func (g *Gate) learnBrittle(m peerstate.Message, now time.Time) {
	for _, name := range g.sched.LearnBrittle(m.Requests, now) {
		g.Log.Info("service-brittle", "service", name, "source", sourcePeer, "peer", m.Name)
		g.Metrics.serviceBrittle(sourcePeer)
	}
}

func (c *call) noteLeaving(a schedule.Action) {
	g := c.gate
	var news bool
	g.locked(func() { news = g.sched.Leave(schedule.IdentityOf(a.Upstream), time.Now()) })
	if !news {
		return
	}
	c.log.Info("upstream-leaving", "upstream", a.Upstream.ID, "born", a.Upstream.Born, "source", sourceAnswer)
	g.Metrics.upstreamLeaving(sourceAnswer)
	g.TriggerBroadcast()
}

// learnDepartures records the upstreams that a peer names as leaving. The caller must
// hold mu.
func (g *Gate) learnDepartures(m peerstate.Message, now time.Time) {
	for _, id := range g.sched.LearnDepartures(m.Requests.Departures, now) {
		g.Log.Info("upstream-leaving", "upstream", id.ID, "born", id.Born, "source", sourcePeer, "peer", m.Name)
		g.Metrics.upstreamLeaving(sourcePeer)
	}
}

// maxLoggedFaults bounds the upstreams and fields of which an invalid value was logged.
const maxLoggedFaults = 1024

// loggedFault names a field of which an invalid value of one upstream was logged.
type loggedFault struct {
	upstream schedule.Identity
	field    string
}

// firstFault reports whether no invalid value of the field was logged for the upstream yet.
// The caller must hold mu.
func (g *Gate) firstFault(id schedule.Identity, field string) bool {
	f := loggedFault{id, field}
	if g.loggedFaults[f] {
		return false
	}
	if g.loggedFaults == nil || len(g.loggedFaults) >= maxLoggedFaults {
		g.loggedFaults = make(map[loggedFault]bool)
	}
	g.loggedFaults[f] = true
	return true
}

func (c *call) notePause(a schedule.Action, reply ward.ForwardReply) {
	g, now, id := c.gate, time.Now(), schedule.IdentityOf(a.Upstream)
	fault := reply.RetryAfterFault
	var until time.Time
	g.locked(func() {
		until = g.sched.Pause(id, reply.RetryAfter, now)
		if fault != "" && !g.firstFault(id, "retry-after") {
			fault = ""
		}
	})
	if fault != "" {
		g.Ignored.Note(c.log, "retry-after-invalid", "upstream", id.ID, "value", fault, "used", reply.RetryAfter)
	}
	c.log.Info("upstream-pause", "upstream", id.ID, "born", id.Born, "seconds", reply.RetryAfter.Seconds(), "until", until.UTC().Format(time.RFC3339Nano), "source", sourceAnswer)
	g.Metrics.upstreamPaused()
}

// noteExcess records that an answer exceeded a bound of what this entry holds for it.
func (c *call) noteExcess(a schedule.Action) {
	g, now, id := c.gate, time.Now(), schedule.IdentityOf(a.Upstream)
	g.mu.Lock()
	until, paused := g.sched.ObserveExcess(a.Job.ID, now)
	g.mu.Unlock()
	if !paused {
		return
	}
	c.log.Info("upstream-oversized", "upstream", id.ID, "born", id.Born, "pause", until.Sub(now), "until", until.UTC().Format(time.RFC3339Nano), "held-in-all", g.Buffers.Used())
	g.Metrics.upstreamOversized()
}

// notRunDelay is the retry delay of a request that upstreams turned away.
const notRunDelay = 500 * time.Millisecond

// notRunRetry returns the retry delay of a request that did not run: notRunDelay, or
// what is left of its upstreams' pause with a random part, so that callers do not
// return in one moment.
func (c *call) notRunRetry() time.Duration {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	pause := c.gate.sched.PauseLeft(c.group, time.Now())
	if pause == 0 {
		return notRunDelay
	}
	return pause + time.Duration((1+rand.Float64())*float64(notRunDelay))
}

// maySend reports whether a dispatch may still be written.
func (c *call) maySend(a schedule.Action) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.sched.MaySend(a.Job.ID, time.Now())
}

// withdraw ends an attempt of which no byte was written.
func (c *call) withdraw(a schedule.Action) {
	c.log.Info("dispatch-withdrawn", "upstream", a.Upstream.ID, "elapsed", time.Since(c.arrived))
	c.gate.release(a)
}
