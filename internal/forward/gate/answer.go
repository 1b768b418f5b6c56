package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/internal/upstream/header"
	"agateward/internal/upstream/sse"
	"agateward/ward"
)

const (
	// maxWhole bounds an answer in bytes that is held until it is whole.
	maxWhole = 4 << 20
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// stallFactor and the least stall times say after how many times the expected
	// time a request that may be repeated is taken elsewhere.
	stallFactor      = 6
	leastStreamStall = time.Second
	leastPlainStall  = 150 * time.Millisecond
	// pauseStall is the pause within a stream after which it is resumed at another
	// upstream.
	pauseStall = 1200 * time.Millisecond
)

var (
	errAnswer  = errors.New("the answer cannot be used")
	errSkipped = errors.New("an event is missing")
)

// stallTimer ends the attempt of a repeatable request when nothing comes.
func (c *call) stallTimer(a schedule.Action, cancel context.CancelCauseFunc) *time.Timer {
	if !c.route.Repeatable() || c.sends+1 >= c.route.Attempts {
		return time.AfterFunc(time.Hour, func() {})
	}
	least := leastPlainStall
	if c.route.Kind == ward.ForwardStream {
		least = leastStreamStall
	} else {
		least = max(least, 2*c.route.Target.Std())
	}
	return time.AfterFunc(max(stallFactor*a.Predicted, least), func() { cancel(errStalled) })
}

// answer hands an answer on and tells whether the request has come to its end.
func (c *call) answer(ctx context.Context, a schedule.Action, x *backend.Exchange, stall *time.Timer) bool {
	reply := c.gate.Dialect.Reply(x.Status, x.Header)
	if reply.NotRun {
		return c.notRun(a, x)
	}
	c.sends++
	c.mayHaveRun = true
	if fault := c.fault(x, reply); fault != "" {
		c.done(a, schedule.OutcomeFailed)
		c.log.Info("answer-refused", "upstream", a.Upstream.ID, "status", x.Status, "cause", fault, "elapsed", time.Since(c.arrived))
		return !c.again(code.AnswerMismatch, fault)
	}
	if c.route.Kind == ward.ForwardStream && x.Status < 300 {
		return c.stream(ctx, a, x, stall)
	}
	return c.whole(ctx, a, x)
}

// fault says why an answer does not belong to the request or is not whole.
func (c *call) fault(x *backend.Exchange, reply ward.ForwardReply) string {
	switch {
	case reply.ID != c.head.ID:
		return "the answer is to another request"
	case x.Status < 300 && !reply.Signed:
		return "a success without the upstream's signature"
	case x.Header.Get("Content-Encoding") != "":
		return "the body was encoded on its way"
	}
	return ""
}

// notRun goes on after an upstream said that it did not run the request.
func (c *call) notRun(a schedule.Action, x *backend.Exchange) bool {
	// Reading the short body lets the connection be kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, 4<<10))
	o := schedule.OutcomeFull
	if x.Status == http.StatusMisdirectedRequest {
		o = schedule.OutcomeMoved
	}
	c.done(a, o)
	c.sends++
	c.log.Info("attempt-not-run", "upstream", a.Upstream.ID, "status", x.Status, "elapsed", time.Since(c.arrived))
	if x.Status == http.StatusBadRequest {
		c.giveUp(code.BadHeader, "the upstream could not read the request")
		return true
	}
	return !c.again(code.UpstreamUnreachable, "the upstream has no room")
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func (o *whole) write(c *call) {
	c.copyHeader(o.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
	c.w.WriteHeader(o.status)
	// The caller may be gone; the answer is complete either way.
	_, _ = c.w.Write(o.body)
	c.log.Info("request-answered", "status", o.status, "bytes", len(o.body), "elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.answered(c.route, o.status, time.Since(c.arrived))
}

// copyHeader replaces what this entry set by the fields of the answer; only
// Connection stays.
func (c *call) copyHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range (header.Filter{}).Answer(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
	to.Set(c.gate.Dialect.RequestID(), c.head.ID)
}

// whole reads an answer to its end before it hands it on.
func (c *call) whole(ctx context.Context, a schedule.Action, x *backend.Exchange) bool {
	c.first(a)
	body, err := io.ReadAll(io.LimitReader(x.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errAnswer
	}
	if err != nil {
		return c.cut(ctx, a, err)
	}
	failed := x.Status >= http.StatusInternalServerError
	o := schedule.OutcomeOK
	if failed {
		o = schedule.OutcomeFailed
	}
	c.done(a, o)
	out := &whole{status: x.Status, header: x.Header, body: body}
	if failed && !c.begun {
		c.fallback = out
		if c.mayRepeat() {
			c.log.Info("attempt-failed", "upstream", a.Upstream.ID, "status", x.Status, "elapsed", time.Since(c.arrived))
			return false
		}
	}
	if c.begun {
		c.giveUp(code.AnswerCut, "the resumed stream was refused with "+strconv.Itoa(x.Status))
		return true
	}
	out.write(c)
	return true
}

// cut goes on after an answer broke off.
func (c *call) cut(ctx context.Context, a schedule.Action, err error) bool {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		c.done(a, schedule.OutcomeNeutral)
		return false
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errStalled
		c.done(a, schedule.OutcomeUnreachable)
	} else {
		c.done(a, schedule.OutcomeFailed)
	}
	c.log.Info("answer-broken", "upstream", a.Upstream.ID, "error", err.Error(), "last-event", c.lastEvent, "elapsed", time.Since(c.arrived))
	return !c.again(code.AnswerCut, err.Error())
}

func (c *call) first(a schedule.Action) {
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.sched.FirstEvent(a.Job.ID, time.Now())
}

// leastPaced is the number of events from which a stream tells its pace.
const leastPaced = 4

func (c *call) paced(a schedule.Action, events int, d time.Duration) {
	if events < leastPaced {
		return
	}
	tokens := (events - 1) * c.table.Stride(c.service)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.sched.ObservePace(a.Job.ID, d/time.Duration(tokens))
}

// stream hands whole events on as they come.
func (c *call) stream(ctx context.Context, a schedule.Action, x *backend.Exchange, stall *time.Timer) bool {
	events := sse.Reader{R: x.Body, Max: maxEvent}
	n := 0
	var begun time.Time
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.cut(ctx, a, err)
		}
		if n == 0 {
			c.first(a)
			begun = time.Now()
		} else if n%4 == 0 {
			c.gate.mu.Lock()
			c.gate.sched.Progress(a.Job.ID, time.Now())
			c.gate.mu.Unlock()
		}
		n++
		if c.route.Repeatable() && c.sends < c.route.Attempts {
			stall.Reset(pauseStall)
		}
		if err := c.pass(e, x); err != nil {
			return c.cut(ctx, a, err)
		}
	}
	c.paced(a, n, time.Since(begun))
	c.done(a, schedule.OutcomeOK)
	c.begin(x)
	c.log.Info("request-answered", "status", x.Status, "events", n, "last-event", c.lastEvent, "elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.answered(c.route, x.Status, time.Since(c.arrived))
	return true
}

// begin writes the head of the answer, once.
func (c *call) begin(x *backend.Exchange) {
	if c.begun {
		return
	}
	c.begun = true
	c.copyHeader(x.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(x.Status)
	c.gate.Metrics.first(c.route, time.Since(c.arrived))
}

// pass hands one event on. Events that the caller has already are left out.
func (c *call) pass(e sse.Event, x *backend.Exchange) error {
	if e.ID != "" {
		id, err := strconv.ParseInt(e.ID, 10, 64)
		if err == nil {
			if id <= c.lastEvent {
				return nil
			}
			if c.lastEvent >= 0 && id != c.lastEvent+1 {
				return errSkipped
			}
			c.lastEvent = id
		}
	}
	c.begin(x)
	if _, err := c.w.Write(e.Raw); err != nil {
		return err
	}
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}
