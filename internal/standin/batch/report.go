package batch

import (
	"time"

	"agateward/ward"
)

// Stats returns the running totals.
func (e *Engine) Stats() Stats { return e.stats }

// Report returns the load report that a reader gets at now, which is delayed by
// ReportLag.
func (e *Engine) Report(now time.Time) ward.LoadReport {
	e.advance(now)
	r := e.visible
	r.Leaving = e.leaving
	return r
}

// CacheEvents returns the cache events after a sequence number, as of the last
// advance, without those younger than CacheLag and those lost to CacheGap.
func (e *Engine) CacheEvents(after uint64) []ward.CacheEvent {
	return e.cache.events(after, e.now)
}

// Cached returns the number of leading blocks of a prefix that are cached.
func (e *Engine) Cached(prefix []uint64) int { return e.cache.lookup(prefix) / ward.PrefixBlockTokens }

// Import adds the blocks of a prefix to the cache.
func (e *Engine) Import(now time.Time, prefix []uint64) {
	e.advance(now)
	e.cache.store(prefix, now)
}

// publish makes the pending load report visible when its age is ReportLag or
// more, and takes a new one.
func (e *Engine) publish() {
	if !e.pending.At.IsZero() && e.now.Sub(e.pending.At) < e.p.ReportLag {
		return
	}
	e.visible = e.pending
	if e.visible.At.IsZero() {
		e.visible = ward.LoadReport{Upstream: e.p.Name, Version: e.p.Version, At: e.now, CacheSize: e.p.CacheTokens}
	}
	running := len(e.prefill) + len(e.decode)
	e.pending = ward.LoadReport{
		Upstream:      e.p.Name,
		Version:       e.p.Version,
		At:            e.now,
		Running:       running,
		Waiting:       len(e.tasks) - running,
		PrefillQueued: e.queued(),
		CacheUsed:     e.cache.len() * ward.PrefixBlockTokens,
		CacheSize:     e.p.CacheTokens,
	}
}

// queued returns the prompt tokens that are not yet prefilled.
func (e *Engine) queued() int {
	var sum float64
	for _, t := range e.prefill {
		sum += t.remaining
	}
	return int(sum) + e.waitingTokens
}
