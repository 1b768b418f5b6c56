package gate

import (
	"fmt"
	"time"

	"agateward/internal/forward/buffer"
	"agateward/internal/forward/lending"
	"agateward/internal/forward/poison"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the counters and histograms of a gate. A nil value records nothing.
type Metrics struct {
	Set *metrics.Set
	// concurrencyGauges holds the values of the upstreams' gauges by name.
	concurrencyGauges map[string]int
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

// cold registers the number of cold upstreams.
func (m *Metrics) cold(upstreams func() int) {
	if m != nil {
		m.Set.NewGauge("agateward_forward_upstreams_cold", func() float64 { return float64(upstreams()) })
	}
}

// Values of the label statement: what an upstream's answer says about its request.
const (
	statementNone   = "none"
	statementNotRun = "not-run"
	statementOther  = "other-request"
)

// upstreamAnswered counts the head of an upstream's answer.
func (m *Metrics) upstreamAnswered(status int, statement string) {
	m.count("agateward_forward_upstream_answers_total{status=\"%d\",statement=%q}", status, statement)
}

// Values of the label source of a statement that an upstream leaves: the upstream's own
// answer to this entry, or a peer.
const (
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// upstreamLeaving counts an upstream of which this entry learned that it leaves.
func (m *Metrics) upstreamLeaving(source string) {
	m.count("agateward_forward_upstreams_leaving_total{source=%q}", source)
}

// upstreamPaused counts an answer by which an upstream asked for a pause.
func (m *Metrics) upstreamPaused() { m.count("agateward_forward_upstream_pauses_total") }

// upstreamOversized counts a pause of an upstream whose answers exceeded what is held for
// them.
func (m *Metrics) upstreamOversized() { m.count("agateward_forward_upstreams_oversized_total") }

// serviceBrittle counts a service of which this entry learned that it is brittle.
func (m *Metrics) serviceBrittle(source string) {
	m.count("agateward_forward_services_brittle_total{source=%q}", source)
}

// upstreamLimit counts a limit of which this entry learned that an upstream named,
// changed or ended it.
func (m *Metrics) upstreamLimit(source string) {
	m.count("agateward_forward_upstream_limits_total{source=%q}", source)
}

// limited registers the number of upstreams that have a limit, and of the choices that a
// limit changed.
func (m *Metrics) limited(values func() (upstreams int, avoided uint64)) {
	if m == nil {
		return
	}
	m.Set.GetOrCreateGauge("agateward_forward_upstreams_limited", func() float64 { n, _ := values(); return float64(n) })
	m.Set.GetOrCreateGauge("agateward_forward_limited_choices_total", func() float64 { _, n := values(); return float64(n) })
}

// callerCut counts a caller that took nothing of its answer for too long.
func (m *Metrics) callerCut() { m.count("agateward_forward_callers_cut_total") }

// buffers registers the number of bytes that the entry holds, of the bodies that exceeded the
// bound, and of the answers that were cut as their sum did.
func (m *Metrics) buffers(b *buffer.Budget) {
	if m != nil {
		m.Set.GetOrCreateGauge("agateward_forward_buffered_bytes", func() float64 { return float64(b.Used()) })
		m.Set.GetOrCreateGauge("agateward_forward_buffer_refusals_total", func() float64 { return float64(b.Refused()) })
		m.Set.GetOrCreateGauge("agateward_forward_answers_cut_for_memory_total", func() float64 { return float64(b.Cuts()) })
	}
}

// evacuated registers the number of evacuated data centres.
func (m *Metrics) evacuated(n func() int) {
	if m != nil {
		m.Set.GetOrCreateGauge("agateward_forward_data_centres_evacuated", func() float64 { return float64(n()) })
	}
}

// loans registers the numbers of questions for slots of another cell in a data centre, and
// of loans.
func (m *Metrics) loans(dataCentre string, values func(dataCentre string) lending.Counts) {
	if m == nil {
		return
	}
	for event, of := range map[string]func(c lending.Counts) uint64{
		"asked":  func(c lending.Counts) uint64 { return c.Asked },
		"used":   func(c lending.Counts) uint64 { return c.Used },
		"unused": func(c lending.Counts) uint64 { return c.Unused },
		"given":  func(c lending.Counts) uint64 { return c.Given },
		"lapsed": func(c lending.Counts) uint64 { return c.Lapsed },
	} {
		name := fmt.Sprintf("agateward_forward_loans_total{event=%q,data_centre=%q}", event, dataCentre)
		m.Set.GetOrCreateGauge(name, func() float64 { return float64(of(values(dataCentre))) })
	}
}

// teamOver counts that a team is over its share.
func (m *Metrics) teamOver() { m.count("agateward_forward_teams_over_total") }

// teamUse registers the use of a team as a multiple of its share.
func (m *Metrics) teamUse(team string, use func() float64) {
	if m != nil {
		m.Set.GetOrCreateGauge(fmt.Sprintf("agateward_forward_team_use{team=%q}", team), use)
	}
}

// linksLost counts that this entry lost its links to all upstreams, linksRegained that it
// has them again.
func (m *Metrics) linksLost() { m.count("agateward_forward_upstreams_lost_total") }

func (m *Metrics) linksRegained() { m.count("agateward_forward_upstreams_regained_total") }

// Values of the label result of a relayed request.
const (
	relayAnswered     = "answered"
	relayRefused      = "refused"
	relayBroken       = "broken"
	relayNotConnected = "not-connected"
)

// relayed counts a request that was passed on to another entry.
func (m *Metrics) relayed(result string) {
	m.count("agateward_forward_relayed_total{result=%q}", result)
}

// Values of the label source: who made the answer that a caller got.
const (
	sourceEntry    = "entry"
	sourceUpstream = "upstream"
)

// notRunPromised counts an answer to a caller whose status promises that the request
// did not run, with the number of sends before it.
func (m *Metrics) notRunPromised(status int, source string, sends int) {
	if code.PromisesNotRun(status) {
		m.count("agateward_forward_not_run_promised_total{status=\"%d\",source=%q,sends=\"%d\"}", status, source, sends)
	}
}

// promptCrashed counts an attempt whose upstream ended before it answered, crashRefused a
// request that was refused as upstreams crashed under it or under a part of its prompt.
func (m *Metrics) promptCrashed() { m.count("agateward_forward_prompt_crashes_total") }

func (m *Metrics) crashRefused(k poison.Kind) {
	if k == poison.Request {
		m.count("agateward_forward_requests_blocked_total")
		return
	}
	m.count("agateward_forward_prompts_refused_total")
}

// answerCut counts a stream that ended before its last event, by the reason for which
// no other attempt continued it; "" means that the deadline had passed.
func (m *Metrics) answerCut(noRetry string) {
	m.count("agateward_forward_answers_cut_total{no_retry=%q}", noRetry)
}

func (m *Metrics) first(r *ward.ForwardRoute, d time.Duration) {
	if m != nil {
		m.Set.GetOrCreateHistogram(fmt.Sprintf("agateward_forward_first_event_seconds{rank=\"%d\"}", r.Rank)).Update(d.Seconds())
	}
}
