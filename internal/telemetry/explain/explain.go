// Package explain provides a log of the hops of recent requests with the reason
// for each decision, so that operators can see how a request was routed.
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

// MaxHops is the number of hops kept for one request.
const MaxHops = 16

// Hop is one step of a request, such as its dispatch.
type Hop struct {
	At   time.Time `json:"at"`
	Name string    `json:"name"`
	Text string    `json:"text"`
}

// Log keeps the hops of the last requests. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	size int
	hops map[string][]Hop
	// ring holds the request ids in order of arrival; next is the index of the
	// oldest.
	ring []string
	next int
}

// New returns a log that keeps the last size requests; 0 keeps none.
func New(size int) *Log {
	return &Log{size: size, hops: make(map[string][]Hop, size), ring: make([]string, size)}
}

// Add adds a hop to the request id. Hops beyond MaxHops are dropped.
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

// Of returns a copy of the hops of the request id, and whether it is known.
func (l *Log) Of(id string) ([]Hop, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hops, ok := l.hops[id]
	return append([]Hop(nil), hops...), ok
}
