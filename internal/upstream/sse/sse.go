// Package sse reads server-sent events one at a time, in bounded memory.
//
// # Usage
//
//	r := sse.Reader{R: body, Max: 256 << 10}
//	for {
//		e, err := r.Next()
//		if errors.Is(err, io.EOF) {
//			break // the end of body, between two events
//		}
//	}
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLarge is returned for an event that is larger than Reader.Max, with the blank
// lines before it.
var ErrTooLarge = errors.New("event is too large")

// DefaultMax is the maximum size of an event in bytes if Reader.Max is 0.
const DefaultMax = 256 << 10

const (
	// readBuffer is the size in bytes of the buffer between connection and event.
	readBuffer = 4 << 10
	// freeSize is the number of bytes of an event that a reader holds without a call of Grow.
	freeSize = 4 << 10
)

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	// Raw is the event as received, with the blank line that ends it.
	Raw []byte
	// Data is the value of its data fields, joined by line feeds.
	Data []byte
	// ID is the value of its id field.
	ID string
}

// Reader reads events from R.
type Reader struct {
	R io.Reader
	// Max is the maximum size in bytes of an event with the blank lines before it, 0 for
	// DefaultMax.
	Max int
	// Grow is called before the reader holds n bytes more than freeSize for an event, unless
	// it is nil. Its error ends Next. Shrink is called when n of these bytes are no longer
	// held, at the next call of Next.
	Grow   func(n int) error
	Shrink func(n int)

	buf  *bufio.Reader
	raw  []byte
	data []byte
	// grown is the number of bytes for which Grow was called.
	grown int
	// blank is the size in bytes of the blank lines before the event.
	blank int
}

// Next returns the next event. It fails with io.EOF if R ends between two events
// and with io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Next() (Event, error) {
	if r.buf == nil {
		r.buf = bufio.NewReaderSize(r.R, readBuffer)
	}
	if r.Max == 0 {
		r.Max = DefaultMax
	}
	r.empty()
	var e Event
	fields := 0
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && fields == 0 {
			r.blank += len(r.raw)
			r.raw = r.raw[:0]
			continue
		}
		if len(line) == 0 {
			e.Raw = r.raw
			e.Data = r.data
			return e, nil
		}
		fields++
		if err := r.field(line, &e); err != nil {
			return Event{}, err
		}
	}
}

// empty drops the last event, and the memory of a long one.
func (r *Reader) empty() {
	r.blank = 0
	r.raw, r.data = r.raw[:0], r.data[:0]
	if r.grown > 0 {
		r.raw, r.data = nil, nil
		r.Shrink(r.grown)
		r.grown = 0
	}
}

// extend returns b with room for n bytes more. Its capacity is doubled, as append does, but
// claimed before.
func (r *Reader) extend(b []byte, n int) ([]byte, error) {
	if len(b)+n <= cap(b) {
		return b, nil
	}
	size := max(len(b)+n, min(2*cap(b), r.Max))
	if err := r.claim(size - max(cap(b), freeSize)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), b...), nil
}

// claim calls Grow for n bytes, if any.
func (r *Reader) claim(n int) error {
	if n <= 0 || r.Grow == nil {
		return nil
	}
	if err := r.Grow(n); err != nil {
		return err
	}
	r.grown += n
	return nil
}

// line appends one line to raw and returns it without its line ending.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.buf.ReadSlice('\n')
		if r.blank+len(r.raw)+len(part) > r.Max {
			return nil, ErrTooLarge
		}
		raw, full := r.extend(r.raw, len(part))
		if full != nil {
			return nil, full
		}
		r.raw = append(raw, part...)
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(r.raw[start:], []byte("\n")), []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// field parses one field of an event. Comments and other fields are ignored.
func (r *Reader) field(line []byte, e *Event) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		data, err := r.extend(r.data, len(value)+1)
		if err != nil {
			return err
		}
		if len(data) > 0 {
			data = append(data, '\n')
		}
		r.data = append(data, value...)
	case "id":
		if err := r.claim(len(value) - freeSize); err != nil {
			return err
		}
		e.ID = string(value)
	}
	return nil
}
