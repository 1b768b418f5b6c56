// Package transport sends an HTTP request to an upstream at most once, within
// limits on time and size.
//
// net/http resends some requests by itself when an idle connection turns out to
// be closed. This package prevents it: every connection counts the writes
// started on it, and a request gets a second connection only if the first one
// was sealed before any write. An error that wraps ward.ErrNotConnected
// therefore means that no byte reached the upstream or will reach it.
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
// The context of Send also covers the reading of the answer.
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

// maxStatus is the greatest status of an answer.
const maxStatus = 599

// Call is one request to an upstream.
type Call struct {
	// Address is an IP address and port.
	Address string
	ID      string
	Method  string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Resume is the number of output tokens already received, or NoResume.
	Resume int
	// Route and Version are sent as internal header fields unless empty.
	Route   string
	Version string
	// IdempotencyKey is sent as the header field of that name unless empty.
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
		MaxIdleConns:           l.IdleConnsTotal,
		MaxIdleConnsPerHost:    l.IdleConns,
		IdleConnTimeout:        l.KeepAlive,
		ResponseHeaderTimeout:  l.Header,
		MaxResponseHeaderBytes: l.HeaderBytes,
	}
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.limits.Dial)
	defer cancel()
	dial := t.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: t.limits.Read}).DialContext
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

// Send sends the call to the upstream and returns its answer once the head has
// arrived. The answer must carry the call's id.
func (t *Transport) Send(ctx context.Context, c Call) (*Reply, error) {
	t.once.Do(t.init)
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &connTracker{cancel: cancel}
	req, err := c.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn}))
	if err != nil {
		cancel(err)
		return nil, err
	}
	res, err := t.client.RoundTrip(req)
	if err != nil {
		notSent := tracker.seal()
		err = sendError(ctx, c, err, notSent)
		cancel(err)
		return nil, err
	}
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		err = code.UpstreamFailed.New("upstream %s answered with status %q", c.Address, clip(res.Status))
		cancel(err)
		res.Body.Close()
		return nil, err
	}
	if got := res.Header.Get(header.RequestID); got != c.ID {
		err = code.AnswerMismatch.New("upstream %s answered request %q to request %q", c.Address, clip(got), c.ID)
		cancel(err)
		res.Body.Close()
		return nil, err
	}
	return newReply(ctx, cancel, res, t.limits.Read), nil
}

// request builds the HTTP request. GetBody stays nil, since net/http uses it to
// resend a body.
func (c Call) request(ctx context.Context) (*http.Request, error) {
	// The path is parsed together with the address, so that it can't name
	// another host.
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

// connTracker tracks the connections that net/http uses for one call.
type connTracker struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
	conn   *conn.Conn
	// writesBefore is the number of writes on conn before this call.
	writesBefore uint64
	// maybeSent reports whether a byte may have reached the upstream.
	maybeSent bool
}

// gotConn is called before a byte is written on a connection. If a write was
// started on the first connection, a second one is sealed and the call cancelled.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn.Conn)
	if t.conn != nil && !t.conn.Seal(t.writesBefore) {
		t.maybeSent = true
	}
	if !ok || t.maybeSent {
		t.maybeSent = true
		if ok {
			c.Seal(c.Writes())
		}
		t.cancel(errSecondSend)
		return
	}
	t.conn = c
	t.writesBefore = c.Writes()
}

// seal reports whether no byte of the call can have reached the upstream, and
// prevents later writes.
func (t *connTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.Seal(t.writesBefore) {
		t.maybeSent = true
	}
	return !t.maybeSent
}

// clip shortens text of a caller or upstream for an error.
func clip(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
