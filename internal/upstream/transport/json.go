package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"agateward/internal/result/code"
)

// ControlLimit bounds the answer of a control call in bytes, ControlTimeout the
// duration of the call.
const (
	ControlLimit   = 1 << 20
	ControlTimeout = 2 * time.Second
)

// Control calls the upstream's control interface. Unless they are nil, in is
// sent as JSON and a JSON answer with status 200 is decoded into out. It returns
// the status.
func (t *Transport) Control(ctx context.Context, c Call, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	c.Header = http.Header{"Accept": {"application/json"}}
	c.Resume = NoResume
	if in != nil {
		var err error
		if c.Body, err = json.Marshal(in); err != nil {
			return 0, err
		}
		c.Header.Set("Content-Type", "application/json")
	}
	reply, err := t.Send(ctx, c)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reply.Close() }()
	b, err := io.ReadAll(io.LimitReader(reply, ControlLimit))
	if err != nil {
		return 0, err
	}
	if len(b) == ControlLimit {
		return 0, code.AnswerTooLarge.New("control answer of %s", c.Address)
	}
	if out == nil || reply.Status != http.StatusOK {
		return reply.Status, nil
	}
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(out); err != nil {
		return reply.Status, errors.Join(code.UpstreamFailed.New("control answer of %s is no JSON", c.Address), err)
	}
	return reply.Status, nil
}
