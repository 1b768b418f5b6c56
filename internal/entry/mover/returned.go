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

func (m *Mover) ticket(s ward.MoveState) (uint64, bool) {
	if m.Ticket == nil {
		return s.Ticket, true
	}
	return m.Ticket(s)
}

// recognize renames the ticket of a move's known state to that of the configuration,
// and reports whether both the state's ticket and that of x are still known by these
// names. The caller holds mu.
func (m *Mover) recognize(x ward.Move) bool {
	if s, ok := m.states[x.Name]; ok {
		t, known := m.ticket(s)
		if !known {
			return false
		}
		s.Ticket = t
		m.states[x.Name] = s
	}
	t, known := m.ticket(ward.MoveState{Move: x.Name, Ticket: x.Ticket, To: x.To})
	return known && t == x.Ticket
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
