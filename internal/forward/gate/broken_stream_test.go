package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an error of the next upstream in the middle of a stream that broke off,
// and against a stream that looks complete since that upstream answered with something
// else than the rest of it.
func TestErrorAfterBrokenStreamIsNotRelayed(t *testing.T) {
	head := func(r *http.Request) string {
		return "Agateward-Request: " + r.Header.Get("Agateward-Request") + "\r\n"
	}
	cases := []struct {
		name   string
		answer func(r *http.Request) string
	}{
		{"500", func(r *http.Request) string {
			return "HTTP/1.1 500 E\r\n" + head(r) + "Content-Length: 8\r\n\r\nid: 3\r\nx"
		}},
		{"500 as an event", func(r *http.Request) string {
			return "HTTP/1.1 500 E\r\n" + head(r) + "Content-Type: text/event-stream\r\nContent-Length: 23\r\n\r\nid: 3\ndata: the error\n\n"
		}},
		{"500 to the end", func(r *http.Request) string { return "HTTP/1.1 500 E\r\n" + head(r) + "\r\ndata: the error\n\n" }},
		{"404", func(r *http.Request) string {
			return "HTTP/1.1 404 E\r\n" + head(r) + "Content-Length: 9\r\n\r\nthe error"
		}},
		{"302", func(r *http.Request) string {
			return "HTTP/1.1 302 E\r\n" + head(r) + "Location: /the/error\r\nContent-Length: 0\r\n\r\n"
		}},
		{"not run", func(r *http.Request) string {
			return "HTTP/1.1 503 E\r\n" + head(r) + "Agateward-Not-Run: 1\r\nContent-Length: 9\r\n\r\nthe error"
		}},
		{"400, not run", func(r *http.Request) string {
			return "HTTP/1.1 400 E\r\n" + head(r) + "Agateward-Not-Run: 1\r\nContent-Length: 9\r\n\r\nthe error"
		}},
		{"of another request", func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nAgateward-Request: other\r\nContent-Length: 23\r\n\r\nid: 3\ndata: the error\n\n"
		}},
		{"no answer in the protocol", func(*http.Request) string { return "the error\r\n\r\n" }},
		{"a success that is no stream", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + head(r) + "Content-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"error\": 1}\n"
		}},
		{"a success with a text", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + head(r) + "Content-Type: text/plain\r\nContent-Length: 11\r\n\r\nthe error\n\n"
		}},
		{"a success without a body", func(r *http.Request) string { return "HTTP/1.1 204 N\r\n" + head(r) + "\r\n" }},
		{"an empty success", func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + head(r) + "Content-Length: 0\r\n\r\n" }},
		{"an event without an id", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + head(r) + "Content-Type: text/event-stream\r\nContent-Length: 27\r\n\r\nevent: error\ndata: errors\n\n"
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var n atomic.Int64
			f := func(w io.Writer, r *http.Request, _ int64) bool {
				if n.Add(1) == 1 {
					return events(w, r, 1, 2, false)
				}
				io.WriteString(w, c.answer(r))
				return false
			}
			got := do(t, newGate(t, newUpstream(t, f), newUpstream(t, f)), "POST", "/stream/x", nil)
			want := fmt.Sprint("id: 1\ndata: piece 1\n\n", "id: 2\ndata: piece 2\n\n")
			if n.Load() < 2 {
				t.Fatal("the stream was not resumed")
			}
			if got.body != want || got.err == nil {
				t.Errorf("%q, %v; want the events that came, cut", strings.TrimPrefix(got.body, want), got.err)
			}
		})
	}
}
