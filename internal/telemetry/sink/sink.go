// Package sink provides a writer for log lines that never blocks and bounds the
// number of lines a second.
//
// # Usage
//
//	w := sink.New(os.Stdout, 200)
//	defer w.Close()
//	l, err := log.New(w, "info")
//
// Lines beyond the rate, or beyond what the output takes, are dropped; their
// number is written with the next line that passes.
package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// waiting is the number of lines that may wait for the output.
const waiting = 512

// Sink is a bounded writer of lines.
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

// New returns a sink that passes rate lines a second on average, and as many at
// once.
func New(w io.Writer, rate int) *Sink {
	s := &Sink{rate: float64(rate), tokens: float64(rate), last: time.Now(), lines: make(chan []byte, waiting), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for b := range s.lines {
			// The output of a log has no other place to report its own fault.
			_, _ = w.Write(b)
		}
	}()
	return s
}

// Write takes one line.
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

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}
