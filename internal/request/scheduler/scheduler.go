// Package scheduler provides the decisions of the request path of one entry:
// which request waits, which goes to which upstream, and which is refused.
//
// It joins the small deciders of internal/request: the queue of each version,
// the budget and breaker of each upstream, the fleet-wide floors and the retry
// budgets. It does no I/O, starts no goroutine and reads no clock.
//
// # Usage
//
// The caller holds a lock around every call and carries out the actions in
// order after it:
//
//	s := scheduler.New(scheduler.Settings{Self: "entry-1"}, seed)
//	s.Configure(now, cfg)
//	for _, a := range s.Arrive(now, r) {
//		switch a.Kind {
//		case scheduler.Dispatch: // hand a.ID to a.Upstream, now or never
//		case scheduler.Refuse:   // answer a.ID with a.Code; it did not run
//		}
//	}
//
// A dispatched request is ended by exactly one call of End, also when its caller
// left. Tick is to be called about every 50 ms. A Request handed to Arrive must
// not change until it is ended or refused.
package scheduler

import (
	"math/rand/v2"
	"time"

	"agateward/internal/request/breaker"
	"agateward/internal/request/budget"
	"agateward/internal/request/floor"
	"agateward/internal/request/prefix"
	"agateward/internal/request/queue"
	"agateward/internal/request/retry"
	"agateward/internal/request/share"
	"agateward/internal/request/waste"
	"agateward/internal/result/code"
	"agateward/ward"
)

// defaultMaxWaiting is the number of requests that wait in one entry when
// Settings name none.
const defaultMaxWaiting = 20_000

// Settings are the fixed facts about an entry.
type Settings struct {
	// Self is the entry's name, DataCentre where it runs.
	Self       string
	DataCentre string
	// MaxWaiting bounds the requests that wait; 0 means 20000.
	MaxWaiting int
}

// ActionKind tells what is to be done with a request.
type ActionKind uint8

// Kinds of action.
const (
	// Dispatch hands the request to the upstream, at once and only once.
	Dispatch ActionKind = iota + 1
	// Refuse answers the request with the code: it did not run.
	Refuse
)

// Action is one decision about one request.
type Action struct {
	Kind ActionKind
	ID   string
	// Upstream is where a dispatch goes; FirstToken is when its first token is
	// expected, from the dispatch on.
	Upstream   ward.Upstream
	FirstToken time.Duration
	// Code, RetryAfter and Reason explain a refusal; Reason explains a dispatch
	// too.
	Code       code.Code
	RetryAfter time.Duration
	Reason     string
}

// Scheduler holds the waiting and running requests of one entry. Make it with
// New. It is used by one goroutine at a time.
type Scheduler struct {
	cfg       Settings
	rng       *rand.Rand
	revision  uint64
	upstreams map[string]*upstream
	routes    map[string]*route
	teams     map[string]*team
	pools     map[poolKey]*pool
	order     []*pool
	floors    map[string]*floor.Floor
	requests  map[string]*entry
	draining  map[string]bool
	delayed   []*entry
	held      []*entry
	waiting   int
	stopping  bool
	entries   int
	// dividedAt is the time of the last division, dividedFor the live entries then.
	dividedAt  time.Time
	dividedFor int
	peers      []ward.PeerState
	line       share.Line
	prefixes   prefix.Index
	numbers    []*upstream
	matched    []match
	preview    entry
	waste      waste.Counts
	actions    []Action
	// now is the time of the last Tick.
	now time.Time
}

type poolKey struct{ serves, version string }

// pool holds what waits for one version of a model or service.
type pool struct {
	key       poolKey
	queue     queue.Queue
	upstreams []*upstream
	// owned are the upstreams of which this entry has a part.
	owned []*upstream
	rates rates
}

// upstream is one replica as this entry sees it.
type upstream struct {
	// number stands for the upstream in the prefix index.
	number   int
	cfg      ward.Upstream
	budget   budget.Budget
	breaker  breaker.Breaker
	retries  retry.Budget
	report   ward.LoadReport
	draining bool
	// inFlight and prefill are this entry's, others those of its peers.
	inFlight      int
	prefill       int
	othersFlight  int
	othersPrefill int
	// pending are this entry's requests without a first token, in order, and
	// began is when the first of them was taken up.
	pending []*entry
	began   time.Time
	// othersRate sums up the rates that othersRates peers observed.
	othersRate  float64
	othersRates float64
}

type route struct {
	cfg   ward.Route
	split ward.Split
	// onNext counts the running requests on the split's next version.
	onNext int
}

type team struct {
	cfg     ward.Team
	retries retry.Budget
	tokens  float64
	filled  time.Time
	running int
}

// entry is one request that waits or runs.
type entry struct {
	item  queue.Item
	pool  *pool
	route *route
	team  *team
	// up is set while the request is dispatched.
	up     *upstream
	avoid  *upstream
	sent   time.Time
	first  time.Time
	seen   time.Time
	tokens int
	ahead  int
	// need is the number of prompt tokens that the upstream is expected to
	// compute.
	need   int
	onNext bool
	// retryAt is when a delayed request goes back to the queue, holdUntil when
	// a request that can't be served in time is shed at the latest.
	retryAt   time.Time
	holdUntil time.Time
}

// New returns a scheduler without a configuration; it refuses everything until
// Configure is called.
func New(cfg Settings, seed uint64) *Scheduler {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = defaultMaxWaiting
	}
	return &Scheduler{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(seed, 0x5bd1e995)),
		upstreams: make(map[string]*upstream),
		routes:    make(map[string]*route),
		teams:     make(map[string]*team),
		pools:     make(map[poolKey]*pool),
		floors:    make(map[string]*floor.Floor),
		requests:  make(map[string]*entry),
		draining:  make(map[string]bool),
		entries:   1,
	}
}

// Stop makes the scheduler refuse new requests; those that wait are still
// served.
func (s *Scheduler) Stop(time.Time) { s.stopping = true }

// SetDraining names the upstreams that get no new work; the names replace those of
// the call before.
func (s *Scheduler) SetDraining(now time.Time, names []string) {
	clear(s.draining)
	for _, name := range names {
		s.draining[name] = true
	}
	changed := false
	for name, u := range s.upstreams {
		changed = changed || u.draining != s.draining[name]
		u.draining = s.draining[name]
	}
	if changed {
		s.divide(now)
	}
}

// take returns the actions of the call that ends.
func (s *Scheduler) take() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// usable tells whether an upstream may get new work at all.
func (u *upstream) usable() bool {
	return !u.draining && !u.cfg.Leaving && !u.cfg.Removed && !u.report.Leaving
}
