package runs

import (
	"context"
	"errors"
	"strconv"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/shard"
	"agateward/ward"
)

// layoutKey is the store key of the number of shards of the fleet's records. An entry
// that is configured with another number would not find them.
const layoutKey = "runs/layout"

// layoutRetryInterval is the time between two attempts to read the layout.
const layoutRetryInterval = 250 * time.Millisecond

// errLayout is returned when the store holds the records in another number of shards.
var errLayout = errors.New("the records are kept in another number of shards than this entry is set to")

// loadLayout reads the layout, and retries until this succeeds or ctx ends.
func (r *Runs) loadLayout(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := r.readLayout(ctx)
		if err == nil {
			r.layoutDiffers = n != len(r.shards)
			if r.layoutDiffers {
				r.Log.Info("run-records-layout-differs", "shards", n, "set", len(r.shards))
			}
			close(r.layoutLoaded)
			return
		}
		_ = r.clock().Sleep(ctx, layoutRetryInterval)
	}
}

// readLayout returns the number of shards from the store, and initializes it when it
// is not set.
func (r *Runs) readLayout(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(r.CallTimeout, DefaultCallTimeout))
	defer cancel()
	rec, err := r.Store.Get(ctx, layoutKey)
	if err != nil {
		return 0, err
	}
	if rec.Revision == 0 {
		_, err := r.Store.CompareAndSwap(ctx, layoutKey, 0, []byte(strconv.Itoa(len(r.shards))))
		return len(r.shards), err
	}
	return strconv.Atoi(string(rec.Value))
}

// awaitLayout waits until the layout is loaded, for at most the time that a claim may
// wait. It fails when the layout differs from the configured one.
func (r *Runs) awaitLayout(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, orDefault(r.Limits.Wait, shard.DefaultWait))
	defer cancel()
	select {
	case <-r.layoutLoaded:
	case <-wait.Done():
		if ctx.Err() != nil {
			return contextError(ctx)
		}
		return code.RecordsDown.Wrap(ward.ErrUnavailable, "layout of the records")
	}
	if r.layoutDiffers {
		return code.RecordsDown.Wrap(errLayout, "idempotency records")
	}
	return nil
}

// contextError returns the error of a request whose context ended while it waited for
// its record. The request was not dispatched.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.DeadlinePassed.Wrap(ctx.Err(), "idempotency record")
	}
	return code.CallerGone.Wrap(errors.Join(ward.ErrNotConnected, context.Cause(ctx)), "idempotency record")
}
