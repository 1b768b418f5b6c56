// Package client provides the platform over the HTTP protocol of the stand-in:
// a metered ward.Store and a ward.Roster.
//
// # Usage
//
//	c := client.New(client.Settings{Address: "127.0.0.1:7100"})
//	rec, err := c.Store().Get(ctx, "config")
//	list, err := c.Instances(ctx)
//
// The store is reached only through the meter of package meter, so that no
// caller can spend what the fleet has not got. What is known after a failure is
// in the error:
//
//   - ward.ErrUnavailable: the connection was never made, or the platform itself
//     said that nothing was done, or the call was a read;
//   - ward.ErrOutcomeUnknown: a write was sent and its answer did not come.
//
// Every call ends within its timeout. A platform that accepts connections and
// never answers therefore costs one timeout a call and no more.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"agateward/internal/platform/meter"
	"agateward/ward"
)

// Settings say where the platform is and how long to wait for it.
type Settings struct {
	// Address is the IP number and port of the platform.
	Address string
	// Timeout bounds one call, and what a watch takes beyond its wait; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// Budget is the fleet's budget; without rows it is meter.DefaultBudget.
	Budget meter.Budget
	// Clock is ward.SystemClock when nil.
	Clock ward.Clock
}

// Defaults and limits.
const (
	DefaultTimeout = 2 * time.Second
	// dialTimeout is far above a round trip within a region.
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	idleConns   = 16
	// maxAnswer bounds an answer: a value of one megabyte in base64, framed.
	maxAnswer = 2 << 20
)

// errTooLarge says that an answer is over maxAnswer.
var errTooLarge = errors.New("answer too large")

// Client is the platform over HTTP. Make one with New.
type Client struct {
	raw     *raw
	metered *meter.Store
}

// raw makes the calls. It is not exported: the meter stands before it.
type raw struct {
	address string
	timeout time.Duration
	http    *http.Client
	closed  atomic.Bool
}

// New returns a client. It connects on the first call.
func New(s Settings) *Client {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if len(s.Budget.Rows) == 0 {
		s.Budget = meter.DefaultBudget()
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 16 << 10,
	}
	r := &raw{address: s.Address, timeout: s.Timeout, http: &http.Client{Transport: transport}}
	return &Client{raw: r, metered: meter.New(r, s.Clock, s.Budget)}
}

// Store returns the metered store.
func (c *Client) Store() *meter.Store { return c.metered }

// Instances implements ward.Roster.
func (c *Client) Instances(ctx context.Context) ([]ward.Instance, error) {
	var list []ward.Instance
	_, err := c.raw.call(ctx, call{method: http.MethodGet, path: "/instances", answer: &list})
	return list, err
}

// Close closes idle connections. Calls fail from then on, without being sent.
func (c *Client) Close() {
	c.raw.closed.Store(true)
	c.raw.http.CloseIdleConnections()
}

// call is one call of the protocol.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	answer any
	// wait is added to the timeout.
	wait time.Duration
	// write says that the call may have an effect.
	write bool
}

// call makes a call and returns its status, 200, 409 or 410.
func (r *raw) call(ctx context.Context, c call) (int, error) {
	if r.closed.Load() {
		return 0, fmt.Errorf("the client is closed: %w", ward.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout+c.wait)
	defer cancel()
	u := url.URL{Scheme: "http", Host: r.address, Path: c.path, RawQuery: c.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return 0, fmt.Errorf("platform call: %w: %w", ward.ErrUnavailable, err)
	}
	res, err := r.http.Do(req)
	if err != nil {
		return 0, failure(c, err)
	}
	defer res.Body.Close()
	return r.read(c, res)
}

func (r *raw) read(c call, res *http.Response) (int, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return 0, failure(c, err)
	}
	switch res.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusGone:
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return 0, fmt.Errorf("platform answered %s: %w: %.200s", res.Status, ward.ErrUnavailable, body)
	default:
		return 0, failure(c, errors.New("platform answered "+res.Status))
	}
	if err := json.Unmarshal(body, c.answer); err != nil {
		return 0, failure(c, err)
	}
	return res.StatusCode, nil
}

// failure tells a call that had no effect from one that may have had.
func failure(c call, err error) error {
	var op *net.OpError
	if !c.write || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("platform call: %w: %w", ward.ErrUnavailable, err)
	}
	return fmt.Errorf("platform call: %w: %w", ward.ErrOutcomeUnknown, err)
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
