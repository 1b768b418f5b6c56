// Package backend provides a pool of connections to upstreams. An exchange sends
// one request and reads its answer; a request is never sent twice.
//
// # Usage
//
//	var p backend.Pool
//	x, err := p.Send(ctx, backend.Request{Address: a, Method: "GET", Target: "/seats", Header: h})
//	if errors.Is(err, ward.ErrNotConnected) {
//		// no byte was written; another upstream may be tried
//	}
//	defer x.Close()
//	n, err := x.Body.Read(b)
//
// Close returns the connection to the pool only when the answer was read to its
// end, the request was sent completely and no byte followed the answer. The end of ctx
// closes the connection, which cancels the request at the upstream.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"agateward/ward"
)

// Limits of the pool.
const (
	// dialTimeout bounds the opening of a connection. Within a region it takes a few
	// milliseconds; an instance that is down does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// maxIdlePerAddress bounds the number of idle connections to an address.
	maxIdlePerAddress = 32
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not state its timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is subtracted from the stated timeout, so that the upstream
	// does not close the connection while a request is on its way.
	idleTimeoutMargin = 700 * time.Millisecond
	// bufferSize is the size of the read buffer of a connection in bytes.
	bufferSize = 4 << 10
	// maxInlineBody is the size in bytes up to which a body is written before the
	// answer is read. Larger bodies are written while it is read.
	maxInlineBody = 2 << 10
	// drainTimeout bounds the wait for the rest of a body that nobody needs.
	drainTimeout = 20 * time.Millisecond
	// silentTime is the time without a byte of an answer from which the connection may have
	// fallen silent, and with it those that were idle meanwhile.
	silentTime = 500 * time.Millisecond
	// writeEndTimeout bounds the wait for the end of a request's write, once the upstream has
	// closed the connection.
	writeEndTimeout = time.Second
	// maxHeadBytes bounds the head of an answer in bytes, with the interim heads before
	// it.
	maxHeadBytes = 64 << 10
	// minInterimStatus, minFinalStatus and maxStatus are the bounds of the statuses of
	// interim heads and of answers.
	minInterimStatus, minFinalStatus, maxStatus = 100, 200, 599
	// maxInterimHeads bounds the interim heads (status 1xx) before the head of an answer.
	maxInterimHeads = 32
	// DefaultHeadTimeout is the Pool.HeadTimeout of a pool that sets none.
	DefaultHeadTimeout = 10 * time.Second
)

// ErrBadAnswer is returned when the upstream sends something else than an HTTP
// answer.
var ErrBadAnswer = errors.New("not an HTTP answer")

// errSendBroken means that an answer without a length ended while its request was being
// sent, so that it may have been cut.
var errSendBroken = fmt.Errorf("the connection ended while the request was sent: %w", io.ErrUnexpectedEOF)

// Causes for which a reply is not an HTTP answer.
var (
	errHeadTooLarge   = fmt.Errorf("the head exceeds %d bytes", maxHeadBytes)
	errHeadLate       = errors.New("the head did not end within its time")
	errTooManyInterim = fmt.Errorf("more than %d interim heads", maxInterimHeads)
)

// ErrWithdrawn is returned when MaySend of a request has reported false, so that no byte
// was written.
var ErrWithdrawn = errors.New("the request was withdrawn before it was written")

// Request is one request to an upstream.
type Request struct {
	// ID is the request's id, "" for none. A connection that carried a request of the same
	// id is not used: an answer that comes twice could not be told from the new one.
	ID string
	// Address is an IP address and port, Target the path with its query as the
	// caller sent it.
	Address string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	// MaySend is called once there is a connection, right before the request is
	// written, unless it is nil. It reports whether the request may be written.
	MaySend func() bool
	// Connected is called before the request is written, unless it is nil. unread
	// reports whether bytes have arrived on the connection that were not read; any
	// goroutine may call it.
	Connected func(unread func() bool)
}

// Pool holds the idle connections by address. Its zero value is ready to use.
type Pool struct {
	// OnOpen is called for each new connection, unless it is nil.
	OnOpen func()
	// HeadTimeout bounds the time from the first byte of a head to its end; 0 means
	// DefaultHeadTimeout.
	HeadTimeout time.Duration
	// Dial opens a connection to an address, nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// heard is when bytes last arrived, in nanoseconds since processStart; 0 for never.
	heard atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	br      *bufio.Reader
	expires time.Time
	reused  bool
	// lastID is the id of the last request. Only its answer can come once more: one of an
	// earlier request would have been read as that of the next, and refused.
	lastID string
	head   headLimit
	// heard is when bytes last arrived, or when the connection was opened.
	heard time.Time
	// end is the error with which the reads of the connection ended, nil before.
	end error
}

// Exchange is a sent request with the answer that is being received.
type Exchange struct {
	Status int
	Header http.Header
	// Body is the body without its transfer encoding. It ends with io.EOF only
	// when it is complete.
	Body io.Reader
	// Length is the length of the body in bytes, -1 when it is not stated.
	Length int64
	// Reused reports whether the connection has carried an earlier request, whose
	// answer this may be.
	Reused bool

	pool       *Pool
	conn       *conn
	res        *http.Response
	bodyRead   bool
	received   int64
	sent       time.Time
	writeDone  chan error
	stopCancel func() bool
}

// Send takes an idle connection or opens one, writes the request and reads the
// head of the answer. Its error wraps ward.ErrNotConnected if there is no
// connection, so that no byte was written, ErrWithdrawn if MaySend reports false, and
// ErrBadAnswer if the answer is not HTTP.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.acquire(ctx, r.Address, r.ID)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ward.ErrNotConnected, err)
	}
	c.lastID = r.ID
	if r.MaySend != nil && !r.MaySend() {
		c.Close()
		return nil, ErrWithdrawn
	}
	if r.Connected != nil {
		r.Connected(c.unread)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	x := &Exchange{pool: p, conn: c, Reused: c.reused, sent: time.Now(), writeDone: make(chan error, 1), stopCancel: stop}
	head := r.head()
	if len(r.Body) <= maxInlineBody {
		_, err := c.Write(append(head, r.Body...))
		x.writeDone <- err
	} else {
		go func() {
			_, err := (&net.Buffers{head, r.Body}).WriteTo(c.Conn)
			x.writeDone <- err
		}()
	}
	if err := x.readHead(r.Method); err != nil {
		x.discard()
		return nil, err
	}
	return x, nil
}

// head returns the request line and header fields.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// The fields come from a parsed request, so they hold no line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the answer and the interim heads before it.
func (x *Exchange) readHead(method string) error {
	x.conn.beginHeads()
	defer x.conn.endHeads()
	for range maxInterimHeads + 1 {
		if _, err := x.conn.br.Peek(1); err != nil {
			return fmt.Errorf("await the answer: %w", err)
		}
		x.conn.beginHead(x.pool.headTimeout())
		//nolint:bodyclose // the exchange reads the body or closes the connection
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		x.conn.endHead()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBadAnswer, err)
		}
		if !isStatus(res.StatusCode) {
			return fmt.Errorf("%w: status %q", ErrBadAnswer, res.Status)
		}
		if res.StatusCode >= minFinalStatus {
			x.res = res
			x.Status, x.Header, x.Length = res.StatusCode, res.Header, res.ContentLength
			x.Body = eofReader{x}
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrBadAnswer, errTooManyInterim)
}

// isStatus reports whether a number is the status of an answer, or of an interim head that
// needs no request. The upstream may wait for its caller after a protocol switch.
func isStatus(n int) bool {
	return n >= minInterimStatus && n <= maxStatus && n != http.StatusSwitchingProtocols
}

// eofReader sets bodyRead once the body was read to its end.
type eofReader struct{ x *Exchange }

func (r eofReader) Read(b []byte) (int, error) {
	n, err := r.x.res.Body.Read(b)
	r.x.received += int64(n)
	if errors.Is(err, io.EOF) && !r.x.bodyRead {
		if r.x.endsWithConnection() && !r.x.written() {
			return n, errSendBroken
		}
		r.x.bodyRead = true
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection ends the body.
func (x *Exchange) endsWithConnection() bool {
	return x.Length < 0 && len(x.res.TransferEncoding) == 0
}

// EndedBy returns what has ended the body, for logs: "framing", or "connection" with what the
// socket reported last and the bytes of the body. It must not be called beside a read.
func (x *Exchange) EndedBy() string {
	if !x.endsWithConnection() {
		return "framing"
	}
	return fmt.Sprintf("connection (%v after %d bytes)", x.conn.end, x.received)
}

// written reports whether the request was sent completely, after the upstream has closed
// the connection. A reset that fails a write is not seen by the reads beside it, which
// see a regular end.
func (x *Exchange) written() bool {
	select {
	case err := <-x.writeDone:
		x.writeDone <- err
		return err == nil
	case <-time.After(writeEndTimeout):
		return false
	}
}

// Unread reports whether bytes have arrived on the connection that were not read; any
// goroutine may call it.
func (x *Exchange) Unread() bool { return x.conn.unread() }

// Drain reads the rest of the body, up to limit bytes, so that Close keeps the
// connection. It gives up on an upstream that stops sending.
func (x *Exchange) Drain(limit int64) {
	if x.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return // the connection is closed
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, limit))
	_ = x.conn.SetReadDeadline(time.Time{})
}

// Cut closes the connection, which ends a read of the body; any goroutine may call it before
// Close.
func (x *Exchange) Cut() { x.conn.Close() }

// Close ends the exchange. A request whose answer was not read to its end is
// cancelled.
func (x *Exchange) Close() {
	if !x.bodyRead || x.res.Close || x.endsWithConnection() {
		x.discard()
		return
	}
	select {
	case err := <-x.writeDone:
		if err != nil {
			x.discard()
			return
		}
	default:
		// The answer came before the request was sent completely: the upstream would
		// read the next request as the rest of this one.
		x.discard()
		return
	}
	if x.conn.br.Buffered() > 0 || !x.stopCancel() {
		x.discard()
		return
	}
	x.pool.putIdle(x.conn, x.Header.Get("Keep-Alive"))
}

func (x *Exchange) discard() {
	x.stopCancel()
	x.conn.Close()
	if x.conn.heard.Before(x.sent) && time.Since(x.sent) >= silentTime {
		x.pool.closeUnheard(x.conn.address, x.sent)
	}
}
