package gate

import (
	"time"

	"agateward/internal/forward/returns"
	"agateward/internal/forward/schedule"
)

// Values of the label result of refused callers and of their returns.
const (
	returnPromised   = "promised"
	returnUnpromised = "unpromised"
	returnServed     = "served"
	returnRefused    = "refused"
)

// checkReturn recognizes a request whose caller was refused before and comes back as
// promised. It has an effect once a request.
func (c *call) checkReturn() {
	if c.returnChecked || c.started || c.mayHaveRun {
		return
	}
	c.returnChecked = true
	g := c.gate
	g.mu.Lock()
	due := g.sched.ReturnsDue(time.Now())
	g.mu.Unlock()
	if !due {
		return
	}
	digest := c.contentDigest()
	now := time.Now()
	g.mu.Lock()
	p, ok := g.sched.TakeReturn(digest, now)
	g.mu.Unlock()
	if !ok {
		return
	}
	c.returned = &p
	c.log.Info("request-returned", "digest", c.digestText(), "since-first", now.Sub(p.Arrived), "since-due", now.Sub(p.From))
	g.returnsChanged()
}

// markReturn makes a job of a returned request precede others of its rank. Its target
// counts from the first arrival.
func (c *call) markReturn(j *schedule.Job) {
	if p := c.returned; p != nil {
		j.Returned, j.Arrived, j.Due = true, p.Arrived, p.Arrived.Add(c.target())
	}
}

// countReturn counts the first dispatch of a returned request.
func (c *call) countReturn() {
	if c.returned != nil && !c.returnCounted {
		c.returnCounted = true
		c.gate.Metrics.returned(returnServed)
	}
}

// promiseReturn makes the offer of a refusal a promise, and sets the retry delay to it.
func (c *call) promiseReturn(a *schedule.Action) {
	if !a.WantsRoom {
		return
	}
	g := c.gate
	if a.Offer == nil {
		g.Metrics.returned(returnUnpromised)
		return
	}
	digest := c.contentDigest()
	g.mu.Lock()
	a.RetryAfter, c.promised = g.sched.Promise(*a, digest, time.Now())
	g.mu.Unlock()
	if !c.promised {
		g.Metrics.returned(returnUnpromised)
		return
	}
	g.Metrics.returned(returnPromised)
	g.returnsChanged()
}

// withdrawOffer gives the offered place of a refusal back whose request may have run: it is
// not answered as one that may come again.
func (g *Gate) withdrawOffer(a schedule.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.Withdraw(a)
}

// returnsChanged requests a message about promises to refused callers.
func (g *Gate) returnsChanged() {
	if g.ReturnsChanged != nil {
		g.ReturnsChanged()
	}
}

// ReturnNews returns what the other entries of the data centre are to hear of promises, and
// whether there is more than fits into one message.
func (g *Gate) ReturnNews() (news returns.News, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	news = g.sched.ReturnNews(time.Now())
	return news, g.sched.HasReturnNews()
}

// MergeReturns takes over the promises of another entry. Invalid ones are ignored: their
// callers are served as new ones.
func (g *Gate) MergeReturns(from string, n returns.News) {
	g.mu.Lock()
	ignored := g.sched.LearnReturns(n, time.Now())
	g.mu.Unlock()
	if ignored > 0 {
		g.Ignored.Note(g.Log, "return-news-invalid", "peer", from, "ignored", ignored, "promises", len(n.Given), "used", len(n.Used))
	}
}

// openPromises returns the number of promises that this entry holds.
func (g *Gate) openPromises() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.OpenPromises(time.Now())
}

// returned counts a refusal for want of room (promised, unpromised), or a return (served,
// refused).
func (m *Metrics) returned(result string) {
	m.count("agateward_forward_returns_total{result=%q}", result)
}

// promised registers the number of open promises.
func (m *Metrics) promised(n func() int) {
	if m != nil {
		m.Set.GetOrCreateGauge("agateward_forward_promises_open", func() float64 { return float64(n()) })
	}
}
