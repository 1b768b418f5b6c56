package path

import (
	"context"
	"errors"
	"time"

	"agateward/internal/caller/refusal"
	"agateward/internal/request/scheduler"
	"agateward/internal/result/code"
	"agateward/ward"
)

// turn waits for the scheduler's decision.
func (p *Path) turn(ctx context.Context, q *ward.Request) (ward.Upstream, error) {
	ctx, span := p.Trace.Start(ctx, "queue")
	defer span.End()
	p.mu.Lock()
	c := p.calls[q.ID]
	p.mu.Unlock()
	select {
	case a := <-c.decided:
		return p.decision(q, a)
	case <-ctx.Done():
	}
	if err := p.withdraw(q, c); err != nil {
		return ward.Upstream{}, err
	}
	return ward.Upstream{}, p.gone(ctx)
}

// decision turns an action into an upstream or a refusal.
func (p *Path) decision(q *ward.Request, a scheduler.Action) (ward.Upstream, error) {
	if a.Kind == scheduler.Dispatch {
		p.hop(q, "dispatch", a.Upstream.Name+": "+a.Reason)
		return a.Upstream, nil
	}
	return ward.Upstream{}, &refusal.Delayed{Err: a.Code.New("%s", a.Reason), RetryAfter: a.RetryAfter}
}

// withdraw takes a waiting request back. A dispatch that was decided at the
// same moment never began; a refusal stands.
func (p *Path) withdraw(q *ward.Request, c *call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.deliver(p.Scheduler.Cancel(now, q.ID))
	select {
	case a := <-c.decided:
		if a.Kind == scheduler.Refuse {
			return &refusal.Delayed{Err: a.Code.New("%s", a.Reason), RetryAfter: a.RetryAfter}
		}
		p.release(c, a.Upstream, now)
	default:
	}
	return nil
}

// release ends a dispatch that never began. The lock is held.
func (p *Path) release(c *call, u ward.Upstream, now time.Time) {
	c.dispatched = false
	p.deliver(p.Scheduler.End(now, c.q.ID, ward.Outcome{
		Request: c.q.ID, Upstream: u.Name, Version: u.Version, Cancelled: true, At: now,
	}))
}

// gone is the error of a request whose time or caller ended while it waited.
func (p *Path) gone(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.DeadlinePassed.New("the deadline passed while the request waited")
	}
	return code.CallerGone.New("the caller left while the request waited")
}

// failed is the error of a request that was dispatched.
func (p *Path) failed(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.AnswerLate.Wrap(err, "the deadline passed")
	case ctx.Err() != nil:
		return code.CallerGone.Wrap(err, "the caller left")
	}
	return err
}
