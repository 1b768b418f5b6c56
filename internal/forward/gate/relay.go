package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/relay"
	"agateward/internal/forward/shutdown"
	"agateward/internal/result/code"
	"agateward/ward"
)

// maxRelays bounds the entries to which one request is relayed.
const maxRelays = 3

// refusedElsewhere reports whether a third entry may take a relayed request that another
// one refused with a code: that one stops, reaches no upstream either, or has another
// configuration.
func refusedElsewhere(number int) bool {
	switch number {
	case code.Stopping.Number, code.NotReady.Number, code.NoUpstream.Number, code.UpstreamUnreachable.Number,
		code.UnknownRoute.Number, code.BadTeamKey.Number:
		return true
	}
	return false
}

// Relay connects a gate to those of other entries.
type Relay struct {
	// Pool holds the connections to other entries.
	Pool *backend.Pool
	// Entries returns the addresses at which the other entries of the fleet take relayed
	// requests. It must not block.
	Entries func() []string
	// DataCentre returns the data centre of the entry with an address, "" if it is not
	// known. It must not block.
	DataCentre func(address string) string
}

// relayTargets returns addresses of entries that may reach upstreams, in random order:
// those that heard some, or else any.
// Entries to which the body may not go are left out.
func (c *call) relayTargets() []string {
	g := c.gate
	var list []string
	g.locked(func() { list = g.links.Connected(time.Now()) })
	forbidden := func(address string) bool { return !c.mayRelayTo(address) }
	if list = slices.DeleteFunc(list, forbidden); len(list) == 0 {
		list = slices.DeleteFunc(g.Relay.Entries(), forbidden)
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:min(len(list), maxRelays)]
}

// relayIfLost passes the request on to another entry if this one has lost its links to
// upstreams, and reports whether the request is finished. One that no entry takes stays with
// this one.
func (c *call) relayIfLost(ctx context.Context) bool {
	if c.next != nil || c.gate.Relay == nil || c.from != "" || c.relayed || c.outlastsStop() || !c.gate.relays() {
		return false
	}
	c.relayed = true
	for _, address := range c.relayTargets() {
		if c.relayTo(ctx, address) {
			return true
		}
	}
	return false
}

// outlastsStop reports whether it is late in a stop of the entry and nothing ends the
// request before the exit, so that no part of it is begun any more.
func (c *call) outlastsStop() bool {
	s := c.gate.shutdown.Load()
	return s != nil && !c.started && shutdown.Outlasts(c.deadline, s.Late(), s.End(), time.Now())
}

// relayTo passes the request on to another entry and reports whether it is finished.
func (c *call) relayTo(ctx context.Context, address string) bool {
	g, now := c.gate, time.Now()
	e := relay.Envelope{From: g.name, Sends: c.sends, LastEvent: c.lastEvent}
	if !c.deadline.IsZero() {
		e.Remaining = max(c.deadline.Sub(now), time.Millisecond)
	}
	c.enter(StateSent)
	c.log.Info("request-relayed", "to", address, "route", c.route.Name, "sends", c.sends, "last-event", c.lastEvent)
	x, err := g.Relay.Pool.Send(ctx, backend.Request{
		ID: c.head.ID, Address: address, Method: c.r.Method, Target: c.requestTarget(), Host: c.r.Host, Header: e.Wrap(c.r.Header), Body: c.body,
	})
	if errors.Is(err, ward.ErrNotConnected) && ctx.Err() == nil {
		g.Metrics.relayed(relayNotConnected)
		c.log.Info("relay-failed", "to", address, "sent", false, "error", err.Error())
		return false
	}
	if err != nil {
		return c.relayBroken(ctx, address, err)
	}
	defer x.Close()
	if id := x.Header.Get(g.Dialect.RequestID()); id != c.head.ID {
		return c.relayBroken(ctx, address, errOtherAnswer)
	}
	switch n, err := strconv.Atoi(x.Header.Get(relay.FieldRefused)); {
	case err != nil:
		g.relayServed(address)
	case refusedElsewhere(n) || c.started && code.PromisesNotRun(x.Status):
		x.Drain(maxRejection)
		g.Metrics.relayed(relayRefused)
		c.log.Info("relay-failed", "to", address, "sent", true, "code", n)
		return false
	}
	return c.relayAnswer(ctx, address, x)
}

var errOtherAnswer = errors.New(otherRequest)

// relayBroken handles the end of a relayed request without a whole answer: an upstream
// may have run it. It reports whether the request is finished.
func (c *call) relayBroken(ctx context.Context, address string, err error) bool {
	c.sends++
	c.mayHaveRun = true
	c.gate.Metrics.relayed(relayBroken)
	c.log.Info("relay-failed", "to", address, "sent", true, "error", err.Error(), "elapsed", time.Since(c.arrived))
	if ctx.Err() != nil {
		c.cancelled(ctx)
		return true
	}
	return !c.retry(code.UpstreamFailed, "no answer from another entry: "+err.Error())
}

// relayAnswer passes on the answer of another entry and reports whether the request is
// finished.
func (c *call) relayAnswer(ctx context.Context, address string, x *backend.Exchange) bool {
	if c.route.Kind == ward.ForwardStream && x.Status < 300 {
		return c.relayEvents(ctx, address, x)
	}
	body, err := c.readAnswer(ctx, address, x, x.Body)
	if err != nil {
		return c.relayBroken(ctx, address, err)
	}
	c.gate.Metrics.relayed(relayAnswered)
	notRun := code.PromisesNotRun(x.Status)
	if notRun {
		c.refund()
	}
	switch {
	case c.started:
		return c.relayBroken(ctx, address, fmt.Errorf("%w: status %d", errOtherKind, x.Status))
	case c.mayHaveRun && notRun:
		c.fail(code.UpstreamFailed, "another entry refused the request with "+strconv.Itoa(x.Status))
	default:
		(&bufferedAnswer{upstream: address, status: x.Status, endedBy: x.EndedBy(), header: x.Header, body: body}).write(c)
	}
	return true
}

// relayEvents passes on a stream of another entry as its events arrive.
func (c *call) relayEvents(ctx context.Context, address string, x *backend.Exchange) bool {
	if err := checkResumed(c.begun, x); err != nil {
		return c.relayBroken(ctx, address, err)
	}
	events := c.readEvents(address, x)
	defer events.claim.Release()
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			c.noteProgress()
			err = c.relayEvent(e, x)
		}
		if err != nil {
			return c.relayBroken(ctx, address, err)
		}
	}
	c.startAnswer(x)
	c.gate.Metrics.relayed(relayAnswered)
	c.end("request-answered", "upstream", address, "status", x.Status, "ended-by", x.EndedBy(), "last-event", c.lastEvent, "elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.answered(c.route, x.Status, time.Since(c.arrived))
	return true
}

// ServeRelayed serves a request that another entry relays. It charges no quota, as that
// entry has, and relays it no further.
func (g *Gate) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	e, err := relay.Open(r.Header)
	if err != nil {
		g.Ignored.Note(g.Log, "relayed-request-invalid", "request", g.loggedID(r), "from", r.RemoteAddr, "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.serve(&call{gate: g, w: w, r: r, arrived: time.Now(), from: e.From, envelope: e, sends: e.Sends, log: g.Log.WithValues("from", e.From)})
}

// DenyRelayed refuses a request whose sender is not known as an entry: another entry may
// know it.
func (g *Gate) DenyRelayed(w http.ResponseWriter, r *http.Request) {
	g.Ignored.Note(g.Log, "relayed-request-denied", "request", g.loggedID(r), "from", r.RemoteAddr)
	w.Header().Set(g.Dialect.RequestID(), r.Header.Get(g.Dialect.RequestID()))
	w.Header().Set(relay.FieldRefused, strconv.Itoa(code.NotReady.Number))
	w.WriteHeader(http.StatusForbidden)
}
