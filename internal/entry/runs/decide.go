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

// claimKey claims the request's key. While the key is in progress, it retries for up
// to SettleTimeout, because the outcome may be about to be written. A retry without a
// verdict on the key leaves it in progress.
func (r *Runs) claimKey(ctx context.Context, req *ward.Request) (record.Verdict, error) {
	if err := r.awaitLayout(ctx); err != nil {
		return record.Verdict{}, err
	}
	until := r.now().Add(SettleTimeout)
	v, err := r.worker(req).claim(ctx, r.claimOf(req))
	for err == nil && v.Code.Number == code.KeyInProgress.Number && !r.now().After(until) {
		if r.clock().Sleep(ctx, settlePollInterval) != nil {
			return v, nil
		}
		next, nextErr := r.worker(req).claim(ctx, r.claimOf(req))
		if nextErr != nil || !knowsKey(next) {
			return v, nil
		}
		v = next
	}
	return v, err
}

// knowsKey reports whether a verdict rests on the record of the key, and not on a
// store that was not read.
func knowsKey(v record.Verdict) bool {
	return v.Code.Number != code.RecordsDown.Number && v.Code.Number != code.RecordsBusy.Number
}

// Lookup returns what is known about the key of a request that is about to be
// refused: the recorded answer, or an error if the key ran, may have run or is in
// progress. Both are empty when the key is not known or the store doesn't answer in
// time.
func (r *Runs) Lookup(ctx context.Context, req *ward.Request) (Decision, error) {
	if !req.NonIdempotent || req.IdempotencyKey == "" {
		return Decision{}, nil
	}
	r.init()
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if r.awaitLayout(ctx) != nil {
		return Decision{}, nil
	}
	v, err := r.worker(req).lookup(ctx, r.claimOf(req))
	switch {
	case err != nil || v.Kind == record.Absent:
		return Decision{}, nil
	case v.Kind == record.Replay:
		return Decision{Answer: answerOf(v.Record)}, nil
	case !knowsKey(v):
		return Decision{}, nil
	}
	return Decision{}, v.Code.New("idempotency key of request %s", req.ID)
}

// decide converts a verdict on a key to a decision. When the store is unavailable, a
// request may still go to an upstream that checks idempotency keys itself.
func (r *Runs) decide(req *ward.Request, u ward.Upstream, v record.Verdict) (Decision, error) {
	switch {
	case v.Kind == record.Run:
		return Decision{Permit: permit.New(req.ID, r.now().Add(r.permitTTL()))}, nil
	case v.Kind == record.Replay:
		return Decision{Answer: answerOf(v.Record)}, nil
	case v.Code.Number == code.RecordsDown.Number && u.ChecksIdempotency:
		return Decision{Permit: permit.New(req.ID, time.Time{}), unrecorded: true}, nil
	}
	return Decision{}, v.Code.New("idempotency key of request %s", req.ID)
}

// permitTTL returns how long a permit is valid after its record has been stored.
func (r *Runs) permitTTL() time.Duration {
	return orDefault(r.Limits.Commit, shard.DefaultCommit)
}

// answerOf returns the answer that a record holds.
func answerOf(rec record.Record) *Answer {
	a := &Answer{Status: rec.Status, Header: http.Header{}, Body: rec.Body}
	for _, f := range rec.Header {
		a.Header.Set(f.Name, f.Value)
	}
	return a
}

// IsRefusal reports whether err guarantees that the request did not run.
func IsRefusal(err error) bool {
	return errors.Is(err, ward.ErrNotConnected) || code.Of(err).Run == ward.NotRun
}
