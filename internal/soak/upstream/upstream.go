// Package upstream provides a stand-in of a service's or an engine's upstream,
// which reports every request that it runs.
//
// # Usage
//
//	u := &upstream.Upstream{ID: "i-1", Service: "orders", Slots: 6, Dialect: d, Ran: ledger.Ran}
//	err := u.Listen()
//	u.Crash()
package upstream

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"agateward/ward"
)

const (
	// queue is the number of requests that wait beside those in the slots.
	queue = 4
	// work is the time of a request, step that of one event of a stream.
	work = 15 * time.Millisecond
	step = 20 * time.Millisecond
	// leastEvents and moreEvents bound the events of a stream.
	leastEvents = 5
	moreEvents  = 12
)

// Upstream is one upstream. It runs at most Slots requests at once.
type Upstream struct {
	ID      string
	Service string
	// Engine says that it answers with streams.
	Engine  bool
	Slots   int
	Dialect ward.StandinDialect
	// Bad says that each second answer of a service is a failure.
	Bad bool
	// Ran is called as a request begins to run.
	Ran func(id, upstream, team string)

	l       net.Listener
	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int64
	runs    atomic.Int64
}

// Body returns the answer to a request of a service.
func Body(id string) string { return "answer to " + id }

// Events returns the number of events of a stream; their ids begin with 1.
func Events(id string) int64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // a hash takes everything
	return int64(leastEvents + h.Sum32()%moreEvents)
}

// Data returns the data of an event.
func Data(id string, n int64) string { return fmt.Sprintf("%s/%d", id, n) }

// Listen starts the upstream at a free port of the loopback address.
func (u *Upstream) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	u.l, u.slots = l, make(chan struct{}, u.Slots)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }() // ends with Crash
	return nil
}

// Address is where it listens.
func (u *Upstream) Address() string { return u.l.Addr().String() }

// Crash ends it and every connection.
func (u *Upstream) Crash() {
	_ = u.server.Close() // what is left of it is of no more use
}

func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, hop := u.Dialect.Hop(r.Header)
	reply := ward.ForwardReply{ID: id}
	answer := func(status int) {
		for k, v := range u.Dialect.Answer(reply) {
			w.Header()[k] = v
		}
		w.WriteHeader(status)
	}
	if hop.Replica != u.ID {
		reply.NotRun = true
		answer(http.StatusMisdirectedRequest)
		return
	}
	if u.waiting.Add(1) > int64(u.Slots+queue) {
		u.waiting.Add(-1)
		reply.NotRun = true
		answer(http.StatusServiceUnavailable)
		return
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	n := u.runs.Add(1)
	u.Ran(id, u.ID, hop.Team)
	reply.Signed = true
	if u.Engine {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(http.StatusOK)
		u.stream(w, r, id, hop.LastEvent)
		return
	}
	time.Sleep(work)
	if u.Bad && n%2 == 0 {
		answer(http.StatusInternalServerError)
		return
	}
	answer(http.StatusOK)
	// The entry may be gone; the ledger hears of it from the caller.
	_, _ = io.WriteString(w, Body(id))
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, id string, last int64) {
	for n := max(last, 0) + 1; n <= Events(id); n++ {
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Data(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// CheckEvent returns what is wrong with an event of a stream of which the last one
// was last, or an empty text.
func CheckEvent(id string, last, n int64, data string) string {
	switch {
	case n != last+1:
		return fmt.Sprintf("event %d after %d", n, last)
	case strings.TrimSpace(data) != Data(id, n):
		return fmt.Sprintf("event %d holds %q", n, data)
	}
	return ""
}
