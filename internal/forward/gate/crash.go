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

	"github.com/go-logr/logr"
)

// maxUnbegunEvents is the number of events up to which an upstream that ends may have
// ended because it began to answer the request.
const maxUnbegunEvents = 2

// crashTarget returns the version that a dispatch goes to.
func (c *call) crashTarget(a schedule.Action) poison.Target {
	return poison.Target{Service: c.service, Version: a.Upstream.Version}
}

// pickGroup reports whether the request may be sent to its group, or else to the version
// in use. If crashes bar it from both, it is answered.
func (c *call) pickGroup() bool {
	v := c.barred()
	if v.Blocked && c.group != c.service {
		c.group = c.service
		v = c.barred()
	}
	if v.Blocked {
		c.refuseBlocked(v)
	}
	return !v.Blocked
}

// barred returns the verdict on a request that crashes bar from every version of its
// group.
func (c *call) barred() poison.Verdict {
	g, content := c.gate, c.crashContent()
	var v poison.Verdict
	g.mu.Lock()
	defer g.mu.Unlock()
	versions := g.sched.Versions(c.group)
	now := time.Now()
	for _, version := range versions {
		if v = g.crashes.Barred(poison.Target{Service: c.service, Version: version}, content, g.fleet(), now); !v.Blocked {
			break
		}
	}
	return v
}

// checkCrashes decides whether a dispatch may be sent. A request that tries a blocked
// suspect keeps its turn until the end of the attempt.
func (c *call) checkCrashes(a schedule.Action) poison.Verdict {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.crashes.Check(c.crashTarget(a), c.crashContent(), g.fleet(), time.Now())
	c.trial = v.Trial
	return v
}

// stillAllowed reports whether nothing of the request has been blocked since
// checkCrashes. It is called right before the request is written.
func (c *call) stillAllowed(a schedule.Action) bool {
	g, now := c.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(c.trial) > 0 {
		c.suspectsChanged(eventsTried, a, g.crashes.Tried(c.trial, now))
		return true
	}
	return !g.crashes.Barred(c.crashTarget(a), c.crashContent(), g.fleet(), now).Blocked
}

// refuseBlocked answers a request under which upstreams crash.
func (c *call) refuseBlocked(v poison.Verdict) {
	k, retry := code.PromptBlocked, noRetryPrompt
	reason := fmt.Sprintf("%d upstreams of version %s crashed under part %s of the prompt", v.Count, v.Suspect.Version, suspectText(v.Suspect))
	if v.Suspect.Kind == poison.Request {
		k, retry = code.RequestBlocked, noRetryRequest
		reason = fmt.Sprintf("%d upstreams crashed under the request with digest %s", v.Count, suspectText(v.Suspect))
	}
	c.gate.Metrics.crashRefused(v.Suspect.Kind)
	if c.started || c.mayHaveRun || c.fallback != nil {
		c.noRetry = retry
		c.fail(code.UpstreamFailed, reason)
		return
	}
	c.refund()
	c.respond(k, v.RetryAfter, reason)
}

// answerBegun records that an upstream has begun to answer.
func (c *call) answerBegun(a schedule.Action) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.crashes.Begun(c.crashTarget(a), time.Now())
}

// observeCrash records what the end of an attempt says about the request.
func (c *call) observeCrash(a schedule.Action, o schedule.Outcome) {
	g, now := c.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case o == schedule.OutcomeOK:
		c.suspectsChanged(eventsCleared, a, g.crashes.Answered(c.crashTarget(a), c.crashContent(), now))
	case c.crashed && c.events <= maxUnbegunEvents && !g.links.Lost():
		g.Metrics.promptCrashed()
		c.suspectsChanged(eventsSuspect, a, g.crashes.Crashed(c.crashTarget(a), schedule.IdentityOf(a.Upstream), c.crashContent(), now))
	}
	g.crashes.Abandon(c.trial, true, now)
	c.trial = nil
}

// endTrial gives the turns of an attempt back that was not sent.
func (c *call) endTrial() {
	if len(c.trial) == 0 {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.crashes.Abandon(c.trial, false, time.Now())
	c.trial = nil
}

// mayRepeatCrashed reports whether the request may be sent again although upstreams
// crashed under it or under a part of its prompt.
func (c *call) mayRepeatCrashed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.crashes.MayRepeat(c.service, c.crashContent())
}

// suspectEvents are the log events of one kind of news of suspects, by the kind of the
// suspect.
type suspectEvents struct{ part, request string }

var (
	eventsSuspect  = suspectEvents{"prompt-part-suspect", "request-suspect"}
	eventsReported = suspectEvents{"prompt-part-reported", "request-reported"}
	eventsCleared  = suspectEvents{"prompt-part-cleared", "request-cleared"}
	eventsTried    = suspectEvents{"prompt-part-tried", "request-tried"}
)

// logSuspect logs news of a suspect. The caller must hold mu.
func (g *Gate) logSuspect(l logr.Logger, e suspectEvents, p poison.Suspect) {
	if n := g.crashes.Count(p); p.Kind == poison.Request {
		l.Info(e.request, "digest", suspectText(p), "crashes", n)
	} else {
		l.Info(e.part, "part", suspectText(p), "service", p.Service, "version", p.Version, "crashes", n)
	}
}

// suspectText returns the id of a suspect as log lines have it.
func suspectText(p poison.Suspect) string { return strconv.FormatUint(p.ID, 16) }

// suspectsChanged logs and broadcasts news of suspects that an attempt gave. The caller must
// hold mu of the gate.
func (c *call) suspectsChanged(e suspectEvents, a schedule.Action, list []poison.Suspect) {
	l := c.log.WithValues("upstream", a.Upstream.ID, "born", a.Upstream.Born, "source", sourceAnswer)
	for _, p := range list {
		c.gate.logSuspect(l, e, p)
	}
	c.gate.announceSuspects(list)
}

// announceSuspects hands news of suspects to the broadcast. The caller must hold mu.
func (g *Gate) announceSuspects(list []poison.Suspect) {
	if len(list) == 0 || g.SuspectsChanged == nil {
		return
	}
	g.SuspectsChanged(list)
}

// CrashReports returns what is known of the given suspects, of those with most crashes if
// list is nil.
func (g *Gate) CrashReports(list []poison.Suspect) []poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if list == nil {
		return g.crashes.Reports(time.Now())
	}
	return g.crashes.ReportsOf(list, time.Now())
}

// MergeCrashes takes over the reports of another entry.
func (g *Gate) MergeCrashes(from string, reports []poison.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.crashes.Merge(reports, time.Now())
	l := g.Log.WithValues("source", sourcePeer, "peer", from)
	for _, p := range changed {
		g.logSuspect(l, eventsReported, p)
	}
	g.announceSuspects(changed)
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

// crashContent returns what of the request may crash upstreams.
func (c *call) crashContent() poison.Content {
	return poison.Content{Parts: c.parts, Digest: c.contentDigest()}
}

// contentDigest returns the digest of the request.
func (c *call) contentDigest() uint64 {
	if c.digest == 0 {
		r := digest.Request{Method: c.r.Method, Host: c.r.Host, Target: c.requestTarget(), Prompt: c.head.Prompt, Body: c.body}
		if c.team != nil {
			r.Team = c.team.Name
		}
		c.digest = r.Sum()
	}
	return c.digest
}

// digestText returns the digest of the request as log lines have it.
func (c *call) digestText() string { return strconv.FormatUint(c.contentDigest(), 16) }

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
