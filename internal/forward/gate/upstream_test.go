package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// upstream is a stand-in server that answers each request by calling a function.
type upstream struct {
	net.Listener
	runs atomic.Int64
	mu   sync.Mutex
	seen []*http.Request
}

// reply writes the answer to the n-th request (from 1) of the stand-in, and reports
// whether the connection stays open.
type reply func(w io.Writer, r *http.Request, n int64) bool

func newUpstream(t *testing.T, f reply) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, f)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, f reply) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.seen = append(u.seen, r)
		u.mu.Unlock()
		if !f(c, r, u.runs.Add(1)) {
			return
		}
	}
}

// heldPort is the address of a connection's own end. Connections to it are refused, and
// no other process gets the port while the connection is open.
type heldPort struct {
	net.Listener
	conn net.Conn
}

func (p heldPort) Addr() net.Addr { return p.conn.LocalAddr() }

// newRefusing returns an upstream whose port refuses connections.
func newRefusing(t *testing.T) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); l.Close() })
	return &upstream{Listener: heldPort{l, c}}
}

func ok(w io.Writer, r *http.Request, body string) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Agateward-Request"), len(body), body)
	return true
}

func events(w io.Writer, r *http.Request, from, to int, end bool) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Agateward-Request"))
	for id := from; id <= to; id++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
	}
	if end {
		fmt.Fprint(w, "0\r\n\r\n")
	}
	return end
}
