package runs

import (
	"context"
	"errors"
	"sync"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"

	"github.com/google/uuid"
)

// worker makes the store calls of one shard.
type worker struct {
	runs *Runs
	key  string
	// wake wakes the loop in run after the shard's actions have changed.
	wake chan struct{}

	mu       sync.Mutex
	shard    shard.Shard
	pending  *shard.Action
	nextTick time.Time
	replies  map[string]chan record.Verdict
}

// claim asks the shard for a verdict and waits for it.
func (w *worker) claim(ctx context.Context, c record.Claim) (record.Verdict, error) {
	return w.submit(ctx, c, w.shard.Claim)
}

// lookup asks the shard what is known about a key. Its attempt has a prefix, so that
// it can't be confused with that of a request.
func (w *worker) lookup(ctx context.Context, c record.Claim) (record.Verdict, error) {
	c.Attempt = "look-" + c.Attempt
	return w.submit(ctx, c, w.shard.Lookup)
}

// preload makes the shard read the index of its archives, as fast as the call budget
// allows.
func (w *worker) preload(ctx context.Context) {
	for ctx.Err() == nil {
		v, err := w.lookup(ctx, record.Claim{Key: record.KeyOf("", w.key), Attempt: "warm"})
		if err == nil && v.Kind == record.Absent {
			return
		}
		_ = w.runs.clock().Sleep(ctx, shard.DefaultWait)
	}
}

// submit passes a claim to the shard with f and waits for the verdict.
func (w *worker) submit(ctx context.Context, c record.Claim, f func(time.Time, record.Claim) []shard.Action) (record.Verdict, error) {
	reply := make(chan record.Verdict, 1)
	w.mu.Lock()
	if w.replies[c.Attempt] != nil {
		w.mu.Unlock()
		return record.Verdict{}, code.KeyInProgress.New("request %s has been begun", c.Attempt)
	}
	w.replies[c.Attempt] = reply
	w.apply(f(w.runs.now(), c))
	w.mu.Unlock()
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return record.Verdict{}, w.cancel(ctx, c)
	}
}

// cancel ends a claim whose context has ended. A verdict that arrived at the same
// moment is undone.
func (w *worker) cancel(ctx context.Context, c record.Claim) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.runs.now()
	if _, waits := w.replies[c.Attempt]; waits {
		delete(w.replies, c.Attempt)
		w.apply(w.shard.Cancel(now, c.Attempt))
	} else {
		w.apply(w.shard.Settle(now, record.Outcome{Claim: c, State: record.NotRun}))
	}
	return contextError(ctx)
}

func (w *worker) settle(o record.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apply(w.shard.Settle(w.runs.now(), o))
}

func (w *worker) flush() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apply(w.shard.Flush(w.runs.now()))
	return w.shard.Unsettled()
}

func (w *worker) stats() shard.Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Stats
}

// apply carries out the shard's actions. It must be called with mu held.
func (w *worker) apply(actions []shard.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shard.Read, shard.Write:
			w.pending = &a
		case shard.Wake:
			w.nextTick = a.At
		case shard.Reply:
			if reply := w.replies[a.Attempt]; reply != nil {
				delete(w.replies, a.Attempt)
				reply <- a.Verdict
			}
		}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run makes the shard's calls, one at a time, and ticks the shard.
func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		call := w.pending
		w.pending = nil
		tick := w.nextTick
		w.mu.Unlock()
		switch {
		case call != nil:
			w.finishCall(w.call(ctx, *call))
		case tick.IsZero():
			select {
			case <-w.wake:
			case <-ctx.Done():
			}
		default:
			w.waitForTick(ctx, tick)
		}
	}
}

// waitForTick waits until the tick is due, or until wake is signalled.
func (w *worker) waitForTick(ctx context.Context, tick time.Time) {
	sleep, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		defer close(slept)
		_ = w.runs.clock().Sleep(sleep, tick.Sub(w.runs.now()))
	}()
	select {
	case <-w.wake:
		cancel()
		<-slept
		return
	case <-slept:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextTick.Equal(tick) {
		w.nextTick = time.Time{}
		w.apply(w.shard.Tick(w.runs.now()))
	}
}

// call makes one call to the store.
func (w *worker) call(ctx context.Context, a shard.Action) shard.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orDefault(w.runs.CallTimeout, DefaultCallTimeout))
	defer cancel()
	var r shard.Result
	key := w.key
	if a.Archive != "" {
		key += "/" + a.Archive
	}
	if a.Kind == shard.Read {
		r.Record, r.Err = w.runs.Store.Get(ctx, key)
		return r
	}
	r.Record, r.Err = w.runs.Store.CompareAndSwap(ctx, key, a.Revision, a.Value)
	return r
}

// finishCall passes the result of a call to the shard and logs unexpected errors.
func (w *worker) finishCall(r shard.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Err != nil && !errors.Is(r.Err, ward.ErrConflict) && !errors.Is(r.Err, ward.ErrOverBudget) {
		w.runs.Log.Info("run-records-call-failed", "shard", w.key, "cause", r.Err.Error())
	}
	w.apply(w.shard.Done(w.runs.now(), r))
}

// keyTime returns the time at which a key was made, if the key contains it (UUID
// version 7).
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
