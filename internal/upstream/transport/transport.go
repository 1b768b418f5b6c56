// Package transport sends one HTTP request to an upstream at most once, within
// set limits.
//
// net/http repeats some requests by itself when a kept connection turns out to
// be closed. That is stopped here: every connection counts the writes begun on
// it, and a request is given a second connection only when the first has been
// sealed without a write. So an error that says ward.ErrNotConnected is one
// after which no byte can have reached the upstream, then or later.
//
// # Usage
//
//	var t transport.Transport
//	reply, err := t.Send(ctx, transport.Call{Address: "10.0.0.7:8000", ID: id, Method: "POST", Path: "/book", Body: b})
//	if errors.Is(err, ward.ErrNotConnected) {
//		// another upstream may be tried
//	}
//	defer reply.Close()
//
// The context of Send governs the reading of the answer too.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"agateward/internal/result/code"
	"agateward/internal/upstream/conn"
	"agateward/internal/upstream/header"
)

// NoResume is the Call.Resume of a request without a resume offset.
const NoResume = -1

// Call is one request to an upstream.
type Call struct {
	// Address is an IP number and port.
	Address string
	ID      string
	Method  string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Resume is the number of output tokens already had, or NoResume.
	Resume int
	// Route and Version are set as internal fields unless they are empty.
	Route   string
	Version string
	// IdempotencyKey is set as the field of that name unless it is empty.
	IdempotencyKey string
}

// Transport sends requests. Its zero value is ready to use, with the default
// limits.
type Transport struct {
	Limits Limits
	// Dial replaces the dialer of package net in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once   sync.Once
	limits Limits
	client *http.Transport
}

func (t *Transport) init() {
	t.limits = t.Limits.withDefaults()
	l := t.limits
	t.client = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        l.Conns,
		MaxIdleConns:           l.KeptTotal,
		MaxIdleConnsPerHost:    l.KeptConns,
		IdleConnTimeout:        l.Kept,
		ResponseHeaderTimeout:  l.Header,
		MaxResponseHeaderBytes: l.HeaderBytes,
	}
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.limits.Dial)
	defer cancel()
	dial := t.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: t.limits.Idle}).DialContext
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn.Conn{Conn: c, WriteTimeout: t.limits.Write}, nil
}

// CloseIdle closes the connections that no request uses.
func (t *Transport) CloseIdle() {
	t.once.Do(t.init)
	t.client.CloseIdleConnections()
}

// Send hands the call to the upstream and returns its answer once the head has
// come and carries the call's id.
func (t *Transport) Send(ctx context.Context, c Call) (*Reply, error) {
	t.once.Do(t.init)
	ctx, cancel := context.WithCancelCause(ctx)
	h := &handOver{cancel: cancel}
	req, err := c.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: h.gotConn}))
	if err != nil {
		cancel(err)
		return nil, err
	}
	res, err := t.client.RoundTrip(req)
	if err != nil {
		untouched := h.seal()
		err = failure(ctx, c, err, untouched)
		cancel(err)
		return nil, err
	}
	if got := res.Header.Get(header.RequestID); got != c.ID {
		err = code.AnswerMismatch.New("upstream %s answered request %q to request %q", c.Address, clip(got), c.ID)
		cancel(err)
		res.Body.Close()
		return nil, err
	}
	return newReply(ctx, cancel, res, t.limits.Idle), nil
}

// request makes the HTTP request. A body is never nil-able by GetBody: net/http
// could send it again.
func (c Call) request(ctx context.Context) (*http.Request, error) {
	// The path follows the address, so that it can't name another host.
	u, err := url.ParseRequestURI("http://" + c.Address + c.Path)
	if err != nil || !strings.HasPrefix(c.Path, "/") || u.Host != c.Address {
		return nil, code.UnknownRoute.New("path %q", clip(c.Path))
	}
	req := (&http.Request{Method: c.Method, URL: u, Host: c.Address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	req.Header = header.Filter{KeepAuthorization: true}.Request(c.Header)
	req.Header.Set(header.RequestID, c.ID)
	if c.Resume != NoResume {
		req.Header.Set(header.Resume, strconv.Itoa(c.Resume))
	}
	setUnlessEmpty(req.Header, header.IdempotencyKey, c.IdempotencyKey)
	setUnlessEmpty(req.Header, header.Route, c.Route)
	setUnlessEmpty(req.Header, header.Version, c.Version)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	if len(c.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}

func setUnlessEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// handOver follows the connections that one call is given.
type handOver struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
	conn   *conn.Conn
	mark   uint64
	spent  bool
}

// gotConn runs before a byte is written on a connection. A second connection
// after a write on the first is sealed, and the call ends.
func (h *handOver) gotConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := info.Conn.(*conn.Conn)
	if h.conn != nil && !h.conn.Seal(h.mark) {
		h.spent = true
	}
	if !ok || h.spent {
		h.spent = true
		if ok {
			c.Seal(c.Writes())
		}
		h.cancel(errSecondHandOver)
		return
	}
	h.conn = c
	h.mark = c.Writes()
}

// seal tells whether no byte of the call can have reached the upstream, and
// sees to it that none will.
func (h *handOver) seal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn != nil && !h.conn.Seal(h.mark) {
		h.spent = true
	}
	return !h.spent
}

// clip bounds foreign text in an error.
func clip(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
