package path

import (
	"agateward/ward"
)

// again gives the rest of a cut stream another turn.
func (p *Path) again(q *ward.Request, failed ward.Upstream) (ward.Upstream, bool) {
	p.mu.Lock()
	c := p.calls[q.ID]
	if c == nil {
		p.mu.Unlock()
		return ward.Upstream{}, false
	}
	p.deliver(p.Scheduler.Arrive(p.Clock.Now(), q))
	p.mu.Unlock()
	p.hop(q, "resume", failed.Name+": the stream was cut")
	u, err := p.turn(c.ctx, q)
	return u, err == nil
}

// progress tells the scheduler of the first output and then in steps.
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
	if c.tokens-c.told >= progressStep {
		c.told = c.tokens
		p.Scheduler.Progress(now, q.ID, c.tokens)
	}
}

// end tells the scheduler and the observer how a dispatch ended.
func (p *Path) end(q *ward.Request, o ward.Outcome) {
	o.Request = q.ID
	p.mu.Lock()
	if c := p.calls[q.ID]; c != nil && c.dispatched {
		c.dispatched = false
		p.deliver(p.Scheduler.End(p.Clock.Now(), q.ID, o))
	}
	p.mu.Unlock()
	if cause := wasted(q, o); cause != "" && p.Waste != nil {
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

// wasted tells why the prefill of a dispatch came to nothing, and "" when it
// did not.
func wasted(q *ward.Request, o ward.Outcome) string {
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
