// Package mover runs the moves at one entry.
//
// It counts outcomes, evaluates them together with those of the other entries, and
// quarantines a version that is found to be harmful. This needs neither the store
// nor a lease. For each move one entry holds a lease. This entry writes the move's
// record by compare-and-swap, sends orders to engines and notifies operators.
// Entries exchange records, so that a new share soon applies at all of them.
//
// # Usage
//
//	m := mover.New(mover.Deps{Self: "entry-1", Store: store, Config: holder.Current, ...})
//	go m.Run(ctx)
//	m.Observe(outcome)                          // each ended dispatch
//	m.Merge(x.Quarantines, x.Counts, x.Moves)   // from peers
//	quarantines, counts, states := m.Snapshot() // to peers
//	splits := m.Splits()                        // to the scheduler
//
// Run returns when ctx ends, after releasing its leases.
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
	// leaseTTL is the default time to live of the lease on a move.
	leaseTTL = order.LeaseTTL
	// tickInterval is the time between two evaluations. During a short move it is the
	// window of the move divided by ticksPerWindow, but at least minTickInterval.
	tickInterval    = time.Second
	minTickInterval = 100 * time.Millisecond
	ticksPerWindow  = 100
	// maxCandidates is the number of entries that try to acquire the lease on a move.
	maxCandidates = 3
	// storeTimeout bounds one call to the store, orderTimeout one order to an engine.
	storeTimeout = 2 * time.Second
	orderTimeout = 30 * time.Second
	// cleanupTicks is the number of evaluations between two scans for counts of ended
	// runs.
	cleanupTicks = 60
	// pauseThreshold is the time without an evaluation after which an entry assumes
	// that it was paused, resumeDelay how long it then waits for updates from peers.
	pauseThreshold = 3 * time.Second
	resumeDelay    = 2 * time.Second
	// maxCounts bounds the number of counts of peers that are kept.
	maxCounts = 50_000
	// countsInterval is the least time between two writes of counts to a record;
	// maxRecordCounts bounds the counts in it.
	countsInterval  = time.Second
	maxRecordCounts = 1000
	// maxRecordExpected bounds the expected times in a record.
	maxRecordExpected = 64
	// maxPending bounds the queue of events that are not in a move's record.
	maxPending = 64
)

// Deps are the dependencies of a Mover. Publish and Backend may be nil.
type Deps struct {
	Self        string
	Incarnation ward.Incarnation
	Store       ward.Store
	Clock       ward.Clock
	Notifier    ward.Notifier
	Log         logr.Logger
	// Backend sends orders to engines and reads their reports.
	Backend ward.Backend
	// Config returns the configuration in force, or nil when there is none yet.
	Config func() *ward.Config
	// Fleet returns the number of live entries and the index of this one.
	Fleet func() split.Fleet
	// Era returns the era of the store, which rises when the store returns from an older
	// copy; nil means that it never does.
	Era func() uint64
	// Ticket returns the ticket by which the configuration knows that of a state, and
	// whether this entry knows it. Nil means that each ticket has one number.
	Ticket func(s ward.MoveState) (ticket uint64, known bool)
	// Replicas returns the registered upstreams of a service; nil means that Move.From is the
	// version in use.
	Replicas func(service string) []ward.Replica
	// Arrivals returns the number of requests for a move's service that have reached this entry,
	// sent or not; nil means that only those that were sent are known.
	Arrivals func(move string) uint64
	// Expected reports whether requests are known to come on a route of a move; nil means that
	// it is known of none.
	Expected func(move, route string) bool
	// Publish is called when there is new state to send to peers soon.
	Publish func()
	// LeaseTTL is the time to live of the lease on a move; 0 means order.LeaseTTL, which
	// covers the orders of loads.
	LeaseTTL time.Duration
}

// Mover runs the moves at one entry. Create one with New.
type Mover struct {
	Deps
	machine machine.Machine

	mu          sync.Mutex
	quarantines quarantine.Set
	states      map[string]ward.MoveState
	recorder    evidence.Recorder
	peerCounts  map[countKey]ward.Counts
	// totals are the totals over all entries, ownCounted this entry's counts that
	// they include. They are updated incrementally, so that the cost of an evaluation
	// depends only on the number of changed counts.
	totals      map[evidence.Key]*analysis.Totals
	ownCounted  map[evidence.Key]ward.Counts
	evaluations int
	// lastEvaluation is the time of the last evaluation. Until holdUntil, an entry that
	// was paused sends nothing to a new version, because it may have missed a
	// quarantine.
	lastEvaluation time.Time
	holdUntil      time.Time
	runs           map[string]*run
	pending        []ward.Event
	// notified holds the IDs of the events that were sent, with the store's era.
	notified map[string]uint64
	// held holds the leases on moves that this entry holds, by move.
	held map[string]ward.Lease
	// leases is used only by the goroutine that calls Advance.
	leases map[string]*leaseState
}

// countKey identifies the counts of a peer.
type countKey struct {
	key         evidence.Key
	entry       string
	incarnation ward.Incarnation
}

// run is the evaluation state of one run of a move.
type run struct {
	// steps are the steps that were put in force at this entry, the newest last.
	steps    []stepStart
	analyses map[string]*analysis.Analysis
	// seen is the number of outcomes at the last evaluation, by route.
	seen     map[string]uint64
	verdicts map[string]analysis.Verdict
	// begin is when the new version got its first request.
	begin time.Time
	// approvals are those of the routes by the last evaluation; doubted is true if one of
	// them speaks against the version.
	approvals []analysis.Approval
	doubted   bool
	// before is the number of requests of the run before this entry learned of it, and
	// arrivedBefore Deps.Arrivals at that time.
	before, arrivedBefore uint64
}

// stepStart records when a step was put in force at this entry.
type stepStart struct {
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

// New returns a Mover without any state.
func New(d Deps) *Mover {
	if d.LeaseTTL == 0 {
		d.LeaseTTL = leaseTTL
	}
	return &Mover{
		Deps:       d,
		states:     map[string]ward.MoveState{},
		recorder:   evidence.Recorder{Entry: d.Self, Incarnation: d.Incarnation},
		peerCounts: map[countKey]ward.Counts{},
		totals:     map[evidence.Key]*analysis.Totals{},
		ownCounted: map[evidence.Key]ward.Counts{},
		runs:       map[string]*run{},
		notified:   map[string]uint64{},
		held:       map[string]ward.Lease{},
		leases:     map[string]*leaseState{},
	}
}

// Run evaluates and advances moves and notifies operators until ctx ends.
func (m *Mover) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { m.loop(ctx, func(context.Context) { m.Evaluate() }) })
	wg.Go(func() { m.loop(ctx, m.Advance) })
	wg.Go(func() { m.loop(ctx, m.NotifyOperators) })
	wg.Wait()
	m.releaseAll()
	return ctx.Err()
}

// loop calls f at each interval until ctx ends.
func (m *Mover) loop(ctx context.Context, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		if m.Clock.Sleep(ctx, m.interval()) != nil {
			return
		}
	}
}

// interval returns the time to the next evaluation, which is shorter while a short
// move is in progress.
func (m *Mover) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := tickInterval
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
			d = min(d, max(window/ticksPerWindow, minTickInterval))
		}
	}
	return d
}

// Splits returns the current traffic split of each route.
func (m *Mover) Splits() []ward.Split {
	c := m.Config()
	if c == nil {
		return nil
	}
	fleet := m.Fleet()
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := split.Splits(c, slices.Collect(maps.Values(m.states)), m.quarantines.List(), fleet)
	if now.Before(m.holdUntil) || m.pausedUntil(now) {
		return split.WithoutNext(list)
	}
	return list
}

// pausedUntil reports whether more than pauseThreshold has passed between the last
// evaluation and now.
func (m *Mover) pausedUntil(now time.Time) bool {
	return !m.lastEvaluation.IsZero() && now.Sub(m.lastEvaluation) > pauseThreshold
}

// States returns the known states of moves, sorted by name.
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

// Doubted returns the moves of which the outcomes speak against the new version.
func (m *Mover) Doubted() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	doubted := map[string]bool{}
	for _, s := range m.states {
		if r := m.runs[evidence.RunName(s.Move, s.Ticket)]; r != nil && r.doubted {
			doubted[s.Move] = true
		}
	}
	return doubted
}

// OwnCounts returns the counts of this entry only.
func (m *Mover) OwnCounts() []ward.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recorder.Counts()
}

// arrivals returns the requests for a move's service that have reached this entry.
func (m *Mover) arrivals(move string) uint64 {
	if m.Arrivals == nil {
		return 0
	}
	return m.Arrivals(move)
}

// Quarantines returns the quarantines in force.
func (m *Mover) Quarantines() []ward.Quarantine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantines.List()
}
