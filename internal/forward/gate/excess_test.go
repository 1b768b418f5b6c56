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

// Guards against a sound answer that is lost, and bytes that stay claimed, as an answer without
// an end uses up what the entry may hold.
func TestSoundAnswerBesideEndlessOne(t *testing.T) {
	const size = 3 << 20
	u := newUpstream(t, func(w io.Writer, r *http.Request, n int64) bool {
		if n > 1 {
			return ok(w, r, strings.Repeat("b", size))
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\n\r\n%s", r.Header.Get("Agateward-Request"), strings.Repeat("x", size+size/10))
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the connection is closed
		return false
	})
	var g *gate.Gate
	// What is for answers of it is less than both.
	s := newGateSetup(t, func(made *gate.Gate) { g = made }, func(setup *gate.Setup) { setup.Memory = 10 * size }, u)
	endless := make(chan int)
	go func() { endless <- do(t, s, "POST", "/unsafe/untimed/x", nil).status }()
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() < size; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of the first answer are held", g.Buffers.Used())
		}
	}
	if got := do(t, s, "POST", "/unsafe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", "r2") }); got.status != 200 || len(got.body) != size {
		t.Errorf("sound answer: status %d, %d bytes, %v", got.status, len(got.body), got.err)
	}
	if status := <-endless; status != http.StatusBadGateway || g.Buffers.Cuts() != 1 {
		t.Errorf("endless answer: status %d, %d answers cut", status, g.Buffers.Cuts())
	}
	for end := time.Now().Add(5 * time.Second); g.Buffers.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay claimed", g.Buffers.Used())
		}
	}
}
