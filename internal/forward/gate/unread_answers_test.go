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

// Guards against a sound upstream that is paused, and its callers refused, as other callers read
// nothing of its large answers, which use up what the entry may hold.
func TestCallersThatReadNothingStarveNobody(t *testing.T) {
	large := strings.Repeat("x", 4<<20)
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		if strings.HasSuffix(r.URL.Path, "large") {
			return ok(w, r, large)
		}
		return ok(w, r, strings.Repeat("y", 64<<10))
	})
	var g *gate.Gate
	var log logLines
	s := newGateSetup(t, func(made *gate.Gate) {
		g = made
		log.collect(g)
	}, func(setup *gate.Setup) { setup.Memory = 100 << 20 }, u)
	for i := range 12 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /unsafe/large HTTP/1.1\r\nHost: h\r\nAgateward-Request: slow-%d\r\nAuthorization: Bearer k1\r\nContent-Length: 2\r\n\r\n{}", i)
		time.Sleep(20 * time.Millisecond)
	}
	for _, after := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		time.Sleep(after)
		fine := 0
		for range 20 {
			if got := do(t, s, "POST", "/unsafe/small", nil); got.status == http.StatusOK {
				fine++
			}
		}
		if fine != 20 {
			t.Errorf("%d of 20 small answers of the sound upstream; %d bytes held, %d answers cut, paused %d times", fine, g.Buffers.Used(), g.Buffers.Cuts(), log.count("upstream-oversized"))
		}
	}
}
