// Package codec implements the encoding of the messages between entries.
//
// # Usage
//
//	b, err := codec.Marshal(&header, &message)
//	err = codec.Unmarshal(b, &header, &message)
//
// The encoding is MessagePack with structs as arrays and the shortest integers:
// a message has some forty small structs, and field names would make up half of
// it. Fields may be added at the end of a struct; any other change needs a new
// protocol number. Messages of more than a packet or two, in practice those with a
// full configuration, are compressed.
package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"agateward/internal/peer/unpack"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of one encoded list of values, in bytes.
const (
	// MaxEncoded bounds the encoding as it is sent, MaxDecompressed after
	// decompression: a configuration of a megabyte as JSON takes less in this
	// encoding.
	MaxEncoded      = 1 << 20
	MaxDecompressed = 4 << 20
	// maxElements bounds the elements of all lists and structs together, maxDepth
	// their nesting.
	maxElements = 500_000
	maxDepth    = 12
	// compressThreshold is the length from which an encoding is compressed.
	compressThreshold = 4 << 10
)

// Kinds of frame, the first byte.
const (
	formatPlain      = 0
	formatCompressed = 1
)

// ErrTooLarge means that an encoding exceeds a limit, ErrFormat that it is
// malformed.
var (
	ErrTooLarge = unpack.ErrTooLarge
	ErrFormat   = unpack.ErrFormat
)

var encoders = sync.Pool{New: func() any {
	e := msgpack.NewEncoder(io.Discard)
	return e
}}

var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails for an unknown level only
	return w
}}

// Marshal encodes values one after the other.
func Marshal(values ...any) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(formatPlain)
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
	if b.Len() < compressThreshold {
		return b.Bytes(), nil
	}
	return compress(b.Bytes())
}

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(formatCompressed)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
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

// Unmarshal decodes the output of Marshal. Values beyond those given are ignored.
func Unmarshal(b []byte, values ...any) error {
	if len(b) == 0 || len(b) > MaxEncoded {
		return ErrFormat
	}
	body := b[1:]
	switch b[0] {
	case formatPlain:
	case formatCompressed:
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
	return bounds.Decode(body, values...)
}

// bounds are those of a message after decompression.
var bounds = unpack.Bounds{Elements: maxElements, Depth: maxDepth, Tag: "json"}
