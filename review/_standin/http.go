package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// service is a sound replica of a plain service.
type service struct {
	w     *world
	id    string
	slots chan struct{}
	work  time.Duration
	addr  string

	mu   sync.Mutex
	runs map[string]int
}

func newService(w *world, id string, slots int, work time.Duration) (*service, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &service{w: w, id: id, slots: make(chan struct{}, slots), work: work, addr: l.Addr().String(), runs: map[string]int{}}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return s, nil
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Agateward-Request-Id")
	w.Header().Set("X-Agateward-Request-Id", id)
	if r.Header.Get("X-Agateward-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.w.record("replica %s runs %s", s.id, id)
	time.Sleep(s.work)
	w.Header().Set("X-Agateward-Response-Signature", s.id+".1")
	fmt.Fprintf(w, "answer to %s", id)
}

// reply is what a client got for one request.
type reply struct {
	status   int
	body     string
	complete bool
	took     time.Duration
	err      error
}

func (a reply) String() string {
	return fmt.Sprintf("status %d, %d bytes, complete %v, after %.3f s, error %v", a.status, len(a.body), a.complete, a.took.Seconds(), a.err)
}

// get sends a GET on a new connection.
func get(front, path, id string, deadline time.Duration) reply {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := reply{}
	defer func() { a.took = time.Since(begin) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("X-Agateward-Request-Id", id)
	req.Header.Set("X-Agateward-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := c.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(begin)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(b), complete: err == nil, err: err, took: time.Since(begin)}
}

// kept is a client's connection that is kept open between requests.
type kept struct {
	net.Conn
	br *bufio.Reader
}

func keep(front string) (*kept, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{c, bufio.NewReader(c)}, nil
}

// stream sends a request for a stream with a prompt and an output of the given tokens, and
// reads the answer.
func (k *kept) stream(path, id string, prompt, output int, deadline time.Duration) reply {
	begin := time.Now()
	_ = k.SetDeadline(begin.Add(deadline))
	_, err := fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Agateward-Request-Id: %s\r\nX-Agateward-Model: m\r\nX-Agateward-Token-Usage: %d,%d\r\nX-Agateward-Prompt-Prefix: %s:%d\r\nX-Agateward-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
		path, host, id, prompt, output, strings.TrimPrefix(fmt.Sprintf("%x", begin.UnixNano()), "0"), prompt, deadline.Milliseconds())
	if err != nil {
		return reply{err: err, took: time.Since(begin)}
	}
	res, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return reply{err: err, took: time.Since(begin)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(b), complete: err == nil, err: err, took: time.Since(begin)}
}

// counter numbers requests.
type counter struct{ atomic.Int64 }

func (c *counter) id() string { return fmt.Sprintf("r%05d", c.Add(1)) }
