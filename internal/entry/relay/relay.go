// Package relay dispatches requests to upstreams and relays their answers. All
// requests to upstreams go through it.
//
// Each dispatch spends the request's single permit. The permit is returned only if
// no connection was made, so that another upstream can be tried. An interrupted
// stream of an engine is resumed from its offset at another replica of the same
// version. This doesn't run the request a second time, but requests the rest of its
// answer, and only if the engine has announced that it supports this.
//
// # Usage
//
//	l := &relay.Relay{Engine: &engine.Engine{}, Service: &service.Service{}, Observe: learn}
//	a, err := l.Dispatch(ctx, permit.New(r.ID, time.Time{}), upstream, r)
//	if errors.Is(err, ward.ErrNotConnected) {
//		// the permit can be used again with another upstream
//	}
//	defer a.Close()
//	for {
//		chunk, err := a.Next(ctx)
//		...
//	}
//
// ctx applies to the answer as a whole. If its cause (context.Cause) is a code, such as
// code.GraceUsedUp, Next fails with it. Observe is called once for each dispatch,
// when it has ended.
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
	// DefaultOverrun is the time after a request's deadline at which its answer is
	// cancelled.
	DefaultOverrun = 10 * time.Second
	// DefaultMaxResumes bounds the number of times that one stream is resumed.
	DefaultMaxResumes = 3
)

// Relay dispatches requests. Its fields are set before the first Dispatch.
type Relay struct {
	// Engine and Service are the adapters for the two kinds of upstream.
	Engine  ward.Backend
	Service ward.Backend
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
	// Log receives an event for each incomplete answer. The zero value logs nothing.
	Log logr.Logger
	// Observe is called with the outcome of each dispatch; nil is allowed.
	Observe func(r *ward.Request, o ward.Outcome)
	// Progress is called with the number of output tokens of each chunk, starting
	// with the first; nil is allowed.
	Progress func(r *ward.Request, u ward.Upstream, tokens int)
	// NextUpstream returns another upstream of the same version at which an
	// interrupted stream can be resumed. nil means that streams are not resumed.
	NextUpstream func(r *ward.Request, failed ward.Upstream) (ward.Upstream, bool)
	// Overrun is DefaultOverrun when 0, MaxResumes DefaultMaxResumes.
	Overrun    time.Duration
	MaxResumes int
	// Stats counts dispatches and their results.
	Stats Stats
}

// Dispatch sends r to u unless the permit is spent or has expired. It returns the
// answer once its head has been verified to belong to r.
func (l *Relay) Dispatch(ctx context.Context, p *permit.Permit, u ward.Upstream, r *ward.Request) (ward.Answer, error) {
	if err := p.Spend(r.ID, l.now()); err != nil {
		return nil, permitError(err, r)
	}
	ctx, cancel := l.withDeadline(ctx, r)
	a := &answer{relay: l, request: r, ctx: ctx, cancel: cancel}
	err := a.dispatch(u)
	if err == nil {
		return a, nil
	}
	cancel()
	if errors.Is(err, ward.ErrNotConnected) {
		p.Return()
	}
	return nil, err
}

// permitError adds a code to the error of a permit. A permit that is already spent
// doesn't show how the request ended, so its outcome is unknown.
func permitError(err error, r *ward.Request) error {
	if errors.Is(err, permit.ErrExpired) {
		return code.RecordsBusy.Wrap(err, "request %s", r.ID)
	}
	return code.OutcomeUnknown.Wrap(err, "request %s", r.ID)
}

// withDeadline returns a context that ends Overrun after the request's deadline.
func (l *Relay) withDeadline(ctx context.Context, r *ward.Request) (context.Context, context.CancelFunc) {
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

func (l *Relay) maxResumes() int {
	if l.MaxResumes == 0 {
		return DefaultMaxResumes
	}
	return l.MaxResumes
}
