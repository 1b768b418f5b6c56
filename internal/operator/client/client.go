// Package client is the client of an entry's interface for operators, for use by
// the command line.
//
// # Usage
//
//	c := client.New("127.0.0.1:8081", key)
//	var list []surface.MoveView
//	err := c.Get(ctx, "/moves", &list)
//	err = c.Events(ctx, 0, func(e notice.Numbered) bool { ... return true })
//
// A refusal by the entry is returned as an error with the entry's result code. Without
// an answer of an entry, code.EntryDown means that nothing was accepted, and
// code.AcceptanceUnknown that a ticket may have been.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agateward/internal/operator/notice"
	"agateward/internal/result/code"
)

const (
	// callTimeout bounds a call that is not a stream.
	callTimeout = 15 * time.Second
	// maxReply is the maximum number of bytes read of a reply.
	maxReply = 16 << 20
	// maxEvent is the maximum size of one event in bytes.
	maxEvent = 4 << 20
)

// Client is a client of one entry.
type Client struct {
	address string
	key     string
	http    *http.Client
}

// New returns a client of the entry with this address of its listener for
// operators.
func New(address, key string) *Client {
	return &Client{address: address, key: key, http: &http.Client{}}
}

// At returns a client of another entry that uses the same key.
func (c *Client) At(address string) *Client {
	return &Client{address: address, key: c.key, http: c.http}
}

// message is one message to the entry.
type message struct {
	method string
	path   string
	body   []byte
	// accepts reports whether the entry may accept a ticket on it.
	accepts bool
}

// Get decodes the reply to a GET into out, or stores it as is if out is a
// *[]byte.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, message{method: http.MethodGet, path: path}, out)
}

// Post sends a ticket and decodes the reply into out, as Get does. It fails with
// code.AcceptanceUnknown if the ticket may be accepted.
func (c *Client) Post(ctx context.Context, path string, body []byte, out any) error {
	return c.call(ctx, message{method: http.MethodPost, path: path, body: body, accepts: true}, out)
}

// Check sends a ticket that the entry only checks, and decodes the reply into out, as
// Get does.
func (c *Client) Check(ctx context.Context, path string, body []byte, out any) error {
	return c.call(ctx, message{method: http.MethodPost, path: path, body: body}, out)
}

func (c *Client) call(ctx context.Context, m message, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.send(ctx, m)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return m.lost().Wrap(err, "read the reply of %s", c.address)
	}
	if res.StatusCode != http.StatusOK {
		return m.refusalError(res, b)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return m.lost().Wrap(err, "decode the reply of %s", c.address)
	}
	return nil
}

func (c *Client) send(ctx context.Context, m message) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, m.method, "http://"+c.address+m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, code.BadCommand.Wrap(err, "entry %q", c.address)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(r)
	var op *net.OpError
	switch {
	case err == nil:
		return res, nil
	case errors.As(err, &op) && op.Op == "dial":
		return nil, code.EntryDown.Wrap(err, "connect to entry %s", c.address)
	}
	return nil, m.lost().Wrap(err, "call entry %s", c.address)
}

// lost returns the code of a message that was sent and that no entry has answered.
func (m message) lost() code.Code {
	if m.accepts {
		return code.AcceptanceUnknown
	}
	return code.EntryDown
}

// refusalError converts a refusal to an error with the entry's result code.
func (m message) refusalError(res *http.Response, b []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err != nil || body.Error.Code == "" {
		return m.lost().New("unexpected reply with status %d", res.StatusCode)
	}
	number, _ := strconv.Atoi(strings.TrimPrefix(body.Error.Code, "AW-"))
	for _, known := range code.Table() {
		if known.Number == number {
			return known.New("%s", body.Error.Message)
		}
	}
	return m.lost().New("unknown code %s: %s", body.Error.Code, body.Error.Message)
}

// Events calls f for each event after a sequence number, until f returns false
// or ctx ends.
func (c *Client) Events(ctx context.Context, after int, f func(e notice.Numbered) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := message{method: http.MethodGet, path: "/events?after=" + strconv.Itoa(after)}
	res, err := c.send(ctx, m)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, maxReply))
		return m.refusalError(res, b)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var e notice.Numbered
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return code.EntryDown.Wrap(err, "read an event of %s", c.address)
		}
		if !f(e) {
			return nil
		}
	}
	if err := lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return code.EntryDown.Wrap(err, "read the events of %s", c.address)
	}
	return nil
}
