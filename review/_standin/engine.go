package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// stride is the number of tokens in an event.
	stride = 5
	// tokenTime and firstTime are the times of a replica of speed 1: for a token, and to
	// the first one.
	tokenTime = 4 * time.Millisecond
	firstTime = 50 * time.Millisecond
)

// engine is a sound model replica. Its speed does not change; replicas differ in it.
type engine struct {
	w     *world
	id    string
	slow  float64
	slots chan struct{}
	addr  string

	mu  sync.Mutex
	ran map[string]string
}

func newEngine(w *world, id string, slots int, slow float64) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, slow: slow, slots: make(chan struct{}, slots), addr: l.Addr().String(), ran: map[string]string{}}
	srv := &http.Server{Handler: e}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return e, nil
}

// note records the last that is known of the run of a request.
func (e *engine) note(id, what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id] = what
}

// runOf returns what is known of the run of a request, "" if it did not run here.
func (e *engine) runOf(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Agateward-Request-Id")
	w.Header().Set("X-Agateward-Request-Id", id)
	if r.Header.Get("X-Agateward-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	_, out, _ := strings.Cut(r.Header.Get("X-Agateward-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out) // 0 for none
	begin := time.Now()
	e.note(id, "runs")
	e.w.record("replica %s runs %s, %d tokens", e.id, id, tokens)
	w.Header().Set("X-Agateward-Response-Signature", e.id+".1")
	w.Header().Set("Content-Type", "text/event-stream")
	pause := time.Duration(e.slow * float64(firstTime))
	for n := 1; n <= tokens/stride; n++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.note(id, fmt.Sprintf("its connection was closed after %d of %d events, %.3f s", n-1, tokens/stride, time.Since(begin).Seconds()))
			e.w.record("replica %s: %s %s", e.id, id, e.runOf(id))
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		w.(http.Flusher).Flush()
		pause = time.Duration(e.slow * float64(stride*tokenTime))
	}
	e.note(id, fmt.Sprintf("ran to its end in %.3f s", time.Since(begin).Seconds()))
	e.w.record("replica %s: %s %s", e.id, id, e.runOf(id))
}
