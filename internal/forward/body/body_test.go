package body

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Guards against a body that is changed, cut or joined with another one by the blocks, against
// one that is truncated but looks whole, and against bytes that are held unclaimed.
func TestBody(t *testing.T) {
	const limit = 3*blockSize + 7
	text := bytes.Repeat([]byte("0123456789abcdefg"), limit/17+1)
	cases := []struct {
		name   string
		size   int
		stated bool
		end    error
		want   error
	}{
		{"empty", 0, true, io.EOF, nil},
		{"empty without a length", 0, false, io.EOF, nil},
		{"small", 10, true, io.EOF, nil},
		{"one block", firstSize, false, io.EOF, nil},
		{"one byte more", firstSize + 1, false, io.EOF, nil},
		{"several blocks", 2*blockSize + 1, false, io.EOF, nil},
		{"largest", limit, true, io.EOF, nil},
		{"largest without a length", limit, false, io.EOF, nil},
		{"too large", limit + 1, true, io.EOF, ErrTooLarge},
		{"too large without a length", limit + 1, false, io.EOF, ErrTooLarge},
		{"truncated", blockSize, false, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		{"truncated at the end", 10, true, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			readers := map[string]func(io.Reader) io.Reader{
				"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "end with data": iotest.DataErrReader,
			}
			for name, reader := range readers {
				length := int64(-1)
				if c.stated {
					length = int64(c.size)
				}
				var b Body
				claimed := 0
				r := reader(io.MultiReader(bytes.NewReader(text[:c.size]), iotest.ErrReader(c.end)))
				err := b.Read(r, length, limit, func(n int) error { claimed += n; return nil })
				if !errors.Is(err, c.want) {
					t.Fatalf("%s: %v, want %v", name, err, c.want)
				}
				var out bytes.Buffer
				if _, err := b.WriteTo(&out); err != nil {
					t.Fatal(err)
				}
				if c.want == nil && !bytes.Equal(out.Bytes(), text[:c.size]) || claimed < b.Len() {
					t.Errorf("%s: %d of %d bytes, %d claimed", name, out.Len(), c.size, claimed)
				}
				b.Free()
			}
		})
	}
}

// Guards against reading a body that its length or its claim forbids.
func TestNothingIsReadBeyondBounds(t *testing.T) {
	errFull := errors.New("full")
	for name, length := range map[string]int64{"length above the limit": 1 << 40, "no room for the length": 100, "no room": -1} {
		var b Body
		err := b.Read(iotest.ErrReader(errors.New("was read")), length, 1<<20, func(int) error { return errFull })
		if !errors.Is(err, errFull) && !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
