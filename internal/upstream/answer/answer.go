// Package answer turns a reply of an upstream into a ward.Answer, and detects
// truncated answers.
//
// A stream of a model is complete at its end mark, data: [DONE]. Every other
// body is complete at its declared length or its last chunk. Its first part is
// buffered before its head is returned, so that a short answer is delivered
// completely or fails with a result code. An answer whose status promises that the
// request did not run fails with code.UnconfirmedRefusal. Memory is bounded by one event of a
// stream, or by the buffered part of another body.
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

// Limits bounds an answer in bytes. A zero field means the default.
type Limits struct {
	// Event bounds one event of a stream.
	Event int
	// Buffer bounds the part of a body that is read before the head is returned.
	// The body of a model's answer that is not a stream must be smaller.
	Buffer int
	// Body bounds the whole answer.
	Body int64
}

// Defaults of Limits, and the size of the chunks after the buffered part, in
// bytes.
const (
	DefaultBuffer = 64 << 10
	DefaultBody   = 64 << 20
	chunkBytes    = 32 << 10
)

// Answer is an answer that is being received. It is not safe for concurrent use.
type Answer struct {
	Reply  *transport.Reply
	Limits Limits
	// Model reports whether the answer comes from a model: then streams have an
	// end mark and tokens are counted.
	Model bool
	// Resume is the number of output tokens that the caller already has.
	Resume int

	state  state
	events *sse.Reader
	stream modelStream
	buf    []byte
	total  int64
	ctx    context.Context
	stop   func() bool
}

// state is what the next call of Next returns.
type state int

const (
	stateHead        state = iota
	stateEvents            // an event of a model's stream
	stateBuffered          // the buffered part, with more of the body to follow
	stateBufferedAll       // the buffered part, which is the whole body
	stateChunks            // a chunk that is read from the upstream
	stateEnded
)

// Next returns the next chunk, and io.EOF after the last one.
func (a *Answer) Next(ctx context.Context) (ward.Chunk, error) {
	a.bindContext(ctx)
	switch a.state {
	case stateHead:
		return a.head()
	case stateEvents:
		return a.nextEvent()
	case stateBuffered:
		a.state = stateChunks
		return ward.Chunk{Data: a.buf}, nil
	case stateBufferedAll:
		a.state = stateEnded
		return ward.Chunk{Data: a.buf, Tokens: a.bodyTokens(), Last: true}, nil
	case stateChunks:
		return a.nextChunk()
	}
	return ward.Chunk{}, io.EOF
}

// Close cancels the rest of the answer at the upstream.
func (a *Answer) Close() error {
	if a.stop != nil {
		a.stop()
	}
	return a.Reply.Close()
}

// bindContext cancels a waiting read when ctx ends.
func (a *Answer) bindContext(ctx context.Context) {
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
	if err := a.fillBuffer(); err != nil {
		return ward.Chunk{}, err
	}
	return c, a.checkStatus()
}

// checkStatus fails if the status promises that the request did not run. Engines and
// services have no way to confirm that.
func (a *Answer) checkStatus() error {
	if !code.PromisesNotRun(a.Reply.Status) {
		return nil
	}
	return code.UnconfirmedRefusal.New("the upstream answered with status %d, which does not show whether the request ran", a.Reply.Status)
}

func (a *Answer) isStream() bool {
	kind, _, err := mime.ParseMediaType(a.Reply.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && a.Reply.Status == http.StatusOK
}

// checkResume fails if a resumed answer doesn't continue at the requested token.
func (a *Answer) checkResume() error {
	if a.Resume == 0 || a.Reply.Header.Get(header.Resume) == strconv.Itoa(a.Resume) {
		return nil
	}
	return code.AnswerCut.New("the upstream did not continue after %d tokens", a.Resume)
}

func (a *Answer) startStream() {
	if !a.Model {
		a.state = stateChunks
		return
	}
	a.state = stateEvents
	a.events = &sse.Reader{R: a.Reply, Max: a.Limits.Event}
	a.stream.offset = a.Resume
	a.stream.resumed = a.Resume > 0
}

// nextEvent returns the next event of a model's stream. Events that the caller
// already has are skipped.
func (a *Answer) nextEvent() (ward.Chunk, error) {
	for {
		e, err := a.events.Next()
		if err != nil {
			return ward.Chunk{}, a.streamError(err)
		}
		if err := a.count(len(e.Raw)); err != nil {
			return ward.Chunk{}, err
		}
		part, err := a.stream.read(e)
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

// drain reads the end of the body, so that the connection can be reused. Bytes
// after the end mark are not part of the answer.
func (a *Answer) drain() {
	a.state = stateEnded
	var rest [64]byte
	_, _ = a.Reply.Read(rest[:])
}

func (a *Answer) streamError(err error) error {
	switch {
	case errors.Is(err, sse.ErrTooLarge):
		return code.AnswerTooLarge.Wrap(err, "event of the stream")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return code.AnswerCut.Wrap(err, "the stream ended without its end mark")
	}
	return err
}

// fillBuffer reads the first part of the body into the buffer.
func (a *Answer) fillBuffer() error {
	limit := a.Limits.Buffer
	if limit == 0 {
		limit = DefaultBuffer
	}
	b, err := io.ReadAll(io.LimitReader(a.Reply, int64(limit)))
	if err != nil {
		return err
	}
	a.buf = b
	a.state = stateBufferedAll
	if len(b) == limit {
		a.state = stateBuffered
		if a.Model {
			return code.AnswerTooLarge.New("the answer is larger than %d bytes", limit)
		}
	}
	return a.count(len(b))
}

func (a *Answer) nextChunk() (ward.Chunk, error) {
	if cap(a.buf) < chunkBytes {
		a.buf = make([]byte, chunkBytes)
	}
	n, err := a.Reply.Read(a.buf[:chunkBytes])
	if err != nil && !errors.Is(err, io.EOF) {
		return ward.Chunk{}, err
	}
	if err := a.count(n); err != nil {
		return ward.Chunk{}, err
	}
	if err != nil {
		a.state = stateEnded
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
