package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"agateward/internal/forward/links"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/schedule"
)

// linkFailed records an attempt at an upstream that brought nothing.
func (g *Gate) linkFailed(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLinks([]string{upstream}, time.Now())
}

// learnLinks records how long ago a peer heard an upstream. The caller must hold mu.
func (g *Gate) learnLinks(m peerstate.Message, now time.Time) {
	age := links.Never
	if m.UpstreamAge > 0 {
		age = time.Duration(m.UpstreamAge-1) * time.Millisecond
	}
	g.links.UpdatePeer(m.Listen, age, now)
}

// reportLinks fills in how long ago this entry heard an upstream. What it says of upstreams
// while its own links are lost is no evidence for others. The caller must hold mu.
func (g *Gate) reportLinks(m *peerstate.Message, now time.Time) {
	g.updateLinks(m.Requests.Unresponsive, now)
	if age := g.links.Age(now); age >= 0 {
		m.UpstreamAge = age.Milliseconds() + 1
	}
	if !g.links.Lost() {
		return
	}
	m.Requests.Unresponsive = nil
	if list := g.View.Upstreams(); g.links.ProbeDue(now) && len(list) > 0 {
		go g.probe(list[rand.IntN(len(list))].Address)
	}
}

// probe opens a connection to an upstream while the links are lost. The pool then has
// heard it.
func (g *Gate) probe(address string) {
	if err := g.Pool.Connect(context.Background(), address); err != nil {
		g.Log.Info("upstream-probe-failed", "address", address, "error", err.Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLinks(nil, time.Now())
}

// relays reports whether a request is to be passed on to another entry: the links are
// lost, or the request tries whether they are.
func (g *Gate) relays() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links.Lost() || g.links.TrialDue(time.Now())
}

// hearsNone reports whether this entry hears no upstream, so that it takes no request of
// another one.
func (g *Gate) hearsNone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links.Lost() || g.links.Suspect(time.Now())
}

// relayServed records that the entry with an address served a relayed request.
func (g *Gate) relayServed(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.links.UpdatePeer(address, 0, now)
	g.updateLinks(nil, now)
}

// updateLinks decides whether the links to upstreams are lost, after some upstreams
// failed. The caller must hold mu.
func (g *Gate) updateLinks(failed []string, now time.Time) {
	if at := g.Pool.LastHeard(); at.After(g.lastHeard) {
		g.lastHeard = at
		g.links.Heard(at)
	}
	for _, id := range failed {
		g.links.Failed(id, now)
	}
	switch g.links.Update(now) {
	case links.Lost:
		e := g.links.Evidence(now)
		g.lostAt = now
		g.Log.Info("upstreams-lost", "quiet", e.Quiet, "failed", e.Failed, "peer", e.Peer, "peer-quiet", e.PeerQuiet)
		g.Metrics.linksLost()
		// Kept connections may hang for long; a new one shows that the links are back.
		g.Pool.Retain(nil)
		g.releaseWaiting(now)
	case links.Regained:
		g.Log.Info("upstreams-regained", "after", now.Sub(g.lostAt))
		g.Metrics.linksRegained()
		g.apply(g.sched.Forgive(now))
	}
}

// reasonLinksLost is the reason for which a request is taken out of the queue that another
// entry may serve.
const reasonLinksLost = "links-lost"

// releaseWaiting takes all requests out of the queue, so that they go to another entry or
// wait again. The caller must hold mu.
func (g *Gate) releaseWaiting(now time.Time) {
	for id, w := range g.waiters {
		delete(g.waiters, id)
		g.sched.Cancel(w.job)
		w.action <- schedule.Action{Job: w.job, Reason: reasonLinksLost, Waited: now.Sub(w.job.Arrived)}
	}
}
