package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/shutdown"
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
	// defaultTimeout bounds a request without a timeout of the caller or the route.
	defaultTimeout = 30 * time.Second
)

// Reasons for which a request is not sent again.
const (
	noRetryAttempts   = "attempts-used"
	noRetryMayHaveRun = "may-have-run"
	noRetryBudget     = "retry-budget"
	noRetryUpstream   = "no-upstream"
)

// Causes for which an attempt is cancelled.
var (
	errStalled  = errors.New("the upstream stopped responding")
	errDeadline = errors.New("the request's deadline has passed")
)

// run sends the request until an attempt finishes it or no further one is allowed.
func (c *call) run() {
	ctx := c.r.Context()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, c.deadline, errDeadline)
		defer cancel()
	}
	group, release := c.gate.Rollout.Choose(c.route.Name, c.service, rand.Float64())
	defer release()
	c.group = group
	for {
		a, err := c.await(ctx)
		if err != nil {
			c.cancelled(ctx)
			return
		}
		if a.Upstream == nil {
			c.rejected(a)
			return
		}
		if c.attempt(ctx, a) {
			return
		}
		if ctx.Err() != nil {
			c.cancelled(ctx)
			return
		}
		c.group = c.service // retry on the version in use
	}
}

// job returns the request as a job for the scheduler.
func (c *call) job() *schedule.Job {
	target := c.route.Target.Std()
	if target == 0 {
		target = defaultTarget
	}
	j := &schedule.Job{
		Request: c.head.ID, Service: c.group, Route: c.route.Name, Rank: [2]int{0, c.route.Rank},
		Arrived: c.arrived, Due: c.arrived.Add(target), Expires: c.deadline, Deadline: c.deadline,
		Repeatable: c.route.Repeatable(), Avoid: c.tried, Resumed: c.started,
	}
	if c.team != nil && c.team.HasRank {
		j.Rank[0] = c.team.Rank
	}
	if j.Expires.IsZero() {
		j.Expires = c.arrived.Add(defaultTimeout)
	}
	if c.route.Kind == ward.ForwardStream {
		maxWait := max(minStreamWait, targetFactor*target, gapFactor*c.route.MaxGap.Std())
		if limit := c.arrived.Add(time.Duration(streamWaitMargin * float64(maxWait))); limit.Before(j.Expires) && !c.started {
			j.Expires = limit
		}
		j.Prompt, j.Output = c.head.PromptTokens, c.head.MaxOutput
		if hint := c.head.OutputHint; hint > 0 && hint < j.Output {
			j.Output = hint
		}
		j.Output = max(j.Output, 1)
	}
	if s := c.gate.shutdown.Load(); s != nil {
		c.boundByStop(j, *s)
	}
	return j
}

// boundByStop bounds a job of a stopping entry.
func (c *call) boundByStop(j *schedule.Job, s shutdown.Shutdown) {
	end, sure := s.Bound(c.arrived)
	j.EndBy = end
	switch {
	case !sure:
	case c.route.Kind == ward.ForwardStream:
		j.Output = max(c.head.MaxOutput, 1)
	default:
		// The answer of a plain service has no known bound but the route's time.
		j.EndBy = end.Add(-c.route.Timeout.Std())
	}
}

// await submits the request to the scheduler and waits for its decision.
func (c *call) await(ctx context.Context) (schedule.Action, error) {
	g := c.gate
	w := &waiter{job: c.job(), action: make(chan schedule.Action, 1)}
	g.mu.Lock()
	g.lastID++
	w.job.ID = g.lastID
	g.waiters[w.job.ID] = w
	g.apply(g.sched.Arrive(w.job, time.Now()))
	waiting := g.waiters[w.job.ID] != nil
	g.mu.Unlock()
	if waiting {
		g.TriggerBroadcast()
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	select {
	case a := <-w.action:
		return a, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[w.job.ID] != nil {
		delete(g.waiters, w.job.ID)
		g.sched.Cancel(w.job)
		return schedule.Action{}, ctx.Err()
	}
	// The decision was made at the same time.
	if a := <-w.action; a.Upstream != nil {
		g.apply(g.sched.Done(a.Job.ID, schedule.OutcomeNeutral, time.Now()))
	}
	return schedule.Action{}, ctx.Err()
}

// attempt sends the request to one upstream and reports whether the request is
// finished.
func (c *call) attempt(ctx context.Context, a schedule.Action) bool {
	if !c.maySend(a) {
		c.withdraw(a)
		return false
	}
	now := time.Now()
	c.sentAt, c.firstAt, c.connected, c.strayAnswer = now, time.Time{}, false, false
	hop := ward.ForwardHop{Replica: a.Upstream.ID, LastEvent: c.lastEvent}
	if c.team != nil {
		hop.Team = c.team.Name
	}
	if !c.deadline.IsZero() {
		hop.Remaining = max(c.deadline.Sub(now), time.Millisecond)
	}
	c.log.Info("request-dispatched", "route", c.route.Name, "rank", a.Job.Rank, "upstream", a.Upstream.ID, "address", a.Upstream.Address, "version", a.Upstream.Version,
		"config", c.table.Config.Version, "send", c.sends+1, "prompt", a.Job.Prompt, "output", a.Job.Output, "waited", a.Waited, "predicted", a.Predicted, "running", a.Running, "queued", a.Queued)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := c.watchSilence(a, cancel)
	defer stall.stop()
	x, err := c.gate.Pool.Send(ctx, backend.Request{
		Address: a.Upstream.Address, Method: c.r.Method, Target: c.target(), Host: c.r.Host,
		Header: c.gate.Dialect.Outgoing(c.r.Header, hop), Body: c.body,
		MaySend: func() bool { return c.maySend(a) },
	})
	c.connected = !errors.Is(err, ward.ErrNotConnected)
	if errors.Is(err, backend.ErrWithdrawn) {
		c.withdraw(a)
		return false
	}
	if err != nil {
		return c.handleSendError(ctx, a, err)
	}
	defer x.Close()
	c.tried = append(c.tried, a.Upstream.ID)
	return c.handleAnswer(ctx, a, x, stall)
}

func (c *call) target() string {
	if t := c.r.RequestURI; t != "" && t[0] == '/' {
		return t
	}
	return c.r.URL.RequestURI()
}

// finishAttempt reports the outcome of an attempt to the scheduler and the roll-out.
func (c *call) finishAttempt(a schedule.Action, o schedule.Outcome) {
	g := c.gate
	g.Rollout.Observe(c.route.Name, c.service, c.outcome(a, o))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.sched.Done(a.Job.ID, o, time.Now()))
}

// outcome returns the outcome of an attempt as evidence about the upstream's version.
func (c *call) outcome(a schedule.Action, o schedule.Outcome) ward.Outcome {
	now := time.Now()
	out := ward.Outcome{
		Request: c.head.ID, Upstream: a.Upstream.ID, Version: a.Upstream.Version, Connected: c.connected,
		OK:        o == schedule.OutcomeOK,
		Cancelled: c.strayAnswer || o == schedule.OutcomeNeutral || o == schedule.OutcomeFull || o == schedule.OutcomeMoved,
		At:        now, Total: now.Sub(c.sentAt), PromptTokens: c.head.PromptTokens, OutputTokens: c.head.MaxOutput,
	}
	if !c.firstAt.IsZero() {
		out.FirstToken = c.firstAt.Sub(c.sentAt)
	}
	return out
}

// handleSendError finishes an attempt without an answer and reports whether the
// request is finished.
func (c *call) handleSendError(ctx context.Context, a schedule.Action, err error) bool {
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	sent := !errors.Is(err, ward.ErrNotConnected)
	switch {
	case left:
		c.finishAttempt(a, schedule.OutcomeNeutral)
	default:
		c.finishAttempt(a, schedule.OutcomeUnreachable)
	}
	c.log.Info("attempt-failed", "upstream", a.Upstream.ID, "sent", sent, "error", err.Error(), "elapsed", time.Since(c.arrived))
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
		return false
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
	case c.sends >= c.route.Attempts:
		c.noRetry = noRetryAttempts
	case c.mayHaveRun && !c.route.Repeatable():
		c.noRetry = noRetryMayHaveRun
	case !c.chargeRetry():
		c.noRetry = noRetryBudget
	default:
		c.noRetry = ""
	}
	return c.noRetry == ""
}

func (c *call) chargeRetry() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.budget.Take(c.service, time.Now())
}
