package path

import (
	"agateward/ward"
)

// resume waits for an upstream for the rest of an interrupted stream. It queues the
// request again, unless the scheduler retries it.
func (p *Path) resume(q *ward.Request, failed ward.Upstream) (ward.Upstream, bool) {
	p.mu.Lock()
	c := p.calls[q.ID]
	if c == nil {
		p.mu.Unlock()
		return ward.Upstream{}, false
	}
	if !c.retrying {
		p.deliver(p.Scheduler.Arrive(p.Clock.Now(), q))
	}
	p.mu.Unlock()
	p.hop(q, "resume", failed.Name+": the stream was cut")
	u, err := p.awaitDecision(c.ctx, q)
	return u, err == nil
}

// progress reports the first output token of a request to the scheduler, and then
// every progressStepTokens tokens.
func (p *Path) progress(q *ward.Request, _ ward.Upstream, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[q.ID]
	if c == nil {
		return
	}
	now := p.Clock.Now()
	if c.tokens == 0 {
		p.Scheduler.FirstToken(now, q.ID)
	}
	c.tokens += max(tokens, 1)
	if c.tokens-c.reported >= progressStepTokens {
		c.reported = c.tokens
		p.Scheduler.Progress(now, q.ID, c.tokens)
	}
}

// endDispatch reports the outcome of a dispatch to the scheduler and the observers.
func (p *Path) endDispatch(q *ward.Request, o ward.Outcome) {
	o.Request = q.ID
	p.mu.Lock()
	if c := p.calls[q.ID]; c != nil && c.dispatched {
		c.dispatched = false
		c.retrying = !o.Connected && !o.Cancelled
		p.deliver(p.Scheduler.End(p.Clock.Now(), q.ID, o))
	}
	p.mu.Unlock()
	if cause := wasteCause(q, o); cause != "" && p.Waste != nil {
		p.Waste(cause, o.PromptTokens)
	}
	if p.Observe != nil {
		p.Observe(o)
	}
}

// Causes of wasted prefill.
const (
	WasteCallerGone     = "caller-gone"
	WasteDeadlinePassed = "deadline-passed"
	WasteAnswerCut      = "answer-cut"
	WasteFailed         = "failed"
)

// wasteCause returns why the prefill of a dispatch was wasted, and "" when it was
// not.
func wasteCause(q *ward.Request, o ward.Outcome) string {
	switch {
	case o.OK || !o.Connected || q.Kind != ward.KindEngine:
		return ""
	case !o.At.Before(q.Deadline):
		return WasteDeadlinePassed
	case o.Cancelled:
		return WasteCallerGone
	case o.OutputTokens > 0:
		return WasteAnswerCut
	}
	return WasteFailed
}
