package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// answer is the answer of one request, received over one or more dispatches.
type answer struct {
	relay   *Relay
	request *ward.Request
	ctx     context.Context
	cancel  context.CancelFunc

	inner        ward.Answer
	upstream     ward.Upstream
	startedAt    time.Time
	firstTokenAt time.Time
	// tokens is the number of output tokens sent to the caller, dispatchOffset its
	// value at the start of the current dispatch.
	tokens         int
	dispatchOffset int
	status         int
	resumeCount    int
	// canResume is set when the first upstream supports resuming. skipHead drops the
	// head of a resumed answer.
	canResume bool
	skipHead  bool
	ended     bool
}

// dispatch sends the request, or the request for the rest of its stream, to u.
func (a *answer) dispatch(u ward.Upstream) error {
	l := a.relay
	a.upstream = u
	a.startedAt = l.now()
	a.firstTokenAt = time.Time{}
	a.dispatchOffset = a.tokens
	inner, err := l.backend(u.Kind).Dispatch(a.ctx, u, a.request, a.tokens)
	if errors.Is(err, ward.ErrNotConnected) {
		l.Stats.NotConnected.Add(1)
	} else {
		l.Stats.Dispatched.Add(1)
	}
	if err != nil {
		a.observe(err)
		return err
	}
	a.inner = inner
	return nil
}

// Next returns the next chunk.
func (a *answer) Next(ctx context.Context) (ward.Chunk, error) {
	for {
		if a.ended {
			return ward.Chunk{}, io.EOF
		}
		c, err := a.inner.Next(ctx)
		if err != nil {
			if err := a.resumeOrFail(err); err != nil {
				return ward.Chunk{}, err
			}
			continue
		}
		if a.skipHead {
			a.skipHead = false
			continue
		}
		a.record(c)
		return c, nil
	}
}

// record updates the state of the answer from a chunk.
func (a *answer) record(c ward.Chunk) {
	if c.Status != 0 {
		a.status = c.Status
		a.canResume = c.CanResume
	}
	if c.Tokens > 0 || len(c.Data) > 0 && !a.request.Stream {
		a.progress(c.Tokens)
	}
	if c.Last {
		a.ended = true
		a.observe(nil)
		_ = a.inner.Close()
		a.cancel()
	}
}

func (a *answer) progress(tokens int) {
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = a.relay.now()
	}
	a.tokens += tokens
	if a.relay.Progress != nil {
		a.relay.Progress(a.request, a.upstream, tokens)
	}
}

// resumeOrFail resumes the stream at another upstream after err, or ends the answer
// and returns err.
func (a *answer) resumeOrFail(err error) error {
	_ = a.inner.Close()
	a.observe(err)
	for a.resumable(err) {
		next, ok := a.relay.NextUpstream(a.request, a.upstream)
		if !ok {
			break
		}
		a.resumeCount++
		failed := a.dispatch(next)
		if failed == nil {
			a.relay.Stats.Resumed.Add(1)
			a.relay.Log.Info("stream-resumed", "request", a.request.ID, "upstream", next.Name, "tokens", a.tokens)
			a.skipHead = true
			return nil
		}
	}
	a.ended = true
	a.cancel()
	return err
}

// resumable reports whether the rest of the answer may be requested from another
// upstream after err. A cancelled answer is not resumed, an answer without a token
// would start from the beginning, and a non-idempotent request is never sent again.
func (a *answer) resumable(err error) bool {
	switch code.Of(err).Number {
	case code.AnswerCut.Number, code.AnswerLate.Number, code.UpstreamFailed.Number:
	default:
		return false
	}
	r := a.request
	return a.relay.NextUpstream != nil && a.canResume && a.tokens > 0 && r.Stream && !r.NonIdempotent &&
		a.resumeCount < a.relay.maxResumes() && a.ctx.Err() == nil
}

// observe reports the outcome of one dispatch.
func (a *answer) observe(err error) {
	l := a.relay
	o := a.outcome(err)
	if err == nil {
		l.Stats.Complete.Add(1)
	} else if o.Connected {
		l.Stats.count(err)
		l.Log.Info("answer-not-whole", "request", a.request.ID, "upstream", a.upstream.Name, "code", code.Of(err).String(), "cause", code.Text(err))
	}
	if l.Observe != nil {
		l.Observe(a.request, o)
	}
}

// outcome returns the outcome of one dispatch that ended with err.
func (a *answer) outcome(err error) ward.Outcome {
	now := a.relay.now()
	r := a.request
	o := ward.Outcome{
		Upstream: a.upstream.Name, Version: a.upstream.Version, Route: r.Route, Tier: r.Tier,
		OK:           err == nil && a.status < http.StatusInternalServerError,
		Cancelled:    cancelled(err),
		Overrun:      overrun(err),
		Connected:    !errors.Is(err, ward.ErrNotConnected),
		PromptTokens: r.PromptTokens + a.dispatchOffset,
		OutputTokens: a.tokens - a.dispatchOffset,
		Total:        now.Sub(a.startedAt),
		At:           now,
	}
	if !a.firstTokenAt.IsZero() {
		o.FirstToken = a.firstTokenAt.Sub(a.startedAt)
	}
	return o
}

// overrun reports whether the request ended at its deadline or with its caller.
func overrun(err error) bool {
	n := code.Of(err).Number
	return n == code.CallerGone.Number || n == code.DeadlinePassed.Number
}

// cancelled reports whether err is not the fault of the upstream, such as a request
// path that can't be sent.
func cancelled(err error) bool {
	switch code.Of(err).Number {
	case code.CallerGone.Number, code.GraceUsedUp.Number, code.VersionRolledBack.Number, code.DeadlinePassed.Number, code.UnknownRoute.Number:
		return err != nil
	}
	return false
}

// Close cancels the rest of the answer.
func (a *answer) Close() error {
	if a.ended {
		return nil
	}
	a.ended = true
	err := a.inner.Close()
	a.cancel()
	a.observe(code.CallerGone.New("the answer was given up"))
	return err
}
