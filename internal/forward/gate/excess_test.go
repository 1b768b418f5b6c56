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

	"github.com/VictoriaMetrics/metrics"
)

// Guards against callers that are held, and an upstream that is asked at full rate, while
// every answer of a service exceeds the bounds.
func TestUpstreamWithEndlessAnswersIsPaused(t *testing.T) {
	const (
		asked = 3 // answers after which the upstream is paused
		pause = 500 * time.Millisecond
	)
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 1000000000000\r\n\r\n", r.Header.Get("Agateward-Request"))
		return false
	})
	set := metrics.NewSet()
	var log logLines
	s := newGateWith(t, func(g *gate.Gate) { g.Metrics = &gate.Metrics{Set: set}; log.collect(g) }, u)
	for i := range asked {
		if got := do(t, s, "POST", "/unsafe/x", nil); got.status != http.StatusBadGateway {
			t.Errorf("request %d: status %d, want 502", i+1, got.status)
		}
	}
	begin := time.Now()
	for time.Since(begin) < pause/2 {
		got, runs := do(t, s, "POST", "/unsafe/x", nil), u.runs.Load()
		if time.Since(begin) < pause && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || runs != asked) {
			t.Fatalf("in the pause: status %d, Retry-After %q, %d runs; want 503 after %d", got.status, got.header.Get("Retry-After"), runs, asked)
		}
	}
	if !log.has("upstream-oversized") || !counter(set, "agateward_forward_upstreams_oversized_total 1") {
		t.Error("the pause is not logged or counted")
	}
}

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
