// Package sink provides a non-blocking writer for log lines with a rate limit.
//
// # Usage
//
//	w := sink.New(os.Stdout, 200)
//	defer w.Close()
//	l, err := log.New(w, "info")
//
// Lines are dropped when they exceed the rate or the output is too slow. Their
// number is written before the next line that passes.
package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// queueLength is the number of lines that can wait for the output.
const queueLength = 512

// Sink is a rate-limited writer of lines. It is safe for concurrent use.
type Sink struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	last    time.Time
	dropped int
	lines   chan []byte
	done    chan struct{}
	closed  bool
}

// New returns a sink that passes rate lines a second on average, with a burst of
// rate lines.
func New(w io.Writer, rate int) *Sink {
	s := &Sink{rate: float64(rate), tokens: float64(rate), last: time.Now(), lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for b := range s.lines {
			// A failing log output can't be reported anywhere else.
			_, _ = w.Write(b)
		}
	}()
	return s
}

// Write queues one line, or drops it. It never fails.
func (s *Sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.rate, s.tokens+now.Sub(s.last).Seconds()*s.rate)
	s.last = now
	if s.closed || s.tokens < 1 {
		s.dropped++
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	if s.dropped > 0 {
		line = append([]byte(fmt.Sprintf("level=WARN event=log-lines-dropped count=%d\n", s.dropped)), line...)
	}
	select {
	case s.lines <- line:
		s.tokens--
		s.dropped = 0
	default:
		s.dropped++
	}
	return len(b), nil
}

// Close writes the queued lines and stops the sink. Later lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}
