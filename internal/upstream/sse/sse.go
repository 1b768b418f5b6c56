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

// readBuffer is the size in bytes of the buffer between connection and event.
const readBuffer = 4 << 10

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

	buf  *bufio.Reader
	raw  []byte
	data []byte
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
	r.raw = r.raw[:0]
	r.data = r.data[:0]
	r.blank = 0
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
		r.field(line, &e)
	}
}

// line appends one line to raw and returns it without its line ending.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.buf.ReadSlice('\n')
		if r.blank+len(r.raw)+len(part) > r.Max {
			return nil, ErrTooLarge
		}
		r.raw = append(r.raw, part...)
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
func (r *Reader) field(line []byte, e *Event) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "id":
		e.ID = string(value)
	}
}
