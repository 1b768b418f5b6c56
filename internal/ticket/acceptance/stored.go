package acceptance

import (
	"context"
	"encoding/json"
	"errors"

	"agateward/internal/result/code"
	"agateward/ward"
)

// current is the configuration with the revision of its key in the store.
type current struct {
	config   ward.Config
	revision uint64
}

// claimed is a ticket's record with the revision of its key in the store.
type claimed struct {
	entry    StoredTicket
	revision uint64
}

func (a *Acceptance) config(ctx context.Context) (current, error) {
	rec, err := a.Store.Get(ctx, KeyConfig)
	if err != nil {
		return current{}, code.TicketStoreDown.Wrap(err, "read the configuration")
	}
	cur := current{config: ward.Config{Fleet: a.Fleet}, revision: rec.Revision}
	if rec.Revision == 0 || len(rec.Value) == 0 {
		return cur, nil
	}
	if err := json.Unmarshal(rec.Value, &cur.config); err != nil {
		return current{}, code.Internal.Wrap(err, "decode the configuration")
	}
	return cur, nil
}

func (a *Acceptance) read(ctx context.Context, number uint64) (claimed, error) {
	rec, err := a.Store.Get(ctx, KeyTicket(number))
	if err != nil {
		return claimed{}, code.TicketStoreDown.Wrap(err, "read ticket %d", number)
	}
	return decodeEntry(rec)
}

func decodeEntry(rec ward.Record) (claimed, error) {
	k := claimed{revision: rec.Revision}
	if rec.Revision == 0 || len(rec.Value) == 0 {
		return k, nil
	}
	if err := json.Unmarshal(rec.Value, &k.entry); err != nil {
		return k, code.Internal.Wrap(err, "decode %s", rec.Key)
	}
	return k, nil
}

// claim creates the record of a ticket. When another submission was first, claim
// returns the record of that one.
func (a *Acceptance) claim(ctx context.Context, e StoredTicket) (claimed, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return claimed{}, code.Internal.Wrap(err, "encode ticket %d", e.Ticket.Number)
	}
	rec, err := a.Store.CompareAndSwap(ctx, KeyTicket(e.Ticket.Number), 0, b)
	switch {
	case err == nil:
		return claimed{entry: e, revision: rec.Revision}, nil
	case errors.Is(err, ward.ErrConflict):
		return a.read(ctx, e.Ticket.Number)
	case errors.Is(err, ward.ErrUnavailable), errors.Is(err, ward.ErrOverBudget):
		return claimed{}, code.TicketStoreDown.Wrap(err, "claim number %d", e.Ticket.Number)
	}
	k, readErr := a.read(ctx, e.Ticket.Number)
	if readErr == nil && k.entry.Hash == "" {
		readErr = code.TicketStoreDown.Wrap(err, "claim number %d", e.Ticket.Number)
	}
	return k, readErr
}

// markAccepted marks the ticket's record as accepted. A failure is ignored: the
// configuration already holds the ticket.
func (a *Acceptance) markAccepted(ctx context.Context, k claimed, r Result) {
	k.entry.Revision = r.Revision
	k.entry.Accepted = r.Accepted
	b, err := json.Marshal(k.entry)
	if err != nil {
		return
	}
	_, _ = a.Store.CompareAndSwap(ctx, KeyTicket(k.entry.Ticket.Number), k.revision, b)
}
