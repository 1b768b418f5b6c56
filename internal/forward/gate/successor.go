package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/ward"
)

// minSuccessorWait is the least time that another upstream has for the head of its answer,
// before the request stays where it is.
const minSuccessorWait = 500 * time.Millisecond

// errNoHead is the cause for which the send to another upstream is cancelled.
var errNoHead = errors.New("the other upstream did not begin to answer")

// dispatch is a decision on where the request goes next.
type dispatch struct {
	schedule.Action
	// exchange is the answer that the upstream has begun, nil if the request was not sent
	// yet. end ends it.
	exchange *backend.Exchange
	end      context.CancelCauseFunc
	sentAt   time.Time
}

// release frees the slot of a dispatch that is not used.
func (d *dispatch) release(g *Gate) {
	if d.exchange != nil {
		d.end(nil)
		d.exchange.Close()
	}
	g.release(d.Action)
}

// beginSuccessor sends a silent request to another upstream and waits until that one has
// begun an answer that can replace the silent one.
func (s *silence) beginSuccessor(o *offer, a schedule.Action) (*dispatch, error) {
	c := s.call
	limit := max(stallFactor*a.Predicted, minSuccessorWait)
	timer := time.AfterFunc(limit, func() { o.cancel(errNoHead) })
	defer timer.Stop()
	c.log.Info("request-dispatched", "route", c.route.Name, "rank", a.Job.Rank, "upstream", a.Upstream.ID, "address", a.Upstream.Address, "version", a.Upstream.Version,
		"beside", s.action.Upstream.ID, "last-event", o.last, "waited", a.Waited, "predicted", a.Predicted, "running", a.Running, "queued", a.Queued)
	d := &dispatch{Action: a, end: o.cancel, sentAt: time.Now()}
	hop := c.hop(a, o.last, d.sentAt)
	x, err := c.gate.Pool.Send(o.ctx, c.request(a, hop, func() bool { return c.beginBeside(a) }, nil))
	if err != nil {
		if cause := context.Cause(o.ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	d.exchange = x
	return d, nil
}

// beginBeside is beginSend for an attempt beside another one.
func (c *call) beginBeside(a schedule.Action) bool {
	if !c.maySend(a) || c.barredBeside(a) {
		return false
	}
	c.gate.Rollout.Sent(c.route.Name, c.service, a.Upstream.Version, time.Now())
	return true
}

// barredBeside reports whether a request may not be sent a second time at once: crashes bar
// it, or the attempt beside it tries whether upstreams still crash under it.
func (c *call) barredBeside(a schedule.Action) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	content := c.crashContent()
	return len(c.trial) > 0 || !g.crashes.MayRepeat(c.service, content) ||
		g.crashes.Barred(c.crashTarget(a), content, g.fleet(), time.Now()).Blocked
}

// refusedSuccession returns why an answer does not replace that of a silent upstream, and
// the outcome of its attempt; "" if it does.
func (c *call) refusedSuccession(o *offer, a schedule.Action, x *backend.Exchange) (string, schedule.Outcome) {
	reply := c.gate.Dialect.Reply(x.Status, x.Header)
	mismatch := c.mismatch(x, reply)
	reason, outcome := mismatch, schedule.OutcomeFailed
	switch {
	case mismatch != "":
	case reply.NotRun && x.Status == http.StatusMisdirectedRequest:
		reason, outcome = "another upstream has the address", schedule.OutcomeMoved
	case reply.NotRun:
		reason, outcome = "the upstream has no capacity", schedule.OutcomeFull
	case x.Status >= http.StatusInternalServerError || code.PromisesNotRun(x.Status):
		reason = "status " + strconv.Itoa(x.Status)
	default:
		if err := checkResumed(o.begun, x); err != nil {
			reason = err.Error()
		}
	}
	if reason != "" {
		c.noteRefusal(a, x, reply, mismatch)
	}
	return reason, outcome
}

// noteRefusal records what the head of an answer says that is not used. mismatch is why it
// does not belong to the request, or "".
func (c *call) noteRefusal(a schedule.Action, x *backend.Exchange, reply ward.ForwardReply, mismatch string) {
	c.gate.Metrics.upstreamAnswered(x.Status, c.statement(reply))
	c.noteStatements(a, x, reply, mismatch)
	if reply.NotRun {
		x.Drain(maxRejection)
	}
}

// succeed replaces the silent attempt by one that another upstream has begun to answer,
// unless the silence has ended meanwhile. d is nil if err tells why there is none.
func (s *silence) succeed(o *offer, a schedule.Action, d *dispatch, err error) {
	defer close(o.done)
	c := s.call
	outcome, reason := schedule.OutcomeUnreachable, ""
	switch {
	case errors.Is(err, backend.ErrWithdrawn):
		outcome, reason = schedule.OutcomeNeutral, err.Error()
	case err != nil:
		reason = err.Error()
	default:
		reason, outcome = c.refusedSuccession(o, a, d.exchange)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := errors.Is(err, ward.ErrNotConnected) || errors.Is(err, backend.ErrWithdrawn)
	notRun := outcome == schedule.OutcomeFull || outcome == schedule.OutcomeMoved
	s.mayHaveRun = s.mayHaveRun || !unsent && !notRun
	current := s.offer == o
	if current && reason == "" {
		c.log.Info("attempt-silent", "upstream", s.action.Upstream.ID, "limit", s.watch.Limit(), "moved-to", a.Upstream.ID, "elapsed", time.Since(c.arrived))
		s.offer, s.next, s.ended = nil, d, true
		s.forget() // the attempt that goes on counts it
		s.cancel(errMoved)
		return
	}
	if d != nil {
		d.end(nil)
		d.exchange.Close()
	}
	if !current && (reason == "" || err != nil) {
		outcome = schedule.OutcomeNeutral // the silence has ended
	}
	c.gate.done(a, outcome)
	if outcome == schedule.OutcomeUnreachable {
		c.gate.linkFailed(a.Upstream.ID)
	}
	if unsent {
		s.forget()
	}
	s.avoid = append(s.avoid, a.Upstream.ID)
	if current {
		s.offer = nil
		o.cancel(nil)
		s.deny(noRetrySuccessor + ": " + reason)
	}
}

// forget takes back the count of the last send beside the attempt. The caller must hold mu.
func (s *silence) forget() {
	if s.sends > 0 {
		s.sends--
		s.tried = s.tried[:len(s.tried)-1]
	}
}
