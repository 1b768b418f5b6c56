package program

import (
	"fmt"
	"sync/atomic"

	"agateward/internal/run/shard"
	"agateward/ward"
)

// gauges registers the gauges that are read when metrics are collected.
func (p *Program) gauges() {
	for t := ward.TierTop; t <= ward.TierBottom; t++ {
		p.metrics.Gauge(fmt.Sprintf(`agateward_waiting{tier="%d"}`, t), func() float64 {
			return float64(p.path.State().Waiting[t-1])
		})
	}
	p.metrics.Gauge("agateward_running", func() float64 { return float64(p.path.State().Running) })
	p.metrics.Gauge("agateward_floor", func() float64 { return float64(p.path.State().Floor) })
	p.metrics.Gauge("agateward_revision", func() float64 { return float64(p.Revision()) })
	p.metrics.Gauge("agateward_entries_live", func() float64 { return float64(p.gossip.Live()) })
	p.metrics.Gauge("agateward_peer_bytes_sent", func() float64 { return float64(p.gossip.Stats().SentBytes) })
	p.metrics.Gauge("agateward_peer_bytes_received", func() float64 { return float64(p.gossip.Stats().ReceivedBytes) })
	for i, c := range p.platform.Store().Counts() {
		labels := fmt.Sprintf(`{family=%q,kind=%q}`, c.Family, c.Kind)
		p.metrics.Gauge("agateward_store_calls"+labels, func() float64 { return float64(p.platform.Store().Counts()[i].Sent) })
		p.metrics.Gauge("agateward_store_calls_refused"+labels, func() float64 { return float64(p.platform.Store().Counts()[i].Refused) })
	}
	p.answerGauges()
	p.recordGauges()
}

// answerGauges registers the counts of dispatches by result.
func (p *Program) answerGauges() {
	s := &p.path.Relay.Stats
	for _, x := range []struct {
		name  string
		count *atomic.Uint64
	}{
		{"dispatched", &s.Dispatched},
		{"not-connected", &s.NotConnected},
		{"resumed", &s.Resumed},
		{"whole", &s.Complete},
		{"mismatched", &s.Mismatched},
		{"cut", &s.Truncated},
		{"late", &s.Late},
		{"too-large", &s.TooLarge},
		{"cancelled", &s.Cancelled},
		{"failed", &s.Failed},
	} {
		p.metrics.Gauge(fmt.Sprintf(`agateward_dispatches{result=%q}`, x.name), func() float64 { return float64(x.count.Load()) })
	}
}

// recordGauges registers the counts of the calls for idempotency records.
func (p *Program) recordGauges() {
	for _, x := range []struct {
		name string
		of   func(s shard.Stats) uint64
	}{
		{"committed", func(s shard.Stats) uint64 { return s.Committed }},
		{"conflicts", func(s shard.Stats) uint64 { return s.Conflicts }},
		{"lost", func(s shard.Stats) uint64 { return s.Lost }},
		{"over-budget", func(s shard.Stats) uint64 { return s.OverBudget }},
		{"failed", func(s shard.Stats) uint64 { return s.Failed }},
		{"late", func(s shard.Stats) uint64 { return s.Late }},
		{"archived", func(s shard.Stats) uint64 { return s.Archived }},
	} {
		p.metrics.Gauge(fmt.Sprintf(`agateward_records{event=%q}`, x.name), func() float64 { return float64(x.of(p.runs.Stats())) })
	}
}
