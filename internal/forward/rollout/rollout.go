// Package rollout moves the traffic of services to another version at one entry, as
// ordered by the operator.
//
// An order is passed to a mover as a move, so its steps, evaluation and lease are
// those of moves. For the scheduler, upstreams of a version that is not in use form a
// separate group, which gets the share of the requests that the current step of the
// move allows.
//
// # Usage
//
//	r := &rollout.Rollout{Self: "entry-1", Source: source, Orders: view.Rollouts, ...}
//	go r.Run(ctx)
//	group := r.Group(upstream)                  // for each registered upstream
//	group, done := r.Choose(route, service, u)  // for each request
//	r.Observe(route, service, outcome)          // for each attempt
//	r.UpdatePeer(moves)                         // from peers
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"agateward/internal/entry/mover"
	"agateward/internal/forward/peerstate"
	"agateward/internal/move/exposure"
	"agateward/internal/move/machine"
	"agateward/internal/move/split"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

const (
	// reconcileInterval is the interval at which orders and splits are checked, and
	// at which the state of roll-outs in progress is broadcast.
	reconcileInterval = 200 * time.Millisecond
	// recordInterval is the interval at which the records of roll-outs are read in a
	// fleet of several cells, as entries of different cells exchange no messages. A process that
	// starts reads them at once, and at this interval after a failure.
	recordInterval = time.Second
	// leaseTTL is the time to live of the lease on a roll-out. It lets another entry
	// take over well within the shortest roll-outs.
	leaseTTL = 4 * time.Second
	// storeTimeout bounds one store call.
	storeTimeout = time.Second
	// maxCountedRoutes bounds the number of routes whose requests are counted.
	maxCountedRoutes = 4096
)

// Rollout runs the roll-outs at one entry. All exported fields must be set.
type Rollout struct {
	Self  string
	Start int64
	// Source holds the records that all entries share.
	Source ward.ForwardSource
	Log    logr.Logger
	// Orders and Upstreams return the current data of the view.
	Orders    func() []ward.Rollout
	Upstreams func() []ward.Replica
	// OrderOf identifies the order that the store held at a revision, and LearnOrder adds
	// one that the record of a move names (view.View). Nil means that an order has one
	// revision.
	OrderOf    func(service string, revision uint64) (id uint64, known, newer bool)
	LearnOrder func(ward.Rollout)
	// Fleet returns the number of entries and the index of this one. Cells reports
	// whether the fleet has several cells.
	Fleet func() split.Fleet
	Cells func() bool
	// Exposure bounds the requests that an unproven version gets.
	Exposure exposure.Bound
	// Era returns the era of the store; nil means that it has only one.
	Era func() uint64
	// Publish broadcasts the state of roll-outs. Changed is called when a split has
	// changed.
	Publish func(m peerstate.Moves)
	Changed func()

	mover *mover.Mover

	unknownMu sync.Mutex
	// unknown holds the orders that records name and this entry does not know, by service.
	unknown map[string]ward.Rollout

	mu sync.Mutex
	// started is when Run began.
	started time.Time
	plans   map[string]*plan
	states  map[string]ward.MoveState
	splits  map[string]ward.Split
	// peerOutdated is set when a peer sent the state of a move from an earlier era of
	// the store.
	peerOutdated bool
	// readDue signals that the record of a new plan has to be read, merged that records were
	// read. Both are nil before Run.
	readDue, merged chan struct{}
	// requests counts the requests by route and service.
	requests map[routeKey]int
	// inFlight counts the running requests on a version that is not in use, by service.
	inFlight map[string]int
}

type routeKey struct{ route, service string }

// Run executes orders until ctx ends. It returns at once if the source has no
// records.
func (r *Rollout) Run(ctx context.Context) {
	store := r.Source.Records()
	if store == nil {
		return
	}
	m := mover.New(mover.Deps{
		Self: r.Self, Incarnation: ward.Incarnation(r.Start), Store: store, Clock: ward.SystemClock{}, Notifier: r,
		Log: r.Log, Replicas: r.replicas, Arrivals: r.arrivals, Expected: r.expected, Config: r.config, Fleet: r.Fleet, Publish: r.publish, LeaseTTL: leaseTTL, Era: r.Era, Ticket: r.ticketOf,
	})
	r.mu.Lock()
	r.mover, r.started = m, time.Now()
	r.readDue, r.merged = make(chan struct{}, 1), make(chan struct{}, 1)
	r.mu.Unlock()
	var wg conc.WaitGroup
	wg.Go(func() { _ = m.Run(ctx) }) // ends with ctx
	wg.Go(func() { loop(ctx, reconcileInterval, r.merged, r.reconcile) })
	wg.Go(func() { loop(ctx, recordInterval, r.readDue, r.readRecords) })
	wg.Wait()
}

// loop calls f at each interval and at each signal, until ctx ends.
func loop(ctx context.Context, d time.Duration, signals <-chan struct{}, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signals:
		}
		f(ctx)
	}
}

// signal wakes a loop. It does not block, and has no effect on a channel that is nil.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// reconcile applies new orders and steps.
func (r *Rollout) reconcile(context.Context) {
	r.learnOrders()
	r.mu.Lock()
	planned := r.updatePlans(time.Now())
	idle := len(r.plans) == 0 && len(r.splits) == 0
	r.mu.Unlock()
	if idle {
		if planned {
			r.Changed()
		}
		return
	}
	list, states, doubted := r.mover.Splits(), r.mover.States(), r.mover.Doubted()
	entries, now := r.Fleet().Entries, time.Now()
	r.mu.Lock()
	r.states = make(map[string]ward.MoveState, len(states))
	for _, s := range states {
		r.states[s.Move] = s
	}
	splits := make(map[string]ward.Split, len(r.plans))
	changed, active := planned || len(r.splits) != len(r.plans), r.peerOutdated
	r.peerOutdated = false
	for service, p := range r.plans {
		changed = r.adopt(p) || changed
		p.updateUse(r.states[service], r.Exposure, entries, doubted[service], r.started, now)
		s := splitFor(list, p)
		old := r.splits[service]
		changed = changed || old.Version != s.Version || old.Next != s.Next || old.Share != s.Share
		splits[service] = s
		active = active || !ended(r.states[service], p) || machine.Lost(r.states[service], r.era())
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

func (r *Rollout) era() uint64 {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}

// publish broadcasts the own counts, the quarantines and the states of moves.
func (r *Rollout) publish() {
	quarantines, _, states := r.mover.Snapshot()
	for i := range states {
		states[i].PendingEvents = nil // sent by the entry that holds the lease
	}
	r.Publish(peerstate.Moves{Quarantines: quarantines, Counts: r.mover.OwnCounts(), States: states})
}

// UpdatePeer merges the state of roll-outs received from a peer.
func (r *Rollout) UpdatePeer(m peerstate.Moves) {
	current := r.currentMover()
	if current == nil {
		return
	}
	current.Merge(m.Quarantines, m.Counts, m.States)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range m.States {
		r.peerOutdated = r.peerOutdated || machine.Lost(s, r.era()) && !machine.Lost(r.states[s.Move], r.era())
	}
}

// readRecords merges states and quarantines from the store: always if the fleet has
// several cells, and once in a process that started after an order, as its peers may have
// started too.
func (r *Rollout) readRecords(ctx context.Context) {
	cells := r.Cells()
	r.mu.Lock()
	var services []string
	for service, p := range r.plans {
		if (cells || p.use.Late && !p.recordRead) && !ended(r.states[service], p) {
			services = append(services, service)
		}
	}
	r.mu.Unlock()
	for _, service := range services {
		if r.mergeRecords(ctx, service) {
			r.mu.Lock()
			if p := r.plans[service]; p != nil {
				p.recordRead = true
			}
			r.mu.Unlock()
			signal(r.merged)
		}
	}
}

// mergeRecords merges the state and the quarantine of a service and reports whether both
// were read.
func (r *Rollout) mergeRecords(ctx context.Context, service string) bool {
	var s ward.MoveState
	rev, stateRead := r.readRecord(ctx, acceptance.KeyMove(service), &s)
	if rev > 0 {
		s.Revision = rev
		r.mover.Merge(nil, nil, []ward.MoveState{s})
	}
	var q ward.Quarantine
	rev, quarantineRead := r.readRecord(ctx, quarantineKey(service), &q)
	if rev > 0 {
		r.mover.Merge([]ward.Quarantine{q}, nil, nil)
	}
	return stateRead && quarantineRead
}

// readRecord reads a record and returns its revision, 0 if there is none, and whether it
// could be read.
func (r *Rollout) readRecord(ctx context.Context, key string, v any) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := r.Source.Records().Get(ctx, key)
	if err == nil && rec.Revision > 0 {
		err = json.Unmarshal(rec.Value, v)
	}
	if err != nil {
		r.Log.Info("rollout-record-unread", "key", key, "error", err.Error())
		return 0, false
	}
	return rec.Revision, true
}

func quarantineKey(service string) string { return acceptance.KeyMove(service) + "/brake" }

// Notify implements ward.Notifier. It writes the status of a roll-out to the store for
// the operator, and its quarantine for the entries of other cells.
func (r *Rollout) Notify(ctx context.Context, e ward.Event) error {
	r.mu.Lock()
	p := r.plans[e.Move]
	r.mu.Unlock()
	if p == nil || p.Revision != e.Ticket {
		return nil // the order was replaced
	}
	status := ward.RolloutStatus{Service: p.Service, Target: p.Target, State: ward.RolloutRunning, Order: p.Revision}
	switch e.Kind {
	case ward.EventVersionQuarantined:
		return r.writeQuarantine(ctx, ward.Quarantine{Serves: p.Service, Version: p.Target, Move: p.Service, Ticket: p.Revision, Reason: e.Text, By: e.Entry, At: e.At})
	case ward.EventMoveStarted:
	case ward.EventMoveDone:
		status.State = ward.RolloutCompleted
	case ward.EventMoveRolledBack:
		status.State = ward.RolloutRolledBack
	default:
		return nil
	}
	err := r.Source.Report(ctx, status)
	r.Log.Info("rollout-reported", "service", p.Service, "target", p.Target, "state", status.State, "text", e.Text, "ok", err == nil, "error", errorText(err))
	if errors.Is(err, ward.ErrOutdated) {
		return nil // nothing is left to report
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (r *Rollout) writeQuarantine(ctx context.Context, q ward.Quarantine) error {
	value, err := json.Marshal(q)
	if err != nil {
		return err
	}
	store := r.Source.Records()
	old, err := store.Get(ctx, quarantineKey(q.Serves))
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, quarantineKey(q.Serves), old.Revision, value)
	if errors.Is(err, ward.ErrConflict) {
		return nil // another entry quarantined it at the same time
	}
	return err
}
