package member

import (
	"slices"
	"time"

	"agateward/internal/peer/size"
	"agateward/ward"
)

// bucket is the token bucket of bytes in both directions.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

// fill adds the tokens of the time since the last call, up to those of one
// second.
func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = b.rate
	} else if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.rate, b.tokens+b.rate*passed.Seconds())
	}
	b.at = now
}

func (b *bucket) take(n int) { b.tokens -= float64(n) }

// maxDebtSeconds is the debt, in seconds' worth of bytes, above which messages
// are refused. Below it, received messages are handled, since their bytes are
// already spent, and get small replies.
const maxDebtSeconds = 2

// overdrawn reports whether messages are refused.
func (b *bucket) overdrawn() bool { return b.tokens < -maxDebtSeconds*b.rate }

// view is the small set of peers that are sent messages in turn.
type view struct {
	names     []string
	next      int
	rotatedAt time.Time
	probedAt  time.Time
	// refreshedAt is when this entry's load was last scheduled for sending.
	refreshedAt time.Time
}

// Tick returns the messages to send now. It is called every Interval, and
// earlier while Urgent reports true.
func (m *Member) Tick(now time.Time) []Send {
	m.bucket.fill(now)
	m.applyTimeouts(now)
	m.refresh(now)
	m.rotateView(now)
	m.hasUrgent = m.hasUrgent && m.anyUrgentPending()
	m.hasUnsentUrgent = false
	var sends []Send
	for i, r := range m.targets(now) {
		if m.bucket.tokens < m.minTokens(r) {
			m.stats.Deferred++
			break
		}
		sends = append(sends, m.buildMessage(now, r, i == 0))
	}
	return sends
}

// minTokens is the number of tokens that must be left for a message to an entry.
// A request for the configuration may go into debt: it is rare, and nothing else
// brings the configuration.
func (m *Member) minTokens(r *row) float64 {
	switch {
	case m.config.pullFrom == r.state.Name:
		return -maxDebtSeconds * m.bucket.rate
	case m.hasUrgent:
		return minExchangeBytes
	}
	return minExchangeBytes + m.bucket.rate*urgentReserve
}

// Shares of one second's bytes that are held back: urgentReserve for urgent
// items, bulkReserve for those and for heartbeats with few items.
const (
	urgentReserve = 0.25
	bulkReserve   = 0.5
)

// minExchangeBytes is the size of one exchange of two messages with few items.
const minExchangeBytes = 2*(size.Frame+256) + transportBytes

// refresh schedules this entry's load for sending. The period grows with the
// number of entries, so that the sum over the fleet stays the same.
func (m *Member) refresh(now time.Time) {
	const perEntry = 15 * time.Millisecond
	period := max(2*m.settings.Interval, time.Duration(len(m.rows))*perEntry)
	if now.Sub(m.view.refreshedAt) < period {
		return
	}
	m.view.refreshedAt = now
	// A heartbeat without changes still shows that this entry is alive to entries
	// that consider it silent after a partition.
	m.self.state.Seq++
	m.self.lastHeard = now
	if !m.self.heartbeatRumor.pending() {
		m.self.urgent = false
		m.self.heartbeatRumor.start(loadSends)
	}
}

// rotateView removes members of the view that are no longer contacted, replaces
// one every viewRotation, and fills the view at random.
func (m *Member) rotateView(now time.Time) {
	m.view.names = slices.DeleteFunc(m.view.names, func(name string) bool {
		r := m.rows[name]
		return r == nil || r.chart.Contact != contactExchange
	})
	if now.Sub(m.view.rotatedAt) >= viewRotation && len(m.view.names) >= viewSize {
		m.view.rotatedAt = now
		i := m.random.IntN(len(m.view.names))
		m.view.names = slices.Delete(m.view.names, i, i+1)
	}
	if len(m.view.names) >= viewSize {
		return
	}
	var others []string
	for _, r := range m.sorted() {
		if r != m.self && r.chart.Contact == contactExchange && !slices.Contains(m.view.names, r.state.Name) {
			others = append(others, r.state.Name)
		}
	}
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	m.view.names = append(m.view.names, others[:min(len(others), viewSize-len(m.view.names))]...)
}

// targets returns the receivers of this tick's messages: the peer to ask for the
// configuration, the one to repair a difference with, one silent or listed peer,
// and the next of the view. Their number does not grow with the fleet.
func (m *Member) targets(now time.Time) []*row {
	var list []*row
	add := func(r *row) {
		if r != nil && r != m.self && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	if m.config.pullFrom != "" && m.config.pullSentAt.IsZero() {
		add(m.rows[m.config.pullFrom])
	}
	if m.rows[m.config.pullFrom] == nil || !m.config.pullSentAt.IsZero() && now.Sub(m.config.pullSentAt) > 2*pullTimeout {
		m.config.pullFrom = ""
	}
	if m.retryName != "" {
		add(m.rows[m.retryName])
		m.retryName = ""
	}
	if m.repair.with != "" {
		add(m.rows[m.repair.with])
	}
	if m.rows[m.repair.with] == nil {
		m.repair.with = ""
	}
	if now.Sub(m.view.probedAt) >= probeInterval || len(m.view.names) == 0 {
		m.view.probedAt = now
		add(m.probe())
	}
	n := 1
	if m.hasUrgent {
		n = Fanout
	}
	for range min(n, len(m.view.names)) {
		m.view.next = (m.view.next + 1) % len(m.view.names)
		add(m.rows[m.view.names[m.view.next]])
	}
	return list
}

// probe returns a random entry that is listed or silent.
func (m *Member) probe() *row {
	var list []*row
	for _, r := range m.sorted() {
		if r.chart.Contact == contactProbe {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

// buildMessage builds the message to one entry and charges it.
func (m *Member) buildMessage(now time.Time, r *row, first bool) Send {
	x := m.newMessage(r.state.Name)
	room := maxMessageBytes
	if !first {
		room = maxExtraMessageBytes + totalLen(m.self.state.Draining)
	}
	if m.repair.with == r.state.Name {
		x.Buckets = m.buckets()
		m.addDifferences(&x, m.repair.theirs)
		m.repair = repair{at: now}
		room = maxRepairBytes
	} else if m.bootstrapping() && r.known() && r.chart.Live && now.Sub(m.bootstrapAskedAt) >= repairInterval {
		// The receiver answers with what is missing here.
		x.Buckets = m.buckets()
		m.bootstrapAskedAt = now
	}
	if m.config.pullFrom == r.state.Name {
		x.WantConfig = m.config.pullFull
		m.config.pullSentAt = now
	}
	m.pack(now, r, &x, room)
	n := size.Exchange(x)
	m.bucket.take(n + transportBytes)
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	return Send{Name: r.state.Name, Address: r.state.Address, Message: x}
}

// newMessage returns a message without items.
func (m *Member) newMessage(to string) ward.Exchange {
	m.updateDigest()
	return ward.Exchange{
		Fleet:       m.settings.Fleet,
		Protocol:    Protocol,
		From:        m.self.state.Name,
		Incarnation: m.self.state.Incarnation,
		To:          to,
		Revision:    m.config.revision(),
		Digest:      m.digest.whole,
	}
}
