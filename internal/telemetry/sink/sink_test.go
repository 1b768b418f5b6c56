package sink

import (
	"io"
	"strings"
	"testing"
)

func TestNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads, so that the output blocks
	s := New(w, 1_000_000)
	for range 10_000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	r.Close()
	s.Close()
}

func TestReportsDroppedLines(t *testing.T) {
	var b strings.Builder
	s := New(&b, 3)
	for range 10 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	s.mu.Lock()
	s.tokens = 3
	s.mu.Unlock()
	if _, err := s.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if got := b.String(); strings.Count(got, "line\n") != 3 || !strings.Contains(got, "count=7") || !strings.HasSuffix(got, "last\n") {
		t.Errorf("output:\n%s", got)
	}
}
