// Package client provides a client of the platform for the HTTP protocol of the
// stand-in: a metered ward.Store and a ward.Roster.
//
// # Usage
//
//	c := client.New(client.Settings{Address: "127.0.0.1:7100"})
//	rec, err := c.Store().Get(ctx, "config")
//	list, err := c.Instances(ctx)
//
// All calls to the store go through package meter, so that no caller can exceed
// the fleet's budget. The error of a failed call states whether it took effect:
//
//   - ward.ErrUnavailable: it had no effect. No connection was made, the platform
//     answered that it did nothing, or the call was a read;
//   - ward.ErrOutcomeUnknown: a write was sent and no valid answer arrived.
//
// Revisions and fences are stamped with the era of the store. Those of an earlier era
// are refused before they are sent, as a conflict or a lost lease.
//
// Every call ends within its timeout, also when the platform accepts connections
// and never answers.
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

	"agateward/internal/platform/era"
	"agateward/internal/platform/meter"
	"agateward/ward"
)

// Settings are the settings of a Client.
type Settings struct {
	// Address is the IP address and port of the platform.
	Address string
	// Timeout bounds one call; a watch may take its wait in addition. 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// Budget is the fleet's budget; without rows it means meter.DefaultBudget.
	Budget meter.Budget
	// Clock is the clock of the meter; nil means ward.SystemClock.
	Clock ward.Clock
}

// Defaults and limits.
const (
	DefaultTimeout = 2 * time.Second
	// dialTimeout is far above a round trip within a region.
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	idleConns   = 16
	// maxAnswer bounds an answer in bytes: a value of one megabyte in base64,
	// with its JSON.
	maxAnswer = 2 << 20
)

// errTooLarge is the error of an answer larger than maxAnswer.
var errTooLarge = errors.New("answer too large")

// Client is a client of the platform. Create one with New.
type Client struct {
	raw     *rawClient
	metered *meter.Store
}

// rawClient makes calls without a budget. It is not exported, so that other
// packages use the metered store.
type rawClient struct {
	address string
	timeout time.Duration
	http    *http.Client
	closed  atomic.Bool
	era     era.Tracker
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
	r := &rawClient{address: s.Address, timeout: s.Timeout, http: &http.Client{Transport: transport}}
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

// Close closes idle connections. Later calls fail without being sent.
func (c *Client) Close() {
	c.raw.closed.Store(true)
	c.raw.http.CloseIdleConnections()
}

// call holds the parameters of one call.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	answer any
	// wait is added to the timeout, for watches.
	wait time.Duration
	// write is set for a call that may have an effect.
	write bool
}

// result is what an answer states besides its body: status 200, 409 or 410, and the
// era of the store.
type result struct {
	status int
	era    uint64
}

// call makes a call and decodes the answer.
func (r *rawClient) call(ctx context.Context, c call) (result, error) {
	if r.closed.Load() {
		return result{}, fmt.Errorf("the client is closed: %w", ward.ErrUnavailable)
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, r.timeout+c.wait)
	defer cancel()
	defer func() {
		// The connections that were open beside a silent one may be silent too.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && caller.Err() == nil {
			r.http.CloseIdleConnections()
		}
	}()
	u := url.URL{Scheme: "http", Host: r.address, Path: c.path, RawQuery: c.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return result{}, fmt.Errorf("platform call: %w: %w", ward.ErrUnavailable, err)
	}
	res, err := r.http.Do(req)
	if err != nil {
		return result{}, callError(c, err)
	}
	defer res.Body.Close()
	return r.read(c, res)
}

func (r *rawClient) read(c call, res *http.Response) (result, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return result{}, callError(c, err)
	}
	switch res.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusGone:
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return result{}, fmt.Errorf("platform answered %s: %w: %.200s", res.Status, ward.ErrUnavailable, body)
	default:
		return result{}, callError(c, errors.New("platform answered "+res.Status))
	}
	answered, err := r.era.Note(res.Header.Get(era.Field))
	if err == nil {
		err = json.Unmarshal(body, c.answer)
	}
	if err != nil {
		return result{}, callError(c, err)
	}
	return result{status: res.StatusCode, era: answered}, nil
}

// callError returns the error of a failed call: ward.ErrUnavailable when it had
// no effect, and ward.ErrOutcomeUnknown when it may have had one.
func callError(c call, err error) error {
	var op *net.OpError
	if !c.write || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("platform call: %w: %w", ward.ErrUnavailable, err)
	}
	return fmt.Errorf("platform call: %w: %w", ward.ErrOutcomeUnknown, err)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
