// Package path runs the request path of an entry: it passes requests to the
// scheduler, dispatches them as the scheduler decides, and returns their answers.
//
// # Usage
//
//	p := path.New(path.Deps{Scheduler: s, Relay: relay, Runs: runs, ...})
//	go p.Run(ctx)            // ticks the scheduler
//	a, err := p.Open(ctx, q) // queues and dispatches q and returns its answer
//	defer a.Close()
//
// The scheduler isn't safe for concurrent use: callers reach it through Do, which
// holds the lock and delivers the resulting actions.
package path

import (
	"context"
	"errors"
	"sync"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/entry/runs"
	"agateward/internal/request/scheduler"
	"agateward/internal/result/code"
	"agateward/internal/run/permit"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
)

// tickInterval is the time between two ticks of the scheduler.
const tickInterval = 50 * time.Millisecond

// progressStepTokens is the number of output tokens between two progress reports of
// a stream to the scheduler.
const progressStepTokens = 32

// Deps are the dependencies of a Path.
type Deps struct {
	Scheduler *scheduler.Scheduler
	// Relay dispatches requests; New sets its hooks.
	Relay *relay.Relay
	// Runs keeps the idempotency records of non-idempotent requests.
	Runs *runs.Runs
	// Base is cancelled when the entry ends, and with it the requests that continue
	// after their callers have disconnected.
	Base context.Context
	// Observe is called with each outcome, after the scheduler. Waste is called with
	// the number of prompt tokens of a wasted prefill and the cause. Both may be nil.
	Observe func(o ward.Outcome)
	Waste   func(cause string, tokens int)
	Clock   ward.Clock
	Log     logr.Logger
	Trace   *trace.Tracer
	Explain *explain.Log
}

// Path is the request path of one entry.
type Path struct {
	Deps

	mu    sync.Mutex
	calls map[string]*call
	// open counts requests between Open and Close. idle is closed when it first is 0
	// while the entry is stopping; requests that are refused later are counted too.
	open     int
	stopping bool
	idle     chan struct{}
	idleOnce sync.Once
	detached conc.WaitGroup
}

// call is a request that is registered with the scheduler.
type call struct {
	q   *ward.Request
	ctx context.Context
	// decision holds the scheduler's latest decision until awaitDecision reads it.
	decision chan scheduler.Action
	// dispatched is set during a dispatch that Scheduler.End has yet to be called for.
	dispatched bool
	// retrying is set after a dispatch without a connection, for which the scheduler
	// finds another upstream or refuses the request by itself.
	retrying bool
	// tokens is the number of output tokens so far, reported the number last reported
	// to the scheduler.
	tokens   int
	reported int
}

// New returns a path and sets the hooks of its relay.
func New(d Deps) *Path {
	p := &Path{Deps: d, calls: make(map[string]*call), idle: make(chan struct{})}
	p.Relay.Observe = p.endDispatch
	p.Relay.Progress = p.progress
	p.Relay.NextUpstream = p.resume
	return p
}

// Run ticks the scheduler until ctx ends.
func (p *Path) Run(ctx context.Context) error {
	for p.Clock.Sleep(ctx, tickInterval) == nil {
		p.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action { return s.Tick(now) })
	}
	return nil
}

// Do calls f with the scheduler under the lock and delivers the actions.
func (p *Path) Do(f func(s *scheduler.Scheduler, now time.Time) []scheduler.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(f(p.Scheduler, p.Clock.Now()))
}

// State returns the scheduler's state.
func (p *Path) State() scheduler.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Scheduler.State()
}

// deliver sends each action to the request that waits for it. It must be called
// with mu held.
func (p *Path) deliver(actions []scheduler.Action) {
	for _, a := range actions {
		c := p.calls[a.ID]
		if c == nil {
			continue
		}
		c.dispatched = a.Kind == scheduler.Dispatch
		c.decision <- a
	}
}

// Open queues the request, waits for the scheduler's decision and dispatches the
// request. An error is final and is returned as soon as it is known.
func (p *Path) Open(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	if err := p.register(ctx, q); err != nil {
		return nil, err
	}
	if q.NonIdempotent {
		return p.openNonIdempotent(ctx, q)
	}
	a, err := p.run(ctx, q)
	if err != nil {
		p.unregister(q)
		return nil, err
	}
	return a, nil
}

// register adds the request and passes it to the scheduler. It fails when the
// request's ID is in use.
func (p *Path) register(ctx context.Context, q *ward.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[q.ID] != nil {
		return code.Internal.New("request id %s is in use", q.ID)
	}
	p.calls[q.ID] = &call{q: q, ctx: ctx, decision: make(chan scheduler.Action, 1)}
	p.open++
	p.deliver(p.Scheduler.Arrive(p.Clock.Now(), q))
	return nil
}

// unregister removes the request, if it is registered, and withdraws it from the
// scheduler.
func (p *Path) unregister(q *ward.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[q.ID]
	if c == nil {
		return
	}
	_ = p.withdraw(c)
	delete(p.calls, q.ID)
	p.open--
	p.checkIdle()
}

// checkIdle closes idle if the entry is stopping and no request is open. It must be called
// with mu held.
func (p *Path) checkIdle() {
	if p.stopping && p.open == 0 {
		p.idleOnce.Do(func() { close(p.idle) })
	}
}

// run waits for the scheduler's decision and dispatches the request. It repeats
// this while no connection is made and the scheduler finds another upstream.
func (p *Path) run(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	pass := permit.New(q.ID, time.Time{})
	for {
		u, err := p.awaitDecision(ctx, q)
		if err != nil {
			return nil, err
		}
		a, err := p.dispatch(ctx, pass, u, q)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, ward.ErrNotConnected) || ctx.Err() != nil {
			return nil, p.dispatchError(ctx, err)
		}
	}
}

// dispatch sends the request to an upstream through the relay.
func (p *Path) dispatch(ctx context.Context, pass *permit.Permit, u ward.Upstream, q *ward.Request) (ward.Answer, error) {
	ctx, span := p.Trace.Start(ctx, "upstream", attribute.String("upstream", u.Name), attribute.String("version", u.Version))
	p.Trace.Inject(ctx, q.Header)
	a, err := p.Relay.Dispatch(ctx, pass, u, q)
	if err == nil {
		return &answer{Answer: a, path: p, q: q, span: span}, nil
	}
	span.End()
	if errors.Is(err, ward.ErrNotConnected) {
		p.hop(q, "not-connected", u.Name+": "+code.Text(err))
	}
	return nil, err
}

// hop adds a hop to the request's explanation.
func (p *Path) hop(q *ward.Request, name, text string) {
	p.Explain.Add(q.ID, explain.Hop{At: p.Clock.Now(), Name: name, Text: text})
}

// Stop refuses new requests and returns when none is open or ctx ends.
func (p *Path) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.Scheduler.Stop(p.Clock.Now())
	p.stopping = true
	p.checkIdle()
	p.mu.Unlock()
	select {
	case <-p.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the number of open requests.
func (p *Path) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
