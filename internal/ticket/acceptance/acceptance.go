// Package acceptance accepts change tickets through the store.
//
// A submission first claims the ticket's number by creating its record, then adds
// the ticket to the configuration by one compare-and-swap. That write accepts the
// ticket in full; without it nothing of the ticket is in force. The record is
// marked as accepted afterwards. A missing mark is derived from the
// configuration, which lists the last accepted tickets and the number that set
// each object. After a crash between the writes, submitting the same ticket again
// completes it; when an answer of the store was lost, the key is read again.
//
// The index of accepted tickets is Config.Recent: the store lists no keys, and
// the index must change in the same write as the configuration.
//
// # Usage
//
//	a := acceptance.Acceptance{Store: store, Clock: ward.SystemClock{}, Fleet: "cape", NewAttempt: uuid.NewString}
//	r, err := a.Submit(ctx, ticket)
//
// Errors carry the codes 5002 to 5009. An error of code 5005 means that the
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

// maxAttempts bounds the compare-and-swaps of one submission.
const maxAttempts = 8

// Acceptance accepts tickets. All fields except Accepted are required.
type Acceptance struct {
	Store ward.Store
	Clock ward.Clock
	// Fleet is written into the first configuration.
	Fleet string
	// NewAttempt returns an id that is unique to one submission.
	NewAttempt func() string
	// Accepted is called with each configuration that the store is known to have
	// accepted, so that it is in force here even if the store fails right after. It
	// may be nil.
	Accepted func(c *ward.Config)
}

// Result is the result of a submission or a dry run.
type Result struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"`
	Accepted time.Time `json:"accepted"`
	// Already reports whether an earlier submission of the same content was accepted.
	Already bool `json:"already"`
	// Diff lists the changes of the ticket in the form of fold.Diff.
	Diff []string `json:"diff"`
}

// StoredTicket is a ticket as the store holds it.
type StoredTicket struct {
	Ticket  ward.Ticket `json:"ticket"`
	Attempt string      `json:"attempt"`
	// Hash is the hex SHA-256 of the ticket's content.
	Hash      string    `json:"hash"`
	Submitted time.Time `json:"submitted"`
	// Revision is the revision of the configuration that accepted the ticket; 0
	// means that it is not accepted.
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
		if err := a.validate(t, cfg.config); err != nil {
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
		return alreadyAccepted(known.entry), nil
	}
	return a.accept(ctx, known, cfg)
}

// DryRun checks t against the configuration in force and returns its changes
// without writing anything.
func (a *Acceptance) DryRun(ctx context.Context, t ward.Ticket) (Result, error) {
	cfg, err := a.config(ctx)
	if err != nil {
		return Result{}, err
	}
	if err := a.validate(t, cfg.config); err != nil {
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

// List returns the last accepted tickets, the newest first.
func (a *Acceptance) List(ctx context.Context) ([]ward.AcceptedTicket, error) {
	cfg, err := a.config(ctx)
	return cfg.config.Recent, err
}

func (a *Acceptance) validate(t ward.Ticket, c ward.Config) error {
	if err := document.Error(code.TicketInvalid, document.Check(t, &c, a.Clock.Now())); err != nil {
		return err
	}
	_, err := fold.Fold(c, t, "", a.Clock.Now())
	return err
}

// accept adds a claimed ticket to the configuration.
func (a *Acceptance) accept(ctx context.Context, k claimed, cur current) (Result, error) {
	t := k.entry.Ticket
	inDoubt := false
	for range maxAttempts {
		if r, ok := acceptedIn(cur.config, t); ok {
			r.Already = r.Already || !inDoubt
			a.notifyAccepted(cur.config)
			a.markAccepted(ctx, k, r)
			return r, nil
		}
		if err := a.validate(t, cur.config); err != nil {
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
			a.notifyAccepted(next)
			a.markAccepted(ctx, k, r)
			return r, nil
		case errors.Is(err, ward.ErrConflict):
		case errors.Is(err, ward.ErrUnavailable), errors.Is(err, ward.ErrOverBudget):
			return Result{}, acceptError(err, t.Number, inDoubt)
		default:
			inDoubt = true
		}
		if cur, err = a.config(ctx); err != nil {
			return Result{}, acceptError(err, t.Number, inDoubt)
		}
	}
	return Result{}, acceptError(ward.ErrConflict, t.Number, inDoubt)
}

func (a *Acceptance) notifyAccepted(c ward.Config) {
	if a.Accepted != nil {
		a.Accepted(&c)
	}
}

// acceptError returns the error for a ticket whose acceptance was not seen.
// inDoubt reports whether an earlier write may have taken effect.
func acceptError(err error, number uint64, inDoubt bool) error {
	if inDoubt {
		return code.AcceptanceUnknown.Wrap(err, "accept ticket %d", number)
	}
	return code.TicketStoreDown.Wrap(err, "accept ticket %d", number)
}

func alreadyAccepted(e StoredTicket) Result {
	return Result{Number: e.Ticket.Number, Revision: e.Revision, Accepted: e.Accepted, Already: true}
}
