package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/internal/forward/gate"
)

// Guards against a request without any timeout that is held for ever by an upstream that
// sends some bytes now and then, too few to reach a bound in size.
func TestSlowReplyWithoutEndIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n"
	cases := []struct{ name, path, head, unit string }{
		{"body without length", "/unsafe/untimed/x", head + "\r\n", "x"},
		{"body with a length", "/unsafe/untimed/x", head + "Content-Length: 1000000\r\n\r\n", "x"},
		{"chunks", "/unsafe/untimed/x", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", "/unsafe/untimed/x", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", "/unsafe/untimed/x", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		{"one event", "/once/untimed/x", streamHead + pieces(1, 1) + "id: 2\ndata: ", "x"},
		{"comments", "/once/untimed/x", streamHead + pieces(1, 1), ": x\n\n"},
		{"comments before the first event", "/once/untimed/x", streamHead, ": x\n"},
		{"blank lines", "/once/untimed/x", streamHead + pieces(1, 1), "\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
				defer close(closed)
				_, err := io.WriteString(w, strings.ReplaceAll(c.head, "%s", r.Header.Get("Agateward-Request")))
				for ; err == nil; _, err = io.WriteString(w, c.unit) {
					time.Sleep(10 * time.Millisecond)
				}
				return false
			})
			var log logLines
			s := newGateWith(t, func(g *gate.Gate) {
				log.collect(g)
				g.ProgressTimeout = 200 * time.Millisecond
			}, u)
			ctx, cancel := context.WithTimeout(t.Context(), endlessWait)
			defer cancel()
			got := do(t, s, "POST", c.path, func(r *http.Request) { *r = *r.WithContext(ctx) })
			if ctx.Err() != nil || got.err == nil && got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, %v, %v; want 504 or a broken answer", got.status, got.err, ctx.Err())
			}
			select {
			case <-closed:
			case <-time.After(endlessWait):
				t.Error("the connection was not closed")
			}
			if !log.has("request-refused") && !log.has("answer-cut") {
				t.Error("the failure is not logged")
			}
			checkNoExchange(t, s)
		})
	}
}

// Guards against a sound stream without a timeout that is cut though its events arrive:
// it lasts longer than the time for progress.
func TestStreamWithProgressHasNoTimeout(t *testing.T) {
	const count, interval = 30, 100 * time.Millisecond
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, streamHead, r.Header.Get("Agateward-Request"))
		for id := 1; id <= count; id++ {
			time.Sleep(interval)
			io.WriteString(w, pieces(id, id))
		}
		return false
	})
	s := newGateWith(t, func(g *gate.Gate) { g.ProgressTimeout = count * interval / 2 }, u)
	if got := do(t, s, "POST", "/once/untimed/x", nil); got.status != 200 || got.err != nil || got.body != pieces(1, count) {
		t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
	}
}
