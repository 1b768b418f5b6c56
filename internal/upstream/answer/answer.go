// Package answer turns a reply of an upstream into a ward.Answer that is never
// taken for whole unless it is.
//
// A stream of a model is whole at its end mark, data: [DONE]. Every other body
// is whole at its stated length or its last chunk, and its first part is read
// before its head is given out, so that a short answer is delivered whole or
// refused with a code. Memory is bounded: one event of a stream, the first part
// of another body.
//
// # Usage
//
//	a := &answer.Answer{Reply: reply, Model: true, Resume: 12}
//	defer a.Close()
//	for {
//		chunk, err := a.Next(ctx)
//		if err != nil || chunk.Last {
//			break
//		}
//	}
package answer

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"agateward/internal/result/code"
	"agateward/internal/upstream/header"
	"agateward/internal/upstream/sse"
	"agateward/internal/upstream/transport"
	"agateward/ward"
)

// Limits bounds an answer in bytes. A zero field takes its default.
type Limits struct {
	// Event bounds one event of a stream.
	Event int
	// First bounds the part of a body that is read before the head is given out.
	First int
	// Body bounds the whole answer.
	Body int64
}

// Defaults of Limits, and the size of the pieces after the first part, in bytes.
const (
	DefaultFirst = 64 << 10
	DefaultBody  = 64 << 20
	pieceBytes   = 32 << 10
)

// Answer is one answer that is being received. It is used by one goroutine.
type Answer struct {
	Reply  *transport.Reply
	Limits Limits
	// Model says that the answer is a model's: streams have an end mark and
	// tokens are counted.
	Model bool
	// Resume is the number of output tokens the caller already has.
	Resume int

	step   step
	events *sse.Reader
	model  model
	buf    []byte
	total  int64
	ctx    context.Context
	stop   func() bool
}

// step is where the reading of an answer stands.
type step int

const (
	atHead step = iota
	inEvents
	atFirst
	atWholeFirst
	inPieces
	ended
)

// Next returns the next chunk, and io.EOF after the last one.
func (a *Answer) Next(ctx context.Context) (ward.Chunk, error) {
	a.watch(ctx)
	switch a.step {
	case atHead:
		return a.head()
	case inEvents:
		return a.event()
	case atFirst:
		a.step = inPieces
		return ward.Chunk{Data: a.buf}, nil
	case atWholeFirst:
		a.step = ended
		return ward.Chunk{Data: a.buf, Tokens: a.bodyTokens(), Last: true}, nil
	case inPieces:
		return a.piece()
	}
	return ward.Chunk{}, io.EOF
}

// Close cancels what is left of the answer at the upstream.
func (a *Answer) Close() error {
	if a.stop != nil {
		a.stop()
	}
	return a.Reply.Close()
}

// watch ends a read that waits when ctx ends.
func (a *Answer) watch(ctx context.Context) {
	if ctx == a.ctx {
		return
	}
	if a.stop != nil {
		a.stop()
	}
	a.ctx = ctx
	a.stop = context.AfterFunc(ctx, func() { a.Reply.Abort(context.Cause(ctx)) })
}

func (a *Answer) head() (ward.Chunk, error) {
	c := ward.Chunk{Status: a.Reply.Status, Header: header.Filter{}.Answer(a.Reply.Header)}
	if a.isStream() {
		if err := a.checkResume(); err != nil {
			return ward.Chunk{}, err
		}
		c.CanResume = a.Model && a.Reply.Header.Get(header.Resume) != ""
		a.startStream()
		return c, nil
	}
	if a.Resume > 0 {
		return ward.Chunk{}, code.AnswerCut.New("the upstream answered a resumed stream with status %d", a.Reply.Status)
	}
	if err := a.checkSize(a.Reply.Length); err != nil {
		return ward.Chunk{}, err
	}
	return c, a.first()
}

func (a *Answer) isStream() bool {
	kind, _, err := mime.ParseMediaType(a.Reply.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && a.Reply.Status == http.StatusOK
}

// checkResume refuses an answer that starts anew where it had to continue.
func (a *Answer) checkResume() error {
	if a.Resume == 0 || a.Reply.Header.Get(header.Resume) == strconv.Itoa(a.Resume) {
		return nil
	}
	return code.AnswerCut.New("the upstream did not continue after %d tokens", a.Resume)
}

func (a *Answer) startStream() {
	if !a.Model {
		a.step = inPieces
		return
	}
	a.step = inEvents
	a.events = &sse.Reader{R: a.Reply, Max: a.Limits.Event}
	a.model.offset = a.Resume
	a.model.resumed = a.Resume > 0
}

// event returns the next event of a model's stream.
func (a *Answer) event() (ward.Chunk, error) {
	for {
		e, err := a.events.Next()
		if err != nil {
			return ward.Chunk{}, a.streamFailure(err)
		}
		if err := a.count(len(e.Raw)); err != nil {
			return ward.Chunk{}, err
		}
		part, err := a.model.read(e)
		if err != nil {
			return ward.Chunk{}, err
		}
		if part.repeated {
			continue
		}
		if part.done {
			a.drain()
		}
		return ward.Chunk{Data: e.Raw, Tokens: part.tokens, Last: part.done}, nil
	}
}

// drain reads to the end of the body, so that the connection can be kept. What
// follows the end mark is no part of the answer.
func (a *Answer) drain() {
	a.step = ended
	var rest [64]byte
	_, _ = a.Reply.Read(rest[:])
}

func (a *Answer) streamFailure(err error) error {
	switch {
	case errors.Is(err, sse.ErrTooLarge):
		return code.AnswerTooLarge.Wrap(err, "event of the stream")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return code.AnswerCut.Wrap(err, "the stream ended without its end mark")
	}
	return err
}

// first reads the body's first part.
func (a *Answer) first() error {
	limit := a.Limits.First
	if limit == 0 {
		limit = DefaultFirst
	}
	b, err := io.ReadAll(io.LimitReader(a.Reply, int64(limit)))
	if err != nil {
		return err
	}
	a.buf = b
	a.step = atWholeFirst
	if len(b) == limit {
		a.step = atFirst
		if a.Model {
			return code.AnswerTooLarge.New("the answer is larger than %d bytes", limit)
		}
	}
	return a.count(len(b))
}

func (a *Answer) piece() (ward.Chunk, error) {
	if cap(a.buf) < pieceBytes {
		a.buf = make([]byte, pieceBytes)
	}
	n, err := a.Reply.Read(a.buf[:pieceBytes])
	if err != nil && !errors.Is(err, io.EOF) {
		return ward.Chunk{}, err
	}
	if err := a.count(n); err != nil {
		return ward.Chunk{}, err
	}
	if err != nil {
		a.step = ended
	}
	return ward.Chunk{Data: a.buf[:n], Last: err != nil}, nil
}

func (a *Answer) count(n int) error {
	a.total += int64(n)
	return a.checkSize(a.total)
}

func (a *Answer) checkSize(n int64) error {
	limit := a.Limits.Body
	if limit == 0 {
		limit = DefaultBody
	}
	if n > limit {
		return code.AnswerTooLarge.New("the answer is larger than %d bytes", limit)
	}
	return nil
}

func (a *Answer) bodyTokens() int {
	if !a.Model || a.Reply.Status != http.StatusOK {
		return 0
	}
	return usage(a.buf)
}
