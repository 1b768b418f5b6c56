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

// openRequest sends the head of a request with a body of the given size, and nothing of it.
func openRequest(t *testing.T, address, path string, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAgateward-Request: r9\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", path, size)
	return conn
}

func readStatus(t *testing.T, conn net.Conn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(conn) // the entry closes the connection
	line, _, _ := strings.Cut(string(b), "\r\n")
	return line
}

// TestSlowCallers guards against callers that send a body slowly: they must not take the
// memory of the entry, nor hold a request open for ever.
func TestSlowCallers(t *testing.T) {
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "done") })
	const memory = 4 << 20 // a quarter of it is for bodies and answers
	var g *gate.Gate
	s := newGateSetup(t, func(made *gate.Gate) { g = made }, func(setup *gate.Setup) { setup.Memory = memory }, u)
	address := s.Listener.Addr().String()
	slow := openRequest(t, address, "/safe/short/x", 1<<20-1)
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := do(t, s, http.MethodPost, "/unsafe/x", nil); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("beside a body that uses all memory: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if line := readStatus(t, slow); !strings.Contains(line, "408") {
		t.Errorf("the caller that sends no body gets %q, want 408", line)
	}
	if got := do(t, s, http.MethodPost, "/unsafe/x", nil); got.status != http.StatusOK {
		t.Errorf("after the slow caller: status %d", got.status)
	}
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() > 0; {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay claimed", g.Buffers.Used())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against callers that take nothing of an answer which was read whole: it must not be
// held for ever.
func TestCallerThatTakesNothingOfAWholeAnswer(t *testing.T) {
	const size = 4 << 20
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, strings.Repeat("b", size)) })
	var g *gate.Gate
	var log logLines
	s := newGateWith(t, func(made *gate.Gate) { g = made; g.TakeTimeout = 200 * time.Millisecond; log.collect(g) }, u)
	for range 3 { // more than the sockets hold
		conn := openRequest(t, s.Listener.Addr().String(), "/unsafe/x", 0)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() < size; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held", g.Buffers.Used())
		}
	}
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay claimed", g.Buffers.Used())
		}
	}
	if !log.has("caller-cut") {
		t.Error("the cut is not logged")
	}
	if got := do(t, s, http.MethodPost, "/unsafe/x", nil); got.status != http.StatusOK || len(got.body) != size {
		t.Errorf("a caller that takes its answer: status %d, %d bytes, %v", got.status, len(got.body), got.err)
	}
}
