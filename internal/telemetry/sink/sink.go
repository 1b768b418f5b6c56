// Package sink provides a non-blocking writer for log lines with a rate limit.
//
// # Usage
//
//	w := sink.New(os.Stdout, 200, "request-answered", "request-refused")
//	defer w.Close()
//	l, err := log.New(w, "info")
//
// Lines are dropped when they exceed the rate or the output is too slow. Lines of the named
// events have a rate and a part of the queue of their own, so that other lines never displace
// them. The number of dropped lines is written before the next line that passes.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLength is the number of lines that can wait for the output, and again the number
	// of lines of preferred events that can wait beside them.
	queueLength = 512
	// preferredFactor is the rate of the lines of preferred events as a multiple of that of
	// the others.
	preferredFactor = 5
	// maxLine bounds a line in bytes. Paths and ids of requests, and replies of upstreams that are
	// no HTTP, may be as long as a head.
	maxLine = 8 << 10
	// closeTime is the time for which Close waits for the output.
	closeTime = 200 * time.Millisecond
)

// cutMark ends a line that was cut.
const cutMark = " cut=true\n"

// Sink is a rate-limited writer of lines. It is safe for concurrent use.
type Sink struct {
	events map[string]bool

	mu                sync.Mutex
	preferred, others bucket
	closed            bool
	lines             chan []byte
	done              chan struct{}
}

// bucket limits the rate of one class of lines.
type bucket struct {
	rate, tokens float64
	last         time.Time
	// dropped counts the lines that were dropped since the last report.
	dropped int
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate, last: time.Now()}
}

// take reports whether a line passes.
func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// New returns a sink that passes rate lines a second on average, with a burst of rate lines,
// and beside them five times as many of the preferred events.
func New(w io.Writer, rate int, preferred ...string) *Sink {
	s := &Sink{
		events: make(map[string]bool), preferred: newBucket(preferredFactor * float64(rate)), others: newBucket(float64(rate)),
		lines: make(chan []byte, 2*queueLength), done: make(chan struct{}),
	}
	for _, name := range preferred {
		s.events[name] = true
	}
	go func() {
		defer close(s.done)
		for b := range s.lines {
			// A failing log output can't be reported anywhere else.
			_, _ = w.Write(b)
		}
	}()
	return s
}

// event returns the name of the event of a line.
func event(line []byte) string {
	_, rest, _ := bytes.Cut(line, []byte(" event="))
	if i := bytes.IndexAny(rest, " \n"); i >= 0 {
		rest = rest[:i]
	}
	return string(rest)
}

// Write queues one line, or drops it. It never fails.
func (s *Sink) Write(b []byte) (int, error) {
	class, room := &s.others, queueLength
	if s.events[event(b)] {
		class, room = &s.preferred, cap(s.lines)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.lines) >= room || !class.take(time.Now()) {
		class.dropped++
		return len(b), nil
	}
	line := s.report()
	if len(b) > maxLine {
		line = append(append(line, b[:maxLine-len(cutMark)]...), cutMark...)
	} else {
		line = append(line, b...)
	}
	s.lines <- line // does not block: nothing else writes to it
	return len(b), nil
}

// report returns the line about dropped lines, empty if there are none. The caller must hold
// mu.
func (s *Sink) report() []byte {
	if s.preferred.dropped+s.others.dropped == 0 {
		return nil
	}
	line := fmt.Appendf(nil, "level=WARN event=log-lines-dropped count=%d ends=%d\n", s.preferred.dropped+s.others.dropped, s.preferred.dropped)
	s.preferred.dropped, s.others.dropped = 0, 0
	return line
}

// Close writes the queued lines and stops the sink. Later lines are dropped. It waits no longer
// than 200 ms for an output that takes nothing.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		if line := s.report(); line != nil && len(s.lines) < cap(s.lines) {
			s.lines <- line
		}
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTime):
	}
}
