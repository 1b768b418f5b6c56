// Package body holds the whole body of an answer, in blocks that are used again, so that
// growing copies nothing.
//
// # Usage
//
//	var b body.Body
//	defer b.Free()
//	if err := b.Read(x.Body, x.Length, 4<<20, claim.Grow); err != nil {
//		// b holds nothing of use
//	}
//	_, err := b.WriteTo(w)
package body

import (
	"errors"
	"io"
	"sync"
)

const (
	// firstSize is the size in bytes of the first block of a body whose length is not stated.
	// Most such bodies are small.
	firstSize = 4 << 10
	// blockSize is the size in bytes of the blocks after it.
	blockSize = 32 << 10
)

// ErrTooLarge is returned for a body that exceeds the limit.
var ErrTooLarge = errors.New("the answer exceeds the buffer limit")

// blocks holds the blocks of blockSize bytes that are not in use.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// Body is a body. Its zero value is empty.
type Body struct {
	parts [][]byte
	// pooled holds the blocks that Free returns.
	pooled []*[blockSize]byte
	size   int
}

// Read reads r to its end. length is the stated length in bytes, -1 for none; one above limit
// fails with ErrTooLarge before anything is read, and so does a body that turns out to be
// longer. grow is called before n bytes more are held; its error ends Read.
func (b *Body) Read(r io.Reader, length int64, limit int, grow func(n int) error) error {
	if length > int64(limit) {
		return ErrTooLarge
	}
	size := firstSize
	if length >= 0 {
		size = int(length) + 1 // the end is seen before the block is full
	}
	for b.size <= limit {
		if err := grow(size); err != nil {
			return err
		}
		n, err := fill(r, b.block(size))
		b.parts[len(b.parts)-1] = b.parts[len(b.parts)-1][:n]
		b.size += n
		if errors.Is(err, io.EOF) && b.size <= limit {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		size = blockSize
	}
	return ErrTooLarge
}

// block adds a block.
func (b *Body) block(size int) []byte {
	var p []byte
	if size == blockSize {
		block := blocks.Get().(*[blockSize]byte)
		b.pooled = append(b.pooled, block)
		p = block[:]
	} else {
		p = make([]byte, size)
	}
	b.parts = append(b.parts, p)
	return p
}

// fill reads until p is full or r fails. Its error is that of r, which tells an end from a
// truncated body.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = r.Read(p[n:])
		n += k
	}
	return n, err
}

// Len returns the size in bytes.
func (b *Body) Len() int { return b.size }

// WriteTo writes the body to w.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, p := range b.parts {
		n, err := w.Write(p)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Free empties the body. Nothing may use its bytes any more.
func (b *Body) Free() {
	for _, block := range b.pooled {
		blocks.Put(block)
	}
	*b = Body{}
}
