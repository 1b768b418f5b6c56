package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

const endlessEventLimit = 1 << 20

// longComment makes a comment as long as an event, so that the events of a stream stay
// few.
var longComment = strings.Repeat("9", 1<<10)

const streamHead = "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\n\r\n"

// endlessStreams holds streams that never send another event.
var endlessStreams = []endlessCase{
	{"one event", streamHead + "id: 1\ndata: piece 1\n\nid: 2\ndata: ", "x", endlessEventLimit},
	{"lines of one event", streamHead + "id: 1\ndata: piece 1\n\nid: 2\n", "data: x\n", endlessEventLimit},
	{"blank lines", streamHead + "id: 1\ndata: piece 1\n\n", "\n", endlessEventLimit},
	{"blank lines before the first event", streamHead, "\r\n", endlessEventLimit},
	{"comment", streamHead + "id: 1\ndata: piece 1\n\n:", "x", endlessEventLimit},
	{"comments", streamHead + "id: 1\ndata: piece 1\n\n", ": x\n", endlessEventLimit},
	{"events of comments", streamHead + "id: 1\ndata: piece 1\n\n", ": " + longComment + "\n\n", endlessEventLimit},
	{"events of comments before the first event", streamHead, ": " + longComment + "\n\n", endlessEventLimit},
	{"events without data", streamHead + "id: 1\ndata: piece 1\n\n", "retry: " + longComment + "\n\n", endlessEventLimit},
	{"the same event", streamHead, "id: 1\ndata: piece 1\n\n", endlessEventLimit},
}

// Guards against an upstream that holds a stream for ever by bytes that are no further
// event, and against a cut stream that looks complete.
func TestEndlessStreamIsCut(t *testing.T) {
	rest := func(w io.Writer, r *http.Request, _ int64) bool {
		from := 1
		if r.Header.Get("Last-Event-Id") != "" {
			from = 2
		}
		return events(w, r, from, 3, true)
	}
	for _, c := range endlessStreams {
		t.Run(c.name, func(t *testing.T) {
			got, runs := playEndless(t, c, "/stream/untimed/x", rest)
			whole := got.body[max(0, strings.Index(got.body, "id:")):]
			if strings.HasSuffix(c.unit, longComment+"\n\n") {
				whole = strings.ReplaceAll(whole, c.unit, "")
			}
			if got.status != 200 || got.err != nil || whole != pieces(1, 3) || runs != 2 {
				t.Errorf("resumable: status %d, %v, %d runs, %d bytes of events; want three events", got.status, got.err, runs, len(whole))
			}
			got, runs = playEndless(t, c, "/once/untimed/x", rest)
			if got.err == nil && got.status != http.StatusBadGateway || runs != 1 {
				t.Errorf("once: status %d, %v, %d runs; want a broken answer after one", got.status, got.err, runs)
			}
		})
	}
}

// Guards against a sound stream that is cut by its size: it has more bytes, and more
// bytes of comments, than may come without a further event.
func TestLongStreamIsRelayedWhole(t *testing.T) {
	for _, id := range []string{"id: %d\n", ""} {
		var body strings.Builder
		for n := range 3 * endlessEventLimit / (1 << 10) {
			body.WriteString(": " + longComment + "\n\n")
			if id != "" {
				fmt.Fprintf(&body, id, n)
			}
			body.WriteString("data: " + longComment + "\n\n")
		}
		u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
			fmt.Fprintf(w, streamHead, r.Header.Get("Agateward-Request"))
			io.WriteString(w, body.String())
			return false
		})
		if got := do(t, newGate(t, u), "POST", "/once/untimed/x", nil); got.status != 200 || got.err != nil || got.body != body.String() {
			t.Errorf("with field %q: status %d, %d of %d bytes, %v", id, got.status, len(got.body), body.Len(), got.err)
		}
	}
}
