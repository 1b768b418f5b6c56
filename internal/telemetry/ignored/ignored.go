// Package ignored counts and logs input that a process cannot use and ignores: values of the
// store, news of peers, and requests that are no relayed ones. Other writers decide how much of
// it arrives, so the number of lines is bounded.
//
// # Usage
//
//	input := &ignored.Input{Set: set}
//	input.Note(log, "order-ignored", "key", key, "error", err.Error())
//
// Every call adds one to agateward_forward_input_ignored_total for its event. In each Period
// the first MaxLines calls of an event write a line; the first line after that tells how many
// were left out.
package ignored

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Bounds of the log.
const (
	// Period is the time over which lines are counted.
	Period = 10 * time.Second
	// MaxLines bounds the lines of one event in a period.
	MaxLines = 20
)

// Input records ignored input. It is safe for concurrent use. A nil value logs without a
// bound and counts nothing.
type Input struct {
	// Set gets the counters; nil counts nothing.
	Set *metrics.Set
	// Now replaces time.Now unless it is nil.
	Now func() time.Time

	mu     sync.Mutex
	events map[string]*lines
}

// lines holds the lines of one event since a period began.
type lines struct {
	begun          time.Time
	wrote, leftOut int
}

// Note counts one ignored input and logs event with the key-value pairs kv. Events are
// constants of the program, so their number is bounded.
func (i *Input) Note(log logr.Logger, event string, kv ...any) {
	if i == nil {
		log.Info(event, kv...)
		return
	}
	if i.Set != nil {
		i.Set.GetOrCreateCounter(fmt.Sprintf("agateward_forward_input_ignored_total{event=%q}", event)).Inc()
	}
	leftOut, ok := i.admit(event)
	if !ok {
		return
	}
	if leftOut > 0 {
		kv = append(kv[:len(kv):len(kv)], "left-out", leftOut)
	}
	log.Info(event, kv...)
}

// admit reports whether a line of the event may be written, and how many were left out
// before it.
func (i *Input) admit(event string) (leftOut int, ok bool) {
	now := time.Now
	if i.Now != nil {
		now = i.Now
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.events == nil {
		i.events = make(map[string]*lines)
	}
	l, at := i.events[event], now()
	if l == nil {
		l = &lines{begun: at}
		i.events[event] = l
	}
	if at.Sub(l.begun) >= Period {
		leftOut = l.leftOut
		*l = lines{begun: at}
	}
	if l.wrote >= MaxLines {
		l.leftOut++
		return 0, false
	}
	l.wrote++
	return leftOut, true
}
