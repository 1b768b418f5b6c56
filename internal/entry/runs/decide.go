package runs

import (
	"context"
	"errors"
	"net/http"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/permit"
	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"
)

// settled claims the request's key. A key that is in progress is asked for again
// for a short while: its outcome may be about to be written.
func (r *Runs) settled(ctx context.Context, req *ward.Request) (record.Verdict, error) {
	if err := r.ready(ctx); err != nil {
		return record.Verdict{}, err
	}
	until := r.now().Add(SettleWait)
	for {
		v, err := r.worker(req).claim(ctx, r.claimOf(req))
		if err != nil || v.Code.Number != code.KeyInProgress.Number || r.now().After(until) {
			return v, err
		}
		if r.clock().Sleep(ctx, settlePause) != nil {
			return v, nil
		}
	}
}

// Lookup tells what is known of the request's key before it is refused: the
// recorded answer, or an error where the key ran, may have run or is in use.
// Both are empty when the key is not known, or the store can't tell in time.
func (r *Runs) Lookup(ctx context.Context, req *ward.Request) (Decision, error) {
	if !req.NonIdempotent || req.IdempotencyKey == "" {
		return Decision{}, nil
	}
	r.init()
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	if r.ready(ctx) != nil {
		return Decision{}, nil
	}
	v, err := r.worker(req).look(ctx, r.claimOf(req))
	switch {
	case err != nil || v.Kind == record.Absent:
		return Decision{}, nil
	case v.Kind == record.Replay:
		return Decision{Answer: answerOf(v.Record)}, nil
	case v.Code.Number == code.RecordsDown.Number || v.Code.Number == code.RecordsBusy.Number:
		return Decision{}, nil
	}
	return Decision{}, v.Code.New("idempotency key of request %s", req.ID)
}

func (r *Runs) decide(req *ward.Request, u ward.Upstream, v record.Verdict) (Decision, error) {
	switch {
	case v.Kind == record.Run:
		return Decision{Permit: permit.New(req.ID, r.now().Add(r.dispatchWithin()))}, nil
	case v.Kind == record.Replay:
		return Decision{Answer: answerOf(v.Record)}, nil
	case v.Code.Number == code.RecordsDown.Number && u.ChecksIdempotency:
		return Decision{Permit: permit.New(req.ID, time.Time{})}, nil
	}
	return Decision{}, v.Code.New("idempotency key of request %s", req.ID)
}

// dispatchWithin is how long a permit holds once its record is in the store.
func (r *Runs) dispatchWithin() time.Duration {
	return either(r.Limits.Commit, shard.DefaultCommit)
}

func answerOf(rec record.Record) *Answer {
	a := &Answer{Status: rec.Status, Header: http.Header{}, Body: rec.Body}
	for _, f := range rec.Header {
		a.Header.Set(f.Name, f.Value)
	}
	return a
}

// IsRefusal tells whether err says that a request certainly did not run.
func IsRefusal(err error) bool {
	return errors.Is(err, ward.ErrNotConnected) || code.Of(err).Run == ward.NotRun
}
