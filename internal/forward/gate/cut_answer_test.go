package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutForm is an answer of an upstream in one form of the protocol. In head, %s is the id of
// the request; whole is the body that the caller gets. With openEnd only the end of the
// connection ends the body, so that no close shows that it is cut.
type cutForm struct {
	name, route, head, body string
	status                  int
	whole                   string
	openEnd                 bool
}

var cutForms = []cutForm{
	{"length", "/unsafe/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 4\r\n\r\n", "fine", 200, "fine", false},
	{"length, tried twice", "/safe/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 4\r\n\r\n", "fine", 200, "fine", false},
	{"no length", "/unsafe/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n\r\n", "fine", 200, "fine", true},
	{"HTTP/1.0", "/unsafe/", "HTTP/1.0 200 OK\r\nAgateward-Request: %s\r\n\r\n", "fine", 200, "fine", true},
	{"chunks", "/unsafe/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nfi\r\n2;x=y\r\nne\r\n0\r\nT: v\r\n\r\n", 200, "fine", false},
	{"interim head", "/unsafe/", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 4\r\n\r\n", "fine", 200, "fine", false},
	{"no body", "/unsafe/", "HTTP/1.1 204 None\r\nAgateward-Request: %s\r\n\r\n", "", 204, "", false},
	{"empty body", "/unsafe/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 0\r\n\r\n", "", 200, "", false},
	{"stream in chunks", "/once/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "14\r\nid: 1\ndata: piece 1\n\r\n1\r\n\n\r\n0\r\n\r\n", 200, "id: 1\ndata: piece 1\n\n", false},
	{"stream with a length", "/once/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 21\r\n\r\n", pieces(1, 1), 200, pieces(1, 1), false},
	{"stream that may be resumed", "/stream/", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 21\r\n\r\n", pieces(1, 1), 200, pieces(1, 1), false},
}

// Guards against an answer that looks whole though its upstream stopped in the middle of the
// head or of the body: every form is cut after each of its bytes, closed or reset, with a
// request that is written at once or beside the answer.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	for _, form := range cutForms {
		for _, reset := range []bool{false, true} {
			for _, size := range []int{100, 16 << 10} {
				t.Run(fmt.Sprint(form.name, " reset ", reset, " request ", size), func(t *testing.T) {
					t.Parallel()
					form.play(t, reset, size)
				})
			}
		}
	}
}

func (f cutForm) play(t *testing.T, reset bool, size int) {
	head := len(fmt.Sprintf(f.head, "r1"))
	for n := range head + len(f.body) + 1 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			serve := func(w io.Writer, r *http.Request, _ int64) bool {
				answer := fmt.Sprintf(f.head, r.Header.Get("Agateward-Request")) + f.body
				io.WriteString(w, answer[:n])
				if c, ok := w.(*net.TCPConn); ok && reset {
					c.SetLinger(0)
				}
				return false
			}
			u := newUpstream(t, serve)
			got := do(t, newGate(t, u, newUpstream(t, serve)), "POST", f.route+"x", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", size))), int64(size)
			})
			want := f.whole
			if f.openEnd {
				want = f.body[:max(n-head, 0)]
			}
			whole := got.err == nil && got.status == f.status && got.body == want
			switch cut := n < head || n < head+len(f.body) && (reset || !f.openEnd); {
			case !cut && !reset && !whole:
				t.Errorf("the whole answer: status %d, body %q, %v", got.status, got.body, got.err)
			case cut && got.err == nil && got.status < http.StatusInternalServerError:
				t.Errorf("status %d, body %q looks whole after %d of %d bytes", got.status, got.body, n, head+len(f.body))
			}
		})
	}
}
