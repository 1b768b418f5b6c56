package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a status that is none: 000 counted as an interim head, so that its caller was
// told at the deadline, and 600 and above reached the caller as an answer.
func TestStatusThatIsNone(t *testing.T) {
	const none = http.StatusBadGateway
	whole := pieces(1, 1)
	cases := []struct {
		status string
		// want is the status that the caller gets.
		want int
	}{
		{"000 Trouble", none}, {"042 Trouble", none}, {"099 Trouble", none}, {"101 Switching Protocols", none},
		{"600 Trouble", none}, {"999 Trouble", none}, {"-20 Trouble", none}, {"+20 Trouble", none}, {"20x Trouble", none}, {"2000 Trouble", none}, {"20 Trouble", none},
		{"200 OK", 200}, {"299 Other", 299}, {"599 Other", 599},
	}
	for _, c := range cases {
		for _, route := range []string{"/unsafe/", "/safe/", "/once/"} {
			for _, body := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole), "Content-Length: 0\r\n\r\n", "\r\n"} {
				t.Run(fmt.Sprintf("%s %s %q", c.status, route, body), func(t *testing.T) {
					t.Parallel()
					serve := func(w io.Writer, r *http.Request, _ int64) bool {
						fmt.Fprintf(w, "HTTP/1.1 %s\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\n%s", c.status, r.Header.Get("Agateward-Request"), body)
						return body != "\r\n" || c.want == none // the connection stays open
					}
					begin := time.Now()
					got := do(t, newGate(t, newUpstream(t, serve), newUpstream(t, serve)), "POST", route+"x", nil)
					if got.err != nil || got.status != c.want {
						t.Errorf("status %d, %v, want %d", got.status, got.err, c.want)
					}
					// Without a deadline of its own the request has that of its route, of some seconds.
					if d := time.Since(begin); d > time.Second {
						t.Errorf("the caller was told after %v", d)
					}
				})
			}
		}
	}
}
