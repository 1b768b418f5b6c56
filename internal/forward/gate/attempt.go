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
	// maxMisses bounds the attempts on which nobody was reached; they cost no
	// upstream any work.
	maxMisses = 4
	// gapFactor and patienceFactor give the longest pause that a caller of a
	// stream is expected to wait out, as multiples of the route's pause between
	// events and of its target; leastPatience is the least.
	gapFactor      = 8
	patienceFactor = 4
	leastPatience  = 2 * time.Second
	// patienceMargin is the part of that pause up to which a request may wait for
	// its first event: the answer has to reach the caller before it leaves.
	patienceMargin = 0.85
	// defaultTarget stands in for a route without one.
	defaultTarget = time.Second
	// defaultTime bounds a request of which neither caller nor route says more.
	defaultTime = 30 * time.Second
)

// Causes of the end of an attempt.
var (
	errStalled  = errors.New("the upstream fell silent")
	errDeadline = errors.New("the request's time is over")
)

// run brings the request to its end.
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
			c.ended(ctx)
			return
		}
		if a.Upstream == nil {
			c.turnedAway(a)
			return
		}
		if c.attempt(ctx, a) {
			return
		}
		if ctx.Err() != nil {
			c.ended(ctx)
			return
		}
		c.group = c.service // once more, on the version in use
	}
}

// job describes the request to the scheduler.
func (c *call) job() *schedule.Job {
	target := c.route.Target.Std()
	if target == 0 {
		target = defaultTarget
	}
	j := &schedule.Job{
		Request: c.head.ID, Service: c.group, Route: c.route.Name, Rank: [2]int{0, c.route.Rank},
		Arrived: c.arrived, Due: c.arrived.Add(target), Expires: c.deadline, Deadline: c.deadline,
		Repeatable: c.route.Repeatable(), Avoid: c.tried, Resumed: c.begun,
	}
	if c.team != nil && c.team.HasRank {
		j.Rank[0] = c.team.Rank
	}
	if j.Expires.IsZero() {
		j.Expires = c.arrived.Add(defaultTime)
	}
	if c.route.Kind == ward.ForwardStream {
		patience := max(leastPatience, patienceFactor*target, gapFactor*c.route.MaxGap.Std())
		if limit := c.arrived.Add(time.Duration(patienceMargin * float64(patience))); limit.Before(j.Expires) && !c.begun {
			j.Expires = limit
		}
		j.Prompt, j.Output = c.head.PromptTokens, c.head.MaxOutput
		if hint := c.head.OutputHint; hint > 0 && hint < j.Output {
			j.Output = hint
		}
		j.Output = max(j.Output, 1)
	}
	return j
}

// await hands the request to the scheduler and waits for its decision.
func (c *call) await(ctx context.Context) (schedule.Action, error) {
	g := c.gate
	w := &waiter{job: c.job(), action: make(chan schedule.Action, 1)}
	g.mu.Lock()
	g.lastID++
	w.job.ID = g.lastID
	g.waiters[w.job.ID] = w
	g.carryOut(g.sched.Arrive(w.job, time.Now()))
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
	// The decision came at the same moment.
	if a := <-w.action; a.Upstream != nil {
		g.carryOut(g.sched.Done(a.Job.ID, schedule.OutcomeNeutral, time.Now()))
	}
	return schedule.Action{}, ctx.Err()
}

// attempt sends the request to one upstream and tells whether the request has
// come to its end.
func (c *call) attempt(ctx context.Context, a schedule.Action) bool {
	now := time.Now()
	c.sentAt, c.firstAt = now, time.Time{}
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
	stall := c.stallTimer(a, cancel)
	defer stall.Stop()
	x, err := c.gate.Pool.Send(ctx, backend.Request{
		Address: a.Upstream.Address, Method: c.r.Method, Target: c.target(), Host: c.r.Host,
		Header: c.gate.Dialect.Outgoing(c.r.Header, hop), Body: c.body,
	})
	if err != nil {
		return c.noAnswer(ctx, a, err)
	}
	defer x.Close()
	c.tried = append(c.tried, a.Upstream.ID)
	return c.answer(ctx, a, x, stall)
}

func (c *call) target() string {
	if t := c.r.RequestURI; t != "" && t[0] == '/' {
		return t
	}
	return c.r.URL.RequestURI()
}

// done tells the scheduler how an attempt ended.
func (c *call) done(a schedule.Action, o schedule.Outcome) {
	g := c.gate
	g.Rollout.Observe(c.route.Name, c.service, c.outcome(a, o))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOut(g.sched.Done(a.Job.ID, o, time.Now()))
}

// outcome describes the end of an attempt as evidence on the upstream's version.
func (c *call) outcome(a schedule.Action, o schedule.Outcome) ward.Outcome {
	now := time.Now()
	out := ward.Outcome{
		Request: c.head.ID, Upstream: a.Upstream.ID, Version: a.Upstream.Version, Connected: true,
		OK:        o == schedule.OutcomeOK,
		Cancelled: o == schedule.OutcomeNeutral || o == schedule.OutcomeFull || o == schedule.OutcomeMoved,
		At:        now, Total: now.Sub(c.sentAt), PromptTokens: c.head.PromptTokens, OutputTokens: c.head.MaxOutput,
	}
	if !c.firstAt.IsZero() {
		out.FirstToken = c.firstAt.Sub(c.sentAt)
	}
	return out
}

// noAnswer ends an attempt that brought no answer.
func (c *call) noAnswer(ctx context.Context, a schedule.Action, err error) bool {
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	sent := !errors.Is(err, ward.ErrNotConnected)
	switch {
	case left:
		c.done(a, schedule.OutcomeNeutral)
	default:
		c.done(a, schedule.OutcomeUnreachable)
	}
	c.log.Info("attempt-failed", "upstream", a.Upstream.ID, "sent", sent, "error", err.Error(), "elapsed", time.Since(c.arrived))
	c.tried = append(c.tried, a.Upstream.ID)
	if !sent {
		c.misses++
		if left {
			return false // run reports how it ended
		}
		if c.misses <= maxMisses {
			return false
		}
		c.giveUp(code.UpstreamUnreachable, "no upstream could be connected to")
		return true
	}
	c.sends++
	c.mayHaveRun = true
	if left {
		return false
	}
	return !c.again(code.UpstreamFailed, "the upstream broke off: "+err.Error())
}

// again tells whether the request is sent once more; otherwise it is answered
// with the code.
func (c *call) again(k code.Code, why string) bool {
	if c.mayRepeat() {
		return true
	}
	c.giveUp(k, why)
	return false
}

// mayRepeat tells whether another send is allowed, and takes it from the budget.
func (c *call) mayRepeat() bool {
	if c.sends >= c.route.Attempts || c.mayHaveRun && !c.route.Repeatable() {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.budget.Take(c.service, time.Now())
}
