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

	"github.com/VictoriaMetrics/metrics"
)

// stating returns two upstreams; the one that gets the first request answers it with
// say, and all other requests are answered with success after delay. first is that
// upstream's index.
func stating(t *testing.T, delay time.Duration, say reply) (list [2]*upstream, first *atomic.Int64) {
	var n atomic.Int64
	first = new(atomic.Int64)
	for i := range list {
		list[i] = newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
			if n.Add(1) == 1 {
				first.Store(int64(i))
				return say(w, r, 1)
			}
			time.Sleep(delay)
			return ok(w, r, "fine")
		})
	}
	return list, first
}

// leave writes a whole answer with the given status and fields that says that the
// upstream leaves. It names the request id, or its own request if that is empty.
func leave(status int, id, fields string) reply {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		name := id
		if name == "" {
			name = r.Header.Get("Agateward-Request")
		}
		fmt.Fprintf(w, "HTTP/1.1 %d S\r\nAgateward-Request: %s\r\nAgateward-Leaving: 1\r\n%sContent-Length: 4\r\n\r\nbody", status, name, fields)
		return true
	}
}

func counter(set *metrics.Set, name string) bool {
	var b strings.Builder
	set.WritePrometheus(&b)
	return strings.Contains(b.String(), name)
}

// Guards against requests to an upstream whose own answer, of any kind, said that it
// leaves, and against taking such a statement from the answer to another request or of
// another upstream.
func TestUpstreamThatLeavesGetsNoMore(t *testing.T) {
	cases := []struct {
		name string
		say  reply
		// leaves reports whether the statement is the upstream's own.
		leaves bool
	}{
		{"success", leave(200, "", ""), true},
		{"failure", leave(500, "", ""), true},
		{"not run", leave(503, "", "Agateward-Not-Run: 1\r\n"), true},
		{"an answer that is refused", leave(200, "", "Content-Encoding: gzip\r\n"), true},
		{"the answer to another request", leave(200, "r0", ""), false},
		{"another upstream at the address", leave(421, "", ""), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// More requests than one upstream has slots press on both.
			list, first := stating(t, 60*time.Millisecond, c.say)
			set := metrics.NewSet()
			s := newGateWith(t, func(g *gate.Gate) { g.Metrics = &gate.Metrics{Set: set} }, list[0], list[1])
			do(t, s, "POST", "/safe/x", nil)
			u := list[first.Load()]
			before := u.runs.Load()
			time.Sleep(110 * time.Millisecond) // an upstream that rejected a request is tried again after 100 ms
			var wg sync.WaitGroup
			for range 7 {
				wg.Go(func() {
					if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 {
						t.Errorf("status %d, %v", got.status, got.err)
					}
				})
			}
			wg.Wait()
			if n := u.runs.Load() - before; n > 0 && c.leaves {
				t.Errorf("%d requests after its statement", n)
			}
			if counter(set, `agateward_forward_upstreams_leaving_total{source="answer"} 1`) != c.leaves {
				t.Errorf("statement counted: %v", !c.leaves)
			}
		})
	}
}

// Guards against requests to an upstream between the head and the end of a stream whose
// head said that it leaves, and against ending that stream.
func TestStreamOfUpstreamThatLeaves(t *testing.T) {
	end := make(chan bool)
	const a, b = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	list, first := stating(t, 0, func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nAgateward-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Agateward-Request"), len(a), a)
		<-end
		fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(b), b)
		return true
	})
	s := newGate(t, list[0], list[1])
	r, err := http.NewRequest(http.MethodPost, s.URL+"/once/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Agateward-Request", "r1")
	r.Header.Set("Authorization", "Bearer k1")
	res, err := s.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	for range 12 {
		do(t, s, "POST", "/safe/x", nil)
	}
	if n := list[first.Load()].runs.Load(); n > 1 {
		t.Errorf("%d requests after its statement", n-1)
	}
	close(end)
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != a+b {
		t.Errorf("stream %q, %v", body, err)
	}
}
