// Package path runs the request path of an entry: it feeds the scheduler,
// carries out what it decides, and gives each request its answer.
//
// # Usage
//
//	p := path.New(path.Deps{Scheduler: s, Relay: relay, Runs: runs, ...})
//	go p.Run(ctx)           // lets the scheduler's time pass
//	a, err := p.Open(ctx, q) // waits, dispatches, and returns the answer
//	defer a.Close()
//
// All use of the scheduler goes through Do, which holds the one lock and
// delivers the actions.
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

// progressStep is the number of output tokens after which the scheduler is told
// of a stream's progress.
const progressStep = 32

// Deps are what a Path stands on.
type Deps struct {
	Scheduler *scheduler.Scheduler
	// Relay hands requests over; New sets its hooks.
	Relay *relay.Relay
	// Runs keeps the records of requests that are not idempotent.
	Runs *runs.Runs
	// Base ends when the entry dies. Work that outlives its caller ends with it.
	Base context.Context
	// Observe is told of each outcome, after the scheduler. Waste is told of
	// prompt tokens that were computed for nothing, and why; it may be nil.
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
	// open counts requests from Open to Close; idle is closed when the count
	// falls to 0 while the entry stops.
	open     int
	stopping bool
	idle     chan struct{}
	detached conc.WaitGroup
}

// call is a request that is in the hands of the scheduler.
type call struct {
	q   *ward.Request
	ctx context.Context
	// decided holds the scheduler's latest decision; it is taken by Open.
	decided chan scheduler.Action
	// dispatched says that a dispatch is under way that End must end.
	dispatched bool
	// tokens is the number of output tokens so far, told the number that the
	// scheduler knows of.
	tokens int
	told   int
}

// New returns the path.
func New(d Deps) *Path {
	p := &Path{Deps: d, calls: make(map[string]*call), idle: make(chan struct{})}
	p.Relay.Observe = p.end
	p.Relay.Progress = p.progress
	p.Relay.Next = p.again
	return p
}

// Run lets the scheduler's time pass until ctx ends.
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

// deliver hands each action to the request that waits for it. The lock is held.
func (p *Path) deliver(actions []scheduler.Action) {
	for _, a := range actions {
		c := p.calls[a.ID]
		if c == nil {
			continue
		}
		c.dispatched = a.Kind == scheduler.Dispatch
		c.decided <- a
	}
}

// Open gives the request to the scheduler, waits for its turn and dispatches
// it. An error is final and is returned as soon as it is known.
func (p *Path) Open(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	if err := p.enter(ctx, q); err != nil {
		return nil, err
	}
	if q.NonIdempotent {
		return p.once(ctx, q)
	}
	a, err := p.run(ctx, q)
	if err != nil {
		p.leave(q)
		return nil, err
	}
	return a, nil
}

// enter makes the request known and gives it to the scheduler.
func (p *Path) enter(ctx context.Context, q *ward.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[q.ID] != nil {
		return code.Internal.New("request id %s is in use", q.ID)
	}
	p.calls[q.ID] = &call{q: q, ctx: ctx, decided: make(chan scheduler.Action, 1)}
	p.open++
	p.deliver(p.Scheduler.Arrive(p.Clock.Now(), q))
	return nil
}

// leave forgets the request.
func (p *Path) leave(q *ward.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[q.ID] == nil {
		return
	}
	delete(p.calls, q.ID)
	p.open--
	if p.stopping && p.open == 0 {
		close(p.idle)
	}
}

// run waits for the request's turn and dispatches it, again as long as no
// connection was made and the scheduler finds it another turn.
func (p *Path) run(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	pass := permit.New(q.ID, time.Time{})
	for {
		u, err := p.turn(ctx, q)
		if err != nil {
			return nil, err
		}
		a, err := p.dispatch(ctx, pass, u, q)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, ward.ErrNotConnected) || ctx.Err() != nil {
			return nil, p.failed(ctx, err)
		}
	}
}

// dispatch hands the request to an upstream through the relay.
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

func (p *Path) hop(q *ward.Request, name, text string) {
	p.Explain.Add(q.ID, explain.Hop{At: p.Clock.Now(), Name: name, Text: text})
}

// Stop refuses new requests and returns when none is left, or ctx ends.
func (p *Path) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.Scheduler.Stop(p.Clock.Now())
	if !p.stopping {
		p.stopping = true
		if p.open == 0 {
			close(p.idle)
		}
	}
	p.mu.Unlock()
	select {
	case <-p.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the number of requests that are not ended.
func (p *Path) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
