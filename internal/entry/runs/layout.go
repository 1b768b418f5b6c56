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

// layoutKey holds the number of shards that the fleet's records are kept in. An
// entry that is set to another number would not find them.
const layoutKey = "runs/layout"

// layoutPause is the time between two readings of the layout until it is known.
const layoutPause = 250 * time.Millisecond

// errLayout says that the records are kept in another number of shards.
var errLayout = errors.New("the records are kept in another number of shards than this entry is set to")

// learnLayout reads the layout, or sets it where none is, until it is known.
func (r *Runs) learnLayout(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := r.layout(ctx)
		if err == nil {
			r.differs = n != len(r.shards)
			if r.differs {
				r.Log.Info("run-records-layout-differs", "shards", n, "set", len(r.shards))
			}
			close(r.known)
			return
		}
		_ = r.clock().Sleep(ctx, layoutPause)
	}
}

// layout returns the number of shards in the store, and sets it where it is not
// there.
func (r *Runs) layout(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, either(r.Call, DefaultCall))
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

// ready waits until the layout is known, for as long as a claim may wait.
func (r *Runs) ready(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, either(r.Limits.Wait, shard.DefaultWait))
	defer cancel()
	select {
	case <-r.known:
	case <-wait.Done():
		if ctx.Err() != nil {
			return gone(ctx)
		}
		return code.RecordsDown.Wrap(ward.ErrUnavailable, "layout of the records")
	}
	if r.differs {
		return code.RecordsDown.Wrap(errLayout, "idempotency records")
	}
	return nil
}

// gone is the error of a request whose caller no longer waits for its record. It
// was not dispatched.
func gone(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.DeadlinePassed.Wrap(ctx.Err(), "idempotency record")
	}
	return code.CallerGone.Wrap(errors.Join(ward.ErrNotConnected, context.Cause(ctx)), "idempotency record")
}
