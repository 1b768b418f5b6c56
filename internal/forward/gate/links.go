package gate

import (
	"time"

	"agateward/internal/forward/links"
	"agateward/internal/forward/peerstate"
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
	g.links.UpdatePeer(m.Name, age, now)
}

// reportLinks fills in how long ago this entry heard an upstream. The caller must hold mu.
func (g *Gate) reportLinks(m *peerstate.Message, now time.Time) {
	g.updateLinks(m.Requests.Unresponsive, now)
	if age := g.links.Age(now); age >= 0 {
		m.UpstreamAge = age.Milliseconds() + 1
	}
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
	case links.Regained:
		g.Log.Info("upstreams-regained", "after", now.Sub(g.lostAt))
		g.Metrics.linksRegained()
	}
}
