// Package document encodes and compresses the documents that entries fetch from
// each other. Compression matters because one entry may send a configuration of
// thousands of routes to its whole cell over its own link.
//
// # Usage
//
//	p, err := document.Pack(forwarding)
//	err = p.Open(&forwarding)
package document

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
)

// maxSize bounds an opened document in bytes. It is larger than any document that
// the platform's store can hold.
const maxSize = 64 << 20

// Packed is an encoded and compressed document. Empty means that there is none.
type Packed []byte

var errTooLarge = errors.New("document is too large")

// Pack encodes and compresses a value.
func Pack(v any) (Packed, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	return b.Bytes(), nil
}

// Open decodes the document into v.
func (p Packed) Open(v any) error {
	r := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(p)), N: maxSize}
	if err := gob.NewDecoder(r).Decode(v); err != nil {
		if r.N <= 0 {
			err = errTooLarge
		}
		return fmt.Errorf("open document: %w", err)
	}
	return nil
}
