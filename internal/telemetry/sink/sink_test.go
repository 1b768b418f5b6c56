package sink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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

// Guards against a process that does not end at its stop, as its output takes no line.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := New(w, 100)
		_, _ = s.Write([]byte("line\n"))
		begin := time.Now()
		s.Close()
		if d := time.Since(begin); d != closeTime {
			t.Errorf("closed after %v, want %v", d, closeTime)
		}
		r.Close()
	})
}

// Guards against lines that take the memory of the process while the output is slow: strangers
// write parts of them.
func TestLongLineIsCut(t *testing.T) {
	for _, size := range []int{maxLine, maxLine + 1, 64 << 10} {
		var b strings.Builder
		s := New(&b, 3)
		line := "level=INFO event=e cause=" + strings.Repeat("x", size-26) + "\n"
		if n, err := s.Write([]byte(line)); n != size || err != nil {
			t.Errorf("%d bytes: %d, %v", size, n, err)
		}
		s.Close()
		if got := b.String(); len(got) != maxLine || strings.HasSuffix(got, cutMark) != (size > maxLine) {
			t.Errorf("%d bytes: a line of %d bytes that ends in %q", size, len(got), got[len(got)-12:])
		}
	}
}

func TestReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		s := New(&b, 3)
		for range 10 {
			if _, err := s.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if _, err := s.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		s.Close()
		if got := b.String(); strings.Count(got, "line\n") != 3 || !strings.Contains(got, "count=7 ends=0") || !strings.HasSuffix(got, "last\n") {
			t.Errorf("output:\n%s", got)
		}
	})
}

// Guards against requests without a last line: lines of dispatches and attempts had used up the
// rate, or the queue.
func TestPreferredLinesAreNotDisplaced(t *testing.T) {
	tests := []struct {
		name    string
		rate    int
		blocked bool
		want    int
	}{
		{"rate", 10, false, 50},
		{"queue", 1_000_000, true, queueLength},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b bytes.Buffer
				gate := make(chan struct{})
				if !tt.blocked {
					close(gate)
				}
				s := New(gatedWriter{gate, &b}, tt.rate, "end")
				for i := range 2 * queueLength {
					_, _ = fmt.Fprintf(s, "level=INFO event=dispatch cause=\" event=end\" n=%d\n", i)
				}
				for i := range tt.want {
					_, _ = fmt.Fprintf(s, "level=INFO event=end n=%d\n", i)
				}
				if tt.blocked {
					close(gate)
				}
				s.Close()
				if n := strings.Count(b.String(), "event=end n="); n != tt.want {
					t.Errorf("%d of %d lines", n, tt.want)
				}
			})
		})
	}
}

// gatedWriter writes once its gate is closed.
type gatedWriter struct {
	gate chan struct{}
	w    io.Writer
}

func (g gatedWriter) Write(b []byte) (int, error) {
	<-g.gate
	return g.w.Write(b)
}
