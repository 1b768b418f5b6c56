// Package codec provides the encoding of what entries send each other.
//
// # Usage
//
//	b, err := codec.Marshal(&header, &message)
//	err = codec.Unmarshal(b, &header, &message)
//
// The encoding is MessagePack with structs as arrays and the shortest integers:
// a message has some forty small structs, and field names would make up half of
// it. Fields may be added at the end of a struct; anything else needs another
// protocol number. What is longer than a packet or two, in practice a whole
// configuration, is compressed.
package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits of one encoded value list, in bytes.
const (
	// MaxEncoded bounds it as it is sent, MaxPlain after decompression: a
	// configuration of a megabyte as JSON takes less in this encoding.
	MaxEncoded      = 1 << 20
	MaxDecompressed = 4 << 20
	// maxElements bounds the elements of all lists and structs together, maxDepth
	// how far they are nested.
	maxElements = 500_000
	maxDepth    = 12
	// packFrom is the length from which it is compressed.
	packFrom = 4 << 10
)

// Kinds of frame, the first byte.
const (
	plain  = 0
	packed = 1
)

// ErrTooLarge says that an encoding is over its limit, ErrFormat that it is none.
var (
	ErrTooLarge = errors.New("message too large")
	ErrFormat   = errors.New("message is not in the known format")
)

var encoders = sync.Pool{New: func() any {
	e := msgpack.NewEncoder(io.Discard)
	return e
}}

var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails for an unknown level only
	return w
}}

// Marshal encodes values one after the other.
func Marshal(values ...any) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(plain)
	e := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(e)
	e.Reset(&b)
	e.SetCustomStructTag("json")
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	for _, v := range values {
		if err := e.Encode(v); err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
	}
	if b.Len() < packFrom {
		return b.Bytes(), nil
	}
	return pack(b.Bytes())
}

func pack(b []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(packed)
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b[1:]); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if out.Len() > MaxEncoded {
		return nil, ErrTooLarge
	}
	return out.Bytes(), nil
}

// Unmarshal decodes what Marshal made. Values after those given are left out.
func Unmarshal(b []byte, values ...any) error {
	if len(b) == 0 || len(b) > MaxEncoded {
		return ErrFormat
	}
	body := b[1:]
	switch b[0] {
	case plain:
	case packed:
		all, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), MaxDecompressed+1))
		if err != nil {
			return fmt.Errorf("decompress message: %w", err)
		}
		if len(all) > MaxDecompressed {
			return ErrTooLarge
		}
		body = all
	default:
		return ErrFormat
	}
	left := maxElements
	d := msgpack.NewDecoder(bytes.NewReader(body))
	for range values {
		if err := scan(d, maxDepth, &left); err != nil {
			return err
		}
	}
	return decode(body, values)
}

// scan goes through one value without taking memory for it: the library makes
// room for as many elements as a list says it has, before it looks for them.
func scan(d *msgpack.Decoder, depth int, left *int) error {
	c, err := d.PeekCode()
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	switch {
	case msgpcode.IsFixedMap(c), c == msgpcode.Map16, c == msgpcode.Map32:
		return ErrFormat
	case msgpcode.IsFixedArray(c), c == msgpcode.Array16, c == msgpcode.Array32:
	default:
		if err := d.Skip(); err != nil {
			return fmt.Errorf("decode message: %w", err)
		}
		return nil
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if *left -= n; *left < 0 || depth == 0 {
		return ErrTooLarge
	}
	for range n {
		if err := scan(d, depth-1, left); err != nil {
			return err
		}
	}
	return nil
}

// decode turns a panic of the decoder into an error: the library panics for a
// nil in the place of a struct such as a time, and what a peer sends must not
// end the process.
func decode(body []byte, values []any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrFormat, p)
		}
	}()
	d := msgpack.NewDecoder(bytes.NewReader(body))
	d.SetCustomStructTag("json")
	for _, v := range values {
		if err := d.Decode(v); err != nil {
			return fmt.Errorf("decode message: %w", err)
		}
	}
	return nil
}
