package mover

import (
	"context"
	"fmt"
	"time"

	"agateward/ward"
)

const (
	// notifyTimeout bounds one notification.
	notifyTimeout = 10 * time.Second
	// maxNotified bounds the ids of events that were sent and are still in a record.
	maxNotified = 4096
)

// quarantineEvent returns the event that reports a quarantine.
func quarantineEvent(q ward.Quarantine) ward.Event {
	return ward.Event{
		ID:     fmt.Sprintf("%s@%d/%s/%s", q.Move, q.Ticket, ward.EventVersionQuarantined, q.Route),
		Kind:   ward.EventVersionQuarantined,
		At:     q.At,
		Ticket: q.Ticket,
		Move:   q.Move,
		Entry:  q.By,
		Text:   q.Reason,
	}
}

// enqueue queues an event that is sent without being stored in a move's record.
func (m *Mover) enqueue(e ward.Event) {
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, e)
	}
}

// NotifyOperators sends the queued events of this entry and those in the records of
// the moves that it holds. An event stays in its record until it has been sent.
func (m *Mover) NotifyOperators(ctx context.Context) {
	m.mu.Lock()
	events := m.pending
	m.pending = nil
	for _, s := range m.states {
		if !m.mayReport(s) {
			continue
		}
		for _, e := range s.PendingEvents {
			if !m.wasNotified(e) {
				events = append(events, e)
			}
		}
	}
	m.mu.Unlock()
	for _, e := range events {
		m.notify(ctx, e)
	}
}

// mayReport reports whether this entry still holds the lease under which it has written a state. The
// caller must hold mu.
func (m *Mover) mayReport(s ward.MoveState) bool {
	l, held := m.held[s.Move]
	return held && s.Holder == m.Self && l.Fence == s.Fence && m.Clock.Now().Before(l.Expires)
}

// mayNotify reports whether an event may be sent: that of a quarantine by each entry, others by the
// holder of the lease.
func (m *Mover) mayNotify(e ward.Event) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return e.Kind == ward.EventVersionQuarantined || m.mayReport(m.states[e.Move])
}

// notify sends one event. The event of a quarantine is queued again when this fails.
func (m *Mover) notify(ctx context.Context, e ward.Event) {
	if !m.mayNotify(e) {
		return // the lease was lost while an earlier event was sent
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	era := m.era()
	err := m.Notifier.Notify(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if e.Kind == ward.EventVersionQuarantined {
			m.enqueue(e)
		}
		return
	}
	if len(m.notified) >= maxNotified {
		clear(m.notified)
	}
	m.notified[e.ID] = era
}

// wasNotified reports whether an event was sent in this era of the store. The trace of
// one that was sent before may be lost.
func (m *Mover) wasNotified(e ward.Event) bool {
	era, ok := m.notified[e.ID]
	return ok && era == m.era()
}
