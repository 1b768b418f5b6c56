package gate

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
)

const (
	// maxLoggedID bounds the id of a request in log lines, in bytes.
	maxLoggedID = 128
	// maxPanicText bounds what is logged of a panic, in bytes.
	maxPanicText = 3000
	// maxUnfinishedLines bounds the lines of requests that still run as the process ends.
	maxUnfinishedLines = 200
)

// EndEvents returns the events of which each request that was read has exactly one.
func EndEvents() []string {
	return []string{
		"request-answered", "request-refused", "request-aborted", "request-failed", "request-unfinished",
		"answer-cut", "caller-left", "caller-cut",
	}
}

// State is what a running request waits for.
type State int32

// States of running requests.
const (
	// StateReading: its head and body are read and checked.
	StateReading State = iota
	// StateQueued: it waits for an upstream.
	StateQueued
	// StateSent: an upstream or another entry may have it.
	StateSent
	// StateAnswering: part of its answer was written.
	StateAnswering
	stateCount
)

func (s State) String() string {
	return [stateCount]string{"reading-body", "queued", "sent", "answering"}[s]
}

// calls holds the running requests. Its zero value is ready to use.
type calls struct {
	mu      sync.Mutex
	running map[*call]struct{}
	// read counts the requests since the start, ended their last lines.
	read  int
	ended atomic.Int64
}

func (l *calls) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[*call]struct{})
	}
	l.running[c] = struct{}{}
	l.read++
}

func (l *calls) remove(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, c)
}

// Running returns the number of requests that are being served.
func (g *Gate) Running() int {
	g.calls.mu.Lock()
	defer g.calls.mu.Unlock()
	return len(g.calls.running)
}

// Counts returns the number of requests that were read since the start, and of those that have
// their last line.
func (g *Gate) Counts() (read, ended int) {
	g.calls.mu.Lock()
	defer g.calls.mu.Unlock()
	return g.calls.read, int(g.calls.ended.Load())
}

// RunningByState returns the numbers of requests that are being served as key-value pairs for
// the log.
func (g *Gate) RunningByState() []any {
	g.calls.mu.Lock()
	defer g.calls.mu.Unlock()
	var n [stateCount]int
	for c := range g.calls.running {
		n[c.state.Load()]++
	}
	var out []any
	for s, count := range n {
		out = append(out, State(s).String(), count)
	}
	return out
}

// LogUnfinished writes the last lines of requests that still run as the process ends. They
// write none later.
func (g *Gate) LogUnfinished() {
	g.calls.mu.Lock()
	defer g.calls.mu.Unlock()
	lines := 0
	for c := range g.calls.running {
		if c.ended.Load() {
			continue
		}
		if lines == maxUnfinishedLines {
			g.Log.Info("requests-unfinished", "running", len(g.calls.running), "lines", lines)
			return
		}
		lines++
		c.end("request-unfinished", "state", State(c.state.Load()).String(), "elapsed", time.Since(c.arrived))
	}
}

// lifecycle holds what other goroutines read of a running request.
type lifecycle struct {
	// state is a State.
	state atomic.Int32
	// ended is true once the last line was written.
	ended atomic.Bool
	// writeErr is the first error of a write to the caller. Others do not read it.
	writeErr error
}

// enter notes what the request waits for. A request whose answer has begun stays in that state.
func (l *lifecycle) enter(s State) {
	if l.state.Load() != int32(StateAnswering) {
		l.state.Store(int32(s))
	}
}

// end writes the request's last line, unless it has one.
func (c *call) end(event string, kv ...any) {
	if event == "request-answered" && c.writeErr != nil {
		kv = append(kv, "write-error", c.writeErr.Error())
	}
	if !c.ended.Swap(true) {
		c.gate.calls.ended.Add(1)
		c.log.Info(event, kv...)
	}
}

// finish ends a request that has returned or panicked.
func (g *Gate) finish(c *call) {
	p := recover()
	c.releaseHeld()
	defer g.calls.remove(c)
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		c.end("request-failed", "error", "the answer was broken off") // no line tells why
		panic(p)
	}
	if p == nil && c.ended.Load() {
		return
	}
	c.failInternal(p)
}

// failInternal answers a request that panicked, or that returned without an answer if p is nil.
// An upstream may have run it.
func (c *call) failInternal(p any) {
	g := c.gate
	g.abandon(c)
	state, cause := State(c.state.Load()), "no answer was written"
	if p != nil {
		cause = fmt.Sprintf("panic: %.200v", p)
	}
	kv := []any{"state", state.String(), "elapsed", time.Since(c.arrived), "sends", c.sends, "error", cause, "stack", fmt.Sprintf("%.*s", maxPanicText, debug.Stack())}
	if c.ended.Load() {
		c.log.Info("panic-after-end", kv...) // the last line may tell of another answer
	}
	c.end("request-failed", kv...)
	g.Metrics.refused(code.Internal.Number)
	if state == StateAnswering {
		panic(http.ErrAbortHandler)
	}
	c.w.Header().Set("Connection", "close")
	c.w.Header().Set(g.Dialect.RequestID(), c.head.ID)
	c.dropBody()
	http.Error(c.w, code.Internal.String(), code.Internal.Status)
}

// abandon frees the slot, or the place in the queue, of a request that panicked.
func (g *Gate) abandon(c *call) {
	if c.job == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[c.job.ID] != nil {
		delete(g.waiters, c.job.ID)
		g.sched.Cancel(c.job)
		return
	}
	g.apply(g.sched.Done(c.job.ID, schedule.OutcomeNeutral, time.Now()))
}

// answerWriter notes when the answer to a request begins. After the begin of a stop it makes
// the answer close its connection.
type answerWriter struct {
	http.ResponseWriter
	gate *Gate
	call *lifecycle
}

func (w *answerWriter) WriteHeader(status int) {
	w.call.enter(StateAnswering)
	if w.gate.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *answerWriter) Write(b []byte) (int, error) {
	w.call.enter(StateAnswering)
	n, err := w.ResponseWriter.Write(b)
	if err != nil && w.call.writeErr == nil {
		w.call.writeErr = err
	}
	return n, err
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a writer without a connection, as in tests
}

// Unwrap lets an http.ResponseController reach the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
