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
	// maxTold bounds the ids of events that were told and still stand in a
	// record.
	maxTold = 4096
)

// braked returns the event of a quarantine.
func braked(b ward.Quarantine) ward.Event {
	return ward.Event{
		ID:     fmt.Sprintf("%s@%d/%s/%s", b.Move, b.Ticket, ward.EventVersionQuarantined, b.Route),
		Kind:   ward.EventVersionQuarantined,
		At:     b.At,
		Ticket: b.Ticket,
		Move:   b.Move,
		Entry:  b.By,
		Text:   b.Reason,
	}
}

// enqueue adds an event that this entry tells by itself, without the store.
func (m *Mover) enqueue(e ward.Event) {
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, e)
	}
}

// NotifyOperators notifies operators of the events of this entry and of those in the
// records that it holds. An event stays in its record until it was told.
func (m *Mover) NotifyOperators(ctx context.Context) {
	m.mu.Lock()
	events := m.pending
	m.pending = nil
	for _, s := range m.states {
		if s.Holder != m.Self {
			continue
		}
		for _, e := range s.PendingEvents {
			if !m.told[e.ID] {
				events = append(events, e)
			}
		}
	}
	m.mu.Unlock()
	for _, e := range events {
		m.tell(ctx, e)
	}
}

func (m *Mover) tell(ctx context.Context, e ward.Event) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	err := m.Notifier.Notify(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if e.Kind == ward.EventVersionQuarantined {
			m.enqueue(e)
		}
		return
	}
	if len(m.told) >= maxTold {
		clear(m.told)
	}
	m.told[e.ID] = true
}
