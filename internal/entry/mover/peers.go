package mover

import (
	"slices"

	"agateward/internal/move/evidence"
	"agateward/ward"
)

// Snapshot returns all that this entry knows, for its peers.
func (m *Mover) Snapshot() ([]ward.Quarantine, []ward.Counts, []ward.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.recorder.Counts()
	for _, c := range m.merged {
		counts = append(counts, c)
	}
	slices.SortFunc(counts, evidence.Compare)
	return m.brakes.List(), counts, m.sortedStates()
}

// Merge takes in what a peer knows. Repeats and old messages change nothing.
func (m *Mover) Merge(brakes []ward.Quarantine, counts []ward.Counts, states []ward.MoveState) {
	m.mu.Lock()
	added := m.brakes.Merge(brakes)
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

func (m *Mover) mergeCounts(c ward.Counts) {
	if c.Entry == m.Self && c.Incarnation == m.Incarnation {
		return
	}
	k := countKey{keyOf(c), c.Entry, c.Incarnation}
	have, ok := m.merged[k]
	if !ok && len(m.merged) >= maxCounts {
		return
	}
	if c.Succeeded+c.Failed > have.Succeeded+have.Failed {
		m.merged[k] = c
		m.addToSum(k.key, have, c)
	}
}

// adopt takes a state over when it is newer than the known one.
func (m *Mover) adopt(s ward.MoveState) bool {
	if have, ok := m.states[s.Move]; ok && have.Revision >= s.Revision {
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
