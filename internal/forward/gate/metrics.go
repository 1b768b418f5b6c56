package gate

import (
	"fmt"
	"time"

	"agateward/ward"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the counters and histograms of a gate. A nil value records nothing.
type Metrics struct {
	Set *metrics.Set
}

func (m *Metrics) count(format string, args ...any) {
	if m != nil {
		m.Set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
	}
}

func (m *Metrics) arrived(r *ward.ForwardRoute) {
	m.count("agateward_forward_requests_total{kind=%q,rank=\"%d\"}", r.Kind, r.Rank)
}

func (m *Metrics) refused(number int) {
	m.count("agateward_forward_refused_total{code=\"AW-%d\"}", number)
}

func (m *Metrics) answered(r *ward.ForwardRoute, status int, d time.Duration) {
	if m == nil {
		return
	}
	m.count("agateward_forward_answered_total{kind=%q,rank=\"%d\",status=\"%d\"}", r.Kind, r.Rank, status)
	m.Set.GetOrCreateHistogram(fmt.Sprintf("agateward_forward_seconds{kind=%q,rank=\"%d\"}", r.Kind, r.Rank)).Update(d.Seconds())
}

func (m *Metrics) first(r *ward.ForwardRoute, d time.Duration) {
	if m != nil {
		m.Set.GetOrCreateHistogram(fmt.Sprintf("agateward_forward_first_event_seconds{rank=\"%d\"}", r.Rank)).Update(d.Seconds())
	}
}
