package surface

import (
	"maps"
	"net/http"
	"time"

	"agateward/internal/upstream/header"
	"agateward/ward"
)

// writer copies chunks to a caller. A stream is flushed after each chunk. Any
// other answer is buffered until it is complete, so that a refusal can still be
// sent instead of a truncated one.
type writer struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	clock   ward.Clock
	stream  bool
	// beforeHead may add fields to the head of the answer before it is written.
	beforeHead func(w http.ResponseWriter)
	// status and header are the head of the answer, buffered the body so far of an
	// answer that is not a stream.
	status   int
	header   http.Header
	buffered []byte
	// lastDeadline is the write deadline that was set last.
	lastDeadline time.Time
	// begun reports whether a byte of the answer may have reached the caller;
	// first is the time of the first chunk with data.
	begun bool
	first time.Time
}

// deadlineFraction is the fraction of the timeout, as a divisor, by which a
// write may get less time: a stream writes every token, and each change of the
// deadline resets a timer.
const deadlineFraction = 8

// extendDeadline bounds the next write, so that a caller that doesn't read is
// disconnected.
func (w *writer) extendDeadline() {
	if w.timeout <= 0 {
		return
	}
	next := w.clock.Now().Add(w.timeout)
	if next.Sub(w.lastDeadline) < w.timeout/deadlineFraction {
		return
	}
	w.lastDeadline = next
	// It fails only on a connection without deadlines, as in tests.
	_ = w.rc.SetWriteDeadline(next)
}

// chunk writes or buffers one chunk.
func (w *writer) chunk(c ward.Chunk) error {
	if c.Status != 0 {
		w.status = c.Status
		w.header = header.Filter{}.Answer(c.Header)
		// The entry has set its own id of the request.
		w.header.Del(HeaderRequest)
	}
	if w.first.IsZero() && len(c.Data) > 0 {
		w.first = w.clock.Now()
	}
	if !w.stream {
		w.buffered = append(w.buffered, c.Data...)
		if !c.Last {
			return nil
		}
		return w.write(w.buffered)
	}
	if err := w.write(c.Data); err != nil {
		return err
	}
	return w.rc.Flush()
}

func (w *writer) write(b []byte) error {
	w.extendDeadline()
	if !w.begun {
		w.begun = true
		maps.Copy(w.w.Header(), w.header)
		w.beforeHead(w.w)
		w.w.WriteHeader(w.status)
	}
	if len(b) == 0 {
		return nil
	}
	_, err := w.w.Write(b)
	return err
}
