package gate

import (
	"fmt"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
)

const (
	// concurrencyInterval is the time between two looks at the learned limits.
	concurrencyInterval = 500 * time.Millisecond
	// firstFailure is the lowest status of an answer that is no success.
	firstFailure = 300
)

// excludeSample keeps answers that say nothing of how an upstream bears its load from
// counting: failures, answers to other requests and those on a connection that had to be
// opened.
func (c *call) excludeSample(a schedule.Action, x *backend.Exchange, reason string) {
	if x.Reused && x.Status < firstFailure && reason == "" {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.sched.ExcludeSample(a.Job.ID)
}

// reportConcurrency logs the changes of the number of requests that upstreams get at once,
// at most one a second and upstream, and sets the gauges. The caller must hold mu.
func (g *Gate) reportConcurrency(now time.Time) {
	if now.Sub(g.concurrencyAt) < concurrencyInterval {
		return
	}
	g.concurrencyAt = now
	for _, c := range g.sched.ConcurrencyChanges(now) {
		g.Log.Info("concurrency-limit", "upstream", c.Upstream.ID, "born", c.Upstream.Born, "old", c.Old, "new", c.New, "slots", c.Slots,
			"ratio", c.Ratio, "ratio-above", c.RatioAbove, "samples", c.Samples, "age", c.Age)
	}
	g.Metrics.concurrency(g.sched.Concurrency)
}

// concurrency sets the gauge of each upstream whose concurrency is learned, and removes
// those of upstreams that have gone.
func (m *Metrics) concurrency(each func(f func(id string, n int))) {
	if m == nil {
		return
	}
	gone := m.concurrencyGauges
	m.concurrencyGauges = make(map[string]int, len(gone))
	each(func(id string, n int) {
		name := fmt.Sprintf("agateward_forward_concurrency_limit{upstream=%q}", id)
		if old, ok := gone[name]; !ok || old != n {
			m.Set.GetOrCreateGauge(name, nil).Set(float64(n))
		}
		m.concurrencyGauges[name] = n
		delete(gone, name)
	})
	for name := range gone {
		m.Set.UnregisterMetric(name)
	}
}
