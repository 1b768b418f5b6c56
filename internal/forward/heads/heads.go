// Package heads bounds what the heads of requests hold in sum. A head has a bound of its own,
// but thousands of connections may each send most of one slowly, and a head of many short
// fields takes a multiple of its bytes once it is parsed.
//
// # Usage
//
//	var g heads.Guard
//	g.SetTotal(28 << 20)
//	g.Guard(server)
//	err := server.Serve(g.Listener(l))
package heads

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/forward/buffer"
)

const (
	// byteCost and lineCost are the bytes that a byte and a line of a head hold at most: the
	// line as it was read, the strings of the field and its place in the map of fields.
	byteCost = 2
	lineCost = 96
	// freeCost is the cost in bytes up to which a head is not counted. Most heads are below it.
	freeCost = 16 << 10
)

// Guard bounds the heads that are being read, and those of requests that are served. When they
// exceed the bound, the host that holds most loses the connection with the largest head that is
// not whole. The zero value has no bound.
type Guard struct {
	// OnCut is called when a connection was closed for its head, with its address and the bytes
	// that the head held, unless it is nil. It must not block.
	OnCut func(from string, bytes int)

	budget buffer.Budget
}

// SetTotal sets the bound in bytes; 0 means none.
func (g *Guard) SetTotal(total int64) { g.budget.SetTotal(0, total) }

// Used returns the number of bytes that are counted.
func (g *Guard) Used() int64 { return g.budget.Used() }

// Cuts returns the number of connections that were closed.
func (g *Guard) Cuts() uint64 { return g.budget.Cuts() }

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(l net.Listener) net.Listener { return listener{l, g} }

// Guard prepares a server for connections of Listener. It must be called before Serve.
func (g *Guard) Guard(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := guarded(nc); c != nil {
			switch state {
			case http.StateActive:
				c.endHead()
			case http.StateIdle: // the server has read the rest of the body
				c.beginHead()
			}
		}
		if next != nil {
			next(nc, state)
		}
	}
}

// guarded returns the connection of a Listener below others that wrap it, nil if there is
// none.
func guarded(c net.Conn) *conn {
	for c != nil {
		if g, ok := c.(*conn); ok {
			return g
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
	return nil
}

type listener struct {
	net.Listener
	guard *Guard
}

// SetDeadline sets the deadline for Accept, if the listener has one.
func (l listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: l.guard}, nil
}

// conn counts the bytes that are read from a connection outside of requests.
type conn struct {
	net.Conn
	guard *Guard
	// serving is true from the end of a head to that of its request.
	serving atomic.Bool

	mu   sync.Mutex
	cost int
	// claim is nil while the head is not counted.
	claim  *buffer.Claim
	closed bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.serving.Load() {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, _ := bytes.Cut(b[:n], []byte("\r\n\r\n"))
	more := byteCost*len(head) + lineCost*bytes.Count(head, []byte("\n"))
	c.cost += more
	if c.cost <= freeCost || c.closed {
		return n, err
	}
	if c.claim == nil {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		c.claim = c.guard.budget.Claim(host, func() { c.Conn.Close() })
		more = c.cost
	}
	if cut := c.claim.Grow(more); cut != nil {
		return 0, cut
	}
	return n, err
}

// endHead is called when a request begins.
func (c *conn) endHead() {
	c.serving.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim != nil {
		c.claim.SetWhole(true)
	}
}

// beginHead is called when a request has ended.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	c.cost = 0
	c.serving.Store(false)
}

// release ends the claim. The caller must hold mu.
func (c *conn) release() {
	if c.claim != nil {
		c.claim.Release()
		c.claim = nil
	}
}

// CloseWrite sends what was written and the end of the stream, if the connection can.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.claim != nil && c.claim.Cut() != nil && c.guard.OnCut != nil {
		c.guard.OnCut(c.RemoteAddr().String(), c.cost)
	}
	c.closed = true
	c.release()
	return err
}
