package path

import (
	"context"
	"errors"
	"time"

	"agateward/internal/entry/runs"
	"agateward/internal/run/permit"
	"agateward/ward"
)

// lookupTimeout bounds the look for the key of a request that is refused.
const lookupTimeout = 500 * time.Millisecond

// whole is the whole answer of a request, or its error.
type whole struct {
	answer runs.Answer
	err    error
}

// once runs a request that is not idempotent. It waits for its turn as long as
// its caller does; from then on it runs to its end, whether the caller stays or
// not, so that its outcome is recorded for a repeat of the key.
func (p *Path) once(ctx context.Context, q *ward.Request) (ward.Answer, error) {
	u, err := p.turn(ctx, q)
	if err != nil {
		p.leave(q)
		return p.refused(ctx, q, err)
	}
	done := make(chan whole, 1)
	p.detached.Go(func() {
		defer p.leave(q)
		dctx, cancel := p.detach(ctx)
		defer cancel()
		a, err := p.begin(dctx, q, u)
		done <- whole{a, err}
	})
	select {
	case w := <-done:
		if w.err != nil {
			return nil, w.err
		}
		return &held{w.answer}, nil
	case <-ctx.Done():
		return nil, p.failed(ctx, ctx.Err())
	}
}

// refused gives a request that got no turn what is known of its key: a repeat of
// a key that ran must not be told that it did not run.
func (p *Path) refused(ctx context.Context, q *ward.Request, err error) (ward.Answer, error) {
	// The request's own time may be over; the look at the store has its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	d, known := p.Runs.Lookup(ctx, q)
	switch {
	case known != nil:
		return nil, known
	case d.Answer != nil:
		p.hop(q, "replay", "the key ran before: its recorded answer is given")
		return &held{*d.Answer}, nil
	}
	return nil, err
}

// detach returns a context that ends with the entry and not with the caller.
func (p *Path) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(p.Base, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// begin claims the request's key and runs the request, or gives the answer that
// is recorded under it.
func (p *Path) begin(ctx context.Context, q *ward.Request, u ward.Upstream) (runs.Answer, error) {
	cctx, span := p.Trace.Start(ctx, "store")
	cctx, cancel := context.WithDeadline(cctx, q.Deadline)
	d, err := p.Runs.Begin(cctx, q, u)
	cancel()
	span.End()
	if err != nil || d.Answer != nil {
		p.mu.Lock()
		p.release(p.calls[q.ID], u, p.Clock.Now())
		p.mu.Unlock()
	}
	if err != nil {
		return runs.Answer{}, err
	}
	if d.Answer != nil {
		p.hop(q, "replay", "the key ran before: its recorded answer is given")
		return *d.Answer, nil
	}
	a, err := p.handOver(ctx, q, d.Permit, u)
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

// handOver dispatches the request, again as long as no connection was made, and
// reads its whole answer.
func (p *Path) handOver(ctx context.Context, q *ward.Request, pass *permit.Permit, u ward.Upstream) (runs.Answer, error) {
	for {
		a, err := p.dispatch(ctx, pass, u, q)
		if err == nil {
			return p.collect(ctx, a)
		}
		if !errors.Is(err, ward.ErrNotConnected) || ctx.Err() != nil {
			return runs.Answer{}, p.failed(ctx, err)
		}
		wait, cancel := context.WithDeadline(ctx, q.Deadline)
		u, err = p.turn(wait, q)
		cancel()
		if err != nil {
			return runs.Answer{}, err
		}
	}
}

// collect reads an answer to its end. Its size is bounded by the adapter.
func (p *Path) collect(ctx context.Context, a ward.Answer) (runs.Answer, error) {
	defer a.Close()
	var out runs.Answer
	for {
		c, err := a.Next(ctx)
		if err != nil {
			return runs.Answer{}, p.failed(ctx, err)
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

// held is an answer that is whole already.
type held struct {
	answer runs.Answer
}

// Next returns the whole answer.
func (h *held) Next(context.Context) (ward.Chunk, error) {
	return ward.Chunk{Status: h.answer.Status, Header: h.answer.Header, Data: h.answer.Body, Last: true}, nil
}

// Close does nothing.
func (h *held) Close() error { return nil }

// Wait waits for requests that outlive their callers, which Stop counts too.
func (p *Path) Wait() { p.detached.Wait() }

// flushInterval bounds the wait for records that are still to be written.
const flushInterval = 5 * time.Second

// Flush writes the outcomes that are still to be recorded, and returns the
// number that is left.
func (p *Path) Flush(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, flushInterval)
	defer cancel()
	return p.Runs.Flush(ctx)
}
