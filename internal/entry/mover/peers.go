package mover

import (
	"slices"

	"agateward/internal/move/evidence"
	"agateward/internal/move/machine"
	"agateward/ward"
)

// Snapshot returns all quarantines, counts and move states that this entry knows, to
// be sent to peers.
func (m *Mover) Snapshot() ([]ward.Quarantine, []ward.Counts, []ward.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.recorder.Counts()
	for _, c := range m.peerCounts {
		counts = append(counts, c)
	}
	slices.SortFunc(counts, evidence.Compare)
	return m.quarantines.List(), counts, m.sortedStates()
}

// Merge merges the state of a peer. Repeated and outdated messages have no effect.
func (m *Mover) Merge(quarantines []ward.Quarantine, counts []ward.Counts, states []ward.MoveState) {
	m.mu.Lock()
	added := m.quarantines.Merge(quarantines)
	for _, c := range counts {
		m.mergeCounts(c)
	}
	for _, s := range states {
		m.adopt(s)
	}
	m.mu.Unlock()
	if len(added) > 0 {
		m.publish()
	}
}

// mergeCounts stores the counts of a peer when they are higher than the known ones.
func (m *Mover) mergeCounts(c ward.Counts) {
	if c.Entry == m.Self && c.Incarnation == m.Incarnation {
		return
	}
	k := countKey{keyOf(c), c.Entry, c.Incarnation}
	have, ok := m.peerCounts[k]
	if !ok && len(m.peerCounts) >= maxCounts {
		return
	}
	if grown(have, c) {
		m.peerCounts[k] = c
		m.addToTotals(k.key, have, c)
	}
}

// adopt stores a state when it is newer than the known one and its ticket is known. The
// counts in it are merged.
func (m *Mover) adopt(s ward.MoveState) bool {
	for _, c := range s.Counts {
		m.mergeCounts(c)
	}
	for _, e := range s.Expected[:min(len(s.Expected), maxRecordExpected)] {
		m.recorder.AdoptExpected(e)
	}
	s.Counts, s.Expected = nil, nil
	known := false
	if s.Ticket, known = m.ticket(s); !known {
		return false
	}
	if have, ok := m.states[s.Move]; ok && !machine.Newer(s, have) {
		return false
	}
	m.states[s.Move] = s
	return true
}

func (m *Mover) publish() {
	if m.Publish != nil {
		m.Publish()
	}
}
