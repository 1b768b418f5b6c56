package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/body"
	"agateward/internal/forward/buffer"
	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
	"agateward/internal/upstream/sse"
)

const (
	// bodyFraction and answerFraction are the fractions of the memory limit that bodies of
	// requests and answers may use. Together with the overshoot of answers they leave a
	// quarter of the limit below the one from which the garbage collector works harder.
	bodyFraction   = 0.25
	answerFraction = 0.2
	// bodyStep is the number of bytes that are claimed first for a body of unknown length.
	bodyStep = 4 << 10
	// bufferRetry is the retry delay of a request that is refused for want of memory.
	bufferRetry = time.Second
	// DefaultTakeTimeout is the Gate.TakeTimeout of a gate that sets none.
	DefaultTakeTimeout = 10 * time.Second
	// takePart is the number of bytes of an answer that was read whole which a caller has to
	// take within that time.
	takePart = 32 << 10
	// defaultBodyTime bounds the time to read a body if neither caller nor route set one.
	defaultBodyTime = 30 * time.Second
)

// bounds returns the bounds of bodies and answers in bytes, for a process with a memory
// limit in bytes; 0 means none.
func bounds(memory int64) (bodies, answers int64) {
	if memory <= 0 {
		return 0, 0
	}
	// The largest answer fits in any case.
	return int64(bodyFraction * float64(memory)), max(int64(answerFraction*float64(memory)), maxBuffered+1)
}

// hold claims n more bytes for the body of this request and reports whether they are within the bound.
func (c *call) hold(n int) bool {
	if !c.gate.Buffers.Take(n) {
		c.log.Info("buffer-exhausted", "bytes", n, "held", c.held, "held-in-all", c.gate.Buffers.Used())
		return false
	}
	c.held += n
	return true
}

// releaseHeld returns the bytes that the request has claimed.
func (c *call) releaseHeld() {
	c.gate.Buffers.Release(c.held)
	c.held = 0
	for _, h := range c.answers {
		h.body.Free()
		h.claim.Release()
	}
	c.answers = nil
}

// errNoMemory means that the bytes of a request exceed what the entry may hold.
var errNoMemory = errors.New("the entry holds too many bytes for slow callers")

// readHeld reads a body of unknown length to its end, at most limit bytes and one more, and
// claims what it holds.
func (c *call) readHeld(r io.Reader, limit int) ([]byte, error) {
	var out []byte
	for len(out) <= limit {
		if len(out) == cap(out) {
			size := min(max(2*cap(out), bodyStep), limit+1)
			if !c.hold(size - cap(out)) {
				return nil, errNoMemory
			}
			out = append(make([]byte, 0, size), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// heldAnswer is the body of an answer with its claim.
type heldAnswer struct {
	body  *body.Body
	claim *buffer.Claim
}

// readAnswer reads the body of an answer to its end through r. What it holds is claimed for
// the upstream, or the other entry, that sends it, until the request ends.
func (c *call) readAnswer(ctx context.Context, owner string, x *backend.Exchange, r io.Reader) (*body.Body, error) {
	h := heldAnswer{&body.Body{}, c.gate.Buffers.Claim(owner, x.Cut)}
	length, grow := x.Length, h.claim.Grow
	if c.r.Method == http.MethodHead {
		length = 0 // the stated length is that of another answer
	}
	if length >= 0 {
		grow = func(n int) error { return h.claim.Reserve(ctx, n) }
	}
	err := h.body.Read(r, length, maxBuffered, grow)
	if err == nil {
		h.claim.SetWhole(true)
		c.answers = append(c.answers, h)
		return h.body, nil
	}
	if cause := h.claim.Cut(); cause != nil {
		err = cause
	}
	h.body.Free()
	h.claim.Release()
	return nil, err
}

// eventReader reads the events of a stream and claims what the long ones hold.
type eventReader struct {
	sse.Reader
	claim *buffer.Claim
	// held is the number of bytes that are claimed.
	held int
}

// readEvents returns a reader of the events of an answer. Its claim must be released before
// the answer is closed.
func (c *call) readEvents(owner string, x *backend.Exchange) *eventReader {
	e := &eventReader{claim: c.gate.Buffers.Claim(owner, x.Cut)}
	e.Reader = sse.Reader{R: x.Body, Max: maxEvent, Grow: e.grow, Shrink: e.shrink}
	return e
}

func (e *eventReader) grow(n int) error {
	err := e.claim.Grow(n)
	if err == nil {
		e.held += n
	}
	return err
}

// shrink is called when the next event begins.
func (e *eventReader) shrink(n int) {
	e.held -= n
	e.claim.Shrink(n)
	e.claim.SetWhole(false)
}

// Next returns the next event. Its bytes are not cut any more while it is written.
func (e *eventReader) Next() (sse.Event, error) {
	event, err := e.Reader.Next()
	if err == nil {
		if e.held > 0 {
			e.claim.SetWhole(true)
		}
		return event, nil
	}
	if cause := e.claim.Cut(); cause != nil {
		err = cause
	}
	return event, err
}

// exceeds reports whether an answer failed as it exceeded a bound of what is held for it.
func exceeds(err error) bool {
	return errors.Is(err, body.ErrTooLarge) || errors.Is(err, sse.ErrTooLarge) || errors.Is(err, errNoFurtherEvent) || errors.Is(err, buffer.ErrCut)
}

// boundRead sets the time until which the caller has to send its body, and returns a
// function that ends the bound.
func (c *call) boundRead() (end func()) {
	left := defaultBodyTime
	if t := c.route.Timeout.Std(); t > 0 {
		left = t
	}
	if t := c.head.Timeout; t > 0 {
		left = min(left, t)
	}
	rc := http.NewResponseController(c.w)
	// A writer without a connection, as in tests, has no deadlines.
	_ = rc.SetReadDeadline(c.arrived.Add(left))
	return func() { _ = rc.SetReadDeadline(time.Time{}) }
}

// bodyError returns the error of a body that could not be read.
func bodyError(err error) error {
	switch {
	case errors.Is(err, errNoMemory):
		return code.MemoryUsed.Wrap(err, "read the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.CallerTooSlow.Wrap(err, "read the body")
	}
	return fmt.Errorf("%w: %w", errBodyTruncated, err)
}

// boundWrite sets the time until which the caller has to take what is written next: one
// that takes nothing for longer has left.
func (c *call) boundWrite() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.callerPatience()))
}

// unboundWrite removes the bound that an earlier request on the connection may have left.
func (c *call) unboundWrite() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
}

func (g *Gate) takeTimeout() time.Duration {
	if g.TakeTimeout > 0 {
		return g.TakeTimeout
	}
	return DefaultTakeTimeout
}

// wholeWriter writes an answer that was read whole to the caller, which has to take each part
// within the gate's time.
type wholeWriter struct {
	c     *call
	claim *buffer.Claim
}

// newWholeWriter returns the writer of a body that readAnswer has read.
func (c *call) newWholeWriter(b *body.Body) wholeWriter {
	i := slices.IndexFunc(c.answers, func(h heldAnswer) bool { return h.body == b })
	w := wholeWriter{c, c.answers[i].claim}
	w.claim.SetTaken(func() { w.setDeadline(time.Unix(1, 0)) })
	return w
}

func (w wholeWriter) setDeadline(t time.Time) {
	_ = http.NewResponseController(w.c.w).SetWriteDeadline(t) // a writer without a connection, as in tests
}

// Write writes b in parts. It fails with the cause for which the claim was cut.
func (w wholeWriter) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		w.setDeadline(time.Now().Add(w.c.gate.takeTimeout()))
		var k int
		if err = w.claim.Cut(); err == nil {
			k, err = w.c.w.Write(b[n:min(len(b), n+takePart)])
		}
		n += k
	}
	if cause := w.claim.Cut(); err != nil && cause != nil {
		err = cause
	}
	return n, err
}

// cutSlowCaller ends the request of a caller that takes nothing of its answer.
func (c *call) cutSlowCaller(a schedule.Action) {
	c.finishAttempt(a, schedule.OutcomeNeutral)
	c.end("caller-cut", "cause", "the caller took nothing of its answer", "bound", c.callerPatience(), "last-event", c.lastEvent, "elapsed", time.Since(c.arrived))
	c.gate.Metrics.callerCut()
	panic(http.ErrAbortHandler)
}
