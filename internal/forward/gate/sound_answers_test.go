package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/gate"
)

// Guards against sound upstreams that are paused, and whose answers are cut, as many of their
// answers are on their way at once and their callers take them.
func TestManySoundAnswersAtOnceAreNotTakenForEndlessOnes(t *testing.T) {
	half := strings.Repeat("x", 3<<19)
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Agateward-Request"), 2*len(half), half)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, half)
		return true
	}
	var log logLines
	s := newGateSetup(t, func(g *gate.Gate) { log.collect(g) }, func(setup *gate.Setup) { setup.Memory = 100 << 20 },
		newUpstream(t, serve), newUpstream(t, serve), newUpstream(t, serve), newUpstream(t, serve))
	var fine, cut, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := range 3 {
				got := do(t, s, "POST", "/unsafe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", fmt.Sprintf("r-%d-%d", i, n)) })
				switch {
				case got.status == http.StatusOK && got.err == nil:
					fine.Add(1)
				case got.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					cut.Add(1)
				}
			}
		})
	}
	wg.Wait()
	paused := log.count("upstream-oversized")
	t.Logf("%d answered, %d cut, %d refused, sound upstreams paused %d times", fine.Load(), cut.Load(), refused.Load(), paused)
	if paused > 0 || cut.Load() > 0 {
		t.Errorf("%d sound answers were cut, sound upstreams paused %d times", cut.Load(), paused)
	}
}
