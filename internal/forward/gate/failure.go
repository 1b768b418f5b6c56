package gate

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/ward"
)

// fail answers a request for which every attempt failed.
func (c *call) fail(k code.Code, reason string) {
	switch {
	case c.started:
		c.end("answer-cut", "cause", reason, "no-retry", c.noRetry, "sends", c.sends, "last-event", c.lastEvent, "elapsed", time.Since(c.arrived),
			"config", c.table.Config.Version, "newest-config", c.gate.View.Table().Config.Version)
		c.gate.Metrics.refused(code.AnswerCut.Number)
		c.gate.Metrics.answerCut(c.noRetry)
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.fallback.write(c)
	default:
		var retry time.Duration
		if k.Run == ward.NotRun && !c.mayHaveRun {
			retry = c.notRunRetry()
		}
		c.respond(k, retry, reason)
	}
}

// rejected answers a request that the scheduler refused.
func (c *call) rejected(a schedule.Action) {
	if c.started || c.mayHaveRun || c.fallback != nil {
		c.gate.withdrawOffer(a)
		c.noRetry = noRetryUpstream
		c.fail(code.UpstreamFailed, "no other upstream: "+a.Reason)
		return
	}
	c.refund()
	c.promiseReturn(&a)
	if c.connectFailures > 0 {
		c.respond(code.UpstreamUnreachable, a.RetryAfter, "no connection to "+strings.Join(c.tried, ", ")+": "+a.Reason)
		return
	}
	k := code.QueueFull
	switch a.Reason {
	case schedule.ReasonNoUpstream, schedule.ReasonLeaving, schedule.ReasonEvacuated, schedule.ReasonPaused:
		k = code.NoUpstream
	case schedule.ReasonUnreachable:
		k = code.UpstreamUnreachable
	case schedule.ReasonStopping:
		k = code.Stopping
	case schedule.ReasonTooLate:
		k = code.DeadlineUnreachable
	}
	c.respond(k, a.RetryAfter, a.Reason)
}

// refund returns the quota of a request that did not run. A relayed request was charged by
// the entry that relays it.
func (c *call) refund() {
	if c.team == nil || c.from != "" {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Refund(c.team.Name, c.size)
}

// cancelled ends a request whose deadline has passed or whose caller has left.
func (c *call) cancelled(ctx context.Context) {
	cause := context.Cause(ctx)
	if errors.Is(cause, errExit) {
		c.endAtExit()
		return
	}
	if !errors.Is(cause, errDeadline) && !errors.Is(cause, errNoProgress) {
		c.end("caller-left", "elapsed", time.Since(c.arrived), "sends", c.sends, "last-event", c.lastEvent)
		c.gate.Metrics.refused(code.CallerGone.Number)
		panic(http.ErrAbortHandler)
	}
	switch {
	case c.mayHaveRun:
		c.fail(code.AnswerLate, cause.Error())
	case c.connectFailures > 0:
		c.fail(code.UpstreamUnreachable, "no connection to "+strings.Join(c.tried, ", "))
	default:
		c.fail(code.DeadlineUnreachable, cause.Error())
	}
}

// endAtExit ends a request that still runs at the exit of the entry.
func (c *call) endAtExit() {
	if c.started || c.mayHaveRun || c.fallback != nil {
		c.fail(code.GraceUsedUp, errExit.Error())
		return
	}
	c.refuseAtStop(errExit.Error())
}

// refuseUnread refuses a request that came after the decision to exit. Its body is not read.
func (c *call) refuseUnread() {
	if err := c.readHead(); err != nil {
		c.refuse(err)
		return
	}
	c.refuseAtStop(errExit.Error())
}

// refuseAtStop refuses a request that was not sent, as this entry stops.
func (c *call) refuseAtStop(reason string) {
	c.refund()
	c.respond(code.Stopping, c.stoppingRetry(), reason)
}

// stoppingRetry returns the retry delay of a request that is refused as this entry stops.
func (c *call) stoppingRetry() time.Duration {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.sched.StoppingRetry(time.Now())
}
