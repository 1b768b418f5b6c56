package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/body"
	"agateward/internal/forward/buffer"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/internal/upstream/header"
	"agateward/ward"
)

const (
	// maxBuffered bounds a buffered answer in bytes.
	maxBuffered = 4 << 20
	// maxRejection bounds the body of a rejection, in bytes, that is read so that the
	// connection can be reused.
	maxRejection = 4 << 10
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// maxQuiet bounds the bytes of a stream that bring no further event. An upstream may
	// send comments while a request waits, some bytes a second.
	maxQuiet = 1 << 20
)

var (
	errEventUnplaced  = errors.New("an event of the resumed stream has no id")
	errOtherKind      = errors.New("the resumed stream was answered with something else")
	errEventMissing   = errors.New("an event is missing from the stream")
	errNoFurtherEvent = fmt.Errorf("no further event of the stream in %d bytes", maxQuiet)
)

// handleAnswer relays an answer and reports whether the request is finished.
func (c *call) handleAnswer(ctx context.Context, a schedule.Action, x *backend.Exchange, stall *silence) bool {
	reply := c.gate.Dialect.Reply(x.Status, x.Header)
	c.gate.Metrics.upstreamAnswered(x.Status, c.statement(reply))
	reason := c.mismatch(x, reply)
	c.noteStatements(a, x, reply, reason)
	c.excludeSample(a, x, reason)
	if reply.NotRun || reason != "" {
		c.endSilence(stall, false)
	}
	if reply.NotRun && reason == "" {
		return c.handleNotRun(a, x, reply.ID)
	}
	c.sends++
	c.mayHaveRun = true
	if reason != "" {
		// Only on a connection that carried an earlier request can the answer be that
		// request's. The upstream sent it in any case.
		c.strayAnswer = x.Reused && reason == otherRequest
		c.finishAttempt(a, schedule.OutcomeFailed)
		c.log.Info("answer-refused", "upstream", a.Upstream.ID, "status", x.Status, "cause", reason, "answer-to", reply.ID, "elapsed", time.Since(c.arrived))
		return !c.retry(code.AnswerMismatch, reason)
	}
	if c.route.Kind == ward.ForwardStream && x.Status < 300 {
		return c.relayStream(ctx, a, x, stall)
	}
	return c.relayBuffered(ctx, a, x, stall)
}

// statement returns what an upstream's answer says about its request, for the metrics.
func (c *call) statement(reply ward.ForwardReply) string {
	switch {
	case reply.ID != "" && reply.ID != c.head.ID:
		return statementOther
	case reply.NotRun:
		return statementNotRun
	}
	return statementNone
}

// otherRequest is the reason to refuse an answer that does not name the request.
const otherRequest = "the answer belongs to another request"

// mismatch returns why an answer does not belong to the request or was modified, or
// "".
func (c *call) mismatch(x *backend.Exchange, reply ward.ForwardReply) string {
	switch {
	case reply.ID == "" && reply.NotRun && !x.Reused:
		// A server that doesn't read the request may not know its id. On a new
		// connection no other request can be meant.
		return ""
	case reply.ID != c.head.ID:
		return otherRequest
	case reply.NotRun:
		return ""
	case x.Status < 300 && !reply.Signed:
		return "the successful answer lacks the upstream's signature"
	case x.Header.Get("Content-Encoding") != "":
		return "the body was encoded in transit"
	}
	return ""
}

// handleNotRun finishes an attempt that the upstream answered without running the
// request, and reports whether the request is finished.
func (c *call) handleNotRun(a schedule.Action, x *backend.Exchange, answerTo string) bool {
	x.Drain(maxRejection)
	o := schedule.OutcomeFull
	if x.Status == http.StatusMisdirectedRequest {
		o = schedule.OutcomeMoved
	}
	c.finishAttempt(a, o)
	c.sends++
	c.log.Info("attempt-not-run", "upstream", a.Upstream.ID, "status", x.Status, "answer-to", answerTo, "elapsed", time.Since(c.arrived))
	if x.Status == http.StatusBadRequest {
		c.fail(code.BadHeader, "the upstream could not read the request")
		return true
	}
	return !c.retry(code.UpstreamUnreachable, "the upstream has no capacity")
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	upstream string
	status   int
	// endedBy is Exchange.EndedBy.
	endedBy string
	header  http.Header
	body    *body.Body
}

func (b *bufferedAnswer) write(c *call) {
	c.copyHeader(b.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(b.body.Len()))
	c.w.WriteHeader(b.status)
	_, err := b.body.WriteTo(c.newWholeWriter(b.body))
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, buffer.ErrFull) {
		c.end("caller-cut", "cause", "the caller took nothing of its answer: "+err.Error(), "bound", c.gate.takeTimeout(), "bytes", b.body.Len(), "elapsed", time.Since(c.arrived))
		c.gate.Metrics.callerCut()
		panic(http.ErrAbortHandler)
	}
	// Another write error means that the caller has left; nothing else can be done.
	c.end("request-answered", "upstream", b.upstream, "status", b.status, "ended-by", b.endedBy, "bytes", b.body.Len(), "elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.answered(c.route, b.status, time.Since(c.arrived))
	c.gate.Metrics.notRunPromised(b.status, sourceUpstream, c.sends)
}

// copyHeader copies the fields of the answer over those that this entry set; of
// these, only Connection stays.
func (c *call) copyHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range (header.Filter{}).Answer(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents net/http from sniffing one
	}
	to.Set(c.gate.Dialect.RequestID(), c.head.ID)
}

// relayBuffered reads an answer completely, relays it and reports whether the request
// is finished.
func (c *call) relayBuffered(ctx context.Context, a schedule.Action, x *backend.Exchange, stall *silence) bool {
	c.recordFirst(a)
	body, err := c.readAnswer(ctx, a.Upstream.ID, x, silenceReader{x.Body, stall})
	if !stall.pause() && err != nil {
		err = errMoved
	}
	if err != nil {
		return c.handleTruncated(ctx, a, err, stall)
	}
	// The upstream ran the request, so a status that promises the opposite is no answer.
	unconfirmed := code.PromisesNotRun(x.Status)
	failed := unconfirmed || x.Status >= http.StatusInternalServerError
	o := schedule.OutcomeOK
	if failed {
		o = schedule.OutcomeFailed
	}
	c.endSilence(stall, false)
	c.finishAttempt(a, o)
	out := &bufferedAnswer{upstream: a.Upstream.ID, status: x.Status, endedBy: x.EndedBy(), header: x.Header, body: body}
	if failed && !c.started {
		if !unconfirmed {
			c.fallback = out
		}
		if c.takeRetry() {
			c.log.Info("attempt-failed", "upstream", a.Upstream.ID, "status", x.Status, "elapsed", time.Since(c.arrived))
			return false
		}
	}
	switch {
	case c.started:
		c.fail(code.AnswerCut, "the resumed stream was refused with "+strconv.Itoa(x.Status))
	case unconfirmed:
		c.fail(code.UnconfirmedRefusal, "upstream "+a.Upstream.ID+" answered "+strconv.Itoa(x.Status)+" without stating that it did not run the request")
	default:
		out.write(c)
	}
	return true
}

// handleTruncated finishes an attempt with a truncated answer and reports whether the
// request is finished.
func (c *call) handleTruncated(ctx context.Context, a schedule.Action, err error, stall *silence) bool {
	moved := hasMoved(ctx)
	if ctx.Err() != nil && !moved {
		c.finishAttempt(a, schedule.OutcomeNeutral)
		return false
	}
	c.crashed = endedWithUpstream(ctx, err)
	c.endSilence(stall, !moved)
	if moved {
		err = errMoved
		c.finishAttempt(a, schedule.OutcomeUnreachable)
	} else {
		if exceeds(err) {
			c.noteExcess(a)
		}
		c.finishAttempt(a, schedule.OutcomeFailed)
	}
	c.log.Info("answer-broken", "upstream", a.Upstream.ID, "born", a.Upstream.Born, "error", err.Error(), "events", c.events, "digest", c.digestText(), "parts", partsText(c.head.Parts), "last-event", c.lastEvent, "elapsed", time.Since(c.arrived))
	return !c.retry(code.AnswerCut, err.Error())
}

func (c *call) recordFirst(a schedule.Action) {
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.sched.FirstEvent(a.Job.ID, time.Now())
}
