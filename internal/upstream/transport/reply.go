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

var errSecondHandOver = errors.New("the request would have been sent a second time")

// Framing is how the end of a body is known.
type Framing int

// Framings of a body.
const (
	// FramedByClose says that nothing tells a whole body from a cut one.
	FramedByClose Framing = iota
	FramedByLength
	FramedByChunks
)

// Reply is an answer whose head has come. Read fails with a code when the body
// is cut or late, and with io.EOF only where it has ended.
type Reply struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the stated length of the body in bytes, -1 when none is.
	Length int64

	ctx    context.Context
	cancel context.CancelCauseFunc
	body   io.ReadCloser
	idle   time.Duration
	timer  *time.Timer
}

func newReply(ctx context.Context, cancel context.CancelCauseFunc, res *http.Response, idle time.Duration) *Reply {
	r := &Reply{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, ctx: ctx, cancel: cancel, body: res.Body, idle: idle}
	switch {
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		r.Framing = FramedByLength
	case len(res.TransferEncoding) > 0:
		r.Framing = FramedByChunks
	}
	r.timer = time.AfterFunc(idle, func() {
		cancel(code.AnswerLate.New("no byte of the answer for %v", idle))
	})
	r.timer.Stop()
	return r
}

// Read reads the body. Each call may last for the idle limit.
func (r *Reply) Read(p []byte) (int, error) {
	r.timer.Reset(r.idle)
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
	return n, readFailure(r.ctx, err)
}

// Abort ends the call with cause: a Read that waits returns.
func (r *Reply) Abort(cause error) { r.cancel(cause) }

// Close gives up what is left of the answer. The connection is kept only if
// the body was read to its end.
func (r *Reply) Close() error {
	r.timer.Stop()
	err := r.body.Close()
	r.cancel(context.Canceled)
	return err
}

// failure gives a failed round trip its code.
func failure(ctx context.Context, c Call, err error, untouched bool) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if untouched {
		err = errors.Join(ward.ErrNotConnected, err)
	}
	switch {
	case errors.Is(err, errSecondHandOver):
		return code.UpstreamFailed.Wrap(err, "upstream %s closed a kept connection", c.Address)
	case errors.Is(err, context.DeadlineExceeded) && untouched && ctx.Err() != nil:
		return code.DeadlinePassed.Wrap(err, "connect to %s", c.Address)
	case ctx.Err() != nil && code.Of(err).Number != code.Internal.Number:
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.AnswerLate.Wrap(err, "answer of %s", c.Address)
	case ctx.Err() != nil:
		return code.CallerGone.Wrap(err, "call to %s", c.Address)
	case untouched:
		return code.UpstreamUnreachable.Wrap(err, "connect to %s", c.Address)
	case isTimeout(err):
		return code.AnswerLate.Wrap(err, "answer of %s", c.Address)
	}
	return code.UpstreamFailed.Wrap(err, "answer of %s", c.Address)
}

// readFailure gives a failed read of a body its code.
func readFailure(ctx context.Context, err error) error {
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
