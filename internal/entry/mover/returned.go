package mover

import (
	"agateward/internal/move/machine"
	"agateward/ward"
)

func (m *Mover) era() uint64 {
	if m.Era == nil {
		return 0
	}
	return m.Era()
}

// noteReturn notes whether the known state of a move was written before the store
// returned from an older copy.
func (m *Mover) noteReturn(x ward.Move, l *leaseState) {
	era, _ := ward.SplitRevision(l.lease.Fence)
	m.mu.Lock()
	defer m.mu.Unlock()
	l.again = l.again || machine.Lost(m.states[x.Name], era)
}

// restore prepares the known state of a move to be written again, with its events.
func (m *Mover) restore(x ward.Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.states[x.Name]; s.Ticket == x.Ticket {
		m.states[x.Name] = machine.Restored(s)
	}
}

// reportAgain reports the quarantines of a move again after its state was written
// again.
func (m *Mover) reportAgain(x ward.Move, s ward.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.quarantines.List() {
		if q.Move == x.Name && q.Ticket == x.Ticket {
			m.enqueue(quarantineEvent(q))
		}
	}
	m.Log.Info("move-written-again", "move", s.Move, "ticket", ward.RevisionText(s.Ticket), "state", s.State, "step", s.Step, "fence", ward.RevisionText(s.Fence))
}
