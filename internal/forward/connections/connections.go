// Package connections tracks the callers' connections of HTTP servers by what they carry, and
// ends those that carry no request.
//
// http.Server.Shutdown closes a connection right after it has read a request on it, so that
// the request gets no answer. A Tracker ends only connections on which nothing has arrived:
// it shortens the time to read, and bytes that arrive in that time are served.
//
// # Usage
//
//	var t connections.Tracker
//	s := &http.Server{Handler: h, ConnState: t.StateChanged}
//	go s.Serve(t.Listen(l))
//	...
//	t.EndUnused()                // no new connections; those without a request end
//	for t.Counts().Open() > 0 {  // requests are answered meanwhile
//		...
//	}
//	s.Close()
package connections

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lastReadTime is the time in which bytes that are on their way to a connection without a
// request, or a connection on its way to a listener, are still accepted after EndUnused.
const lastReadTime = 10 * time.Millisecond

// Counts holds the numbers of open connections by what they carry.
type Counts struct {
	// New connections have not carried a byte.
	New int
	// Idle connections carry nothing since their last answer.
	Idle int
	// Head connections have carried part of the head of a request.
	Head int
	// Request connections carry a request or its answer.
	Request int
}

// Open returns the number of all connections.
func (c Counts) Open() int { return c.New + c.Idle + c.Head + c.Request }

// Tracker tracks the connections of one or more servers. Its zero value is ready to use. It
// is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []net.Listener
	ending    bool
}

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, l)
	return &listener{Listener: l, tracker: t}
}

// StateChanged notes the state of a connection. It is the http.Server's ConnState.
func (t *Tracker) StateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	if s == http.StateClosed || s == http.StateHijacked {
		t.mu.Lock()
		delete(t.open, c)
		t.mu.Unlock()
		return
	}
	c.setState(s)
}

// Counts returns the numbers of open connections.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n Counts
	for c := range t.open {
		c.count(&n)
	}
	return n
}

// EndUnused stops the listeners once they have accepted what is waiting, and ends the
// connections without a request, those too on which an answer ends later. A request of which
// a byte has arrived is served.
func (t *Tracker) EndUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ending = true
	now := time.Now()
	for _, l := range t.listeners {
		if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(now.Add(lastReadTime)) != nil {
			_ = l.Close() // closed already, or it cannot wait
		}
	}
	for c := range t.open {
		c.end(now)
	}
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker *Tracker
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*conn]struct{})
	}
	t.open[c] = struct{}{}
	if t.ending {
		c.end(time.Now())
	}
	return c, nil
}

// conn is a connection that notes whether part of a request has arrived.
type conn struct {
	net.Conn

	mu    sync.Mutex
	state http.ConnState
	// received is true once a byte has arrived since the last answer.
	received bool
	// ending is true once the connection ends when it carries no request.
	ending bool
	// deadline is the server's own deadline for reading. It does not hold while shortened is
	// true.
	deadline  time.Time
	shortened bool
}

func (c *conn) unused() bool { return c.state != http.StateActive && !c.received }

func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	switch s {
	case http.StateActive:
		c.restore()
	case http.StateIdle:
		c.received = false // the server sets a deadline next
	}
}

func (c *conn) count(n *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == http.StateActive:
		n.Request++
	case c.received:
		n.Head++
	case c.state == http.StateIdle:
		n.Idle++
	default:
		n.New++
	}
}

// end shortens the time to read if the connection carries no request, and whenever it carries
// none again.
func (c *conn) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.unused() {
		c.shorten(now)
	}
}

func (c *conn) shorten(now time.Time) {
	if limit := now.Add(lastReadTime); c.deadline.IsZero() || c.deadline.After(limit) {
		c.shortened = true
		_ = c.Conn.SetReadDeadline(limit) // fails on a closed connection alone
	}
}

// restore sets the server's own deadline for reading again.
func (c *conn) restore() {
	if c.shortened {
		c.shortened = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails on a closed connection alone
	}
}

// SetReadDeadline sets the deadline for reading. It does not lengthen that of a connection
// that ends.
func (c *conn) SetReadDeadline(d time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.shortened = d, false
	if err := c.Conn.SetReadDeadline(d); err != nil {
		return err
	}
	if c.ending && c.unused() {
		c.shorten(time.Now())
	}
	return nil
}

// SetDeadline sets the deadlines for reading and writing.
func (c *conn) SetDeadline(d time.Time) error {
	if err := c.SetReadDeadline(d); err != nil {
		return err
	}
	return c.SetWriteDeadline(d)
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.received = true
		c.restore()
		c.mu.Unlock()
	}
	return n, err
}

// NetConn returns the connection of the listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite sends what was written and the end of the stream, if the connection can.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}
