// Package engine is the HTTP client for model engines: OpenAI-compatible calls
// with JSON or server-sent events, load reports, cache events and orders.
//
// In addition to the usual protocol an engine echoes the header field
// Agateward-Request. An engine that can continue a stream from an offset also
// echoes Agateward-Resume.
//
// # Usage
//
//	var e engine.Engine
//	a, err := e.Dispatch(ctx, upstream, request, 0)
//	if err != nil {
//		return err
//	}
//	defer a.Close()
//
// Engine implements ward.Backend. Only the relay may call Dispatch.
package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"agateward/internal/result/code"
	"agateward/internal/upstream/answer"
	"agateward/internal/upstream/transport"
	"agateward/ward"
)

// Paths of the control interface.
const (
	LoadPath        = "/agateward/load"
	CacheEventsPath = "/agateward/cache-events"
	OrdersPath      = "/agateward/orders"
)

// DefaultBuffer is the maximum size in bytes of an answer that is not a stream.
const DefaultBuffer = 8 << 20

// Engine is a client for model engines. Its zero value is ready to use.
type Engine struct {
	Transport transport.Transport
	Limits    answer.Limits
}

// Dispatch sends r to the engine. A stream continues after resume output tokens.
func (e *Engine) Dispatch(ctx context.Context, u ward.Upstream, r *ward.Request, resume int) (ward.Answer, error) {
	c := transport.Call{Address: u.Address, ID: r.ID, Method: r.Method, Path: r.Path, Body: r.Body, Resume: transport.NoResume}
	c.IdempotencyKey = r.IdempotencyKey
	c.Route = r.Route
	c.Version = u.Version
	c.Header = r.Header.Clone()
	if c.Header == nil {
		c.Header = http.Header{}
	}
	// The answer is parsed here, so it must not be compressed.
	c.Header.Set("Accept-Encoding", "identity")
	if r.Stream {
		c.Resume = resume
	}
	reply, err := e.Transport.Send(ctx, c)
	if err != nil {
		return nil, err
	}
	limits := e.Limits
	if limits.Buffer == 0 {
		limits.Buffer = DefaultBuffer
	}
	return &answer.Answer{Reply: reply, Limits: limits, Model: true, Resume: resume}, nil
}

// Report reads the engine's load report.
func (e *Engine) Report(ctx context.Context, u ward.Upstream) (ward.LoadReport, error) {
	var l ward.LoadReport
	err := e.get(ctx, u, LoadPath, &l)
	l.Upstream = u.Name
	return l, err
}

// CacheEvents returns the engine's cache events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, u ward.Upstream, after uint64) ([]ward.CacheEvent, error) {
	var events []ward.CacheEvent
	err := e.get(ctx, u, CacheEventsPath+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (e *Engine) get(ctx context.Context, u ward.Upstream, path string, out any) error {
	status, err := e.Transport.Control(ctx, transport.Call{Address: u.Address, ID: "control", Method: http.MethodGet, Path: path}, nil, out)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return code.UpstreamFailed.New("%s of %s: status %d", path, u.Name, status)
	}
	return nil
}

// Order sends an order at most once. It fails with ward.ErrNotConnected if no
// byte was sent, otherwise as described at ward.Backend.
func (e *Engine) Order(ctx context.Context, u ward.Upstream, o ward.Order) error {
	status, err := e.Transport.Control(ctx, transport.Call{Address: u.Address, ID: o.ID, Method: http.MethodPost, Path: OrdersPath}, o, nil)
	switch {
	case errors.Is(err, ward.ErrNotConnected):
		return err
	case err != nil:
		return errors.Join(ward.ErrOutcomeUnknown, err)
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return ward.ErrConflict
	}
	return code.UpstreamFailed.Wrap(ward.ErrOutcomeUnknown, "order %s to %s: status %d", o.Kind, u.Name, status)
}
