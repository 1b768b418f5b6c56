package stall

import (
	"testing"
	"time"
)

// Guards against requests that leave a sound upstream because the entry itself was
// late: a slow caller, or no processor time, kept it from reading.
func TestCheck(t *testing.T) {
	const limit = time.Second
	begin := time.Unix(1000, 0)
	cases := []struct {
		name   string
		paused bool
		unread bool
		after  time.Duration
		silent bool
		again  time.Duration
	}{
		{"before the limit", false, false, 400 * time.Millisecond, false, 600 * time.Millisecond},
		{"at the limit", false, false, limit, true, 0},
		{"long after the limit", false, false, 5 * limit, true, 0},
		{"bytes that were not read", false, true, 5 * limit, false, limit},
		{"the entry writes to the caller", true, false, 5 * limit, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w Watch
			if got := w.Wait(limit, begin); got != limit {
				t.Errorf("first check after %v, want %v", got, limit)
			}
			if c.paused {
				w.Pause()
			}
			silent, again := w.Check(c.unread, begin.Add(c.after))
			if silent != c.silent || again != c.again {
				t.Errorf("silent %v, again after %v; want %v, %v", silent, again, c.silent, c.again)
			}
		})
	}
}
