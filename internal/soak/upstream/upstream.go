// Package upstream provides a stand-in for an upstream of a service or an engine,
// which reports every request that it runs.
//
// # Usage
//
//	u := &upstream.Upstream{ID: "i-1", Service: "orders", Slots: 6, Dialect: d, OnRun: onRun}
//	err := u.Listen()
//	u.Crash()
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateward/ward"
)

const (
	// queueLength is the number of requests that may wait for a slot.
	queueLength = 4
	// workTime is the run time of a request of a service, eventInterval the time between
	// two events of a stream.
	workTime      = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	// limitUnit is the number of units of Answers.Limit in a request a second.
	limitUnit = 1000
	// A stream has minEvents to minEvents+eventRange-1 events.
	minEvents  = 5
	eventRange = 12
)

// Upstream is one upstream. It runs at most Slots requests at once.
type Upstream struct {
	ID      string
	Service string
	// Engine makes the upstream answer with streams.
	Engine  bool
	Slots   int
	Dialect ward.StandinDialect
	// Faulty makes every second answer of a service fail.
	Faulty bool
	// CrashPart, if it is not 0, is a part of prompts: the upstream ends, through OnCrash,
	// when it begins to answer a request with it.
	CrashPart uint64
	// CrashPath, if it is not "", is the path of a request under which it ends likewise.
	CrashPath string
	// Answers, which may be nil, makes some answers wrong.
	Answers *Answers
	// OnRun is called when a request begins to run.
	OnRun func(id, upstream, team string)
	// OnLeaving is called when an answer states for the first time that the upstream
	// leaves. Leave requires it.
	OnLeaving func(upstream string)
	// OnSilence is called when the upstream falls silent before the end of an answer with
	// which it will go on. It may be nil if Answers selects no silence.
	OnSilence func(id, upstream string)
	// OnArrive is called when a request that is meant for this upstream arrives, OnLimit
	// when it is answered, with the limit that the answer states, 0 for none. Both may be
	// nil.
	OnArrive func(id, upstream string)
	OnLimit  func(id, upstream string, perSecond float64)
	// OnReach is called when a request with CrashPart or CrashPath arrives, whatever its answer. OnCrash
	// is called once, after the head of an answer to one, and must end the upstream. Both
	// may be nil without CrashPart and CrashPath.
	OnReach, OnCrash func(id, upstream string)

	leaving   atomic.Bool
	toldLeave sync.Once
	crash     sync.Once
	l         net.Listener
	server    *http.Server
	slots     chan struct{}
	waiting   atomic.Int64
	asked     atomic.Int64
	runs      atomic.Int64
}

// Answers selects faults of answers while an upstream runs. Its zero value selects
// none.
type Answers struct {
	// RanRefused is 0 or the status of the answer to every second request, which has run
	// and about which the answer states nothing.
	RanRefused atomic.Int64
	// Repeat is 0 or the status of the answer to every third request, which does not
	// run. Each answer that states this is sent again before the next answer on its
	// connection.
	Repeat atomic.Int64
	// Pause is 0 or the pause in seconds that the answer to every third request asks for;
	// the request does not run.
	Pause atomic.Int64
	// Limit is 0 or the limit that answers state, in thousandths of a request a second.
	Limit atomic.Int64
	// Endless makes every second answer go on without end, until the connection is closed.
	Endless atomic.Bool
	// SilentUntil is 0 or the Unix time in nanoseconds until which nothing more is sent, of
	// any answer. The work goes on afterwards.
	SilentUntil atomic.Int64
}

// silence returns how long the silence still lasts, at most 0 without one.
func (a *Answers) silence() time.Duration {
	return time.Until(time.Unix(0, a.SilentUntil.Load()))
}

// SetLimit makes further answers state a limit of requests a second. It reports false, and
// changes nothing, if they state one already.
func (a *Answers) SetLimit(perSecond float64) bool {
	return a.Limit.CompareAndSwap(0, int64(perSecond*limitUnit))
}

// connection is a connection with the answer that is sent again on it, nil for none.
// The server uses it for one request at a time.
type connection struct {
	net.Conn
	again []byte
}

type connectionKey struct{}

// Body returns the expected answer of a service to a request.
func Body(id string) string { return "answer to " + id }

// Events returns the number of events in the stream of a request. Their ids start
// at 1.
func Events(id string) int64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // writing to a hash never fails
	return int64(minEvents + h.Sum32()%eventRange)
}

// Data returns the data of the n-th event of a stream.
func Data(id string, n int64) string { return fmt.Sprintf("%s/%d", id, n) }

// Listen starts the upstream on a free port of the loopback address.
func (u *Upstream) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	u.l, u.slots = l, make(chan struct{}, u.Slots)
	u.server = &http.Server{Handler: u, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{Conn: c})
	}}
	if u.Answers == nil {
		u.Answers = &Answers{}
	}
	go func() { _ = u.server.Serve(l) }() // ends with Crash
	return nil
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string { return u.l.Addr().String() }

// Leave makes the upstream state in all further answers that it leaves.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Crash stops the upstream and closes every connection at once.
func (u *Upstream) Crash() {
	_ = u.server.Close() // the server is not used any more
}

// crashesUnder reports whether the upstream ends under a request.
func (u *Upstream) crashesUnder(path string, parts []ward.PromptPart) bool {
	if u.CrashPath != "" && path == u.CrashPath {
		return true
	}
	return u.CrashPart != 0 && slices.ContainsFunc(parts, func(p ward.PromptPart) bool { return p.ID == u.CrashPart })
}

func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, hop := u.Dialect.Hop(r.Header)
	crashes := u.crashesUnder(r.URL.Path, hop.Parts)
	if crashes {
		u.OnReach(id, u.ID)
	}
	asked, repeat := u.asked.Add(1), int(u.Answers.Repeat.Load())
	conn := r.Context().Value(connectionKey{}).(*connection)
	x := exchange{
		u: u, ctx: r.Context(), w: w, conn: conn, sound: conn.again == nil,
		reply: ward.ForwardReply{ID: id}, repeat: repeat > 0,
	}
	if asked%2 == 0 && u.Answers.silence() <= 0 {
		x.conn.sendAgain() // before the request runs; otherwise before its answer
	}
	if hop.Replica != u.ID {
		x.refuse(http.StatusMisdirectedRequest)
		return
	}
	u.reportArrival(id)
	if asked%3 == 0 && x.refuseByFault(repeat) {
		return
	}
	waiting := u.waiting.Add(1)
	defer u.waiting.Add(-1)
	if waiting > int64(u.Slots+queueLength) {
		x.refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	n := u.runs.Add(1)
	u.OnRun(id, u.ID, hop.Team)
	x.reply.Signed = true
	if crashes {
		x.crash()
		return
	}
	if n%2 == 0 && x.answerByFault() {
		return
	}
	if u.Engine {
		w.Header().Set("Content-Type", "text/event-stream")
		x.answer(http.StatusOK)
		x.stream(hop.LastEvent)
		return
	}
	time.Sleep(workTime)
	if u.Faulty && n%2 == 0 {
		x.answer(http.StatusInternalServerError)
		return
	}
	if n%2 == 0 {
		x.awaitSilenceEnd()
	}
	x.answer(http.StatusOK)
	x.writeBody()
}

// answerByFault answers a request that has run wrongly if Answers selects that, and reports
// whether it did.
func (x *exchange) answerByFault() bool {
	if status := int(x.u.Answers.RanRefused.Load()); status > 0 {
		time.Sleep(workTime)
		x.answer(status)
		return true
	}
	endless := x.u.Answers.Endless.Load()
	if endless {
		x.answerWithoutEnd()
	}
	return endless
}

// endlessBlock is the number of bytes of one write of an answer without end.
const endlessBlock = 32 << 10

// answerWithoutEnd sends a body, or the first event of a stream, until the request is cancelled.
func (x *exchange) answerWithoutEnd() {
	if x.u.Engine {
		x.w.Header().Set("Content-Type", "text/event-stream")
	}
	x.answer(http.StatusOK)
	_, err := io.WriteString(x.w, "id: 1\ndata: ")
	block := bytes.Repeat([]byte("x"), endlessBlock)
	for err == nil && x.ctx.Err() == nil {
		_, err = x.w.Write(block)
	}
}

func (u *Upstream) reportArrival(id string) {
	if u.OnArrive != nil {
		u.OnArrive(id, u.ID)
	}
}

// crash begins an answer and ends the upstream, unless the request was cancelled before.
func (x *exchange) crash() {
	x.sleepSilence()
	if x.ctx.Err() != nil {
		return
	}
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.answer(http.StatusOK)
	x.w.(http.Flusher).Flush()
	select {
	case <-time.After(eventInterval):
		x.u.crash.Do(func() { x.u.OnCrash(x.reply.ID, x.u.ID) })
	case <-x.ctx.Done():
	}
}

// writeBody writes the answer of a service. A silence begins within it.
func (x *exchange) writeBody() {
	// A failed write needs no handling: the caller reports the incomplete answer to
	// the ledger.
	body := Body(x.reply.ID)
	if half := len(body) / 2; x.u.Answers.silence() > 0 {
		_, _ = io.WriteString(x.w, body[:half])
		x.w.(http.Flusher).Flush()
		x.awaitSilenceEnd()
		body = body[half:]
	}
	_, _ = io.WriteString(x.w, body)
}

// awaitSilenceEnd waits within a successful answer until a silence of the upstream has
// ended or the request was cancelled.
func (x *exchange) awaitSilenceEnd() {
	if x.u.Answers.silence() > 0 && x.ctx.Err() == nil {
		if x.sound {
			x.u.OnSilence(x.reply.ID, x.u.ID)
		}
		x.sleepSilence()
	}
}

// sleepSilence waits likewise, for an answer that is no successful one.
func (x *exchange) sleepSilence() {
	select {
	case <-time.After(x.u.Answers.silence()):
	case <-x.ctx.Done():
	}
}

// exchange is the answer to one request.
type exchange struct {
	u     *Upstream
	ctx   context.Context
	w     http.ResponseWriter
	conn  *connection
	reply ward.ForwardReply
	// sound is set when no answer to another request is sent before this one.
	sound bool
	// repeat makes a not-run answer be sent again.
	repeat bool
}

// answer writes the head of the answer.
func (x *exchange) answer(status int) {
	if status != http.StatusOK {
		x.sleepSilence()
	}
	x.conn.sendAgain()
	x.reply.Leaving = x.u.leaving.Load()
	if status != http.StatusMisdirectedRequest {
		x.stateLimit()
	}
	for k, v := range x.u.Dialect.Answer(x.reply) {
		x.w.Header()[k] = v
	}
	x.w.WriteHeader(status)
	if x.reply.Leaving {
		x.u.toldLeave.Do(func() { x.u.OnLeaving(x.u.ID) })
	}
}

// stateLimit adds the limit of the upstream to the answer.
func (x *exchange) stateLimit() {
	n := x.u.Answers.Limit.Load()
	x.reply.Limit = ward.RateLimit{Limited: n > 0, PerSecond: float64(n) / limitUnit}
	if x.u.OnLimit != nil {
		x.u.OnLimit(x.reply.ID, x.u.ID, x.reply.Limit.PerSecond)
	}
}

// refuseByFault refuses a request if Answers selects that, and reports whether it did.
// repeat is Answers.Repeat at the request's arrival.
func (x *exchange) refuseByFault(repeat int) bool {
	if repeat > 0 {
		x.refuse(repeat)
		return true
	}
	pause := x.u.Answers.Pause.Load()
	if pause > 0 {
		x.reply.HasRetryAfter, x.reply.RetryAfter = true, time.Duration(pause)*time.Second
		x.refuse(http.StatusServiceUnavailable)
	}
	return pause > 0
}

// refuse answers that the request has not run.
func (x *exchange) refuse(status int) {
	x.reply.NotRun = true
	x.answer(status)
	if x.repeat {
		x.conn.again = head(status, x.u.Dialect.Answer(x.reply))
	}
}

// sendAgain sends the answer that is to be sent again.
func (c *connection) sendAgain() {
	if c.again != nil {
		// A failed write closes the connection, which the server notices itself.
		_, _ = c.Write(c.again)
		c.again = nil
	}
}

// head returns an answer without a body as it is sent.
func head(status int, h http.Header) []byte {
	var b bytes.Buffer
	r := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h}
	_ = r.Write(&b) // writing to a buffer never fails
	return b.Bytes()
}

func (x *exchange) stream(last int64) {
	id := x.reply.ID
	for n := max(last, 0) + 1; n <= Events(id); n++ {
		select {
		case <-time.After(eventInterval):
		case <-x.ctx.Done():
			return
		}
		x.awaitSilenceEnd()
		if _, err := fmt.Fprintf(x.w, "id: %d\ndata: %s\n\n", n, Data(id, n)); err != nil {
			return
		}
		x.w.(http.Flusher).Flush()
	}
}

// CheckEvent returns what is wrong with event n, which follows event last of a
// stream, or an empty text.
func CheckEvent(id string, last, n int64, data string) string {
	switch {
	case n != last+1:
		return fmt.Sprintf("event %d after %d", n, last)
	case strings.TrimSpace(data) != Data(id, n):
		return fmt.Sprintf("event %d holds %q", n, data)
	}
	return ""
}
