package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Limits of one request.
const (
	// maxConnectFailures bounds the failed connection attempts of one request. They
	// cause no work at an upstream, so they don't count as sends.
	maxConnectFailures = 4
	// gapFactor and targetFactor give the pause after which the caller of a stream is
	// expected to leave, as multiples of the route's gap between events and of its
	// target latency; minStreamWait is the lower bound.
	gapFactor     = 8
	targetFactor  = 4
	minStreamWait = 2 * time.Second
	// streamWaitMargin is the fraction of that pause that a request may wait for its
	// first event, as the answer has to reach the caller before it leaves.
	streamWaitMargin = 0.85
	// defaultTarget is the target latency of a route without one.
	defaultTarget = time.Second
	// defaultTimeout bounds the wait for an upstream of a request without a timeout of the
	// caller or the route.
	defaultTimeout = 30 * time.Second
	// DefaultProgressTimeout is the Gate.ProgressTimeout of a gate that sets none.
	DefaultProgressTimeout = time.Hour
)

// Reasons for which a request is not sent again.
const (
	noRetryAttempts   = "attempts-used"
	noRetryMayHaveRun = "may-have-run"
	noRetryBudget     = "retry-budget"
	noRetryUpstream   = "no-upstream"
	noRetryConnection = "no-connection"
	noRetrySuccessor  = "successor"
	noRetryPrompt     = "prompt-part"
	noRetryRequest    = "request"
)

// errDeadline is the cause for which a request is cancelled at its deadline.
var errDeadline = errors.New("the request's deadline has passed")

// errNoProgress is the cause for which a request without a deadline is cancelled.
var errNoProgress = errors.New("no answer, or no further event, within the time for progress")

// errExit is the cause for which the requests that still run are cancelled at the exit of
// the entry.
var errExit = errors.New("this entry exits")

// run sends the request until an attempt finishes it or no further one is allowed.
func (c *call) run() {
	ctx, exit := context.WithCancelCause(c.r.Context())
	defer exit(nil)
	defer context.AfterFunc(c.gate.ending, func() { exit(errExit) })()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, c.deadline, errDeadline)
		defer cancel()
	} else {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		c.progress = time.AfterFunc(c.gate.progressTimeout(), func() { cancel(errNoProgress) })
		defer c.progress.Stop()
	}
	group, release := c.gate.Rollout.Choose(c.route.Name, c.service, rand.Float64())
	defer release()
	if c.group = group; group != c.service && !c.gate.withinLimits(group) {
		c.group = c.service
	}
	defer c.releaseNext()
	for {
		if c.relayIfLost(ctx) {
			return
		}
		if c.next == nil && !c.pickGroup() {
			return
		}
		d, err := c.nextDispatch(ctx)
		if err != nil {
			c.cancelled(ctx)
			return
		}
		if d.Upstream == nil {
			if c.relayIfLost(ctx) {
				return
			}
			if d.Reason == reasonLinksLost {
				continue
			}
			c.rejected(d.Action)
			return
		}
		if c.attempt(ctx, d) {
			return
		}
		if ctx.Err() != nil {
			c.cancelled(ctx)
			return
		}
		c.group = c.service // retry on the version in use
	}
}

// noteProgress gives a request without a deadline its time for progress anew.
func (c *call) noteProgress() {
	if c.progress != nil {
		c.progress.Reset(c.gate.progressTimeout())
	}
}

// nextDispatch returns the dispatch that replaces the last attempt, or waits for one.
func (c *call) nextDispatch(ctx context.Context) (*dispatch, error) {
	if d := c.next; d != nil {
		c.next = nil
		return d, nil
	}
	a, err := c.await(ctx)
	return &dispatch{Action: a}, err
}

// releaseNext frees the slot of a dispatch that is not used.
func (c *call) releaseNext() {
	if c.next != nil {
		c.next.release(c.gate)
	}
}

// newJob returns the request as a job for the scheduler: one for the upstreams of group
// except avoid. started is true when part of the answer has reached the caller.
func (c *call) newJob(group string, avoid []string, started bool) *schedule.Job {
	target := c.target()
	j := &schedule.Job{
		Request: c.head.ID, Service: group, Route: c.route.Name, Homes: c.homes(), Rank: [2]int{0, c.route.Rank},
		Arrived: c.arrived, Due: c.arrived.Add(target), Expires: c.deadline, Deadline: c.deadline,
		Repeatable: c.route.Repeatable(), Avoid: avoid, Resumed: started,
		NoLoan: group != c.service,
	}
	if c.team != nil {
		j.Team = c.team.Name
		if c.team.Tokens {
			j.Weight = c.team.Rate
		}
		if c.team.HasRank {
			j.Rank[0] = c.team.Rank
		}
	}
	if j.Expires.IsZero() {
		j.Expires = c.arrived.Add(defaultTimeout)
	}
	if c.route.Kind == ward.ForwardStream {
		if limit := c.arrived.Add(time.Duration(streamWaitMargin * float64(c.callerPatience()))); limit.Before(j.Expires) && !started {
			j.Expires = limit
		}
		j.Prompt, j.Output = c.head.PromptTokens, c.head.MaxOutput
		if hint := c.head.OutputHint; hint > 0 && hint < j.Output {
			j.Output = hint
		}
		j.Output = max(j.Output, 1)
		j.MaxGap, j.Stride = c.route.MaxGap.Std(), c.table.Stride(c.service)
	}
	c.markReturn(j)
	if s := c.gate.shutdown.Load(); s != nil {
		j.EndBy = s.End()
	}
	return j
}

// target returns the time in which the answer, or its first event, is in time.
func (c *call) target() time.Duration {
	if t := c.route.Target.Std(); t > 0 {
		return t
	}
	return defaultTarget
}

// callerPatience returns the pause after which the caller of a stream is expected to
// leave.
func (c *call) callerPatience() time.Duration {
	return max(minStreamWait, targetFactor*c.target(), gapFactor*c.route.MaxGap.Std())
}

// await submits the request to the scheduler and waits for its decision.
func (c *call) await(ctx context.Context) (schedule.Action, error) {
	c.checkReturn()
	c.enter(StateQueued)
	c.job = c.newJob(c.group, c.tried, c.started)
	w := c.gate.enqueue(c.job)
	select {
	case a := <-w.action:
		return a, nil
	case <-ctx.Done():
		c.gate.leaveQueue(w)
		return schedule.Action{}, ctx.Err()
	}
}

// attempt sends the request to one upstream, unless that was done, and reports whether the
// request is finished.
func (c *call) attempt(ctx context.Context, d *dispatch) bool {
	a, request := d.Action, ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := d.exchange
	if x == nil {
		if ok, finished := c.beginAttempt(a); !ok {
			return finished
		}
		defer c.endTrial()
	}
	c.enter(StateSent)
	c.countReturn()
	c.firstAt, c.connected, c.strayAnswer, c.crashed, c.events = time.Time{}, false, false, false, 0
	stall := c.watchSilence(request, a, cancel)
	defer c.endSilence(stall, false)
	if x != nil {
		c.sentAt = d.sentAt
		defer context.AfterFunc(ctx, func() { d.end(context.Cause(ctx)) })()
		defer d.end(nil)
		stall.setConnected(x.Unread)
	} else {
		var err error
		c.sentAt = time.Now()
		x, err = c.gate.Pool.Send(ctx, c.request(a, c.hop(a, c.lastEvent, c.sentAt), func() bool { return c.beginSend(a) }, stall.setConnected))
		if errors.Is(err, backend.ErrWithdrawn) {
			c.withdraw(a)
			return false
		}
		if err != nil {
			c.connected = !errors.Is(err, ward.ErrNotConnected)
			return c.handleSendError(ctx, a, err, stall)
		}
	}
	c.connected = true
	defer x.Close()
	current := stall.heard()
	c.tried = append(c.tried, a.Upstream.ID)
	if !current {
		return c.handleSendError(ctx, a, errMoved, stall)
	}
	return c.handleAnswer(ctx, a, x, stall)
}

// beginAttempt reports whether a dispatch may be sent, and if not, whether the request is
// finished.
func (c *call) beginAttempt(a schedule.Action) (ok, finished bool) {
	if v := c.checkCrashes(a); v.Blocked {
		c.gate.release(a)
		if c.group != c.service {
			return false, false // the version in use may take it
		}
		c.refuseBlocked(v)
		return false, true
	}
	if !c.maySend(a) {
		c.endTrial()
		c.withdraw(a)
		return false, false
	}
	l := c.log
	if a.Lender != "" {
		l = l.WithValues("lender", a.Lender)
	}
	l.Info("request-dispatched", "route", c.route.Name, "rank", a.Job.Rank, "upstream", a.Upstream.ID, "address", a.Upstream.Address, "version", a.Upstream.Version,
		"config", c.table.Config.Version, "send", c.sends+1, "prompt", a.Job.Prompt, "output", a.Job.Output, "waited", a.Waited, "predicted", a.Predicted, "running", a.Running, "queued", a.Queued)
	return true, false
}

// hop returns what the upstream of a dispatch is told that the caller did not say. last is
// the last event that the caller has, -1 for none.
func (c *call) hop(a schedule.Action, last int64, now time.Time) ward.ForwardHop {
	hop := ward.ForwardHop{Replica: a.Upstream.ID, LastEvent: last}
	if c.team != nil {
		hop.Team = c.team.Name
	}
	if !c.deadline.IsZero() {
		hop.Remaining = max(c.deadline.Sub(now), time.Millisecond)
	}
	return hop
}

// request returns the request as it is sent to the upstream of a dispatch.
func (c *call) request(a schedule.Action, hop ward.ForwardHop, maySend func() bool, connected func(unread func() bool)) backend.Request {
	return backend.Request{
		ID: c.head.ID, Address: a.Upstream.Address, Method: c.r.Method, Target: c.requestTarget(), Host: c.r.Host,
		Header: c.gate.Dialect.Outgoing(c.r.Header, hop), Body: c.body, MaySend: maySend, Connected: connected,
	}
}

// beginSend reports whether a request may be written now that it has a connection, and
// counts it if so.
func (c *call) beginSend(a schedule.Action) bool {
	if !c.maySend(a) || !c.stillAllowed(a) {
		return false
	}
	c.gate.Rollout.Sent(c.route.Name, c.service, a.Upstream.Version, c.sentAt)
	return true
}

func (c *call) requestTarget() string {
	if t := c.r.RequestURI; t != "" && t[0] == '/' {
		return t
	}
	return c.r.URL.RequestURI()
}

// finishAttempt reports the outcome of an attempt to the scheduler and the roll-out.
func (c *call) finishAttempt(a schedule.Action, o schedule.Outcome) {
	c.observeCrash(a, o)
	c.gate.Rollout.Observe(c.route.Name, c.service, c.outcome(a, o))
	if o == schedule.OutcomeUnreachable {
		c.gate.linkFailed(a.Upstream.ID)
	}
	c.gate.done(a, o)
}

// outcome returns the outcome of an attempt as evidence about the upstream's version.
func (c *call) outcome(a schedule.Action, o schedule.Outcome) ward.Outcome {
	now := time.Now()
	out := ward.Outcome{
		Overrun: o == schedule.OutcomeNeutral,
		Request: c.head.ID, Upstream: a.Upstream.ID, Version: a.Upstream.Version, Connected: c.connected,
		OK:        o == schedule.OutcomeOK,
		Cancelled: c.strayAnswer || c.crashed && !c.mayRepeatCrashed() || o == schedule.OutcomeNeutral || o == schedule.OutcomeFull || o == schedule.OutcomeMoved,
		At:        now, Total: now.Sub(c.sentAt), PromptTokens: c.head.PromptTokens, OutputTokens: c.head.MaxOutput,
	}
	if c.route.Kind == ward.ForwardStream {
		out.OutputTokens = c.events * c.table.Stride(c.service)
	}
	if !c.firstAt.IsZero() {
		out.FirstToken = c.firstAt.Sub(c.sentAt)
	}
	return out
}

// handleSendError finishes an attempt without an answer and reports whether the
// request is finished.
func (c *call) handleSendError(ctx context.Context, a schedule.Action, err error, stall *silence) bool {
	left := ctx.Err() != nil && !hasMoved(ctx)
	sent := !errors.Is(err, ward.ErrNotConnected)
	c.crashed = sent && endedWithUpstream(ctx, err)
	c.endSilence(stall, ctx.Err() == nil)
	switch {
	case left:
		c.finishAttempt(a, schedule.OutcomeNeutral)
	default:
		c.finishAttempt(a, schedule.OutcomeUnreachable)
	}
	c.log.Info("attempt-failed", "upstream", a.Upstream.ID, "born", a.Upstream.Born, "sent", sent, "digest", c.digestText(), "parts", partsText(c.head.Parts), "error", err.Error(), "elapsed", time.Since(c.arrived))
	c.tried = append(c.tried, a.Upstream.ID)
	if !sent {
		c.connectFailures++
		if left {
			return false // run answers the request
		}
		if c.connectFailures <= maxConnectFailures {
			return false
		}
		c.fail(code.UpstreamUnreachable, "connecting to an upstream failed")
		return true
	}
	c.sends++
	c.mayHaveRun = true
	if left {
		return false // run answers the request
	}
	return !c.retry(code.UpstreamFailed, "no answer from the upstream: "+err.Error())
}

// retry reports whether the request is sent again; otherwise it answers the request
// with the code.
func (c *call) retry(k code.Code, reason string) bool {
	if c.takeRetry() {
		return true
	}
	c.fail(k, reason)
	return false
}

// takeRetry reports whether another send is allowed; if so, it charges the retry
// budget. If not, noRetry holds the reason.
func (c *call) takeRetry() bool {
	switch {
	case c.next != nil: // another upstream goes on already
		c.noRetry = ""
	case c.sends >= c.route.Attempts:
		c.noRetry = noRetryAttempts
	case c.mayHaveRun && !c.route.Repeatable():
		c.noRetry = noRetryMayHaveRun
	case !c.mayRepeatCrashed():
		c.noRetry = noRetryPrompt
	case !c.chargeRetry():
		c.noRetry = noRetryBudget
	default:
		c.noRetry = ""
	}
	return c.noRetry == ""
}

// retryAllowed reports whether the retry budget allows another send.
func (c *call) retryAllowed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.budget.Allows(c.service, time.Now())
}

func (c *call) chargeRetry() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.budget.Take(c.service, time.Now())
}
