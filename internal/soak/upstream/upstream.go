// Package upstream provides a stand-in for an upstream of a service or an engine,
// which reports every request that it runs.
//
// # Usage
//
//	u := &upstream.Upstream{ID: "i-1", Service: "orders", Slots: 6, Dialect: d, OnRun: onRun}
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
	// queueLength is the number of requests that may wait for a slot.
	queueLength = 4
	// workTime is the run time of a request of a service, eventInterval the time between
	// two events of a stream.
	workTime      = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	// A stream has minEvents to minEvents+eventRange-1 events.
	minEvents  = 5
	eventRange = 12
)

// Upstream is one upstream. It runs at most Slots requests at once.
type Upstream struct {
	ID      string
	Service string
	// Engine makes the upstream answer with streams.
	Engine  bool
	Slots   int
	Dialect ward.StandinDialect
	// Faulty makes every second answer of a service fail.
	Faulty bool
	// OnRun is called when a request begins to run.
	OnRun func(id, upstream, team string)

	l       net.Listener
	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int64
	runs    atomic.Int64
}

// Body returns the expected answer of a service to a request.
func Body(id string) string { return "answer to " + id }

// Events returns the number of events in the stream of a request. Their ids start
// at 1.
func Events(id string) int64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // writing to a hash never fails
	return int64(minEvents + h.Sum32()%eventRange)
}

// Data returns the data of the n-th event of a stream.
func Data(id string, n int64) string { return fmt.Sprintf("%s/%d", id, n) }

// Listen starts the upstream on a free port of the loopback address.
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

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string { return u.l.Addr().String() }

// Crash stops the upstream and closes every connection at once.
func (u *Upstream) Crash() {
	_ = u.server.Close() // the server is not used any more
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
	if u.waiting.Add(1) > int64(u.Slots+queueLength) {
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
	u.OnRun(id, u.ID, hop.Team)
	reply.Signed = true
	if u.Engine {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(http.StatusOK)
		u.stream(w, r, id, hop.LastEvent)
		return
	}
	time.Sleep(workTime)
	if u.Faulty && n%2 == 0 {
		answer(http.StatusInternalServerError)
		return
	}
	answer(http.StatusOK)
	// A failed write needs no handling: the caller reports the incomplete answer to
	// the ledger.
	_, _ = io.WriteString(w, Body(id))
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, id string, last int64) {
	for n := max(last, 0) + 1; n <= Events(id); n++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Data(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// CheckEvent returns what is wrong with event n, which follows event last of a
// stream, or an empty text.
func CheckEvent(id string, last, n int64, data string) string {
	switch {
	case n != last+1:
		return fmt.Sprintf("event %d after %d", n, last)
	case strings.TrimSpace(data) != Data(id, n):
		return fmt.Sprintf("event %d holds %q", n, data)
	}
	return ""
}
