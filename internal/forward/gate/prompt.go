package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"agateward/internal/forward/digest"
	"agateward/internal/forward/poison"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
)

// maxUnbegunEvents is the number of events up to which an upstream that ends may have
// ended because it began to answer the request.
const maxUnbegunEvents = 2

// promptTarget returns the version that a dispatch goes to.
func (c *call) promptTarget(a schedule.Action) poison.Target {
	return poison.Target{Service: c.service, Version: a.Upstream.Version}
}

// pickGroup reports whether the prompt may be sent to the group of the request, or else
// to the version in use. If a part bars it from both, the request is answered.
func (c *call) pickGroup() bool {
	v := c.promptBarred()
	if v.Blocked && c.group != c.service {
		c.group = c.service
		v = c.promptBarred()
	}
	if v.Blocked {
		c.refusePrompt(v)
	}
	return !v.Blocked
}

// promptBarred returns the verdict on a prompt that a part bars from every version of the
// group.
func (c *call) promptBarred() poison.Verdict {
	if len(c.parts) == 0 {
		return poison.Verdict{}
	}
	g := c.gate
	var v poison.Verdict
	g.mu.Lock()
	versions := g.sched.Versions(c.group)
	now := time.Now()
	for _, version := range versions {
		if v = g.prompts.Barred(poison.Target{Service: c.service, Version: version}, c.parts, g.fleet(), now); !v.Blocked {
			break
		}
	}
	g.mu.Unlock()
	return v
}

// checkPrompt decides whether a dispatch may be sent. A request that tries a blocked part
// keeps its turn until the end of the attempt.
func (c *call) checkPrompt(a schedule.Action) poison.Verdict {
	if len(c.parts) == 0 {
		return poison.Verdict{}
	}
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.prompts.Check(c.promptTarget(a), c.parts, g.fleet(), time.Now())
	c.trial = v.Trial
	return v
}

// stillAllowed reports whether no part of the prompt has been blocked since checkPrompt.
func (c *call) stillAllowed(a schedule.Action) bool {
	if len(c.parts) == 0 || len(c.trial) > 0 {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return !c.gate.prompts.Barred(c.promptTarget(a), c.parts, c.gate.fleet(), time.Now()).Blocked
}

// refusePrompt answers a request with a blocked part.
func (c *call) refusePrompt(v poison.Verdict) {
	part := strconv.FormatUint(v.Suspect.ID, 16)
	c.gate.Metrics.promptRefused()
	reason := fmt.Sprintf("%d upstreams of version %s crashed under part %s of the prompt", v.Count, v.Suspect.Version, part)
	if c.started || c.mayHaveRun || c.fallback != nil {
		c.noRetry = noRetryPrompt
		c.fail(code.UpstreamFailed, reason)
		return
	}
	c.refund()
	c.respond(code.PromptBlocked, v.RetryAfter, reason)
}

// promptBegun records that an upstream has begun to answer.
func (c *call) promptBegun(a schedule.Action) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.prompts.Begun(c.promptTarget(a), time.Now())
}

// observePrompt records what the end of an attempt says about the parts of its prompt.
func (c *call) observePrompt(a schedule.Action, o schedule.Outcome) {
	g, now := c.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case o == schedule.OutcomeOK:
		c.promptsChanged("prompt-part-cleared", a, g.prompts.Answered(c.promptTarget(a), c.parts, now))
	case c.crashed && c.events <= maxUnbegunEvents:
		g.Metrics.promptCrashed()
		c.promptsChanged("prompt-part-suspect", a, g.prompts.Crashed(c.promptTarget(a), schedule.IdentityOf(a.Upstream), c.parts, now))
	}
	g.prompts.Abandon(c.trial, true, now)
	c.trial = nil
}

// endTrial gives the turns of an attempt back that was not sent.
func (c *call) endTrial() {
	if len(c.trial) == 0 {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.prompts.Abandon(c.trial, false, time.Now())
	c.trial = nil
}

// mayRepeatPrompt reports whether the request may be sent again although upstreams
// crashed under a part of its prompt.
func (c *call) mayRepeatPrompt() bool {
	if len(c.parts) == 0 {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.prompts.MayRepeat(c.service, c.parts)
}

// promptsChanged logs and broadcasts news of parts. The caller must hold mu of the gate.
func (c *call) promptsChanged(event string, a schedule.Action, parts []poison.Suspect) {
	for _, p := range parts {
		c.log.Info(event, "part", strconv.FormatUint(p.ID, 16), "service", p.Service, "version", p.Version, "crashes", c.gate.prompts.Count(p),
			"upstream", a.Upstream.ID, "born", a.Upstream.Born, "source", sourceAnswer)
	}
	c.gate.announcePrompts(parts)
}

// announcePrompts hands news of parts to the broadcast. The caller must hold mu.
func (g *Gate) announcePrompts(parts []poison.Suspect) {
	if len(parts) == 0 || g.PromptsChanged == nil {
		return
	}
	g.PromptsChanged(parts)
}

// PromptReports returns what is known of the given parts, of the most suspect ones if
// parts is nil.
func (g *Gate) PromptReports(parts []poison.Suspect) []poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if parts == nil {
		return g.prompts.Reports(time.Now())
	}
	return g.prompts.ReportsOf(parts, time.Now())
}

// MergePrompts takes over the reports of another entry.
func (g *Gate) MergePrompts(from string, reports []poison.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.prompts.Merge(reports, time.Now())
	for _, p := range changed {
		g.Log.Info("prompt-part-reported", "part", strconv.FormatUint(p.ID, 16), "service", p.Service, "version", p.Version, "crashes", g.prompts.Count(p), "source", sourcePeer, "peer", from)
	}
	g.announcePrompts(changed)
}

// fleet returns the number of entries and the index of this one.
func (g *Gate) fleet() poison.Fleet {
	if g.Fleet == nil {
		return poison.Fleet{Entries: 1}
	}
	f := g.Fleet()
	return poison.Fleet{Entries: f.Entries, Index: f.Index}
}

// endedWithUpstream reports whether an error shows that the connection ended at the
// upstream's side.
func endedWithUpstream(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// contentDigests returns the digests of the request, the most specific one last.
func (c *call) contentDigests() []uint64 {
	if c.digests == nil {
		r := digest.Request{Method: c.r.Method, Host: c.r.Host, Target: c.requestTarget(), Prompt: c.head.Prompt, Body: c.body}
		if c.team != nil {
			r.Team = c.team.Name
		}
		c.digests = r.Sums()
	}
	return c.digests
}

// digestText returns the most specific digest of the request for a log line.
func (c *call) digestText() string {
	list := c.contentDigests()
	return strconv.FormatUint(list[len(list)-1], 16)
}

// sharedParts returns the ids of the shared parts of the prompt, each once.
func (c *call) sharedParts() []uint64 {
	var ids []uint64
	for _, p := range c.head.Parts {
		if !slices.Contains(ids, p.ID) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
