// Package explain provides the hops of recent requests and the reason of each
// choice, for the operators' question why a request went where it went.
//
// # Usage
//
//	e := explain.New(4096)
//	e.Add(r.ID, explain.Hop{At: now, Name: "dispatch", Text: "engine-3: shortest time to first token"})
//	hops, ok := e.Of(r.ID)
package explain

import (
	"sync"
	"time"
)

// MaxHops bounds the hops kept of one request.
const MaxHops = 16

// Hop is one station of a request.
type Hop struct {
	At   time.Time `json:"at"`
	Name string    `json:"name"`
	Text string    `json:"text"`
}

// Log keeps the hops of the last requests. It may be used by many goroutines.
type Log struct {
	mu   sync.Mutex
	size int
	hops map[string][]Hop
	// ring holds the request ids in order of arrival; next is the oldest.
	ring []string
	next int
}

// New returns a log of the last size requests; size 0 keeps none.
func New(size int) *Log {
	return &Log{size: size, hops: make(map[string][]Hop, size), ring: make([]string, size)}
}

// Add adds a hop to a request. Hops after MaxHops are dropped.
func (l *Log) Add(id string, h Hop) {
	if l.size == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	hops, ok := l.hops[id]
	if !ok {
		delete(l.hops, l.ring[l.next])
		l.ring[l.next] = id
		l.next = (l.next + 1) % l.size
	}
	if len(hops) < MaxHops {
		l.hops[id] = append(hops, h)
	}
}

// Of returns the hops of a request, if it is still known.
func (l *Log) Of(id string) ([]Hop, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hops, ok := l.hops[id]
	return append([]Hop(nil), hops...), ok
}
