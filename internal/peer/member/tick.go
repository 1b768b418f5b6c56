package member

import (
	"slices"
	"time"

	"agateward/internal/peer/size"
	"agateward/ward"
)

// bucket is the token bucket of bytes, in both directions.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

// fill adds what time has brought, up to one second's worth.
func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = b.rate
	} else if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.rate, b.tokens+b.rate*passed.Seconds())
	}
	b.at = now
}

func (b *bucket) take(n int) { b.tokens -= float64(n) }

// mostDebt is the debt, in seconds' worth of bytes, from which messages are
// refused. Before that what came in is taken, as it is paid for already, and
// answered with little.
const mostDebt = 2

// overdrawn tells that messages are refused.
func (b *bucket) overdrawn() bool { return b.tokens < -mostDebt*b.rate }

// view is the few peers that messages go to in turn.
type view struct {
	names  []string
	next   int
	turned time.Time
	probed time.Time
	// refreshed is when this entry's load was last passed on.
	refreshed time.Time
}

// Tick returns the messages to send now. It is called every Interval, and
// sooner while Urgent.
func (m *Member) Tick(now time.Time) []Send {
	m.bucket.fill(now)
	m.age(now)
	m.refresh(now)
	m.turn(now)
	m.urgent = m.urgent && m.stillUrgent()
	m.fresh = false
	var sends []Send
	for i, r := range m.targets(now) {
		if m.bucket.tokens < m.needed(r) {
			m.stats.Deferred++
			break
		}
		sends = append(sends, m.message(now, r, i == 0))
	}
	return sends
}

// needed is what must be left for a message to an entry. Asking for the
// configuration may go into debt: it is rare, and nothing makes up for it.
func (m *Member) needed(r *row) float64 {
	switch {
	case m.docs.pull == r.state.Name:
		return -mostDebt * m.bucket.rate
	case m.urgent:
		return minExchange
	}
	return minExchange + m.bucket.rate*reserve
}

// Parts of a second's bytes that are kept: reserve for urgent news, bulkReserve
// for that and for heartbeats without much in them.
const (
	reserve     = 0.25
	bulkReserve = 0.5
)

// minExchange is what must be left for one exchange: two messages with little
// in them.
const minExchange = 2*(size.Frame+256) + transportBytes

// refresh passes this entry's load on, the less often the more entries there
// are: the sum over the fleet stays the same.
func (m *Member) refresh(now time.Time) {
	const perEntry = 15 * time.Millisecond
	period := max(2*m.settings.Interval, time.Duration(len(m.rows))*perEntry)
	if now.Sub(m.view.refreshed) < period {
		return
	}
	m.view.refreshed = now
	// A beat without news still says that this entry lives, to those who hold it
	// silent after a parting.
	m.self.state.Seq++
	m.self.heard = now
	if !m.self.beat.hot() {
		m.self.urgent = false
		m.self.beat.start(loadLimit)
	}
}

// turn replaces members of the view: those that are no longer to be contacted,
// and one now and then.
func (m *Member) turn(now time.Time) {
	m.view.names = slices.DeleteFunc(m.view.names, func(name string) bool {
		r := m.rows[name]
		return r == nil || r.chart.Contact != contactExchange
	})
	if now.Sub(m.view.turned) >= viewTurn && len(m.view.names) >= viewSize {
		m.view.turned = now
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

// targets returns whom to send to: whom to ask for the configuration, whom to
// mend a difference with, one that is silent, and the next of the view. Their
// number does not grow with the fleet.
func (m *Member) targets(now time.Time) []*row {
	var list []*row
	add := func(r *row) {
		if r != nil && r != m.self && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	if m.docs.pull != "" && m.docs.pulled.IsZero() {
		add(m.rows[m.docs.pull])
	}
	if m.rows[m.docs.pull] == nil || !m.docs.pulled.IsZero() && now.Sub(m.docs.pulled) > 2*pullTimeout {
		m.docs.pull = ""
	}
	if m.retry != "" {
		add(m.rows[m.retry])
		m.retry = ""
	}
	if m.repair.with != "" {
		add(m.rows[m.repair.with])
	}
	if m.rows[m.repair.with] == nil {
		m.repair.with = ""
	}
	if now.Sub(m.view.probed) >= probeEvery || len(m.view.names) == 0 {
		m.view.probed = now
		add(m.probe())
	}
	n := 1
	if m.urgent {
		n = Fanout
	}
	for range min(n, len(m.view.names)) {
		m.view.next = (m.view.next + 1) % len(m.view.names)
		add(m.rows[m.view.names[m.view.next]])
	}
	return list
}

// probe returns one entry at random that is listed or silent.
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

// message makes the message to one entry and charges it.
func (m *Member) message(now time.Time, r *row, first bool) Send {
	x := m.head(r.state.Name)
	room := maxMessage
	if !first {
		room = maxMore + bytes(m.self.state.Draining)
	}
	if m.repair.with == r.state.Name {
		x.Buckets = m.buckets()
		m.mend(&x, m.repair.theirs)
		m.repair = repair{at: now}
		room = maxRepair
	} else if m.young() && r.known() && r.chart.Live && now.Sub(m.asked) >= repairEvery {
		// The receiver answers with what is missing here.
		x.Buckets = m.buckets()
		m.asked = now
	}
	if m.docs.pull == r.state.Name {
		x.WantConfig = m.docs.whole
		m.docs.pulled = now
	}
	m.pack(now, r, &x, room)
	n := size.Exchange(x)
	m.bucket.take(n + transportBytes)
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	return Send{Name: r.state.Name, Address: r.state.Address, Message: x}
}

// head returns a message without items.
func (m *Member) head(to string) ward.Exchange {
	m.sum()
	return ward.Exchange{
		Fleet:       m.settings.Fleet,
		Protocol:    Protocol,
		From:        m.self.state.Name,
		Incarnation: m.self.state.Incarnation,
		To:          to,
		Revision:    m.docs.revision(),
		Digest:      m.digest.whole,
	}
}
