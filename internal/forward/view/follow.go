package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agateward/internal/forward/replicas"
	"agateward/ward"
)

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Float64()*float64(maxStartJitter)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.follow(ctx, "orders", feed{list: v.listOrders, watch: v.watchOrders})
	}()
	v.follow(ctx, "upstreams", feed{list: v.listReplicas, watch: v.watchReplicas, peerRevision: v.replicasRevision})
	<-done
}

type readFunc func(ctx context.Context, revision uint64) (uint64, error)

// feed read one kind of document.
type feed struct {
	list, watch readFunc
	// peerRevision returns the revision up to which peers told of the changes, 0 for none.
	// Nil means that only a list tells.
	peerRevision func() uint64
}

// follow lists and then watches, and starts over when the history is gone. An
// entry that did not read the store goes on from what its peers told it.
func (v *View) follow(ctx context.Context, kind string, f feed) {
	list, watch := f.list, f.watch
	var revision uint64
	wait := minRetryDelay
	next, resume := list, false
	for ctx.Err() == nil {
		if v.FollowsStore != nil && !v.FollowsStore() {
			next, resume = list, f.peerRevision != nil
			sleep(ctx, readerCheckInterval)
			continue
		}
		if resume {
			resume = false
			if revision = f.peerRevision(); revision > 0 {
				next = watch
			}
		}
		to, err := next(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ward.ErrHistoryGone):
			v.Log.Info("store-history-gone", "of", kind, "revision", revision)
			next = list
		case err != nil:
			v.noteFailure(kind, err)
			sleep(ctx, wait/2+time.Duration(rand.Float64()*float64(wait)))
			wait = min(wait*2, maxRetryDelay)
			if revision == 0 {
				next = list
			}
		default:
			v.noteAnswer(kind, to)
			changed := to != revision && revision > 0
			revision, next, wait = to, watch, minRetryDelay
			if changed {
				sleep(ctx, coalesceDelay)
			}
		}
	}
}

func (v *View) noteFailure(kind string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down == nil {
		v.down = make(map[string]bool)
	}
	if !v.down[kind] {
		v.down[kind] = true
		v.Log.Info("store-lost", "of", kind, "error", err.Error())
	}
}

func (v *View) noteAnswer(kind string, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered = time.Now()
	if v.down[kind] {
		v.down[kind] = false
		v.recovered = v.answered
		v.Log.Info("store-regained", "of", kind, "revision", revision)
	}
}

var errNoConfiguration = errors.New("the store holds no configuration yet")

func (v *View) listOrders(ctx context.Context, _ uint64) (uint64, error) {
	o, rev, err := v.Source.Orders(ctx)
	v.applyOrders(o)
	if err == nil && o.Forwarding.Version == 0 {
		err = errNoConfiguration
	}
	return rev, err
}

func (v *View) watchOrders(ctx context.Context, revision uint64) (uint64, error) {
	o, rev, err := v.Source.WatchOrders(ctx, revision, watchWait)
	v.applyOrders(o)
	return rev, err
}

// applyOrders takes the orders of the store.
func (v *View) applyOrders(o ward.Orders) {
	if o.Forwarding.Version > 0 {
		v.adopt(o.Forwarding, "store")
	}
	v.adoptRollouts(o.Rollouts, "store")
	for _, err := range o.Faults {
		v.Log.Info("order-ignored", "error", err.Error())
	}
}

func (v *View) listReplicas(ctx context.Context, _ uint64) (uint64, error) {
	regs, rev, err := v.Source.Replicas(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	v.mu.Lock()
	list := make([]replicas.Entry, 0, len(regs))
	for _, r := range regs {
		if v.usable(r) {
			list = append(list, replicas.Entry{Replica: r.Replica, Revision: r.Revision})
		}
	}
	changed := v.set.ApplyList(list, rev, now)
	first := !v.listed
	v.listed = true
	n := v.set.Len()
	v.mu.Unlock()
	if changed || first {
		v.Log.Info("upstreams-changed", "source", "list of the store", "revision", rev, "count", n)
		v.Changed()
	}
	return rev, nil
}

func (v *View) watchReplicas(ctx context.Context, revision uint64) (uint64, error) {
	regs, rev, err := v.Source.WatchReplicas(ctx, revision, watchWait)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	v.mu.Lock()
	changed := false
	for _, r := range regs {
		switch {
		case !r.Removed && v.usable(r):
			changed = v.set.Put(r.Replica, r.Revision) || changed
		case v.down["upstreams"]:
			v.set.MarkMissing(r.Replica.ID, r.Revision, now) // the first answer after an outage
		case now.Sub(v.recovered) < replicas.MissingGrace:
			v.set.MarkMissing(r.Replica.ID, r.Revision, v.recovered)
		default:
			changed = v.set.Remove(r.Replica.ID, r.Revision) || changed
		}
	}
	n := v.set.Len()
	v.mu.Unlock()
	if changed {
		v.Log.Info("upstreams-changed", "source", "store", "revision", rev, "count", n, "events", len(regs))
		v.Changed()
	}
	return rev, nil
}

// replicasRevision returns the revision up to which the upstreams are known.
func (v *View) replicasRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Revision
}

// usable tells whether a registration names an upstream, and logs a fault once.
func (v *View) usable(r ward.Registration) bool {
	if r.Fault == "" {
		return true
	}
	if v.loggedFaults == nil {
		v.loggedFaults = make(map[string]uint64)
	}
	if v.loggedFaults[r.Replica.ID] != r.Revision {
		v.loggedFaults[r.Replica.ID] = r.Revision
		v.Log.Info("registration-ignored", "upstream", r.Replica.ID, "revision", r.Revision, "fault", r.Fault)
	}
	return false
}
