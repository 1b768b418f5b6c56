package gate_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"agateward/internal/forward/gate"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
)

// lines collects log lines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) add(prefix, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(&l.b, prefix, args)
}

// count returns the number of lines with a text.
func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.b.Bytes(), []byte(text))
}

// limitedReply answers with a status and a limit, to the request or to another one. Without a
// value it states none.
func limitedReply(status int, value, id string) reply {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		name := r.Header.Get("Agateward-Request")
		if id != "" {
			name = id
		}
		field := ""
		if value != "" {
			field = "Agateward-Limit: " + value + "\r\n"
		}
		if status == http.StatusServiceUnavailable {
			field += "Agateward-Not-Run: 1\r\n"
		}
		fmt.Fprintf(w, "HTTP/1.1 %d S\r\nAgateward-Request: %s\r\n%sContent-Length: 4\r\n\r\nbody", status, name, field)
		return true
	}
}

// Guards against a limit that is not taken from each kind of answer that is the
// upstream's own, or is taken from any other answer, or from a value that is no rate.
func TestLimitIsTakenFromAnswers(t *testing.T) {
	cases := []struct {
		name   string
		say    reply
		counts bool
		faults int
	}{
		{"success", limitedReply(200, "0.5", ""), true, 0},
		{"failure", limitedReply(500, "0.5", ""), true, 0},
		{"not run", limitedReply(503, "0.5", ""), true, 0},
		{"to another request", limitedReply(200, "0.5", "r0"), false, 0},
		{"of another upstream", limitedReply(421, "0.5", ""), false, 0},
		{"not a number", limitedReply(200, "few", ""), false, 1},
		{"negative", limitedReply(200, "-3", ""), false, 1},
		{"none", limitedReply(200, "", ""), false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, first := stating(t, 20*time.Millisecond, c.say)
			set, log := metrics.NewSet(), &lines{}
			s := newGateWith(t, func(g *gate.Gate) {
				g.Metrics, g.Log = &gate.Metrics{Set: set}, funcr.New(log.add, funcr.Options{})
			}, list[0], list[1])
			do(t, s, "POST", "/safe/x", nil)
			news := log.count(`"upstream-limit"`)
			if got := counter(set, `agateward_forward_upstream_limits_total{source="answer"} 1`); got != c.counts || (news == 1) != c.counts {
				t.Errorf("counted: %t, %d lines, want %t", got, news, c.counts)
			}
			if n := log.count(`"upstream-limit-invalid"`); n != c.faults {
				t.Errorf("%d lines of invalid values, want %d", n, c.faults)
			}
			if !c.counts {
				return
			}
			if !counter(set, "agateward_forward_upstreams_limited 1") {
				t.Error("the upstream does not count as limited")
			}
			// All at once, so that slots alone would send some to the limited upstream.
			before := list[first.Load()].runs.Load()
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 {
						t.Errorf("status %d, %v", got.status, got.err)
					}
				})
			}
			wg.Wait()
			if n := list[first.Load()].runs.Load() - before; n > 1 {
				t.Errorf("%d requests at once at an upstream with a limit of 0.5 a second", n)
			}
		})
	}
}

// Guards against a limit that outlives its end: the first answer to a request that was
// sent after the statement ends it.
func TestLimitEnds(t *testing.T) {
	list, _ := stating(t, 5*time.Millisecond, limitedReply(200, "4", ""))
	set := metrics.NewSet()
	s := newGateWith(t, func(g *gate.Gate) { g.Metrics = &gate.Metrics{Set: set} }, list[0], list[1])
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 {
			t.Fatalf("status %d, %v", got.status, got.err)
		}
		if counter(set, `agateward_forward_upstream_limits_total{source="answer"} 2`) {
			if !counter(set, "agateward_forward_upstreams_limited 0") {
				t.Error("an upstream still counts as limited")
			}
			return
		}
	}
	t.Error("the limit has not ended within 5 s")
}
