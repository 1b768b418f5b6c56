// Package rollout moves the traffic of services to another version at one entry,
// as the operator orders it.
//
// The steps, the judgement and the duty are those of the product's moves: an order
// is handed to a mover as a move. Upstreams of a version that is not in use are a
// group of their own for the scheduler, which gets the share of the requests that
// the move's step allows.
//
// # Usage
//
//	r := &rollout.Rollout{Self: "entry-1", Source: source, Orders: view.Rollouts, ...}
//	go r.Run(ctx)
//	group := r.Group(upstream)                  // for each registered upstream
//	group, done := r.Choose(route, service, u)  // for each request
//	r.Observe(route, outcome)                   // for each attempt
//	r.Hear(moves)                               // from peers
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"agateward/internal/entry/mover"
	"agateward/internal/forward/peerstate"
	"agateward/internal/move/split"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

const (
	// lookEvery is the interval of looking at the orders and the splits, and of
	// the news to peers while a roll-out is under way.
	lookEvery = 200 * time.Millisecond
	// recordEvery is the interval of reading the records of roll-outs in a fleet of
	// several cells: their entries do not hear each other.
	recordEvery = time.Second
	// dutyTerm is the time that one entry steers a roll-out without renewing: the
	// next one takes over well within the shortest roll-outs.
	dutyTerm = 4 * time.Second
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
	// mostUsed bounds the routes whose requests are counted.
	mostUsed = 4096
)

// Rollout runs the roll-outs at one entry. All fields must be set.
type Rollout struct {
	Self  string
	Start int64
	// Source has the records that entries agree on.
	Source ward.ForwardSource
	Log    logr.Logger
	// Orders and Upstreams return what the view knows.
	Orders    func() []ward.Rollout
	Upstreams func() []ward.Replica
	// Fleet is the number of entries and the place of this one, Cells tells whether
	// some of them are not heard.
	Fleet func() split.Fleet
	Cells func() bool
	// Publish tells the peers. Changed is called when requests divide differently.
	Publish func(m peerstate.Moves)
	Changed func()

	mover *mover.Mover

	mu     sync.Mutex
	plans  map[string]*plan
	states map[string]ward.MoveState
	splits map[string]ward.Split
	// used counts the requests of each route.
	used map[use]int
	// running counts the requests on a version that is not in use, by service.
	running map[string]int
}

type use struct{ route, service string }

// Run carries out orders until ctx ends. Without records there is nothing to do.
func (r *Rollout) Run(ctx context.Context) {
	store := r.Source.Records()
	if store == nil {
		return
	}
	m := mover.New(mover.Deps{
		Self: r.Self, Incarnation: ward.Incarnation(r.Start), Store: store, Clock: ward.SystemClock{}, Notifier: r,
		Log: r.Log, Config: r.config, Fleet: r.Fleet, Publish: r.publish, LeaseTTL: dutyTerm,
	})
	r.mu.Lock()
	r.mover = m
	r.mu.Unlock()
	var wg conc.WaitGroup
	wg.Go(func() { _ = m.Run(ctx) }) // ends with ctx
	wg.Go(func() { r.every(ctx, lookEvery, r.look) })
	wg.Go(func() { r.every(ctx, recordEvery, r.readRecords) })
	wg.Wait()
}

func (r *Rollout) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// look takes new orders and steps.
func (r *Rollout) look(context.Context) {
	r.mu.Lock()
	r.update(time.Now())
	idle := len(r.plans) == 0 && len(r.splits) == 0
	r.mu.Unlock()
	if idle {
		return
	}
	list, states := r.mover.Splits(), r.mover.States()
	r.mu.Lock()
	r.states = make(map[string]ward.MoveState, len(states))
	for _, s := range states {
		r.states[s.Move] = s
	}
	splits := make(map[string]ward.Split, len(r.plans))
	changed, active := len(r.splits) != len(r.plans), false
	for service, p := range r.plans {
		s := splitOf(list, p)
		old := r.splits[service]
		changed = changed || old.Version != s.Version || old.Next != s.Next || old.Share != s.Share
		splits[service] = s
		active = active || !ended(r.states[service], p)
	}
	r.splits = splits
	r.mu.Unlock()
	if changed {
		r.Changed()
	}
	if active {
		r.publish()
	}
}

// publish tells the peers of own counts, brakes and the states of moves.
func (r *Rollout) publish() {
	brakes, _, states := r.mover.Snapshot()
	for i := range states {
		states[i].PendingEvents = nil // told by the entry that steers
	}
	r.Publish(peerstate.Moves{Quarantines: brakes, Counts: r.mover.OwnCounts(), States: states})
}

// UpdatePeer takes what a peer tells.
func (r *Rollout) UpdatePeer(m peerstate.Moves) {
	if steering := r.steering(); steering != nil {
		steering.Merge(m.Quarantines, m.Counts, m.States)
	}
}

// readRecords takes states and brakes from the store where some entries are not
// heard.
func (r *Rollout) readRecords(ctx context.Context) {
	if !r.Cells() {
		return
	}
	r.mu.Lock()
	var services []string
	for service, p := range r.plans {
		if !ended(r.states[service], p) {
			services = append(services, service)
		}
	}
	r.mu.Unlock()
	for _, service := range services {
		var s ward.MoveState
		if rev := r.read(ctx, acceptance.KeyMove(service), &s); rev > 0 {
			s.Revision = rev
			r.mover.Merge(nil, nil, []ward.MoveState{s})
		}
		var b ward.Quarantine
		if r.read(ctx, brakeKey(service), &b) > 0 {
			r.mover.Merge([]ward.Quarantine{b}, nil, nil)
		}
	}
}

func (r *Rollout) read(ctx context.Context, key string, v any) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec, err := r.Source.Records().Get(ctx, key)
	if err == nil && rec.Revision > 0 {
		err = json.Unmarshal(rec.Value, v)
	}
	if err != nil {
		r.Log.Info("rollout-record-unread", "key", key, "error", err.Error())
		return 0
	}
	return rec.Revision
}

func brakeKey(service string) string { return acceptance.KeyMove(service) + "/brake" }

// Notify implements ward.Notifier: the operator reads the status of a roll-out in
// the store, and entries of other cells read its brake there.
func (r *Rollout) Notify(ctx context.Context, e ward.Event) error {
	r.mu.Lock()
	p := r.plans[e.Move]
	r.mu.Unlock()
	if p == nil || p.Revision != e.Ticket {
		return nil // of an order that was replaced
	}
	status := ward.RolloutStatus{Service: p.Service, Target: p.Target, State: ward.RolloutRunning}
	switch e.Kind {
	case ward.EventVersionQuarantined:
		return r.writeBrake(ctx, ward.Quarantine{Serves: p.Service, Version: p.Target, Move: p.Service, Ticket: p.Revision, Reason: e.Text, By: e.Entry, At: e.At})
	case ward.EventMoveStarted:
	case ward.EventMoveDone:
		status.State = ward.RolloutCompleted
	case ward.EventMoveRolledBack:
		status.State = ward.RolloutRolledBack
	default:
		return nil
	}
	err := r.Source.Report(ctx, status)
	r.Log.Info("rollout-reported", "service", p.Service, "target", p.Target, "state", status.State, "text", e.Text, "ok", err == nil)
	return err
}

func (r *Rollout) writeBrake(ctx context.Context, b ward.Quarantine) error {
	value, err := json.Marshal(b)
	if err != nil {
		return err
	}
	store := r.Source.Records()
	old, err := store.Get(ctx, brakeKey(b.Serves))
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, brakeKey(b.Serves), old.Revision, value)
	if errors.Is(err, ward.ErrConflict) {
		return nil // another entry braked it at the same moment
	}
	return err
}
