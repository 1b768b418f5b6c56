//nolint:forbidigo // the stand-ins run on the real clock
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica serves requests over plain connections, so that it decides how they end.
type replica struct {
	id      string
	address string
	version string
	// serve answers one request and reports whether the connection stays.
	serve func(c net.Conn, r *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	crashed  bool
	// runs counts the runs by request id.
	runs map[string]int
}

func newReplica(id string, serve func(r *replica, c net.Conn, q *http.Request) bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, address: l.Addr().String(), listener: l, conns: make(map[net.Conn]bool), runs: make(map[string]int)}
	r.serve = func(c net.Conn, q *http.Request) bool { return serve(r, c, q) }
	go r.accept()
	return r, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.connection(c)
	}
}

func (r *replica) connection(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		buf := make([]byte, 4<<10)
		for err == nil {
			_, err = q.Body.Read(buf)
		}
		if expect := q.Header.Get("X-Agateward-Expect-Instance"); expect != "" && expect != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Agateward-Request-Id: %s\r\nX-Agateward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestID(q))
			continue
		}
		if q.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Agateward-Instance-Id: %s\r\nX-Agateward-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, requestID(q))
			continue
		}
		r.mu.Lock()
		r.runs[requestID(q)]++
		r.mu.Unlock()
		if !r.serve(c, q) {
			return
		}
	}
}

// crash resets all connections, and accepts none any more.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	_ = r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a close resets the connection
		}
		_ = c.Close()
	}
}

func requestID(q *http.Request) string { return q.Header.Get("X-Agateward-Request-Id") }

// signed returns the header lines that a replica's answer begins with.
func signed(q *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nX-Agateward-Request-Id: " + requestID(q) + "\r\nX-Agateward-Response-Signature: s." + requestID(q) + "\r\n"
}

// sleepUnlessClosed waits, and reports whether the replica still runs.
func (r *replica) sleepUnlessClosed(d time.Duration) bool {
	time.Sleep(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.crashed
}
