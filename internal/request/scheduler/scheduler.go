// Package scheduler decides for the request path of one entry which requests
// wait, which upstream each one is dispatched to, and which are refused.
//
// It combines the packages of internal/request: the queue of each version, the
// budget and breaker of each upstream, the fleet-wide floors and the retry
// budgets. It does no I/O, starts no goroutine and reads no clock.
//
// # Usage
//
// The caller serializes all calls with a lock and carries out the returned
// actions in order:
//
//	s := scheduler.New(scheduler.Settings{Self: "entry-1"}, seed)
//	s.Configure(now, cfg)
//	for _, a := range s.Arrive(now, r) {
//		switch a.Kind {
//		case scheduler.Dispatch: // send a.ID to a.Upstream, at once and only once
//		case scheduler.Refuse:   // answer a.ID with a.Code; it did not run
//		}
//	}
//
// Each dispatched request needs exactly one call of End, also when its caller
// left. Tick is called about every 50 ms. A Request passed to Arrive must not
// change until it is ended or refused.
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

// defaultMaxWaiting is the limit of waiting requests when Settings.MaxWaiting
// is 0.
const defaultMaxWaiting = 20_000

// Settings are the fixed properties of an entry.
type Settings struct {
	// Self is the entry's name, DataCentre where it runs.
	Self       string
	DataCentre string
	// MaxWaiting bounds the number of waiting requests; 0 means 20000.
	MaxWaiting int
}

// ActionKind is what to do with a request.
type ActionKind uint8

// Kinds of action.
const (
	// Dispatch sends the request to the upstream, at once and only once.
	Dispatch ActionKind = iota + 1
	// Refuse answers the request with the code: it did not run.
	Refuse
)

// Action is one decision about one request.
type Action struct {
	Kind ActionKind
	ID   string
	// Upstream is the target of a dispatch; FirstToken is the expected time from
	// the dispatch to the first token.
	Upstream   ward.Upstream
	FirstToken time.Duration
	// Code, RetryAfter and Reason explain a refusal; Reason also explains a
	// dispatch.
	Code       code.Code
	RetryAfter time.Duration
	Reason     string
}

// Scheduler holds the waiting and running requests of one entry. Create it with
// New. It is not safe for concurrent use.
type Scheduler struct {
	cfg          Settings
	rng          *rand.Rand
	revision     uint64
	upstreams    map[string]*upstream
	routes       map[string]*route
	teams        map[string]*team
	pools        map[poolKey]*pool
	orderedPools []*pool
	floors       map[string]*floor.Floor
	requests     map[string]*requestState
	draining     map[string]bool
	delayed      []*requestState
	held         []*requestState
	waiting      int
	stopping     bool
	liveEntries  int
	// dividedAt is the time of the last division of all upstreams,
	// dividedEntries the number of live entries at that time.
	dividedAt      time.Time
	dividedEntries int
	peers          []ward.PeerState
	partition      share.Partition
	prefixes       prefix.Index
	byNumber       []*upstream
	matched        []match
	preview        requestState
	waste          waste.Counts
	actions        []Action
	// now is the time of the last Tick.
	now time.Time
}

type poolKey struct{ serves, version string }

// pool holds the upstreams of one version of a model or service, and the
// requests that wait for it.
type pool struct {
	key       poolKey
	queue     queue.Queue
	upstreams []*upstream
	// owned are the upstreams of which this entry has a share.
	owned []*upstream
	rates rates
}

// upstream is this entry's view of one upstream.
type upstream struct {
	// number identifies the upstream in the prefix index.
	number   int
	cfg      ward.Upstream
	budget   budget.Budget
	breaker  breaker.Breaker
	retries  retry.Budget
	report   ward.LoadReport
	draining bool
	// inFlight counts requests and prefill counts prompt tokens that wait for
	// their prefill. They are this entry's; peerInFlight and peerPrefill are the
	// sums of its peers.
	inFlight     int
	prefill      int
	peerInFlight int
	peerPrefill  int
	// prefilling are this entry's requests without a first token, in the order of
	// dispatch; prefillStart is when the prefill of the first one began.
	prefilling   []*requestState
	prefillStart time.Time
	// peerRateSum is the sum of the prefill rates observed by peerRateCount peers.
	peerRateSum   float64
	peerRateCount float64
}

type route struct {
	cfg   ward.Route
	split ward.Split
	// onNext is the number of running requests on the split's next version.
	onNext int
}

type team struct {
	cfg        ward.Team
	retries    retry.Budget
	tokens     float64
	refilledAt time.Time
	running    int
}

// requestState is the state of a request that waits or runs.
type requestState struct {
	item  queue.Item
	pool  *pool
	route *route
	team  *team
	// upstream is set while the request runs. avoid is the upstream of the last
	// failed connection.
	upstream       *upstream
	avoid          *upstream
	dispatchedAt   time.Time
	firstTokenAt   time.Time
	lastProgressAt time.Time
	outputTokens   int
	prefillAhead   int
	// prefillTokens is the number of prompt tokens that the upstream is expected
	// to compute; prefillAhead also counts those that waited there before it.
	prefillTokens int
	onNext        bool
	// retryAt is when a delayed request returns to the queue. holdUntil is the
	// latest time at which a request that can't be served in time is shed.
	retryAt   time.Time
	holdUntil time.Time
}

// New returns a scheduler without a configuration. It refuses all requests
// until Configure is called.
func New(cfg Settings, seed uint64) *Scheduler {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = defaultMaxWaiting
	}
	return &Scheduler{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(seed, 0x5bd1e995)),
		upstreams:   make(map[string]*upstream),
		routes:      make(map[string]*route),
		teams:       make(map[string]*team),
		pools:       make(map[poolKey]*pool),
		floors:      make(map[string]*floor.Floor),
		requests:    make(map[string]*requestState),
		draining:    make(map[string]bool),
		liveEntries: 1,
	}
}

// Stop makes the scheduler refuse new requests. Waiting requests are still
// served.
func (s *Scheduler) Stop(time.Time) { s.stopping = true }

// SetDraining sets the upstreams that get no new work. It replaces the names of
// the previous call.
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

// takeActions returns and clears the actions collected by the current call.
func (s *Scheduler) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// usable reports whether an upstream may get new work.
func (u *upstream) usable() bool {
	return !u.draining && !u.cfg.Leaving && !u.cfg.Removed && !u.report.Leaving
}
