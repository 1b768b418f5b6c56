package member

import (
	"time"

	"agateward/ward"
)

// mergeHeartbeat merges a heartbeat, the short form of a state.
func (m *Member) mergeHeartbeat(now time.Time, h ward.Heartbeat) {
	r := m.ids[h.Entry]
	switch {
	case r == nil:
	case r == m.self:
		m.refute(now, h)
	case h.Suspect:
		m.suspect(now, r, h.Seq)
	case h.Seq > r.state.Seq:
		m.update(now, r, h)
	case r.heartbeatRumor.pending() && !r.urgent:
		// The sender knows it already: one round fewer.
		r.heartbeatRumor.sent++
	}
}

// update merges a later heartbeat into a row and passes it on.
func (m *Member) update(now time.Time, r *row, h ward.Heartbeat) {
	if h.Seq > r.state.Seq {
		refuted := r.status == Suspect || r.status == Silent
		switch {
		case refuted || urgentChange(withHeartbeat(r.state, h), r.state):
			r.urgent = true
			m.spreadUrgently(&r.heartbeatRumor)
		case !r.urgent || !r.heartbeatRumor.pending():
			// An urgent spread continues with the later values.
			r.urgent = false
			r.heartbeatRumor.start(loadSends)
		}
	}
	r.state = withHeartbeat(r.state, h)
	r.lastHeard = now
	e := eventHeard
	switch {
	case h.Leaving:
		e = eventSaidLeaving
	case r.status == Leaving:
		e = eventReturned
	}
	if m.chart.step(r, e, now) {
		m.digest.markDirty(now)
	}
}

// suspect handles a report that an entry did not reply at seq. When a later state
// is known, that is spread instead; when the entry itself was heard from just now,
// the report is ignored.
func (m *Member) suspect(now time.Time, r *row, seq uint64) {
	if seq < r.state.Seq {
		m.spreadUrgently(&r.heartbeatRumor)
		r.urgent = true
		return
	}
	if now.Sub(r.lastDirect) < suspectAfter {
		return
	}
	if m.chart.step(r, eventAccused, now) {
		m.spreadUrgently(&r.heartbeatRumor)
		r.urgent = true
		m.digest.markDirty(now)
	}
}

// refute answers a suspicion of this entry with a higher sequence number.
func (m *Member) refute(now time.Time, h ward.Heartbeat) {
	if !h.Suspect || h.Seq < m.self.state.Seq {
		return
	}
	m.self.state.Seq = h.Seq + 1
	m.self.lastHeard = now
	m.self.urgent = true
	m.spreadUrgently(&m.self.heartbeatRumor)
}

// heartbeatOfRow returns the heartbeat of a row.
func (m *Member) heartbeatOfRow(r *row) ward.Heartbeat {
	if r.status == Suspect || r.status == Silent {
		return ward.Heartbeat{Entry: r.id, Seq: r.state.Seq, Suspect: true}
	}
	h := heartbeatOf(r.state)
	h.Entry = r.id
	return h
}

// heartbeatOf returns the heartbeat of a state, without the entry's id.
func heartbeatOf(s ward.PeerState) ward.Heartbeat {
	return ward.Heartbeat{Seq: s.Seq, Leaving: s.Leaving, Revision: s.Revision, Floor: s.Floor, Waiting: s.Waiting, Floors: s.Floors, Draining: s.Draining}
}

// withHeartbeat returns a state with the values of a heartbeat.
func withHeartbeat(s ward.PeerState, h ward.Heartbeat) ward.PeerState {
	s.Seq, s.Leaving, s.Revision, s.Floor, s.Waiting = h.Seq, h.Leaving, h.Revision, h.Floor, h.Waiting
	s.Floors, s.Draining = h.Floors, h.Draining
	return s
}
