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

// worker carries out the calls of one shard.
type worker struct {
	runs *Runs
	key  string
	// wake tells the loop that there is something to do.
	wake chan struct{}

	mu      sync.Mutex
	shard   shard.Shard
	pending *shard.Action
	tick    time.Time
	replies map[string]chan record.Verdict
}

// claim asks the shard for a verdict and waits for it.
func (w *worker) claim(ctx context.Context, c record.Claim) (record.Verdict, error) {
	return w.ask(ctx, c, w.shard.Claim)
}

// look asks the shard what is known of a key. Its attempt is no request's, so
// that it can't be taken for one's own.
func (w *worker) look(ctx context.Context, c record.Claim) (record.Verdict, error) {
	c.Attempt = "look-" + c.Attempt
	return w.ask(ctx, c, w.shard.Lookup)
}

// warm has the index of the shard's archives read, as fast as the budget allows.
func (w *worker) warm(ctx context.Context) {
	for ctx.Err() == nil {
		v, err := w.look(ctx, record.Claim{Key: record.KeyOf("", w.key), Attempt: "warm"})
		if err == nil && v.Kind == record.Absent {
			return
		}
		_ = w.runs.clock().Sleep(ctx, shard.DefaultWait)
	}
}

func (w *worker) ask(ctx context.Context, c record.Claim, f func(time.Time, record.Claim) []shard.Action) (record.Verdict, error) {
	reply := make(chan record.Verdict, 1)
	w.mu.Lock()
	if w.replies[c.Attempt] != nil {
		w.mu.Unlock()
		return record.Verdict{}, code.KeyInProgress.New("request %s has been begun", c.Attempt)
	}
	w.replies[c.Attempt] = reply
	w.carry(f(w.runs.now(), c))
	w.mu.Unlock()
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return record.Verdict{}, w.giveUp(ctx, c)
	}
}

// giveUp ends a claim that nobody waits for. A verdict that came in the same
// moment is undone.
func (w *worker) giveUp(ctx context.Context, c record.Claim) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.runs.now()
	if _, waits := w.replies[c.Attempt]; waits {
		delete(w.replies, c.Attempt)
		w.carry(w.shard.Cancel(now, c.Attempt))
	} else {
		w.carry(w.shard.Settle(now, record.Outcome{Claim: c, State: record.NotRun}))
	}
	return gone(ctx)
}

func (w *worker) settle(o record.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carry(w.shard.Settle(w.runs.now(), o))
}

func (w *worker) flush() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carry(w.shard.Flush(w.runs.now()))
	return w.shard.Unsettled()
}

func (w *worker) stats() shard.Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Stats
}

// carry takes the shard's actions; it needs mu.
func (w *worker) carry(actions []shard.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shard.Read, shard.Write:
			w.pending = &a
		case shard.Wake:
			w.tick = a.At
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

// run makes the shard's calls, one at a time, and its ticks.
func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		call := w.pending
		w.pending = nil
		tick := w.tick
		w.mu.Unlock()
		switch {
		case call != nil:
			w.done(w.call(ctx, *call))
		case tick.IsZero():
			select {
			case <-w.wake:
			case <-ctx.Done():
			}
		default:
			w.await(ctx, tick)
		}
	}
}

// await waits for the tick's time or for something to do.
func (w *worker) await(ctx context.Context, tick time.Time) {
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
	if w.tick.Equal(tick) {
		w.tick = time.Time{}
		w.carry(w.shard.Tick(w.runs.now()))
	}
}

// call makes one call of the store.
func (w *worker) call(ctx context.Context, a shard.Action) shard.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), either(w.runs.Call, DefaultCall))
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

func (w *worker) done(r shard.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Err != nil && !errors.Is(r.Err, ward.ErrConflict) && !errors.Is(r.Err, ward.ErrOverBudget) {
		w.runs.Log.Info("run-records-call-failed", "shard", w.key, "cause", r.Err.Error())
	}
	w.carry(w.shard.Done(w.runs.now(), r))
}

// madeAt returns when a key was made that carries its time (UUID version 7).
func madeAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
