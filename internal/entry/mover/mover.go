// Package mover runs the moves at one entry.
//
// It counts outcomes, judges them together with those of the other entries, and
// quarantines a version that is convicted: that part needs no store and no
// lease. For each move one entry holds a lease; it writes the move's record by
// compare-and-swap, gives orders to engines and tells operators. Entries hand
// records on to each other, so that a share is in force everywhere soon.
//
// # Usage
//
//	m := mover.New(mover.Deps{Self: "entry-1", Store: store, Config: holder.Current, ...})
//	go m.Run(ctx)
//	m.Observe(outcome)                    // each ended dispatch
//	m.Merge(x.Brakes, x.Counts, x.Moves)  // from peers
//	brakes, counts, states := m.Local()   // to peers
//	splits := m.Splits()                  // to the scheduler
//
// Run returns when ctx ends, with its leases handed back.
package mover

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/internal/move/machine"
	"agateward/internal/move/order"
	"agateward/internal/move/quarantine"
	"agateward/internal/move/split"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

const (
	// leaseTerm is the time to live of the lease on steering a move.
	leaseTerm = order.LeaseTTL
	// tick is the time between two looks of a mover; a short move gets one
	// shortLooks-th of its window.
	tick       = time.Second
	shortTick  = 100 * time.Millisecond
	shortLooks = 100
	// candidates is the number of entries that try for the lease of one move.
	candidates = 3
	// storeTimeout bounds one call of the store, orderTimeout one order.
	storeTimeout = 2 * time.Second
	orderTimeout = 30 * time.Second
	// forgetLooks is the number of looks after which the counts of ended runs are
	// looked for.
	forgetLooks = 60
	// pauseGap is the time without a look after which an entry takes itself to
	// have been paused, holdTime how long it then waits to hear from its peers.
	pauseGap = 3 * time.Second
	holdTime = 2 * time.Second
	// maxCounts bounds the counts that are kept of all entries.
	maxCounts = 50_000
	// maxPending bounds the events that this entry tells by itself.
	maxPending = 64
)

// Deps are what a Mover stands on. Publish and Backend may be nil.
type Deps struct {
	Self        string
	Incarnation ward.Incarnation
	Store       ward.Store
	Clock       ward.Clock
	Notifier    ward.Notifier
	Log         logr.Logger
	// Backend gives orders to engines and reads their reports.
	Backend ward.Backend
	// Config returns the configuration in force, or nil when there is none yet.
	Config func() *ward.Config
	// Fleet returns the number of live entries and the place of this one.
	Fleet func() split.Fleet
	// Publish is called when there is something new that peers should hear soon.
	Publish func()
	// LeaseTTL is the time to live of the lease on steering a move, 0 for that which
	// covers the orders of loads.
	LeaseTTL time.Duration
}

// Mover is the runner of moves.
type Mover struct {
	Deps
	machine machine.Machine

	mu       sync.Mutex
	brakes   quarantine.Set
	states   map[string]ward.MoveState
	recorder evidence.Recorder
	merged   map[countKey]ward.Counts
	// sums are the totals over all entries, ownSeen the own counts in them. They
	// are kept up by what is added, so that a look costs what has changed.
	sums    map[evidence.Key]*analysis.Totals
	ownSeen map[evidence.Key]ward.Counts
	looks   int
	// judged is when the last look was taken. Until held, an entry that was
	// paused sends nothing to a next version: it may not have heard of a stop.
	judged  time.Time
	held    time.Time
	runs    map[string]*run
	pending []ward.Event
	told    map[string]bool
	// duties belongs to the steering goroutine.
	duties map[string]*duty
}

// countKey is what merged counts are told apart by.
type countKey struct {
	key         evidence.Key
	entry       string
	incarnation ward.Incarnation
}

// run is what this entry has found out about one run of a move.
type run struct {
	// steps are the steps that this entry has made, the newest last.
	steps    []stepTaken
	analyses map[string]*analysis.Analysis
	// seen is the number of outcomes at the last look, by route.
	seen     map[string]uint64
	verdicts map[string]analysis.Verdict
}

// stepTaken is when a step was put in force at this entry.
type stepTaken struct {
	step  int
	share float64
	at    time.Time
}

// stepAt returns the step during which a request was sent, 0 for none.
func (r *run) stepAt(sent time.Time) int {
	for i := len(r.steps) - 1; i >= 0; i-- {
		if !sent.Before(r.steps[i].at) {
			return r.steps[i].step
		}
	}
	return 0
}

// New returns a Mover that knows of no state yet.
func New(d Deps) *Mover {
	if d.LeaseTTL == 0 {
		d.LeaseTTL = leaseTerm
	}
	return &Mover{
		Deps:     d,
		states:   map[string]ward.MoveState{},
		recorder: evidence.Recorder{Entry: d.Self, Incarnation: d.Incarnation},
		merged:   map[countKey]ward.Counts{},
		sums:     map[evidence.Key]*analysis.Totals{},
		ownSeen:  map[evidence.Key]ward.Counts{},
		runs:     map[string]*run{},
		told:     map[string]bool{},
		duties:   map[string]*duty{},
	}
}

// Run judges, steers and tells until ctx ends.
func (m *Mover) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { m.loop(ctx, func(context.Context) { m.Evaluate() }) })
	wg.Go(func() { m.loop(ctx, m.Advance) })
	wg.Go(func() { m.loop(ctx, m.NotifyOperators) })
	wg.Wait()
	m.release()
	return ctx.Err()
}

func (m *Mover) loop(ctx context.Context, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		if m.Clock.Sleep(ctx, m.interval()) != nil {
			return
		}
	}
}

// interval returns the time to the next look: shorter while a short move is
// under way.
func (m *Mover) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := tick
	c := m.Config()
	if c == nil {
		return d
	}
	now := m.Clock.Now()
	for _, x := range c.Moves {
		if left := x.Deadline.Sub(now); left > -m.LeaseTTL && !x.Cancelled && !m.machine.Final(m.states[x.Name]) {
			window := left
			if b := m.states[x.Name].Begin; !b.IsZero() {
				window = x.Deadline.Sub(b)
			}
			d = min(d, max(window/shortLooks, shortTick))
		}
	}
	return d
}

// Splits returns how each route's traffic divides now.
func (m *Mover) Splits() []ward.Split {
	c := m.Config()
	if c == nil {
		return nil
	}
	fleet := m.Fleet()
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := split.Splits(c, slices.Collect(maps.Values(m.states)), m.brakes.List(), fleet)
	if now.Before(m.held) || m.pausedUntil(now) {
		return split.WithoutNext(list)
	}
	return list
}

// pausedUntil tells whether this entry took no look for a while before now.
func (m *Mover) pausedUntil(now time.Time) bool {
	return !m.judged.IsZero() && now.Sub(m.judged) > pauseGap
}

// States returns the states of moves that this entry knows, by name.
func (m *Mover) States() []ward.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedStates()
}

func (m *Mover) sortedStates() []ward.MoveState {
	var list []ward.MoveState
	for _, name := range slices.Sorted(maps.Keys(m.states)) {
		list = append(list, m.states[name])
	}
	return list
}

// OwnCounts returns the counts of this entry alone.
func (m *Mover) OwnCounts() []ward.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recorder.Counts()
}

// Quarantines returns the quarantines in force.
func (m *Mover) Quarantines() []ward.Quarantine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.brakes.List()
}
