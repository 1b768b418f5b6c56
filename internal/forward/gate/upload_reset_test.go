package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/internal/forward/gate"
)

// Guards against half an answer that looks complete: the upstream answered a long upload at
// once, without a length, and reset the connection while the upload was still being written, so
// that the write took the error and the answer seemed to end regularly.
func TestResetDuringAnUpload(t *testing.T) {
	const upload = 4 << 20
	cases := []struct {
		name, route, contentType, body string
	}{
		{"sent once", "/unsafe/", "text/plain", "half of the ans"},
		{"may be sent again", "/safe/", "text/plain", "half of the ans"},
		{"stream", "/once/", "text/event-stream", pieces(1, 3)},
		{"stream that may be resumed", "/stream/", "text/event-stream", pieces(1, 3)},
	}
	for _, c := range cases {
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(c.name, " after ", wait), func(t *testing.T) {
				t.Parallel()
				serve := func(w io.Writer, r *http.Request, _ int64) bool {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Agateward-Request"), c.contentType, c.body)
					time.Sleep(wait)
					if c, ok := w.(*net.TCPConn); ok {
						c.SetLinger(0)
					}
					return false
				}
				larger := func(g *gate.Gate) { g.MaxBody = 2 * upload }
				server := newGateWith(t, larger, listen(t, serve, true), listen(t, serve, true))
				for range 5 {
					got := do(t, server, "POST", c.route+"x", func(r *http.Request) {
						r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", upload))), upload
					})
					if got.err == nil && got.status < http.StatusInternalServerError {
						t.Fatalf("status %d, body %q looks complete", got.status, got.body)
					}
				}
			})
		}
	}
}
