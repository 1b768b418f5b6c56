// Package wire provides ward.Peer over net/rpc, and the server for it.
//
// # Usage
//
//	s := &wire.Server{Key: key, Handler: gossip.Receive, Log: log}
//	err := s.Serve(ctx, listener)
//
//	c := &wire.Client{Key: key}
//	reply, err := c.Exchange(ctx, "10.0.0.7:7102", message)
//
// # What net/rpc lacks
//
// net/rpc knows neither deadlines nor cancellation, has no limit on the size of
// a message, and starts a goroutine for each request it reads. Here is how each
// is met:
//
//   - deadlines: the codecs set one before each write, one for the rest of a
//     message whose first byte has come, and one for a connection without any;
//   - cancellation: Exchange returns when its context ends and closes the
//     connection, so that a late reply ends with it. The handler on the other
//     side works in memory and needs no cancellation;
//   - size: a message has its length before it, which is checked before memory
//     is taken, and decompression has a limit of its own;
//   - goroutines: a connection with more than a few unanswered calls is closed,
//     and the number of connections is bounded.
//
// Before the first call the client proves that it has the shared key, by a
// keyed hash of the server's nonce that is compared in constant time.
// Connections are kept and used again; the number kept is bounded.
package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"agateward/internal/peer/codec"
	"agateward/internal/result/code"
	"agateward/ward"
)

// maxKept is the number of connections that a Client keeps. An entry has far
// fewer peers in turn.
const maxKept = 48

// Client is a ward.Peer over net/rpc. Its zero value works for a fleet with an
// empty key.
type Client struct {
	// Key is the shared key of the fleet.
	Key string
	// Timeout bounds one exchange with its dialling; 0 means one second.
	Timeout time.Duration

	mu   sync.Mutex
	kept map[string]*link
	uses uint64
}

// link is one kept connection.
type link struct {
	rpc  *rpc.Client
	used uint64
}

var _ ward.Peer = (*Client)(nil)

// Exchange implements ward.Peer. errors.Is(err, ward.ErrNotConnected) says that
// nobody listens there; code.PeerRefused that the other entry refused.
func (c *Client) Exchange(ctx context.Context, address string, m ward.Exchange) (ward.Exchange, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l, kept, err := c.link(ctx, address)
	if err != nil {
		return ward.Exchange{}, err
	}
	reply, err := c.call(ctx, address, l, m)
	if err == nil || !kept || ctx.Err() != nil || code.PeerRefused.Is(err) {
		return reply, err
	}
	// A kept connection may be one to an earlier run. An exchange may be repeated.
	if l, _, err = c.link(ctx, address); err != nil {
		return ward.Exchange{}, err
	}
	return c.call(ctx, address, l, m)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.kept {
		_ = l.rpc.Close()
		delete(c.kept, address)
	}
}

func (c *Client) call(ctx context.Context, address string, l *link, m ward.Exchange) (ward.Exchange, error) {
	var reply ward.Exchange
	call := l.rpc.Go(callName, &m, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(address, l)
		return ward.Exchange{}, fmt.Errorf("exchange with %s: %w", address, ctx.Err())
	case <-call.Done:
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return ward.Exchange{}, code.PeerRefused.New("%s: %s", address, string(refused))
	}
	if call.Error != nil {
		c.drop(address, l)
		return ward.Exchange{}, fmt.Errorf("exchange with %s: %w", address, call.Error)
	}
	return reply, nil
}

// link returns a kept connection or a new one.
func (c *Client) link(ctx context.Context, address string) (l *link, kept bool, err error) {
	if l := c.get(address); l != nil {
		return l, true, nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("peer %s: %w: %w", address, ward.ErrNotConnected, err)
	}
	if err := answer(conn, []byte(c.Key)); err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("peer %s: %w", address, err)
	}
	l = &link{rpc: rpc.NewClientWithCodec(&clientCodec{conn: conn})}
	c.keep(address, l)
	return l, false, nil
}

func (c *Client) get(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.kept[address]
	if l != nil {
		c.uses++
		l.used = c.uses
	}
	return l
}

// keep keeps a connection, and closes the one that was used longest ago when
// there are too many.
func (c *Client) keep(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = map[string]*link{}
	}
	if old := c.kept[address]; old != nil {
		_ = old.rpc.Close()
		delete(c.kept, address)
	}
	if len(c.kept) >= maxKept {
		c.evict()
	}
	c.uses++
	l.used = c.uses
	c.kept[address] = l
}

// evict needs mu.
func (c *Client) evict() {
	var oldest string
	for address, l := range c.kept {
		if oldest == "" || l.used < c.kept[oldest].used {
			oldest = address
		}
	}
	_ = c.kept[oldest].rpc.Close()
	delete(c.kept, oldest)
}

func (c *Client) drop(address string, l *link) {
	_ = l.rpc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept[address] == l {
		delete(c.kept, address)
	}
}

// clientCodec is the rpc.ClientCodec of one connection.
type clientCodec struct {
	conn  net.Conn
	frame []byte
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return writeFrame(c.conn, &header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec. Calls have deadlines of their
// own; this one ends a connection that is no longer used.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	b, err := readFrame(c.conn, idleTimeout)
	if err != nil {
		return err
	}
	var h header
	if err := codec.Unmarshal(b, &h); err != nil {
		return err
	}
	c.frame = b
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	frame := c.frame
	c.frame = nil
	return readBody(frame, body)
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
