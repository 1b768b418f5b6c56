package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"agateward/internal/forward/gate"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
)

// pause writes an answer 503 that asks for a pause; it states that the request did not
// run if notRun is set.
func pause(retryAfter string, notRun bool) reply {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		statement{status: 503, id: r.Header.Get("Agateward-Request"), notRun: notRun, retryAfter: retryAfter}.write(w)
		return true
	}
}

// Guards against requests to an upstream that asked for a pause while another one is
// there, and against callers waiting for it.
func TestPausedUpstreamIsAvoided(t *testing.T) {
	cases := []struct {
		name, retryAfter string
		notRun           bool
	}{
		{"not run", "5", true},
		{"no statement about the run", "5", false},
		{"absurd", "1e12", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// More requests than one upstream has slots press on both.
			list, first := stating(t, 60*time.Millisecond, pause(c.retryAfter, c.notRun))
			set := metrics.NewSet()
			s := newGateWith(t, func(g *gate.Gate) { g.Metrics = &gate.Metrics{Set: set} }, list[0], list[1])
			if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 {
				t.Errorf("the request that was turned away: status %d, %v", got.status, got.err)
			}
			time.Sleep(110 * time.Millisecond) // an upstream that rejected a request is otherwise tried again after 100 ms
			var wg sync.WaitGroup
			for range 7 {
				wg.Go(func() {
					if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 {
						t.Errorf("status %d, %v", got.status, got.err)
					}
				})
			}
			wg.Wait()
			if n := list[first.Load()].runs.Load(); n > 1 {
				t.Errorf("%d requests in the pause", n-1)
			}
			if !counter(set, "agateward_forward_upstream_pauses_total 1") {
				t.Error("the pause is not counted")
			}
		})
	}
}

// Guards against sends to the only upstream in its pause, and against callers that are
// told to return before its end.
func TestOnlyUpstreamPauses(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/safe/short/x"} {
		t.Run(path, func(t *testing.T) {
			u := newUpstream(t, pause("6", true))
			s := newGate(t, u)
			for i := range 3 {
				got := do(t, s, "POST", path, func(r *http.Request) { r.Header.Set("Agateward-Request", fmt.Sprint("r", i)) })
				after, err := strconv.Atoi(got.header.Get("Retry-After"))
				if got.status != 503 || err != nil || after < 6 || after > 10 {
					t.Errorf("status %d, Retry-After %q (%v); want 503 and 6 s to 10 s", got.status, got.header.Get("Retry-After"), got.err)
				}
			}
			if n := u.runs.Load(); n != 1 {
				t.Errorf("%d sends, want 1", n)
			}
		})
	}
}

// Guards against refusing a request whose time allows it to wait for the end of the
// pause, and against sending it before.
func TestRequestWaitsForEndOfPause(t *testing.T) {
	var mu sync.Mutex
	var at []time.Time
	u := newUpstream(t, func(w io.Writer, r *http.Request, n int64) bool {
		mu.Lock()
		at = append(at, time.Now())
		mu.Unlock()
		if n == 1 {
			return pause("0.3", true)(w, r, n)
		}
		return ok(w, r, "fine")
	})
	s := newGate(t, u)
	if got := do(t, s, "POST", "/safe/x", nil); got.status != 503 {
		t.Errorf("the request that was turned away: status %d, %v", got.status, got.err)
	}
	if got := do(t, s, "POST", "/safe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", "r2") }); got.status != 200 {
		t.Errorf("the request that can wait: status %d, %v", got.status, got.err)
	}
	if len(at) != 2 || at[1].Sub(at[0]) < 300*time.Millisecond {
		t.Errorf("requests at %v, want the second 0.3 s after the first or later", at)
	}
}

// Guards against a log that an upstream fills with invalid values, and against a negative
// value that keeps requests away.
func TestInvalidRetryAfterIsLoggedOnce(t *testing.T) {
	u := newUpstream(t, pause("-3", true))
	var mu sync.Mutex
	logged := 0
	s := newGateWith(t, func(g *gate.Gate) {
		g.Log = funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(args, "retry-after-invalid") && strings.Contains(args, `"value"="-3"`) {
				logged++
			}
		}, funcr.Options{})
	}, u)
	for i := range 3 {
		do(t, s, "POST", "/unsafe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", fmt.Sprint("r", i)) })
	}
	if n := u.runs.Load(); n != 3 {
		t.Errorf("%d requests were sent, want 3", n)
	}
	mu.Lock()
	defer mu.Unlock()
	if logged != 1 {
		t.Errorf("logged %d times, want once", logged)
	}
}
