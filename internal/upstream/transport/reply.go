package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

var errSecondSend = errors.New("the request would have been sent a second time")

// Framing is how the end of a body is marked.
type Framing int

// Framings of a body.
const (
	// FramedByClose means that a truncated body can't be detected.
	FramedByClose Framing = iota
	FramedByLength
	FramedByChunks
)

// Reply is an answer whose head has arrived. Read fails with a result code if
// the body is truncated or late, and with io.EOF only at its end.
type Reply struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the declared length of the body in bytes, -1 if there is none.
	Length int64

	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
}

func newReply(ctx context.Context, cancel context.CancelCauseFunc, res *http.Response, timeout time.Duration) *Reply {
	r := &Reply{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, ctx: ctx, cancel: cancel, body: res.Body, timeout: timeout}
	switch {
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		r.Framing = FramedByLength
	case len(res.TransferEncoding) > 0:
		r.Framing = FramedByChunks
	}
	r.timer = time.AfterFunc(timeout, func() {
		cancel(code.AnswerLate.New("no byte of the answer for %v", timeout))
	})
	r.timer.Stop()
	return r
}

// Read reads the body. Each call may take as long as Limits.Read.
func (r *Reply) Read(p []byte) (int, error) {
	r.timer.Reset(r.timeout)
	n, err := r.body.Read(p)
	r.timer.Stop()
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && r.Framing != FramedByClose:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, code.AnswerCut.New("the answer has neither a length nor an end mark")
	}
	return n, readError(r.ctx, err)
}

// Abort cancels the call with cause. A Read that is waiting returns.
func (r *Reply) Abort(cause error) { r.cancel(cause) }

// Close discards the rest of the answer. The connection is reused only if the
// body was read to its end.
func (r *Reply) Close() error {
	r.timer.Stop()
	err := r.body.Close()
	r.cancel(context.Canceled)
	return err
}

// sendError wraps the error of a failed round trip with a result code. notSent
// means that no byte of the request was sent.
func sendError(ctx context.Context, c Call, err error, notSent bool) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if notSent {
		err = errors.Join(ward.ErrNotConnected, err)
	}
	switch {
	case errors.Is(err, errSecondSend):
		return code.UpstreamFailed.Wrap(err, "upstream %s closed a kept connection", c.Address)
	case errors.Is(err, context.DeadlineExceeded) && notSent && ctx.Err() != nil:
		return code.DeadlinePassed.Wrap(err, "connect to %s", c.Address)
	case ctx.Err() != nil && code.Of(err).Number != code.Internal.Number:
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.AnswerLate.Wrap(err, "answer of %s", c.Address)
	case ctx.Err() != nil:
		return code.CallerGone.Wrap(err, "call to %s", c.Address)
	case notSent:
		return code.UpstreamUnreachable.Wrap(err, "connect to %s", c.Address)
	case isTimeout(err):
		return code.AnswerLate.Wrap(err, "answer of %s", c.Address)
	}
	return code.UpstreamFailed.Wrap(err, "answer of %s", c.Address)
}

// readError wraps the error of a failed read of a body with a result code.
func readError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil && isTimeout(err):
		return code.AnswerLate.Wrap(err, "answer")
	case cause == nil:
		return code.AnswerCut.Wrap(err, "answer")
	case code.Of(cause).Number != code.Internal.Number:
		return cause
	case errors.Is(cause, context.DeadlineExceeded):
		return code.AnswerLate.Wrap(cause, "answer")
	}
	return code.CallerGone.Wrap(cause, "answer")
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
