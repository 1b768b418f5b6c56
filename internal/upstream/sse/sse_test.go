package sse

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// Guards against events that are lost, joined or taken for whole, and against bytes
// without an event that are read for ever.
func TestReader(t *testing.T) {
	cases := []struct {
		name, in string
		data     []string
		err      error
	}{
		{"two events", "data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{"a"}, io.EOF},
		{"several data fields", "id: 7\ndata: a\ndata:b\n\n", []string{"a\nb"}, io.EOF},
		{"comment", ": ping\n\ndata: a\n\n", []string{"", "a"}, io.EOF},
		{"blank lines between", "\n\ndata: a\n\n\n\n", []string{"a"}, io.EOF},
		{"truncated in a field", "data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		{"truncated before the blank line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"blank lines without end", "data: a\n\n" + strings.Repeat("\n", 64), []string{"a"}, ErrTooLarge},
		{"blank lines before each event", strings.Repeat("\n\r\n\ndata: a\n\n", 20), slices.Repeat([]string{"a"}, 20), io.EOF},
		{"too large", "data: " + strings.Repeat("x", 64), nil, ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Reader{R: strings.NewReader(c.in), Max: 32}
			for _, want := range c.data {
				e, err := r.Next()
				if err != nil || string(e.Data) != want {
					t.Fatalf("got %q, %v, want %q", e.Data, err, want)
				}
			}
			if _, err := r.Next(); !errors.Is(err, c.err) {
				t.Errorf("got error %v, want %v", err, c.err)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add("data: a\n\ndata: b\n\n")
	f.Add(": c\r\nid: 1\r\n\r\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		const limit = 64
		r := Reader{R: strings.NewReader(in), Max: limit}
		total := 0
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			total += len(e.Raw)
			if len(e.Raw) > limit || total > len(in) || !strings.Contains(in, string(e.Raw)) {
				t.Fatalf("event %q of %q", e.Raw, in)
			}
		}
	})
}
