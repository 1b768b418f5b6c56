package member

import (
	"time"

	"agateward/internal/peer/check"
	"agateward/internal/peer/size"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Receive takes a message of another entry and returns the reply. A refused
// message changes nothing and fails with code.PeerRefused.
func (m *Member) Receive(now time.Time, x ward.Exchange) (ward.Exchange, error) {
	m.bucket.fill(now)
	m.charge(x, transportBytes)
	if m.bucket.overdrawn() {
		m.stats.Refused++
		return ward.Exchange{}, code.PeerRefused.New("bytes of %q are used up", m.self.state.Name)
	}
	if err := m.merge(now, x, false); err != nil {
		return ward.Exchange{}, err
	}
	reply := m.head(x.From)
	m.attach(now, &reply, x)
	m.compare(now, &reply, x)
	room := maxMessage + newsBytes
	if len(reply.Buckets) > 0 || len(x.Buckets) > 0 {
		room = maxRepair
	}
	if reply.Delta != nil {
		room += size.Delta(*reply.Delta)
	}
	if reply.Config != nil {
		room += size.Config(*reply.Config)
	}
	m.pack(now, m.rows[x.From], &reply, room)
	n := m.weigh(reply)
	m.bucket.take(n)
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	return reply, nil
}

// ReceiveReply takes the reply to a message that was sent.
func (m *Member) ReceiveReply(now time.Time, sent Send, reply ward.Exchange) error {
	m.bucket.fill(now)
	m.charge(reply, 0)
	if sent.Name != "" && reply.From != sent.Name {
		m.stats.Refused++
		return code.PeerRefused.New("%q answered in place of %q", reply.From, sent.Name)
	}
	if err := m.merge(now, reply, true); err != nil {
		return err
	}
	if len(reply.Buckets) > 0 && m.repair.with == "" {
		m.startRepair(now, reply)
	}
	return nil
}

// Failed takes that a message had no answer. connected says that a connection
// was made: a timeout is weaker evidence than a refused connection.
func (m *Member) Failed(now time.Time, sent Send, connected bool) {
	m.stats.Failed++
	m.Refused(sent)
	r := m.rows[sent.Name]
	if r == nil || r == m.self {
		return
	}
	if connected && !r.failed {
		// One lost message is no evidence; the next tick tries again.
		r.failed = true
		m.retry = sent.Name
		return
	}
	if connected && now.Sub(r.heard) < accuseAfter {
		return
	}
	m.accuse(now, r, r.state.Seq)
}

// Refused takes that a message was refused, or never came: what is urgent in it
// does not count as passed on.
func (m *Member) Refused(sent Send) {
	if m.docs.pull == sent.Name {
		m.docs.pull = ""
	}
	for _, b := range sent.Message.Quarantines {
		if r := m.brakes[keyOf(b)]; r != nil && r.sent > 0 {
			r.sent--
			m.urgent = true
		}
	}
	if sent.Message.Revision == m.docs.revision() && m.docs.sent > 0 && m.docs.hot() {
		m.docs.sent--
	}
}

// merge checks a message and takes what it brings.
func (m *Member) merge(now time.Time, x ward.Exchange, answered bool) error {
	if err := m.admit(now, x); err != nil {
		m.stats.Refused++
		return err
	}
	m.contact(now, x)
	for _, s := range x.States {
		m.takeState(now, s, s.Name == x.From && s.Incarnation == x.Incarnation)
	}
	for _, b := range x.Heartbeats {
		m.takeBeat(now, b)
	}
	for _, b := range x.Quarantines {
		m.takeBrake(now, b)
	}
	for _, s := range x.Moves {
		m.takeMove(now, s)
	}
	for _, c := range x.Counts {
		m.takeCounts(now, c)
	}
	m.takeDocument(now, x, answered)
	return nil
}

// contact notes that a message came from an entry itself.
func (m *Member) contact(now time.Time, x ward.Exchange) {
	r := m.rows[x.From]
	if r == nil || r.state.Incarnation != x.Incarnation {
		return
	}
	r.direct = now
	r.heard = now
	r.failed = false
	if m.chart.step(r, heard, now) {
		m.digest.touch(now)
	}
}

// admit refuses messages that are not for this entry at this time.
func (m *Member) admit(now time.Time, x ward.Exchange) error {
	self := m.self.state
	switch {
	case x.Fleet != m.settings.Fleet:
		return code.PeerRefused.New("fleet %.40q, this is %q", x.Fleet, m.settings.Fleet)
	case x.Protocol != Protocol:
		return code.PeerRefused.New("protocol %d, this is %d", x.Protocol, Protocol)
	case x.To != "" && x.To != self.Name:
		return code.PeerRefused.New("message to %.40q, this is %q", x.To, self.Name)
	case x.From == self.Name:
		return code.PeerRefused.New("message of an entry with this one's name %q", self.Name)
	}
	if err := check.Exchange(now, x); err != nil {
		return err
	}
	if r := m.rows[x.From]; r != nil && x.Incarnation < r.state.Incarnation {
		return code.PeerRefused.New("%q has been started again since incarnation %d", x.From, x.Incarnation)
	}
	return nil
}

// charge counts a message that came in.
func (m *Member) charge(x ward.Exchange, more int) {
	n := m.weigh(x)
	m.bucket.take(n + more)
	m.stats.ReceivedMessages++
	m.stats.ReceivedBytes += uint64(n)
}

// weigh returns what a message is charged. Whole documents have a budget of
// their own.
func (m *Member) weigh(x ward.Exchange) int {
	x.Config = nil
	return size.Exchange(x)
}
