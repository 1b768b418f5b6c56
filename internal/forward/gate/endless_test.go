package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/gate"

	"github.com/go-logr/logr/funcr"
)

const (
	// endlessFence is where a stand-in that sends without end gives up, in bytes.
	endlessFence = 64 << 20
	// endlessWait is a generous time for what takes milliseconds.
	endlessWait = 10 * time.Second
)

// endless sends head and then unit again and again, and reports the bytes that it had
// sent when the connection was closed.
func endless(w io.Writer, head, unit string, closed chan<- int) {
	sent, _ := io.WriteString(w, head)
	block := []byte(strings.Repeat(unit, max(1, 16<<10/len(unit))))
	for sent < endlessFence {
		n, err := w.Write(block)
		sent += n
		if err != nil {
			break
		}
	}
	closed <- sent
}

// logLines collects the log of a gate.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) collect(g *gate.Gate) {
	g.Log = funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.text.WriteString(args + "\n")
	}, funcr.Options{})
}

func (l *logLines) has(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), `"`+event+`"`)
}

func (l *logLines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// endlessCase is a reply without end: head, in which %s is the request's id, and then
// unit for ever. limit is the number of bytes that the gate reads at most.
type endlessCase struct {
	name, head, unit string
	limit            int
}

const (
	endlessHeadLimit = 64 << 10
	endlessBodyLimit = 4 << 20
	// endlessRead is what a read buffer may hold besides.
	endlessRead = 64 << 10
)

// endlessAnswers holds replies without end to a plain request.
var endlessAnswers = []endlessCase{
	{"status line", "HTTP/1.1 200 O", "K", endlessHeadLimit},
	{"bytes without a line", "", "x", endlessHeadLimit},
	{"header field", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nX: ", "y", endlessHeadLimit},
	{"header fields", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n", "X-Long: y\r\n", endlessHeadLimit},
	{"continued header field", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nX: y\r\n", " y\r\n", endlessHeadLimit},
	{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", endlessHeadLimit},
	{"interim heads with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", endlessHeadLimit},
	{"chunk size line", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "0", endlessBodyLimit},
	{"chunk extension", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", "x", endlessBodyLimit},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1;e=" + strings.Repeat("x", 1000) + "\r\ny\r\n", endlessBodyLimit},
	{"trailer field", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\nX: ", "x", endlessBodyLimit},
	{"trailer fields", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n", "X: y\r\n", endlessBodyLimit},
	{"chunks", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 1<<10) + "\r\n", 2 * endlessBodyLimit},
	{"body without length", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n\r\n", "body", endlessBodyLimit},
	{"body with a huge length", "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 1000000000000\r\n\r\n", "body", endlessBodyLimit},
	{"body of a failure", "HTTP/1.1 500 No\r\nAgateward-Request: %s\r\n\r\n", "body", endlessBodyLimit},
}

// playEndless sends a request whose first upstream replies without end and whose next one
// by then, and checks that the first connection is closed within the bound, that the
// attempt is logged and that no goroutine stays.
func playEndless(t *testing.T, c endlessCase, path string, then reply) (answer, int64) {
	t.Helper()
	closed := make(chan int, 4)
	var runs atomic.Int64
	serve := func(w io.Writer, r *http.Request, n int64) bool {
		if runs.Add(1) > 1 {
			return then(w, r, n)
		}
		endless(w, strings.ReplaceAll(c.head, "%s", r.Header.Get("Agateward-Request")), c.unit, closed)
		return false
	}
	var log logLines
	s := newGateWith(t, log.collect, newUpstream(t, serve), newUpstream(t, serve))
	got := do(t, s, "POST", path, func(r *http.Request) {
		// A body over the size that is written at once is written while the answer is read.
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", 8<<10))), 8<<10
	})
	select {
	case sent := <-closed:
		if limit := c.limit + endlessRead + socketBytes(t); sent > limit {
			t.Errorf("%d bytes were sent until the close, want at most %d", sent, limit)
		}
	case <-time.After(endlessWait):
		t.Error("the connection was not closed")
	}
	if strings.HasPrefix(c.name, "body") && !log.has("the answer exceeds the buffer limit") {
		t.Error("the bound of the body is not logged")
	}
	if !log.has("attempt-failed") && !log.has("answer-broken") {
		t.Error("the failed attempt is not logged")
	}
	checkNoExchange(t, s)
	return got, runs.Load()
}

// checkNoExchange checks that no goroutine sends to an upstream or reads its answer.
func checkNoExchange(t *testing.T, s *httptest.Server) {
	t.Helper()
	s.Client().CloseIdleConnections()
	s.CloseClientConnections()
	buf := make([]byte, 1<<20)
	for end := time.Now().Add(endlessWait); ; time.Sleep(time.Millisecond) {
		stacks := string(buf[:runtime.Stack(buf, true)])
		if !strings.Contains(stacks, "backend.(*Pool).Send") && !strings.Contains(stacks, "backend.eofReader") {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("a goroutine of the exchange stays:\n%s", stacks)
		}
	}
}

// Guards against an upstream that holds a request and memory by a reply that does not
// end: in its head, in the framing of its body or in the body.
func TestEndlessAnswerIsCut(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			then := func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "fine") }
			if got, runs := playEndless(t, c, "/safe/x", then); got.status != 200 || got.body != "fine" || runs != 2 {
				t.Errorf("safe: status %d, %v, %d runs; want the second upstream's answer", got.status, got.err, runs)
			}
			if got, runs := playEndless(t, c, "/unsafe/untimed/x", then); got.status != http.StatusBadGateway || runs != 1 {
				t.Errorf("unsafe: status %d, %v, %d runs; want 502 after one", got.status, got.err, runs)
			}
		})
	}
}

// Guards against answers that end with their connection being refused, and against such
// a stream that looks complete though it ends inside an event.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	cases := []struct {
		name, path, body string
		whole            bool
	}{
		{"plain", "/unsafe/x", "some text", true},
		{"empty", "/unsafe/x", "", true},
		{"stream", "/once/x", pieces(1, 3), true},
		{"stream that ends in a field", "/once/x", pieces(1, 2) + "id: 3\nda", false},
		{"stream that ends after a field", "/once/x", pieces(1, 2) + "id: 3\ndata: piece 3", false},
		{"stream that ends before the blank line", "/once/x", pieces(1, 2) + "id: 3\ndata: piece 3\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n\r\n%s", r.Header.Get("Agateward-Request"), c.body)
				return false
			})
			got := do(t, newGate(t, u), "POST", c.path, nil)
			if got.status != 200 || (got.err == nil) != c.whole || c.whole && got.body != c.body {
				t.Errorf("status %d, body %q, %v; whole %v", got.status, got.body, got.err, c.whole)
			}
			if !c.whole && got.body != pieces(1, 2) {
				t.Errorf("body %q, want the two whole events", got.body)
			}
		})
	}
}

// socketBytes returns the bytes that the sockets of a connection may hold: the largest
// buffers that the kernel states. A reader that gets no processor time fills them.
func socketBytes(t *testing.T) int {
	t.Helper()
	sum := 0
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		b, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		if err != nil {
			t.Fatal(err)
		}
		var least, initial, most int
		if _, err := fmt.Sscan(string(b), &least, &initial, &most); err != nil {
			t.Fatal(err)
		}
		sum += most
	}
	return sum
}
