package gate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/poison"
	"agateward/internal/forward/quota"
	"agateward/internal/forward/relay"
	"agateward/internal/forward/returns"
	"agateward/internal/forward/route"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// call is one request of a caller.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	log     logr.Logger
	arrived time.Time
	lifecycle
	// job is what the scheduler last knew the request by, nil before it was queued.
	job *schedule.Job

	table   *route.Table
	head    ward.ForwardHead
	route   *ward.ForwardRoute
	team    *ward.ForwardTeam
	service string
	// group is the group of upstreams that may serve the request: those of the
	// service, or of a version that is being rolled out.
	group string
	body  []byte
	// bodyRead is true once the whole body was read.
	bodyRead bool
	// held is the number of bytes of the body that are claimed of Gate.Buffers, answers holds
	// the answers that were read whole.
	held    int
	answers []heldAnswer
	size    float64
	// digest identifies the request by its content, 0 until it is needed.
	digest uint64
	// deadline follows from the caller's timeout and the route's; zero means none.
	deadline time.Time
	// progress cancels a request without a deadline, nil for the others.
	progress *time.Timer

	// sends counts the attempts that may have reached an upstream, connectFailures
	// those on which nothing was sent.
	sends, connectFailures int
	// sentAt and firstAt are the times of the current attempt.
	sentAt, firstAt time.Time
	// connected is true when the current attempt has a connection.
	connected bool
	// strayAnswer is true when the answer of the current attempt may be that of an
	// earlier request.
	strayAnswer bool
	// parts holds the ids of the shared parts of the prompt. trial lists the suspects of
	// which the current attempt tries whether upstreams still crash under them.
	parts []uint64
	trial []poison.Suspect
	// crashed is true when the current attempt ended with its upstream's connection.
	crashed bool
	// events counts the events of the current attempt.
	events int
	// mayHaveRun is true when an upstream may have run the request.
	mayHaveRun bool
	tried      []string
	// next is the dispatch that replaces the last attempt, nil for none.
	next *dispatch
	// noRetry is why the request was not sent again, "" if it was.
	noRetry string
	// relayed is true when the request was passed on to other entries.
	relayed bool
	// from is the entry that relays the request, "" for a caller's own; envelope is what
	// it told.
	from     string
	envelope relay.Envelope
	// started is true when part of the answer was sent to the caller. lastEvent is the
	// id of the last event that the caller has, -1 for none.
	started   bool
	lastEvent int64
	steps     eventSteps
	// begun is the answer whose head the caller has, nil before the first.
	begun *backend.Exchange
	// returned is the promise that the request uses, nil for none. returnChecked is true
	// once that was looked up, returnCounted once it was dispatched. promised is true when
	// the refusal is a promise.
	returned                               *returns.Promise
	returnChecked, returnCounted, promised bool
	// fallback is the complete answer of an upstream that failed. It is sent if no
	// other attempt succeeds.
	fallback *bufferedAnswer
}

// Limits of the body of a request that is refused before it was read.
const (
	// unreadBodyWait is how long the rest of the body is awaited before the answer.
	unreadBodyWait = 50 * time.Millisecond
	// unreadBodyTime is how long it is read after the answer, as a caller that still sends
	// may lose the answer with its connection.
	unreadBodyTime = 500 * time.Millisecond
	// maxUnreadBody bounds the bytes that are read for a connection to be kept.
	maxUnreadBody = 256 << 10
)

var errBodyTruncated = errors.New("the request body was truncated")

// accept validates the request, reads its body and charges the quota.
func (c *call) accept() error {
	if !c.gate.View.Await(c.r.Context(), configWait) {
		return code.NotReady.New("no configuration is known yet")
	}
	c.table = c.gate.View.Table()
	if err := c.readHead(); err != nil {
		return err
	}
	if c.from != "" {
		c.head.LastEvent = c.envelope.LastEvent
		if d := c.envelope.Remaining; d > 0 {
			c.head.Timeout = d
		}
	}
	c.lastEvent = c.head.LastEvent
	c.parts = c.sharedParts()
	if c.route = c.table.Route(c.r.Host, c.r.URL.Path); c.route == nil {
		return code.UnknownRoute.New("host %q, path %q at version %d", c.r.Host, c.r.URL.Path, c.table.Config.Version)
	}
	if c.table.NeedsKey(c.route) {
		team, ok := c.table.Team(c.head.Key)
		if !ok {
			return code.BadTeamKey.New("no team holds the key at version %d", c.table.Config.Version)
		}
		c.team = team
	}
	if c.head.ID == "" {
		// An upstream's answer is told from that of another request by the id alone.
		return code.BadHeader.New("%s is missing", c.gate.Dialect.RequestID())
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.setDeadline()
	c.service = c.table.PickService(c.route, rand.Float64())
	return c.takeQuota()
}

func (c *call) readHead() error {
	var err error
	c.head, err = c.gate.Dialect.Head(c.r.Header)
	if err != nil {
		return code.BadHeader.Wrap(err, "read the head")
	}
	return nil
}

func (c *call) readBody() error {
	limit := c.table.Config.Limits.MaxBody
	if limit == 0 {
		limit = c.gate.bodyLimit()
	}
	if c.r.ContentLength > int64(limit) {
		return code.BodyTooLarge.New("%d bytes, limit %d", c.r.ContentLength, limit)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	defer c.boundRead()()
	defer context.AfterFunc(c.gate.ending, c.interruptRead)()
	var err error
	if n := c.r.ContentLength; n > 0 {
		if !c.hold(int(n)) {
			return code.MemoryUsed.Wrap(errNoMemory, "read the body")
		}
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		c.body, err = c.readHeld(c.r.Body, limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.gate.ending.Err() != nil {
		return code.Stopping.Wrap(errExit, "read the body")
	}
	if err != nil {
		return bodyError(err)
	}
	if len(c.body) > limit {
		return code.BodyTooLarge.New("more than %d bytes", limit)
	}
	c.bodyRead = true
	return nil
}

// interruptRead ends the read of a body, as the entry exits.
func (c *call) interruptRead() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// dropBody reads the rest of a body that is not used, so that the caller gets the answer. The
// server would wait for the rest before it answers, without a bound in time.
func (c *call) dropBody() {
	if c.bodyRead || c.r.ContentLength == 0 {
		return
	}
	rc := http.NewResponseController(c.w)
	if c.r.Header.Get("Expect") == "" { // a caller that expects 100 sends no body
		_ = rc.SetReadDeadline(time.Now().Add(unreadBodyWait))
		if _, err := io.CopyN(io.Discard, c.r.Body, maxUnreadBody); errors.Is(err, io.EOF) {
			_ = rc.SetReadDeadline(time.Time{})
			return
		}
	}
	c.w.Header().Set("Connection", "close")
	_ = rc.SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// setDeadline sets the deadline from the caller's timeout and the route's. That of a relayed
// request was set by the entry that relays it, under the configuration under which it came.
func (c *call) setDeadline() {
	left := c.head.Timeout
	if t := c.route.Timeout.Std(); c.from == "" && t > 0 && (left == 0 || t < left) {
		left = t
	}
	if left > 0 {
		c.deadline = c.arrived.Add(left)
	}
}

// takeQuota charges the request to its team's quota.
func (c *call) takeQuota() error {
	if c.from != "" {
		return nil // charged by the entry that relays the request
	}
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Request(c.service, now)
	if c.team == nil {
		return nil
	}
	c.size = 1
	if c.team.Tokens {
		c.size = c.team.PlainTokens
		if c.head.HasTokens {
			c.size = float64(c.head.PromptTokens + c.head.MaxOutput)
		}
	}
	r := quota.Request{Size: c.size, Plain: !c.head.HasTokens, Rank: c.route.Rank, Idle: c.gate.sched.Idle(c.service, now)}
	if wait, ok := c.gate.ledger.Take(c.team, r, now); !ok {
		return &quotaError{wait: wait, team: c.team.Name}
	}
	return nil
}

// quotaError means that a team has exhausted its quota.
type quotaError struct {
	team string
	wait time.Duration
}

func (e *quotaError) Error() string { return "quota of team " + e.team + " is exhausted" }

// refuse answers a request that was not accepted.
func (c *call) refuse(err error) {
	if errors.Is(err, errBodyTruncated) {
		c.end("request-aborted", "cause", err.Error())
		panic(http.ErrAbortHandler)
	}
	k, retry := code.Of(err), time.Duration(0)
	var q *quotaError
	if errors.As(err, &q) {
		k, retry = code.TeamLimit, min(max(q.wait, 200*time.Millisecond), 4*time.Second)
	}
	switch k.Number {
	case code.NotReady.Number:
		retry = notReadyRetry
	case code.MemoryUsed.Number, code.CallerTooSlow.Number:
		retry = bufferRetry
		c.w.Header().Set("Connection", "close") // the body was not read
	case code.Stopping.Number:
		retry = c.stoppingRetry()
	}
	c.respond(k, retry, err.Error())
}

// respond answers with a result code of this entry. A code that says "not run" becomes
// UpstreamFailed if an upstream may have run the request.
func (c *call) respond(k code.Code, retry time.Duration, reason string) {
	if c.mayHaveRun && k.Run == ward.NotRun {
		k, retry = code.UpstreamFailed, 0
	}
	c.end("request-refused", "code", k.Number, "status", k.Status, "cause", reason, "retry-after", retry, "promise", c.promised,
		"elapsed", time.Since(c.arrived), "sends", c.sends)
	c.gate.Metrics.refused(k.Number)
	if c.returned != nil {
		c.gate.Metrics.returned(returnRefused)
	}
	c.gate.Metrics.notRunPromised(k.Status, sourceEntry, c.sends)
	c.dropBody()
	h := c.w.Header()
	if retry > 0 {
		h.Set("Retry-After", c.gate.Dialect.RetryAfter(retry))
	}
	if id := c.head.ID; id != "" {
		h.Set(c.gate.Dialect.RequestID(), id)
	}
	if c.from != "" {
		h.Set(relay.FieldRefused, strconv.Itoa(k.Number))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(k.Status)
	// A write error means that the caller has left; nothing else can be done.
	_, _ = io.WriteString(c.w, k.String()+"\n")
}
