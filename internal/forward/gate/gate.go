// Package gate serves the callers of the forwarding surface: it checks each
// request, waits for the scheduler's choice, sends the request and hands the
// answer on.
//
// # Usage
//
//	g := gate.New(gate.Gate{Dialect: d, View: v, Log: l, ...})
//	go g.Run(ctx)
//	http.Serve(listener, g)
//
// What may be repeated follows from the kind of the route. A refusal with 429 or
// 503 is given only when no upstream can have run the request; an unknown outcome
// is 502 or 504. An answer that ends early never looks complete.
package gate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/news"
	"agateward/internal/forward/quota"
	"agateward/internal/forward/repeat"
	"agateward/internal/forward/route"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/view"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// tickEvery is the interval at which waiting requests are looked at again.
const tickEvery = 15 * time.Millisecond

// notReadyRetry is the advice of an entry that knows no configuration yet.
const notReadyRetry = 500 * time.Millisecond

// startWait is how long a request waits for the first configuration of a process
// that has just started: the store usually answers within a few milliseconds.
const startWait = 250 * time.Millisecond

// Gate serves callers. Dialect, View, Pool and Log must be set.
type Gate struct {
	Dialect ward.Dialect
	View    *view.View
	Pool    *backend.Pool
	Log     logr.Logger
	Metrics *Metrics
	// MaxBody bounds a body in bytes where the configuration says nothing.
	MaxBody int
	// Yield tells a peer that it may use a slot of an upstream. It must not block.
	Yield func(a schedule.Action)
	// Urgent asks for news to be sent soon. It must not block.
	Urgent func()
	// Start is a number that no earlier process of this entry had.
	Start int64

	mu      sync.Mutex
	sched   schedule.Scheduler
	ledger  quota.Ledger
	budget  repeat.Budget
	waiters map[uint64]*waiter
	lastID  uint64

	stopping atomic.Bool
	wake     chan struct{}
}

// waiter is a request that waits for the scheduler's decision.
type waiter struct {
	job    *schedule.Job
	action chan schedule.Action
}

// Setup are the parts of a gate that come from the settings.
type Setup struct {
	Name       string
	DataCentre string
	Retries    repeat.Budget
	Quotas     quota.Ledger
}

// Prepare makes a gate ready to serve.
func (g *Gate) Prepare(s Setup) {
	g.sched = schedule.Scheduler{
		Name: s.Name, DataCentre: s.DataCentre,
		Start: uint64(g.Start),
		Rand:  rand.New(rand.NewPCG(uint64(g.Start), uint64(len(s.Name)))),
	}
	g.budget, g.ledger = s.Retries, s.Quotas
	g.waiters = make(map[uint64]*waiter)
	g.wake = make(chan struct{}, 1)
}

// Run looks after the waiting requests until ctx ends.
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
		g.mu.Lock()
		g.carryOut(g.sched.Tick(time.Now()))
		waiting := g.sched.Waiting()
		g.mu.Unlock()
		if waiting > 0 {
			t.Reset(tickEvery)
		}
	}
}

// Refresh takes the upstreams from the view.
func (g *Gate) Refresh() {
	list := g.View.Upstreams()
	inUse := make(map[string]bool, len(list))
	for _, r := range list {
		inUse[r.Address] = true
	}
	g.Pool.Retain(inUse)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOut(g.sched.SetUpstreams(list, time.Now()))
}

// Hear takes the news of a peer. entries is the number of entries known.
func (g *Gate) Hear(m news.Message, entries int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Entries, g.budget.Entries = entries, entries
	g.ledger.Hear(m.Name, m.Start, m.Quota, now)
	g.carryOut(g.sched.Hear(m.Name, m.Requests, now))
}

// Granted takes a slot that a peer gives away.
func (g *Gate) Granted(peer, upstream string, sequence uint64, used bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOut(g.sched.Granted(peer, upstream, sequence, used, time.Now()))
}

// Report fills in what peers are told.
func (g *Gate) Report(m *news.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Requests = g.sched.News(time.Now())
	m.Quota = g.ledger.Own()
	m.Requests.Leaving = g.stopping.Load()
}

// SetEntries tells how many entries share quotas and budgets.
func (g *Gate) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Entries, g.budget.Entries = n, n
}

// SetCell tells which part of the data centre's upstreams this entry uses.
func (g *Gate) SetCell(index, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.Cell, g.sched.Cells = index, count
}

// Stop marks every answer from now on as the last of its connection.
func (g *Gate) Stop() { g.stopping.Store(true) }

// carryOut hands the decisions to the requests that wait for them. The mutex is
// held.
func (g *Gate) carryOut(actions []schedule.Action) {
	for _, a := range actions {
		if a.Yield != "" {
			g.Yield(a)
			continue
		}
		if w := g.waiters[a.Job.ID]; w != nil {
			delete(g.waiters, a.Job.ID)
			w.action <- a
		}
	}
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gate: g, w: w, r: r, arrived: time.Now()}
	c.log = g.Log
	if err := c.accept(); err != nil {
		c.refuse(err)
		return
	}
	g.Metrics.arrived(c.route)
	c.run()
}

// call is one request of a caller.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	log     logr.Logger
	arrived time.Time

	table   *route.Table
	head    ward.ForwardHead
	route   *ward.ForwardRoute
	team    *ward.ForwardTeam
	service string
	body    []byte
	size    float64
	// deadline is the end of the caller's time or of the route's, zero for none.
	deadline time.Time

	// sends counts the upstreams that the request may have reached, misses the
	// attempts on which nothing was sent.
	sends, misses int
	// mayHaveRun says that an upstream may have run the request.
	mayHaveRun bool
	tried      []string
	// begun says that a part of the answer is with the caller. lastEvent is the
	// last event that it has.
	begun     bool
	lastEvent int64
	// fallback is a whole failure of an upstream, given when no other attempt
	// does better.
	fallback *whole
}

var errBodyCut = errors.New("the request's body was cut")

// accept checks the request and reads its body.
func (c *call) accept() error {
	var err error
	if !c.gate.View.Await(c.r.Context(), startWait) {
		return code.NotReady.New("no configuration is known yet")
	}
	c.table = c.gate.View.Table()
	if c.head, err = c.gate.Dialect.Head(c.r.Header); err != nil {
		return code.BadHeader.Wrap(err, "read the head")
	}
	c.lastEvent = c.head.LastEvent
	c.log = c.log.WithValues("request", c.head.ID)
	if c.route = c.table.Route(c.r.Host, c.r.URL.Path); c.route == nil {
		return code.UnknownRoute.New("host %q, path %q at version %d", c.r.Host, c.r.URL.Path, c.table.Config.Version)
	}
	if c.table.NeedsKey(c.route) {
		team, ok := c.table.Team(c.head.Key)
		if !ok {
			return code.BadTeamKey.New("no team holds the key at version %d", c.table.Config.Version)
		}
		c.team = team
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.setDeadline()
	c.service = c.table.Service(c.route, rand.Float64())
	return c.takeQuota()
}

func (c *call) readBody() error {
	limit := c.table.Config.Limits.MaxBody
	if limit == 0 {
		limit = c.gate.MaxBody
	}
	if c.r.ContentLength > int64(limit) {
		return code.BodyTooLarge.New("%d bytes, limit %d", c.r.ContentLength, limit)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, int64(limit)+1))
	}
	if err != nil {
		return errBodyCut
	}
	if len(c.body) > limit {
		return code.BodyTooLarge.New("more than %d bytes", limit)
	}
	return nil
}

func (c *call) setDeadline() {
	left := c.head.Patience
	if t := c.route.Timeout.Std(); t > 0 && (left == 0 || t < left) {
		left = t
	}
	if left > 0 {
		c.deadline = c.arrived.Add(left)
	}
}

// takeQuota counts the request against its team's quota.
func (c *call) takeQuota() error {
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Request(c.service, now)
	if c.team == nil {
		return nil
	}
	c.size = 1
	if c.team.Tokens {
		c.size = c.team.PlainTokens
		if c.head.HasTokens {
			c.size = float64(c.head.PromptTokens + c.head.MaxOutput)
		}
	}
	r := quota.Request{Size: c.size, Plain: !c.head.HasTokens, Rank: c.route.Rank, Idle: c.gate.sched.Idle(c.service)}
	if wait, ok := c.gate.ledger.Take(c.team, r, now); !ok {
		return &quotaError{wait: wait, team: c.team.Name}
	}
	return nil
}

// quotaError says that a team has used up its quota.
type quotaError struct {
	team string
	wait time.Duration
}

func (e *quotaError) Error() string { return "quota of team " + e.team + " is used up" }

// refuse answers a request that no upstream was given.
func (c *call) refuse(err error) {
	if errors.Is(err, errBodyCut) {
		c.log.Info("request-aborted", "cause", err.Error())
		panic(http.ErrAbortHandler)
	}
	k, retry := code.Of(err), time.Duration(0)
	var q *quotaError
	if errors.As(err, &q) {
		k, retry = code.TeamLimit, min(max(q.wait, 200*time.Millisecond), 4*time.Second)
	}
	if k.Number == code.NotReady.Number {
		retry = notReadyRetry
	}
	c.final(k, retry, err.Error())
}

// final answers with a status of this entry's own.
func (c *call) final(k code.Code, retry time.Duration, why string) {
	c.log.Info("request-refused", "code", k.Number, "status", k.Status, "cause", why, "retry-after", retry,
		"elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.refused(k.Number)
	h := c.w.Header()
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	if id := c.head.ID; id != "" {
		h.Set(c.gate.Dialect.RequestID(), id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(k.Status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = io.WriteString(c.w, k.String()+"\n")
}
