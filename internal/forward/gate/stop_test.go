package gate_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/gate"
	"agateward/internal/forward/relay"
	"agateward/internal/forward/shutdown"
)

// Guards against requests that are cut at the exit of an entry to which another one passed
// them on: it began requests after its stop, and its relay listener closed under them.
func TestStoppingEntryTakesNoRelayedRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "fine") })
			var g *gate.Gate
			newGateWith(t, func(made *gate.Gate) { g = made }, u)
			g.Stop(shutdown.Shutdown{Begin: time.Now(), Grace: time.Minute})
			r := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
			r.Header.Set("Agateward-Request", "r1")
			r.Header.Set("Authorization", "Bearer k1")
			e := relay.Envelope{From: "entry-2", LastEvent: -1}
			r.Header = e.Wrap(r.Header)
			w := httptest.NewRecorder()
			g.ServeRelayed(w, r)
			if w.Code != http.StatusServiceUnavailable || w.Header().Get(relay.FieldRefused) == "" || u.runs.Load() != 0 {
				t.Errorf("status %d, refusal %q, %d runs; want a refusal as not run", w.Code, w.Header().Get(relay.FieldRefused), u.runs.Load())
			}
		})
	}
}

// Guards against a request that begins after the decision to exit, and is cut a moment later, and
// against one that began before it and is not finished.
func TestRequestsAfterTheDecisionToExitAreRefused(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int64
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		runs.Add(1)
		<-release
		return ok(w, r, "fine")
	})
	var g *gate.Gate
	s := newGateWith(t, func(made *gate.Gate) { g = made }, u)
	first := make(chan answer, 1)
	go func() { first <- do(t, s, "POST", "/unsafe/x", nil) }()
	for runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Refuse()
	if got := do(t, s, "POST", "/unsafe/x", nil); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q after the decision", got.status, got.header.Get("Retry-After"))
	}
	close(release)
	if got := <-first; got.status != http.StatusOK || runs.Load() != 1 {
		t.Errorf("status %d of the request before it, %d runs", got.status, runs.Load())
	}
}
