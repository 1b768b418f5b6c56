package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"agateward/internal/forward/schedule"
	"agateward/internal/result/code"
)

const (
	// bufferFraction is the fraction of the memory limit that bodies and answers may use.
	bufferFraction = 0.25
	// bufferStep is the number of bytes by which the claim for a body of unknown length
	// grows while it is read.
	bufferStep = 64 << 10
	// bufferRetry is the retry delay of a request that is refused for want of memory.
	bufferRetry = time.Second
	// defaultBodyTime bounds the time to read a body if neither caller nor route set one.
	defaultBodyTime = 30 * time.Second
)

// hold claims n more bytes for this request and reports whether they are within the bound.
func (c *call) hold(n int) bool {
	if !c.gate.Buffers.Take(n) {
		c.log.Info("buffer-exhausted", "bytes", n, "held", c.held, "held-in-all", c.gate.Buffers.Used())
		return false
	}
	c.held += n
	return true
}

// holdAnswer claims n more bytes for an answer. They are granted beyond the bound too: an
// answer that an upstream has made is delivered.
func (c *call) holdAnswer(n int) bool {
	c.gate.Buffers.Add(n)
	c.held += n
	return true
}

// releaseHeld returns the bytes that the request has claimed.
func (c *call) releaseHeld() {
	c.gate.Buffers.Release(c.held)
	c.held = 0
}

// errNoMemory means that the bytes of a request or an answer exceed what the entry may
// hold.
var errNoMemory = errors.New("the entry holds too many bytes for slow callers and upstreams")

// readHeld reads r to its end, at most limit bytes and one more, and claims what it holds.
func (c *call) readHeld(r io.Reader, limit int, claim func(n int) bool) ([]byte, error) {
	var out []byte
	for len(out) <= limit {
		n := min(bufferStep, limit+1-len(out))
		if !claim(n) {
			return nil, errNoMemory
		}
		part, err := io.ReadAll(io.LimitReader(r, int64(n)))
		if out == nil {
			out = part
		} else {
			out = append(out, part...)
		}
		if unused := n - len(part); unused > 0 {
			c.gate.Buffers.Release(unused)
			c.held -= unused
			return out, err
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
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

// cutSlowCaller ends the request of a caller that takes nothing of its answer.
func (c *call) cutSlowCaller(a schedule.Action) {
	c.finishAttempt(a, schedule.OutcomeNeutral)
	c.end("caller-cut", "cause", "the caller took nothing of its answer", "bound", c.callerPatience(), "last-event", c.lastEvent, "elapsed", time.Since(c.arrived))
	c.gate.Metrics.callerCut()
	panic(http.ErrAbortHandler)
}
