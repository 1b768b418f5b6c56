package gate

import "time"

// logCold logs the upstreams that turned cold since the last call. The caller must hold mu.
func (g *Gate) logCold() {
	for _, c := range g.sched.ColdChanges() {
		g.Log.Info("upstream-cold", "upstream", c.Upstream.ID, "born", c.Upstream.Born, "rest", c.Rest, "source", c.Source, "per-second-here", c.PerSecond)
	}
}

// coldUpstreams returns the number of upstreams that are cold.
func (g *Gate) coldUpstreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.Cold(time.Now())
}
