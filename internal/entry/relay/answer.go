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

// answer is the answer of one request, over one or more hand-overs.
type answer struct {
	relay   *Relay
	request *ward.Request
	ctx     context.Context
	cancel  context.CancelFunc

	inner    ward.Answer
	upstream ward.Upstream
	started  time.Time
	first    time.Time
	// tokens is the number of output tokens the caller has, from the number at
	// which the present hand-over began.
	tokens  int
	from    int
	status  int
	resumes int
	// canResume is the first upstream's word, resumed skips the head of a later
	// one.
	canResume bool
	resumed   bool
	ended     bool
}

// handOver hands the request, or the rest of its stream, to u.
func (a *answer) handOver(u ward.Upstream) error {
	l := a.relay
	a.upstream = u
	a.started = l.now()
	a.first = time.Time{}
	a.from = a.tokens
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
			if err := a.goOn(err); err != nil {
				return ward.Chunk{}, err
			}
			continue
		}
		if a.resumed {
			a.resumed = false
			continue
		}
		a.take(c)
		return c, nil
	}
}

// take notes what a chunk adds.
func (a *answer) take(c ward.Chunk) {
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
	if a.first.IsZero() {
		a.first = a.relay.now()
	}
	a.tokens += tokens
	if a.relay.Progress != nil {
		a.relay.Progress(a.request, a.upstream, tokens)
	}
}

// goOn continues the stream elsewhere after err, or ends the answer with it.
func (a *answer) goOn(err error) error {
	_ = a.inner.Close()
	a.observe(err)
	for a.mayResume(err) {
		next, ok := a.relay.Next(a.request, a.upstream)
		if !ok {
			break
		}
		a.resumes++
		failed := a.handOver(next)
		if failed == nil {
			a.relay.Stats.Resumed.Add(1)
			a.relay.Log.Info("stream-resumed", "request", a.request.ID, "upstream", next.Name, "tokens", a.tokens)
			a.resumed = true
			return nil
		}
	}
	a.ended = true
	a.cancel()
	return err
}

// mayResume tells whether the rest of the answer may be asked for elsewhere. An
// answer that someone gave up is not continued, one without a token would start
// anew, and one of a non-idempotent
// request is never asked for again.
func (a *answer) mayResume(err error) bool {
	switch code.Of(err).Number {
	case code.AnswerCut.Number, code.AnswerLate.Number, code.UpstreamFailed.Number:
	default:
		return false
	}
	r := a.request
	return a.relay.Next != nil && a.canResume && a.tokens > 0 && r.Stream && !r.NonIdempotent &&
		a.resumes < a.relay.resumes() && a.ctx.Err() == nil
}

// observe reports the end of one hand-over.
func (a *answer) observe(err error) {
	l := a.relay
	o := a.outcome(err)
	if err == nil {
		l.Stats.Whole.Add(1)
	} else if o.Connected {
		l.Stats.count(err)
		l.Log.Info("answer-not-whole", "request", a.request.ID, "upstream", a.upstream.Name, "code", code.Of(err).String(), "cause", code.Text(err))
	}
	if l.Observe != nil {
		l.Observe(a.request, o)
	}
}

func (a *answer) outcome(err error) ward.Outcome {
	now := a.relay.now()
	r := a.request
	o := ward.Outcome{
		Upstream: a.upstream.Name, Version: a.upstream.Version, Route: r.Route, Tier: r.Tier,
		OK:           err == nil && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests,
		Cancelled:    cancelled(err),
		Connected:    !errors.Is(err, ward.ErrNotConnected),
		PromptTokens: r.PromptTokens + a.from,
		OutputTokens: a.tokens - a.from,
		Total:        now.Sub(a.started),
		At:           now,
	}
	if !a.first.IsZero() {
		o.FirstToken = a.first.Sub(a.started)
	}
	return o
}

// cancelled tells the ends that are no evidence against an upstream, such as a
// path of the caller's that can't be sent.
func cancelled(err error) bool {
	switch code.Of(err).Number {
	case code.CallerGone.Number, code.GraceUsedUp.Number, code.VersionTakeBack.Number, code.DeadlinePassed.Number, code.UnknownRoute.Number:
		return err != nil
	}
	return false
}

// Close cancels what is left of the answer.
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
