package member

import (
	"time"

	"agateward/internal/peer/check"
	"agateward/internal/peer/size"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Receive handles a message of another entry and returns the reply. A refused
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
	reply := m.newMessage(x.From)
	m.attachConfig(now, &reply, x)
	m.compareDigests(now, &reply, x)
	room := maxMessageBytes + maxItemsBytes
	if len(reply.Buckets) > 0 || len(x.Buckets) > 0 {
		room = maxRepairBytes
	}
	if reply.Delta != nil {
		room += size.Delta(*reply.Delta)
	}
	if reply.Config != nil {
		room += size.Config(*reply.Config)
	}
	m.pack(now, m.rows[x.From], &reply, room)
	n := m.chargedBytes(reply)
	m.bucket.take(n)
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	return reply, nil
}

// ReceiveReply handles the reply to a message that was sent.
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
		m.scheduleRepair(now, reply)
	}
	return nil
}

// Failed handles a message that got no reply. connected reports whether a
// connection was made: a timeout is weaker evidence of a failure than a refused
// connection.
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
		m.retryName = sent.Name
		return
	}
	if connected && now.Sub(r.lastHeard) < suspectAfter {
		return
	}
	m.suspect(now, r, r.state.Seq)
}

// Refused handles a message that was refused or did not arrive: its urgent items
// do not count as sent.
func (m *Member) Refused(sent Send) {
	if m.config.pullFrom == sent.Name {
		m.config.pullFrom = ""
	}
	for _, q := range sent.Message.Quarantines {
		if r := m.quarantines[keyOfQuarantine(q)]; r != nil && r.sent > 0 {
			r.sent--
			m.hasUrgent = true
		}
	}
	if sent.Message.Revision == m.config.revision() && m.config.sent > 0 && m.config.pending() {
		m.config.sent--
	}
}

// merge checks a message and merges its items.
func (m *Member) merge(now time.Time, x ward.Exchange, answered bool) error {
	if err := m.validate(now, x); err != nil {
		m.stats.Refused++
		return err
	}
	m.recordContact(now, x)
	for _, s := range x.States {
		m.mergeState(now, s, s.Name == x.From && s.Incarnation == x.Incarnation)
	}
	for _, h := range x.Heartbeats {
		m.mergeHeartbeat(now, h)
	}
	for _, q := range x.Quarantines {
		m.mergeQuarantine(now, q)
	}
	for _, s := range x.Moves {
		m.mergeMove(now, s)
	}
	for _, c := range x.Counts {
		m.mergeCounts(now, c)
	}
	m.mergeConfig(now, x, answered)
	return nil
}

// recordContact notes that a message came from an entry itself.
func (m *Member) recordContact(now time.Time, x ward.Exchange) {
	r := m.rows[x.From]
	if r == nil || r.state.Incarnation != x.Incarnation {
		return
	}
	r.lastDirect = now
	r.lastHeard = now
	r.failed = false
	if m.chart.step(r, eventHeard, now) {
		m.digest.markDirty(now)
	}
}

// validate refuses messages that are not for this entry, or are of an earlier run
// of their sender.
func (m *Member) validate(now time.Time, x ward.Exchange) error {
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

// charge counts a received message and charges its bytes.
func (m *Member) charge(x ward.Exchange, more int) {
	n := m.chargedBytes(x)
	m.bucket.take(n + more)
	m.stats.ReceivedMessages++
	m.stats.ReceivedBytes += uint64(n)
}

// chargedBytes returns the bytes that a message is charged. Whole configurations
// have a budget of their own.
func (m *Member) chargedBytes(x ward.Exchange) int {
	x.Config = nil
	return size.Exchange(x)
}
