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

// awaitDecision waits for the scheduler's decision on a request. It withdraws the
// request when ctx ends.
func (p *Path) awaitDecision(ctx context.Context, q *ward.Request) (ward.Upstream, error) {
	ctx, span := p.Trace.Start(ctx, "queue")
	defer span.End()
	p.mu.Lock()
	c := p.calls[q.ID]
	p.mu.Unlock()
	select {
	case a := <-c.decision:
		return p.resolve(q, a)
	case <-ctx.Done():
	}
	p.mu.Lock()
	err := p.withdraw(c)
	p.mu.Unlock()
	if err != nil {
		return ward.Upstream{}, err
	}
	return ward.Upstream{}, p.waitError(ctx)
}

// resolve converts a scheduler action to an upstream or a refusal.
func (p *Path) resolve(q *ward.Request, a scheduler.Action) (ward.Upstream, error) {
	if a.Kind == scheduler.Dispatch {
		p.hop(q, "dispatch", a.Upstream.Name+": "+a.Reason)
		return a.Upstream, nil
	}
	return ward.Upstream{}, &refusal.RetryAfterError{Err: a.Code.New("%s", a.Reason), RetryAfter: a.RetryAfter}
}

// withdraw cancels a queued request. If the scheduler decided at the same moment, a
// dispatch is released and a refusal is returned. It must be called with mu held.
func (p *Path) withdraw(c *call) error {
	now := p.Clock.Now()
	p.deliver(p.Scheduler.Cancel(now, c.q.ID))
	select {
	case a := <-c.decision:
		if a.Kind == scheduler.Refuse {
			return &refusal.RetryAfterError{Err: a.Code.New("%s", a.Reason), RetryAfter: a.RetryAfter}
		}
		p.release(c, a.Upstream, now)
	default:
	}
	return nil
}

// release ends a dispatch that was decided but never started. It must be called
// with mu held.
func (p *Path) release(c *call, u ward.Upstream, now time.Time) {
	c.dispatched = false
	p.deliver(p.Scheduler.End(now, c.q.ID, ward.Outcome{
		Request: c.q.ID, Upstream: u.Name, Version: u.Version, Cancelled: true, At: now,
	}))
}

// waitError returns the error of a request whose deadline passed or whose caller
// disconnected while it was queued.
func (p *Path) waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.DeadlinePassed.New("the deadline passed while the request waited")
	}
	return code.CallerGone.New("the caller left while the request waited")
}

// dispatchError returns the error of a dispatched request: that of its deadline or
// its caller if ctx has ended, or else err.
func (p *Path) dispatchError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.AnswerLate.Wrap(err, "the deadline passed")
	case ctx.Err() != nil:
		return code.CallerGone.Wrap(err, "the caller left")
	}
	return err
}
