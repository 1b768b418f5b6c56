// Package wire implements ward.Peer over net/rpc, and the server for it.
//
// # Usage
//
//	s := &wire.Server{Key: key, Handler: gossip.Receive, Log: log}
//	err := s.Serve(ctx, listener)
//
//	c := &wire.Client{Key: key}
//	reply, err := c.Exchange(ctx, "10.0.0.7:7102", message)
//
// # Limitations of net/rpc
//
// net/rpc supports neither deadlines nor cancellation, does not limit the size of
// a message, and starts a goroutine for each request it reads. Package wire adds:
//
//   - deadlines: the codecs set one before each write, one for the rest of a
//     message whose first byte was read, and one for an idle connection;
//   - cancellation: Exchange returns when its context ends and closes the
//     connection, so that a late reply is dropped with it. The handler on the
//     other side works in memory and needs no cancellation;
//   - size limits: the length in front of a message is checked before memory is
//     allocated, and decompression has a limit of its own;
//   - a bound on goroutines: a connection with more than a few unanswered calls is
//     closed, and the number of connections is bounded.
//
// Before the first call the client proves that it has the shared key, by a
// keyed hash of the server's nonce that is compared in constant time.
// Connections are pooled; the size of the pool is bounded.
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

// maxPooledConns is the number of connections that a Client keeps open. The view
// of an entry has far fewer peers.
const maxPooledConns = 48

// Client is a ward.Peer over net/rpc. Its zero value works for a fleet with an
// empty key.
type Client struct {
	// Key is the shared key of the fleet.
	Key string
	// Timeout bounds one exchange including dialling; 0 means one second.
	Timeout time.Duration

	mu       sync.Mutex
	pool     map[string]*pooledConn
	useCount uint64
}

// pooledConn is one open connection.
type pooledConn struct {
	rpc     *rpc.Client
	lastUse uint64
}

var _ ward.Peer = (*Client)(nil)

// Exchange implements ward.Peer. errors.Is(err, ward.ErrNotConnected) means that
// no connection could be made; code.PeerRefused that the other entry refused the
// message.
func (c *Client) Exchange(ctx context.Context, address string, m ward.Exchange) (ward.Exchange, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l, kept, err := c.connect(ctx, address)
	if err != nil {
		return ward.Exchange{}, err
	}
	reply, err := c.call(ctx, address, l, m)
	if err == nil || !kept || ctx.Err() != nil || code.PeerRefused.Is(err) {
		return reply, err
	}
	// A pooled connection may lead to an earlier run of the peer. An exchange may be
	// repeated.
	if l, _, err = c.connect(ctx, address); err != nil {
		return ward.Exchange{}, err
	}
	return c.call(ctx, address, l, m)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.pool {
		_ = l.rpc.Close()
		delete(c.pool, address)
	}
}

func (c *Client) call(ctx context.Context, address string, l *pooledConn, m ward.Exchange) (ward.Exchange, error) {
	var reply ward.Exchange
	call := l.rpc.Go(callName, &m, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.remove(address, l)
		return ward.Exchange{}, fmt.Errorf("exchange with %s: %w", address, ctx.Err())
	case <-call.Done:
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return ward.Exchange{}, code.PeerRefused.New("%s: %s", address, string(refused))
	}
	if call.Error != nil {
		c.remove(address, l)
		return ward.Exchange{}, fmt.Errorf("exchange with %s: %w", address, call.Error)
	}
	return reply, nil
}

// connect returns a pooled connection or a new one.
func (c *Client) connect(ctx context.Context, address string) (l *pooledConn, kept bool, err error) {
	if l := c.pooled(address); l != nil {
		return l, true, nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("peer %s: %w: %w", address, ward.ErrNotConnected, err)
	}
	if err := proveKey(conn, []byte(c.Key)); err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("peer %s: %w", address, err)
	}
	l = &pooledConn{rpc: rpc.NewClientWithCodec(&clientCodec{conn: conn})}
	c.addToPool(address, l)
	return l, false, nil
}

func (c *Client) pooled(address string) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.pool[address]
	if l != nil {
		c.useCount++
		l.lastUse = c.useCount
	}
	return l
}

// addToPool adds a connection, and closes the least recently used one when the
// pool is full.
func (c *Client) addToPool(address string, l *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool == nil {
		c.pool = map[string]*pooledConn{}
	}
	if old := c.pool[address]; old != nil {
		_ = old.rpc.Close()
		delete(c.pool, address)
	}
	if len(c.pool) >= maxPooledConns {
		c.evict()
	}
	c.useCount++
	l.lastUse = c.useCount
	c.pool[address] = l
}

// evict closes the least recently used connection. The caller holds mu.
func (c *Client) evict() {
	var oldest string
	for address, l := range c.pool {
		if oldest == "" || l.lastUse < c.pool[oldest].lastUse {
			oldest = address
		}
	}
	_ = c.pool[oldest].rpc.Close()
	delete(c.pool, oldest)
}

func (c *Client) remove(address string, l *pooledConn) {
	_ = l.rpc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool[address] == l {
		delete(c.pool, address)
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
// own; idleTimeout closes a connection that is no longer used.
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
