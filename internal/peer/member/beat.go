package member

import (
	"time"

	"agateward/ward"
)

// takeBeat merges a short form.
func (m *Member) takeBeat(now time.Time, b ward.Heartbeat) {
	r := m.ids[b.Entry]
	switch {
	case r == nil:
	case r == m.self:
		m.refute(now, b)
	case b.Suspect:
		m.accuse(now, r, b.Seq)
	case b.Seq > r.state.Seq:
		m.update(now, r, b)
	case r.beat.hot() && !r.urgent:
		// The sender knows it already: one round less.
		r.beat.sent++
	}
}

// update takes a later beat of a row and passes it on.
func (m *Member) update(now time.Time, r *row, b ward.Heartbeat) {
	if b.Seq > r.state.Seq {
		refuted := r.status == Suspect || r.status == Silent
		switch {
		case refuted || moved(withBeat(r.state, b), r.state):
			r.urgent = true
			m.hurry(&r.beat)
		case !r.urgent || !r.beat.hot():
			// An urgent one goes on with the later figures.
			r.urgent = false
			r.beat.start(loadLimit)
		}
	}
	r.state = withBeat(r.state, b)
	r.heard = now
	e := heard
	switch {
	case b.Leaving:
		e = saidLeaving
	case r.status == Leaving:
		e = returned
	}
	if m.chart.step(r, e, now) {
		m.digest.touch(now)
	}
}

// accuse takes the word that an entry did not answer at seq. Who has later news
// of it, or heard from it just now, does not believe it.
func (m *Member) accuse(now time.Time, r *row, seq uint64) {
	if seq < r.state.Seq {
		m.hurry(&r.beat)
		r.urgent = true
		return
	}
	if now.Sub(r.direct) < accuseAfter {
		return
	}
	if m.chart.step(r, accused, now) {
		m.hurry(&r.beat)
		r.urgent = true
		m.digest.touch(now)
	}
}

// refute answers an accusation of this entry.
func (m *Member) refute(now time.Time, b ward.Heartbeat) {
	if !b.Suspect || b.Seq < m.self.state.Seq {
		return
	}
	m.self.state.Seq = b.Seq + 1
	m.self.heard = now
	m.self.urgent = true
	m.hurry(&m.self.beat)
}

// short returns the short form of a row.
func (m *Member) short(r *row) ward.Heartbeat {
	if r.status == Suspect || r.status == Silent {
		return ward.Heartbeat{Entry: r.id, Seq: r.state.Seq, Suspect: true}
	}
	b := beatOf(r.state)
	b.Entry = r.id
	return b
}

// beatOf returns the short form of a state, without the entry.
func beatOf(s ward.PeerState) ward.Heartbeat {
	return ward.Heartbeat{Seq: s.Seq, Leaving: s.Leaving, Revision: s.Revision, Floor: s.Floor, Waiting: s.Waiting, Floors: s.Floors, Draining: s.Draining}
}

// withBeat returns a state with the figures of a short form.
func withBeat(s ward.PeerState, b ward.Heartbeat) ward.PeerState {
	s.Seq, s.Leaving, s.Revision, s.Floor, s.Waiting = b.Seq, b.Leaving, b.Revision, b.Floor, b.Waiting
	s.Floors, s.Draining = b.Floors, b.Draining
	return s
}
