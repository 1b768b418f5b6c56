// Package relay hands requests to upstreams and their answers back. It is the
// one place where a request reaches an upstream.
//
// Each dispatch spends a permit, which the request has once. It is given back
// only where the connection was never made, so that another upstream may be
// tried. A stream of an engine that is cut is continued from its offset at
// another replica of the same version: that hands over no request that ran, but
// asks for the rest of an answer, and only where the engine said that it can.
//
// # Usage
//
//	l := &relay.Relay{Engine: &engine.Engine{}, Service: &service.Service{}, Observe: learn}
//	a, err := l.Dispatch(ctx, permit.New(r.ID, time.Time{}), upstream, r)
//	if errors.Is(err, ward.ErrNotConnected) {
//		// the permit is unspent: choose another upstream
//	}
//	defer a.Close()
//	for {
//		chunk, err := a.Next(ctx)
//		...
//	}
//
// ctx governs the whole answer; a code as its cause (context.Cause) is what
// Next then fails with, such as code.GraceUsedUp. Observe is called once for
// each hand-over, when it has ended.
package relay

import (
	"context"
	"errors"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/permit"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// Defaults of a Relay.
const (
	// DefaultOverrun is the time past a request's deadline after which its answer
	// is cut.
	DefaultOverrun = 10 * time.Second
	// DefaultResumes bounds how often one stream is continued elsewhere.
	DefaultResumes = 3
)

// Relay hands requests over. Its fields are set before the first Dispatch.
type Relay struct {
	// Engine and Service reach the upstreams of each kind.
	Engine  ward.Backend
	Service ward.Backend
	// Clock is the machine's when nil.
	Clock ward.Clock
	// Log gets an event for each answer that was not whole. The zero value logs
	// nothing.
	Log logr.Logger
	// Observe is told how each hand-over ended.
	Observe func(r *ward.Request, o ward.Outcome)
	// Progress is told of output tokens as they come, the first ones included.
	Progress func(r *ward.Request, u ward.Upstream, tokens int)
	// Next names another upstream of the failed one's version on which a stream
	// may go on. nil means that streams are not resumed.
	Next func(r *ward.Request, failed ward.Upstream) (ward.Upstream, bool)
	// Overrun and Resumes take their defaults when 0.
	Overrun time.Duration
	Resumes int
	// Stats counts what was handed over and dropped.
	Stats Stats
}

// Dispatch hands r to u unless the permit is spent or has expired, and returns
// the answer once its head can be trusted to be that of r.
func (l *Relay) Dispatch(ctx context.Context, p *permit.Permit, u ward.Upstream, r *ward.Request) (ward.Answer, error) {
	if err := p.Spend(r.ID, l.now()); err != nil {
		return nil, refusal(err, r)
	}
	ctx, cancel := l.bound(ctx, r)
	a := &answer{relay: l, request: r, ctx: ctx, cancel: cancel}
	err := a.handOver(u)
	if err == nil {
		return a, nil
	}
	cancel()
	if errors.Is(err, ward.ErrNotConnected) {
		p.Return()
	}
	return nil, err
}

// refusal gives a permit's error its code. A permit that was spent before says
// nothing about what became of the request then.
func refusal(err error, r *ward.Request) error {
	if errors.Is(err, permit.ErrExpired) {
		return code.RecordsBusy.Wrap(err, "request %s", r.ID)
	}
	return code.OutcomeUnknown.Wrap(err, "request %s", r.ID)
}

// bound ends the answer some time after the request's deadline.
func (l *Relay) bound(ctx context.Context, r *ward.Request) (context.Context, context.CancelFunc) {
	if r.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	overrun := l.Overrun
	if overrun == 0 {
		overrun = DefaultOverrun
	}
	left := r.Deadline.Add(overrun).Sub(l.now())
	return context.WithTimeoutCause(ctx, left, code.AnswerLate.New("no whole answer %v after the deadline", overrun))
}

func (l *Relay) backend(kind ward.UpstreamKind) ward.Backend {
	if kind == ward.KindService {
		return l.Service
	}
	return l.Engine
}

func (l *Relay) now() time.Time {
	if l.Clock == nil {
		return ward.SystemClock{}.Now()
	}
	return l.Clock.Now()
}

func (l *Relay) resumes() int {
	if l.Resumes == 0 {
		return DefaultResumes
	}
	return l.Resumes
}
