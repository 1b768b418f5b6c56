// Package gate serves the callers of the forwarding surface: it validates each
// request, waits for the scheduler to choose an upstream, sends the request and relays
// the answer.
//
// # Usage
//
//	g := &gate.Gate{Dialect: d, View: v, Pool: p, Log: l, SendGrant: send, TriggerBroadcast: trigger}
//	g.Prepare(gate.Setup{Name: "entry-1", DataCentre: "mid-a", Retries: budget, Quotas: ledger})
//	go g.Run(ctx)
//	http.Serve(listener, g)
//
// The kind of the route determines which requests are retried. A refusal with 429 or
// 503 is sent only if no upstream can have run the request; an unknown outcome is 502
// or 504. A truncated answer never looks complete.
package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/buffer"
	"agateward/internal/forward/links"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/poison"
	"agateward/internal/forward/quota"
	"agateward/internal/forward/retry"
	"agateward/internal/forward/rollout"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/shutdown"
	"agateward/internal/forward/view"
	"agateward/internal/move/split"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/ignored"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// tickInterval is the interval at which the scheduler rechecks waiting requests.
const tickInterval = 15 * time.Millisecond

// notReadyRetry is the retry delay that an entry without a configuration advises.
const notReadyRetry = 500 * time.Millisecond

// configWait is how long a request waits for the first configuration after a start.
// The store usually answers within a few milliseconds.
const configWait = 250 * time.Millisecond

// Gate serves callers. All fields but Metrics, Rollout, Relay, Ignored, ProgressTimeout
// and TakeTimeout must be set, and Prepare called.
type Gate struct {
	Dialect ward.Dialect
	View    *view.View
	Pool    *backend.Pool
	Log     logr.Logger
	Metrics *Metrics
	// Rollout divides the requests between versions of a service.
	Rollout *rollout.Rollout
	// MaxBody bounds a request body in bytes if the configuration sets no limit.
	MaxBody int
	// ProgressTimeout bounds the time until the answer, or the next event, of a request
	// without a timeout of the caller or the route; 0 means DefaultProgressTimeout.
	ProgressTimeout time.Duration
	// TakeTimeout bounds the time in which a caller takes the next part of an answer that was
	// read whole; 0 means DefaultTakeTimeout.
	TakeTimeout time.Duration
	// SendGrant grants a slot of an upstream to a peer. It must not block.
	SendGrant func(a schedule.Action)
	// SendLending sends a message about lent slots to an entry of another cell, nil if
	// slots are not lent. It must not block.
	SendLending func(to string, m schedule.LendingMessage)
	// TriggerBroadcast requests an early broadcast of the peer state. It must not
	// block.
	TriggerBroadcast func()
	// Fleet returns the number of entries and the index of this one, nil for a single
	// entry. SuspectsChanged requests a broadcast of what is known of suspects,
	// unless it is nil. Neither may block.
	Fleet           func() split.Fleet
	SuspectsChanged func(list []poison.Suspect)
	// Relay connects the gate to other entries, nil if requests are not relayed.
	Relay *Relay
	// LimitsChanged requests a broadcast of the limits of upstreams, unless it is nil. It
	// must not block.
	LimitsChanged func(list []schedule.LimitReport)
	// Buffers counts what the gate holds of bodies and answers. Prepare sets its bound.
	Buffers buffer.Budget
	// ReturnsChanged requests a message about promises to refused callers, unless it is
	// nil. It must not block.
	ReturnsChanged func()
	// Ignored records what peers, upstreams and senders of relayed requests write that cannot
	// be used. Nil only logs it.
	Ignored *ignored.Input
	// Start is a number that no earlier process of this entry had.
	Start int64

	name string

	// refreshMu is held for a whole Refresh, so that the newest list of upstreams is set last.
	// It is locked before mu.
	refreshMu sync.Mutex

	mu    sync.Mutex
	sched schedule.Scheduler
	// concurrencyAt is when the learned limits were last looked at.
	concurrencyAt time.Time
	ledger        quota.Ledger
	budget        retry.Budget
	crashes       poison.Tracker
	links         links.Tracker
	// lastHeard is when the pool last heard an upstream, by the last update of links; lostAt
	// is when the links were last lost.
	lastHeard, lostAt time.Time
	waiters           map[uint64]*waiter
	lastID            uint64
	// homesVersion is the configuration whose homes were checked.
	homesVersion uint64
	// loggedFaults holds the upstreams and fields of which an invalid value was logged.
	loggedFaults map[loggedFault]bool
	// teams holds the teams that have a gauge.
	teams []string

	// shutdown is set while the entry stops. ending ends at its exit, by endRequests.
	shutdown    atomic.Pointer[shutdown.Shutdown]
	ending      context.Context
	endRequests context.CancelCauseFunc
	// refusing is true once no request is begun any more.
	refusing atomic.Bool
	calls    calls
	// maxBody replaces MaxBody after the settings were reloaded.
	maxBody atomic.Int64
	wake    chan struct{}
}

// waiter is a request that waits for the scheduler's decision.
type waiter struct {
	job    *schedule.Job
	action chan schedule.Action
}

// Setup holds the parts of a gate that come from the settings.
type Setup struct {
	Name       string
	DataCentre string
	Retries    retry.Budget
	Quotas     quota.Ledger
	Scheduling schedule.Options
	// Memory is the memory limit of the process in bytes, 0 for none.
	Memory int64
}

// Prepare makes a gate ready to serve.
func (g *Gate) Prepare(s Setup) {
	g.sched = schedule.Scheduler{
		Name: s.Name, DataCentre: s.DataCentre,
		Start: uint64(g.Start),
		Rand:  rand.New(rand.NewPCG(uint64(g.Start), uint64(len(s.Name)))),

		Options: s.Scheduling,
	}
	if g.Rollout == nil {
		g.Rollout = &rollout.Rollout{}
	}
	g.Metrics.limited(g.limited)
	g.Buffers.SetTotal(bounds(s.Memory))
	g.Metrics.buffers(&g.Buffers)
	g.Metrics.evacuated(g.View.Evacuated)
	g.Metrics.cold(g.coldUpstreams)
	g.Metrics.promised(g.openPromises)
	g.name, g.budget, g.ledger = s.Name, s.Retries, s.Quotas
	g.waiters = make(map[uint64]*waiter)
	g.wake = make(chan struct{}, 1)
	g.ending, g.endRequests = context.WithCancelCause(context.Background())
}

// Adjust applies changed settings. Usage counted so far is kept.
func (g *Gate) Adjust(s Setup, maxBody int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Ratio, g.budget.Slack, g.budget.Window = s.Retries.Ratio, s.Retries.Slack, s.Retries.Window
	g.ledger.Slack = s.Quotas.Slack
	g.maxBody.Store(int64(maxBody))
}

// Run serves the waiting requests until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-t.C:
		}
		waiting := 0
		g.locked(func() {
			g.apply(g.sched.Tick(time.Now()))
			waiting = g.sched.Waiting()
		})
		if waiting > 0 {
			t.Reset(tickInterval)
		}
	}
}

// Refresh updates the upstreams from the view.
func (g *Gate) Refresh() {
	g.refreshMu.Lock()
	defer g.refreshMu.Unlock()
	list := g.View.Upstreams()
	table := g.View.Table()
	g.Rollout.Plan()
	if table != nil {
		list = slices.DeleteFunc(list, func(r ward.Replica) bool { return !table.Names(r.Service) })
	}
	for i := range list {
		if table != nil {
			list[i].ColdTime, list[i].ColdRate = table.Cold(list[i].Service)
		}
		list[i].Service = g.Rollout.Group(list[i])
	}
	inUse := make(map[string]bool, len(list))
	for _, r := range list {
		inUse[r.Address] = true
	}
	g.Pool.Retain(inUse)
	g.logHomes(table, list)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.sched.SetUpstreams(list, time.Now()))
}

// UpdatePeer applies a message of a peer. entries is the number of known entries.
func (g *Gate) UpdatePeer(m peerstate.Message, entries int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Entries, g.budget.Entries = entries, entries
	g.ledger.UpdatePeer(m.Name, m.Start, m.Quota, now)
	g.ledger.Inherit(m.QuotaLevels, now)
	g.learnDepartures(m, now)
	g.learnLimits(m, now)
	g.learnLinks(m, now)
	g.learnBrittle(m, now)
	g.apply(g.sched.UpdatePeer(m.Name, m.Requests, now))
}

// ReceiveGrant accepts a slot that a peer grants.
func (g *Gate) ReceiveGrant(m peerstate.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	receive := g.sched.ReceiveGrant
	if m.GrantPermit {
		receive = g.sched.ReceivePermit
	}
	g.apply(receive(m.Name, m.Grant, m.GrantSequence, m.GrantUsed, time.Now()))
}

// Report fills in the peer state of the scheduler and the quotas.
func (g *Gate) Report(m *peerstate.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(g.sched.Lending(now))
	g.reportConcurrency(now)
	m.Requests = g.sched.PeerState(now)
	m.Quota = g.ledger.Totals()
	m.QuotaLevels = g.ledger.Levels(now)
	m.Limits = g.sched.LimitNews(now)
	g.reportLinks(m, now)
	g.noteTeams(now)
}

// SetEntries sets the number of entries that share quotas and budgets.
func (g *Gate) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Entries, g.budget.Entries = n, n
}

// SetCell sets the index of this entry's cell, of count cells in the data centre, the names
// of its members, the sorted names of all entries of the fleet, and the other cells.
func (g *Gate) SetCell(index, count int, members, fleet []string, others []schedule.OtherCell) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.Cell, g.sched.Cells, g.sched.Members, g.sched.Fleet = index, count, members, fleet
	g.sched.SetOtherCells(others)
	if g.sched.Options.LendSlots {
		for _, c := range others {
			g.Metrics.loans(c.DataCentre, g.loanCounts)
		}
	}
}

// bodyLimit returns the limit of a body if the configuration sets none.
func (g *Gate) bodyLimit() int {
	if n := g.maxBody.Load(); n > 0 {
		return int(n)
	}
	return g.MaxBody
}

func (g *Gate) progressTimeout() time.Duration {
	if g.ProgressTimeout > 0 {
		return g.ProgressTimeout
	}
	return DefaultProgressTimeout
}

// Stop begins a planned stop. Each caller's connection is closed after its next
// answer, and requests that can't end in time are refused.
func (g *Gate) Stop(s shutdown.Shutdown) {
	g.shutdown.Store(&s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.Stop(s.Late(), s.End())
}

// Refuse ends what Stop still serves: requests that arrive from now on are refused as not run.
// Those that have begun go on.
func (g *Gate) Refuse() { g.refusing.Store(true) }

// EndRequests answers the requests that still run at the exit of the entry: as not run, or as
// failed if an upstream may have run them. An answer that has begun is cut. A request that
// comes later is refused.
func (g *Gate) EndRequests() { g.endRequests(errExit) }

// locked calls f while it holds mu, which it releases also if f panics.
func (g *Gate) locked(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// apply delivers the actions to the waiting requests and grants to the peers. The
// caller must hold mu.
func (g *Gate) apply(actions []schedule.Action) {
	g.logCold()
	for _, a := range actions {
		if a.Lending != nil {
			g.sendLending(a)
			continue
		}
		if a.GrantTo != "" {
			g.SendGrant(a)
			continue
		}
		if w := g.waiters[a.Job.ID]; w != nil {
			delete(g.waiters, a.Job.ID)
			w.action <- a
		}
	}
}

// enqueue submits a job to the scheduler. The decision comes on the waiter's channel.
func (g *Gate) enqueue(j *schedule.Job) *waiter {
	w := &waiter{job: j, action: make(chan schedule.Action, 1)}
	if g.arrive(w) {
		g.TriggerBroadcast()
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return w
}

// arrive hands a waiter's job to the scheduler and reports whether it waits.
func (g *Gate) arrive(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	w.job.ID = g.lastID
	g.waiters[w.job.ID] = w
	g.apply(g.sched.Arrive(w.job, time.Now()))
	return g.waiters[w.job.ID] != nil
}

// leaveQueue withdraws a job whose decision nobody waits for any more.
func (g *Gate) leaveQueue(w *waiter) {
	if !g.withdrawJob(w) {
		g.release(<-w.action) // the decision was made at the same time
	}
}

// withdrawJob takes a job out of the queue and reports whether it was still there.
func (g *Gate) withdrawJob(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[w.job.ID] == nil {
		return false
	}
	delete(g.waiters, w.job.ID)
	g.sched.Cancel(w.job)
	return true
}

// release frees the slot of a dispatch that was not used.
func (g *Gate) release(a schedule.Action) {
	if a.Upstream != nil {
		g.done(a, schedule.OutcomeNeutral)
	}
}

// done reports the outcome of a dispatch to the scheduler.
func (g *Gate) done(a schedule.Action, o schedule.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.sched.Done(a.Job.ID, o, time.Now()))
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(&call{gate: g, w: w, r: r, arrived: time.Now(), log: g.Log})
}

// loggedID returns the id of a request for the log.
func (g *Gate) loggedID(r *http.Request) string {
	id := r.Header.Get(g.Dialect.RequestID())
	return id[:min(len(id), maxLoggedID)]
}

func (g *Gate) serve(c *call) {
	c.log = c.log.WithValues("request", g.loggedID(c.r))
	c.w = &answerWriter{ResponseWriter: c.w, gate: g, call: &c.lifecycle}
	g.calls.add(c)
	defer g.finish(c)
	c.unboundWrite()
	if g.refusing.Load() {
		c.refuseUnread()
		return
	}
	if err := c.accept(); err != nil {
		c.refuse(err)
		return
	}
	g.Metrics.arrived(c.route)
	// Other entries take what this one does not, so a stop begins nothing that they relay.
	if g.ending.Err() != nil || c.from != "" && g.shutdown.Load() != nil {
		c.refuseAtStop("this entry stops")
		return
	}
	if c.from != "" && g.hearsNone() {
		c.respond(code.UpstreamUnreachable, 0, "this entry reaches no upstream either")
		return
	}
	c.run()
}
