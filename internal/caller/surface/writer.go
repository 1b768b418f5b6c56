package surface

import (
	"maps"
	"net/http"
	"time"

	"agateward/internal/upstream/header"
	"agateward/ward"
)

// writer copies chunks to a caller. A stream is flushed chunk by chunk; another
// answer is held until it is whole, so that a cut one can still be refused.
type writer struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	clock   ward.Clock
	stream  bool
	// status and held wait for the end of an answer that is not a stream.
	status int
	held   []byte
	// until is the deadline of a write that was set last.
	until time.Time
	// begun says that a byte of the answer may have reached the caller; first is
	// when its first token came.
	begun bool
	first time.Time
}

// deadlineSlack is the part of the timeout by which a write may get less: a
// stream writes each token, and moving the deadline each time costs a timer.
const deadlineSlack = 8

// deadline bounds the next write, so that a caller that does not read is let go.
func (o *writer) deadline() {
	if o.timeout <= 0 {
		return
	}
	next := o.clock.Now().Add(o.timeout)
	if next.Sub(o.until) < o.timeout/deadlineSlack {
		return
	}
	o.until = next
	// An error here means that the connection has no deadlines, as in tests.
	_ = o.rc.SetWriteDeadline(next)
}

// chunk writes or holds one chunk.
func (o *writer) chunk(c ward.Chunk) error {
	if c.Status != 0 {
		o.status = c.Status
		maps.Copy(o.w.Header(), header.Filter{}.Answer(c.Header))
	}
	if o.first.IsZero() && len(c.Data) > 0 {
		o.first = o.clock.Now()
	}
	if !o.stream {
		o.held = append(o.held, c.Data...)
		if !c.Last {
			return nil
		}
		return o.write(o.held)
	}
	if err := o.write(c.Data); err != nil {
		return err
	}
	return o.rc.Flush()
}

func (o *writer) write(b []byte) error {
	o.deadline()
	if !o.begun {
		o.begun = true
		o.w.WriteHeader(o.status)
	}
	if len(b) == 0 {
		return nil
	}
	_, err := o.w.Write(b)
	return err
}
