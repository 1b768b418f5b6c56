package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/ward"
)

// giveUp answers a request that no attempt served.
func (c *call) giveUp(k code.Code, why string) {
	switch {
	case c.begun:
		c.log.Info("answer-cut", "cause", why, "last-event", c.lastEvent, "elapsed", time.Since(c.arrived))
		c.gate.Metrics.refused(code.AnswerCut.Number)
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.fallback.write(c)
	case c.mayHaveRun && k.Run == ward.NotRun:
		c.final(code.UpstreamFailed, 0, why)
	default:
		var retry time.Duration
		if k.Run == ward.NotRun {
			retry = 500 * time.Millisecond
		}
		c.final(k, retry, why)
	}
}

// turnedAway answers a request that the scheduler refused.
func (c *call) turnedAway(a schedule.Action) {
	if c.begun || c.mayHaveRun || c.fallback != nil {
		c.giveUp(code.UpstreamFailed, "no further upstream: "+a.Reason)
		return
	}
	c.refund()
	k := code.QueueFull
	switch a.Reason {
	case schedule.ReasonNoUpstream:
		k = code.NoUpstream
	case schedule.ReasonTooLate:
		k = code.DeadlineUnreachable
	}
	c.final(k, a.RetryAfter, a.Reason)
}

// refund gives back the quota of a request that did not run.
func (c *call) refund() {
	if c.team == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Refund(c.team.Name, c.size)
}

// ended answers a request whose time is over or whose caller has left.
func (c *call) ended(ctx context.Context) {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		c.log.Info("caller-left", "elapsed", time.Since(c.arrived), "sends", c.sends, "last-event", c.lastEvent)
		c.gate.Metrics.refused(code.CallerGone.Number)
		panic(http.ErrAbortHandler)
	}
	k := code.AnswerLate
	if !c.mayHaveRun {
		k = code.DeadlineUnreachable
	}
	c.giveUp(k, errDeadline.Error())
}
