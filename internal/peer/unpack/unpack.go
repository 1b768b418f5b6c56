// Package unpack decodes MessagePack that another process, or a stranger, has written.
//
// The library allocates as many elements as the head of a list states, and panics for some
// values that are not of the expected type. A few bytes could end the process either way. Here
// the lengths are checked first against the bytes that follow, and a panic is an error.
//
// # Usage
//
//	var m Message
//	err := unpack.Bounds{Elements: 1000, Depth: 8, Maps: true}.Decode(b, &m)
package unpack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrTooLarge means that an encoding exceeds a bound, ErrFormat that it is malformed.
var (
	ErrTooLarge = errors.New("message too large")
	ErrFormat   = errors.New("message is not in the known format")
)

// Bounds are those of one encoding.
type Bounds struct {
	// Elements bounds the elements of all lists, structs and maps together; 0 leaves only
	// the bound of the bytes, as each element takes one at least.
	Elements int
	// Depth bounds the nesting of lists and maps.
	Depth int
	// Maps allows maps, which structs with names of fields are.
	Maps bool
	// Tag is the struct tag with the names of the fields, "" for msgpack.
	Tag string
}

// Decode decodes values that follow one another in b. More bytes than theirs are ignored.
func (l Bounds) Decode(b []byte, values ...any) error {
	left := len(b)
	if l.Elements > 0 {
		left = l.Elements
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	for range values {
		if err := l.check(d, l.Depth, &left); err != nil {
			return err
		}
	}
	return l.decode(b, values)
}

// check skips one value without allocating memory for it.
func (l Bounds) check(d *msgpack.Decoder, depth int, left *int) error {
	c, err := d.PeekCode()
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	var n int
	switch {
	case msgpcode.IsFixedMap(c), c == msgpcode.Map16, c == msgpcode.Map32:
		if !l.Maps {
			return ErrFormat
		}
		n, err = d.DecodeMapLen()
		n *= 2 // keys and values
	case msgpcode.IsFixedArray(c), c == msgpcode.Array16, c == msgpcode.Array32:
		n, err = d.DecodeArrayLen()
	default:
		err = d.Skip()
	}
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if n == 0 {
		return nil
	}
	if *left -= n; *left < 0 || depth == 0 {
		return ErrTooLarge
	}
	for range n {
		if err := l.check(d, depth-1, left); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes the values. The library panics for a nil in the place of a struct such as a
// time.
func (l Bounds) decode(b []byte, values []any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrFormat, p)
		}
	}()
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if l.Tag != "" {
		d.SetCustomStructTag(l.Tag)
	}
	for _, v := range values {
		if err := d.Decode(v); err != nil {
			return fmt.Errorf("decode message: %w", err)
		}
	}
	return nil
}
