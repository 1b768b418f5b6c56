package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
)

func TestStreamResumesAfterLastEvent(t *testing.T) {
	var from atomic.Value
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		if id := r.Header.Get("Last-Event-Id"); id != "" {
			from.Store(id)
			return events(w, r, 4, 6, true)
		}
		events(w, r, 1, 3, false)
		io.WriteString(w, "18\r\nid: 4\nda") // a partial event
		return false
	}
	s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
	got := do(t, s, "POST", "/stream/x", nil)
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	if got.body != want || got.err != nil {
		t.Errorf("body %q, %v", got.body, got.err)
	}
	if from.Load() != "3" {
		t.Errorf("resumed after event %v, want 3", from.Load())
	}
	got = do(t, s, "POST", "/once/x", nil)
	if got.err == nil || got.status != 200 {
		t.Errorf("a truncated stream that may not be resumed looks complete: %d %q", got.status, got.body)
	}
}
