// Package metric provides the metrics of an entry. All labels have a bounded set
// of values, so that callers can't create new series; teams are never a label.
//
// # Usage
//
//	m := metric.New()
//	m.Refused(code.Shed, ward.TierBottom)
//	m.Write(w) // in the text format of Prometheus
package metric

import (
	"fmt"
	"io"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one entry.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet()} }

// Gauge adds a gauge whose value is read from f when the metrics are written.
func (s *Set) Gauge(name string, f func() float64) { s.set.NewGauge(name, f) }

// Arrived counts a request whose headers and body are valid.
func (s *Set) Arrived(t ward.Tier) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`agateward_requests_total{tier="%d"}`, t)).Inc()
}

// Refused counts a request that ended with a code.
func (s *Set) Refused(c code.Code, t ward.Tier) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`agateward_refusals_total{code="%d",tier="%d"}`, c.Number, t)).Inc()
}

// Done counts a complete answer. inTime reports whether it met its deadline; first
// and total are the times from arrival to the first token and to the end.
func (s *Set) Done(t ward.Tier, inTime bool, first, total time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`agateward_answers_total{tier="%d",in_time="%t"}`, t, inTime)).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`agateward_first_token_seconds{tier="%d"}`, t)).Update(first.Seconds())
	s.set.GetOrCreateHistogram(fmt.Sprintf(`agateward_answer_seconds{tier="%d"}`, t)).Update(total.Seconds())
}

// WastedPrefill counts prompt tokens that were computed and then discarded.
func (s *Set) WastedPrefill(cause string, tokens int) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`agateward_wasted_prefill_tokens_total{cause=%q}`, cause)).Add(tokens)
}

// Event counts a log event by its name.
func (s *Set) Event(name string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`agateward_events_total{event=%q}`, name)).Inc()
}

// Write writes the metrics of the entry and of the process.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
