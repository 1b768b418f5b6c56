// Package acceptance accepts change tickets through the store.
//
// A submission first claims the ticket's number by creating its record, then
// puts the ticket into the configuration by one compare-and-swap: that write
// accepts the ticket in full, and without it nothing of the ticket is in force.
// The record is marked afterwards; a mark that is missing is worked out from
// the configuration, which lists the tickets accepted last and the number that
// set each object. So a crash after any write is settled by submitting the same
// ticket again, and an answer of the store that was lost by reading back.
//
// The index of accepted tickets is Config.Recent: the store lists no keys, and
// the index must change in the same write as the configuration.
//
// # Usage
//
//	a := acceptance.Acceptance{Store: store, Clock: ward.SystemClock{}, Fleet: "cape", NewAttempt: uuid.NewString}
//	r, err := a.Submit(ctx, ticket)
//
// Errors carry the codes 5002 to 5009. An error of code 5005 says that the
// ticket is certainly not accepted, one of 5006 that it may be.
package acceptance

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/ticket/document"
	"agateward/internal/ticket/fold"
	"agateward/ward"
)

// maxTries bounds the compare-and-swaps of one submission.
const maxTries = 8

// Acceptance accepts tickets. All fields are needed.
type Acceptance struct {
	Store ward.Store
	Clock ward.Clock
	// Fleet is written into the first configuration.
	Fleet string
	// NewAttempt returns an id that no other submission has.
	NewAttempt func() string
	// Accepted is called with each configuration that the store was seen to have
	// accepted, so that it is in force here even if the store goes down right
	// after. It may be nil.
	Accepted func(c *ward.Config)
}

// Result is what became of a submission.
type Result struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"`
	Accepted time.Time `json:"accepted"`
	// Already says that an earlier submission of the same content was accepted.
	Already bool `json:"already"`
	// Diff lists what the ticket changes, as fold.Diff does.
	Diff []string `json:"diff"`
}

// StoredTicket is a ticket as the store holds it.
type StoredTicket struct {
	Ticket  ward.Ticket `json:"ticket"`
	Attempt string      `json:"attempt"`
	// Hash is the hex SHA-256 of the ticket's content.
	Hash      string    `json:"hash"`
	Submitted time.Time `json:"submitted"`
	// Revision is the configuration's revision that the ticket made; 0 means
	// that it is not accepted.
	Revision uint64    `json:"revision,omitempty"`
	Accepted time.Time `json:"accepted,omitzero"`
}

// Submit accepts t in full, or refuses it in full with an error.
func (a *Acceptance) Submit(ctx context.Context, t ward.Ticket) (Result, error) {
	cfg, err := a.config(ctx)
	if err != nil {
		return Result{}, err
	}
	hash, err := contentHash(t)
	if err != nil {
		return Result{}, err
	}
	known, err := a.read(ctx, t.Number)
	if err != nil {
		return Result{}, err
	}
	if known.entry.Hash == "" {
		if err := a.checked(t, cfg.config); err != nil {
			return Result{}, err
		}
		known, err = a.claim(ctx, StoredTicket{Ticket: t, Attempt: a.NewAttempt(), Hash: hash, Submitted: a.Clock.Now()})
		if err != nil {
			return Result{}, err
		}
	}
	if known.entry.Hash != hash {
		return Result{}, code.NumberTaken.New("ticket %d was submitted by %s with another content", t.Number, known.entry.Ticket.Operator)
	}
	if known.entry.Revision > 0 {
		return already(known.entry), nil
	}
	return a.accept(ctx, known, cfg)
}

// DryRun checks t against the configuration in force and returns what it would
// change. It writes nothing.
func (a *Acceptance) DryRun(ctx context.Context, t ward.Ticket) (Result, error) {
	cfg, err := a.config(ctx)
	if err != nil {
		return Result{}, err
	}
	if err := a.checked(t, cfg.config); err != nil {
		return Result{}, err
	}
	next, err := fold.Fold(cfg.config, t, "", a.Clock.Now())
	if err != nil {
		return Result{}, err
	}
	return Result{Number: t.Number, Revision: next.Revision, Diff: fold.Diff(cfg.config, next)}, nil
}

// Show returns the ticket with a number.
func (a *Acceptance) Show(ctx context.Context, number uint64) (StoredTicket, error) {
	known, err := a.read(ctx, number)
	if err != nil {
		return StoredTicket{}, err
	}
	if known.entry.Hash == "" {
		return StoredTicket{}, code.NoSuchTicket.New("there is no ticket %d", number)
	}
	if known.entry.Revision > 0 {
		return known.entry, nil
	}
	cfg, err := a.config(ctx)
	if err != nil {
		return StoredTicket{}, err
	}
	if r, ok := acceptedIn(cfg.config, known.entry.Ticket); ok {
		known.entry.Revision = r.Revision
		known.entry.Accepted = r.Accepted
	}
	return known.entry, nil
}

// List returns the tickets accepted last, the newest first.
func (a *Acceptance) List(ctx context.Context) ([]ward.AcceptedTicket, error) {
	cfg, err := a.config(ctx)
	return cfg.config.Recent, err
}

func (a *Acceptance) checked(t ward.Ticket, c ward.Config) error {
	if err := document.Error(code.TicketInvalid, document.Check(t, &c, a.Clock.Now())); err != nil {
		return err
	}
	_, err := fold.Fold(c, t, "", a.Clock.Now())
	return err
}

// accept puts a claimed ticket into the configuration.
func (a *Acceptance) accept(ctx context.Context, k claimed, cur current) (Result, error) {
	t := k.entry.Ticket
	inDoubt := false
	for range maxTries {
		if r, ok := acceptedIn(cur.config, t); ok {
			r.Already = r.Already || !inDoubt
			a.adopt(cur.config)
			a.mark(ctx, k, r)
			return r, nil
		}
		if err := a.checked(t, cur.config); err != nil {
			return Result{}, err
		}
		next, err := fold.Fold(cur.config, t, k.entry.Attempt, a.Clock.Now())
		if err != nil {
			return Result{}, err
		}
		b, err := json.Marshal(next)
		if err != nil {
			return Result{}, code.Internal.Wrap(err, "encode the configuration")
		}
		_, err = a.Store.CompareAndSwap(ctx, KeyConfig, cur.revision, b)
		switch {
		case err == nil:
			r := Result{Number: t.Number, Revision: next.Revision, Accepted: next.Accepted, Diff: fold.Diff(cur.config, next)}
			a.adopt(next)
			a.mark(ctx, k, r)
			return r, nil
		case errors.Is(err, ward.ErrConflict):
		case errors.Is(err, ward.ErrUnavailable), errors.Is(err, ward.ErrOverBudget):
			return Result{}, unsettled(err, t.Number, inDoubt)
		default:
			inDoubt = true
		}
		if cur, err = a.config(ctx); err != nil {
			return Result{}, unsettled(err, t.Number, inDoubt)
		}
	}
	return Result{}, unsettled(ward.ErrConflict, t.Number, inDoubt)
}

func (a *Acceptance) adopt(c ward.Config) {
	if a.Accepted != nil {
		a.Accepted(&c)
	}
}

// unsettled returns the error of a ticket that was not seen to be accepted.
func unsettled(err error, number uint64, inDoubt bool) error {
	if inDoubt {
		return code.AcceptanceUnknown.Wrap(err, "accept ticket %d", number)
	}
	return code.TicketStoreDown.Wrap(err, "accept ticket %d", number)
}

func already(e StoredTicket) Result {
	return Result{Number: e.Ticket.Number, Revision: e.Revision, Accepted: e.Accepted, Already: true}
}
