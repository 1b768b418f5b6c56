package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// upstream is a stand-in server that answers each request by calling a function.
type upstream struct {
	net.Listener
	// early makes it answer before it reads the body, and read the body after that.
	early bool
	runs  atomic.Int64
	mu    sync.Mutex
	seen  []*http.Request
}

// reply writes the answer to the n-th request (from 1) of the stand-in, and reports
// whether the connection stays open.
type reply func(w io.Writer, r *http.Request, n int64) bool

func newUpstream(t *testing.T, f reply) *upstream { return listen(t, f, false) }

func listen(t *testing.T, f reply, early bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l, early: early}
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

// newClosedUpstream returns an upstream that nobody listens for. Its port stays bound,
// so that no other process gets it.
func newClosedUpstream(t *testing.T) *upstream {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	return &upstream{Listener: closedListener{address: address}}
}

// closedListener is an address without a listener.
type closedListener struct {
	net.Listener
	address net.Addr
}

func (l closedListener) Addr() net.Addr { return l.address }

func (u *upstream) serve(c net.Conn, f reply) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !u.early {
			io.Copy(io.Discard, r.Body)
		}
		u.mu.Lock()
		u.seen = append(u.seen, r)
		u.mu.Unlock()
		if !f(c, r, u.runs.Add(1)) {
			return
		}
		io.Copy(io.Discard, r.Body)
	}
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
