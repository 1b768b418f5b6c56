package path

import (
	"context"
	"errors"
	"time"

	"agateward/internal/entry/runs"
	"agateward/internal/result/code"
	"agateward/ward"
)

// lookupTimeout bounds the lookup of the idempotency key of a refused request.
const lookupTimeout = 500 * time.Millisecond

// result is the complete answer of a request, or its error.
type result struct {
	answer runs.Answer
	err    error
}

// openNonIdempotent runs a non-idempotent request. While the request is queued, it
// is cancelled with its caller. Once it has an upstream, it runs to completion even
// if the caller disconnects, so that its outcome is recorded for a retry with the
// same key.
func (p *Path) openNonIdempotent(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	u, err := p.awaitDecision(ctx, q)
	if err != nil {
		p.unregister(q)
		return p.replayOrRefuse(ctx, q, err)
	}
	done := make(chan result, 1)
	p.detached.Go(func() {
		defer p.unregister(q)
		dctx, cancel := p.detach(ctx)
		defer cancel()
		a, err := p.claimAndRun(dctx, q, u)
		done <- result{a, err}
	})
	select {
	case w := <-done:
		if w.err != nil {
			return nil, w.err
		}
		return &completeAnswer{w.answer}, nil
	case <-ctx.Done():
		return nil, p.dispatchError(ctx, ctx.Err())
	}
}

// replayOrRefuse returns what is known about the idempotency key of a request that
// was refused in the queue.
func (p *Path) replayOrRefuse(ctx context.Context, q *ward.Request, refused error) (ward.Answer, error) {
	d, err := p.lookup(ctx, q, refused)
	if err != nil {
		return nil, err
	}
	p.hop(q, "replay", "the key ran before: its recorded answer is given")
	return &completeAnswer{*d.Answer}, nil
}

// lookup looks up the idempotency key of a request that is refused without a verdict
// on its key. A retry of a key that has run gets the recorded answer, or an error that
// does not claim that it was not run. Any other request gets refused.
func (p *Path) lookup(ctx context.Context, q *ward.Request, refused error) (runs.Decision, error) {
	// The request's deadline may have passed, so the lookup has its own timeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	d, err := p.Runs.Lookup(ctx, q)
	if err == nil && d.Answer == nil {
		err = refused
	}
	return d, err
}

// detach returns a context that is cancelled with the entry and not with the
// caller.
func (p *Path) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(p.Base, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// claimAndRun claims the request's idempotency key and runs the request, or returns
// the answer that is recorded under the key.
func (p *Path) claimAndRun(ctx context.Context, q *ward.Request, u ward.Upstream) (runs.Answer, error) {
	cctx, span := p.Trace.Start(ctx, "store")
	cctx, cancel := context.WithDeadline(cctx, q.Deadline)
	d, err := p.Runs.Begin(cctx, q, u)
	cancel()
	span.End()
	if err != nil || d.Answer != nil {
		p.releaseUnused(q, u)
	}
	if code.DeadlinePassed.Is(err) {
		d, err = p.lookup(ctx, q, err)
	}
	if err != nil {
		return runs.Answer{}, err
	}
	if d.Answer != nil {
		p.hop(q, "replay", "the key ran before: its recorded answer is given")
		return *d.Answer, nil
	}
	a, err := p.dispatchUntilConnected(ctx, q, d, u)
	switch {
	case err == nil:
		p.Runs.Finish(q, a)
	case runs.IsRefusal(err):
		p.Runs.NotRun(q)
	default:
		p.Runs.Lost(q)
	}
	return a, err
}

// dispatchUntilConnected dispatches the request, repeats this while no connection
// is made, and reads the complete answer.
func (p *Path) dispatchUntilConnected(ctx context.Context, q *ward.Request, d runs.Decision, u ward.Upstream) (runs.Answer, error) {
	for {
		a, err := p.dispatch(ctx, d.Permit, u, q)
		if err == nil {
			return p.readAll(ctx, a)
		}
		if !errors.Is(err, ward.ErrNotConnected) || ctx.Err() != nil {
			return runs.Answer{}, p.dispatchError(ctx, err)
		}
		wait, cancel := context.WithDeadline(ctx, q.Deadline)
		u, err = p.awaitDecision(wait, q)
		cancel()
		if err != nil {
			return runs.Answer{}, err
		}
		if err := d.Allows(u); err != nil {
			p.releaseUnused(q, u)
			return runs.Answer{}, err
		}
	}
}

// releaseUnused ends a dispatch that was decided but never started.
func (p *Path) releaseUnused(q *ward.Request, u ward.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(p.calls[q.ID], u, p.Clock.Now())
}

// readAll reads an answer to its end. The adapter bounds its size.
func (p *Path) readAll(ctx context.Context, a ward.Answer) (runs.Answer, error) {
	defer a.Close()
	var out runs.Answer
	for {
		c, err := a.Next(ctx)
		if err != nil {
			return runs.Answer{}, p.dispatchError(ctx, err)
		}
		if c.Status != 0 {
			out.Status = c.Status
			out.Header = c.Header
		}
		out.Body = append(out.Body, c.Data...)
		if c.Last {
			return out, nil
		}
	}
}

// completeAnswer is an answer that has been received in full.
type completeAnswer struct {
	answer runs.Answer
}

// Next returns the complete answer as one chunk.
func (a *completeAnswer) Next(context.Context) (ward.Chunk, error) {
	return ward.Chunk{Status: a.answer.Status, Header: a.answer.Header, Data: a.answer.Body, Last: true}, nil
}

// Close does nothing.
func (a *completeAnswer) Close() error { return nil }

// Wait waits for the requests that continue after their callers have disconnected.
// Stop counts these too.
func (p *Path) Wait() { p.detached.Wait() }

// flushTimeout bounds the wait for records that are not written yet.
const flushTimeout = 5 * time.Second

// Flush writes the outcomes that are not recorded yet, and returns the number that
// could not be written.
func (p *Path) Flush(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	return p.Runs.Flush(ctx)
}
