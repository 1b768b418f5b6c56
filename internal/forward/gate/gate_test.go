package gate_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/dialect"
	"agateward/internal/forward/gate"
	"agateward/internal/forward/retry"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/static"
	"agateward/internal/forward/view"

	"github.com/go-logr/logr"
)

const routes = `{"version": 4,
  "services": [{"name": "s"}],
  "routes": [
    {"name": "safe", "host": "h", "prefix": "/safe/", "kind": "safe", "timeout": "2s", "target-latency": "200ms", "attempts": 2, "split": [{"service": "s", "weight": 1}]},
    {"name": "short", "host": "h", "prefix": "/safe/short/", "kind": "safe", "timeout": "150ms", "target-latency": "100ms", "attempts": 1, "split": [{"service": "s", "weight": 1}]},
    {"name": "unsafe", "host": "h", "prefix": "/unsafe/", "kind": "unsafe", "timeout": "2s", "target-latency": "200ms", "attempts": 3, "split": [{"service": "s", "weight": 1}]},
    {"name": "stream", "host": "h", "prefix": "/stream/", "kind": "stream", "timeout": "3s", "target-latency": "500ms", "max-gap": "400ms", "attempts": 2, "resumable": true, "split": [{"service": "s", "weight": 1}]},
    {"name": "brief", "host": "h", "prefix": "/stream/brief/", "kind": "stream", "timeout": "3s", "target-latency": "500ms", "attempts": 2, "resumable": true, "split": [{"service": "s", "weight": 1}]},
    {"name": "once", "host": "h", "prefix": "/once/", "kind": "stream", "timeout": "3s", "target-latency": "500ms", "attempts": 2, "split": [{"service": "s", "weight": 1}]},
    {"name": "untimed", "host": "h", "prefix": "/unsafe/untimed/", "kind": "unsafe", "target-latency": "200ms", "attempts": 3, "split": [{"service": "s", "weight": 1}]},
    {"name": "stream-untimed", "host": "h", "prefix": "/stream/untimed/", "kind": "stream", "target-latency": "500ms", "max-gap": "400ms", "attempts": 2, "resumable": true, "split": [{"service": "s", "weight": 1}]},
    {"name": "once-untimed", "host": "h", "prefix": "/once/untimed/", "kind": "stream", "target-latency": "500ms", "attempts": 2, "split": [{"service": "s", "weight": 1}]}
  ],
  "teams": [{"name": "guests", "keys": ["k1", "k2"]}],
  "upstreams": [%s]}`

func newGate(t *testing.T, upstreams ...*upstream) *httptest.Server {
	return newGateWith(t, nil, upstreams...)
}

// newGateWith returns a gate that change, if not nil, has changed before its start.
func newGateWith(t *testing.T, change func(g *gate.Gate), upstreams ...*upstream) *httptest.Server {
	return newGateSetup(t, change, nil, upstreams...)
}

// newGateSetup also lets adjust, if not nil, change the gate's setup.
func newGateSetup(t *testing.T, change func(g *gate.Gate), adjust func(s *gate.Setup), upstreams ...*upstream) *httptest.Server {
	var list []string
	for i, u := range upstreams {
		list = append(list, fmt.Sprintf(`{"id": "u%d", "service": "s", "version": "v1", "data-centre": "a", "address": %q, "slots": 4}`, i+1, u.Addr()))
	}
	src, err := static.Parse("routes.jsonc", []byte(fmt.Sprintf(routes, strings.Join(list, ","))))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate.Gate{
		Dialect: dialect.Native{}, Pool: &backend.Pool{}, Log: logr.Discard(), MaxBody: 1 << 20, Start: 1,
		SendGrant: func(schedule.Action) {}, TriggerBroadcast: func() {},
	}
	if change != nil {
		change(g)
	}
	changed := make(chan struct{}, 8)
	g.View = &view.View{Source: src.Feed(), Log: logr.Discard(), Changed: func() { g.Refresh(); changed <- struct{}{} }}
	setup := gate.Setup{Name: "entry-1", DataCentre: "a", Retries: retry.Budget{Ratio: 1, Slack: 100, Window: time.Second, Entries: 1}}
	if adjust != nil {
		adjust(&setup)
	}
	g.Prepare(setup)
	ctx := t.Context()
	go g.View.Run(ctx)
	go g.Run(ctx)
	for !g.View.Ready() {
		<-changed
	}
	g.Refresh()
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return server
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request to s, and returns the answer. Close of any httptest.Server breaks
// requests of the default client, so the client is that of s.
func do(t *testing.T, s *httptest.Server, method, path string, change func(r *http.Request)) answer {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(strings.Repeat("b", 100)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Agateward-Request", "r1")
	r.Header.Set("Authorization", "Bearer k1")
	if change != nil {
		change(r)
	}
	res, err := s.Client().Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, string(b), err}
}

// TestRetries injects each kind of upstream failure, and checks how often the request
// was sent and which status the caller got.
func TestRetries(t *testing.T) {
	cut := func(io.Writer, *http.Request, int64) bool { return false }
	notRun := func(w io.Writer, _ *http.Request, _ int64) bool {
		fmt.Fprint(w, "HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	moved := func(w io.Writer, _ *http.Request, _ int64) bool {
		fmt.Fprint(w, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	failed := func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 500 No\r\nAgateward-Request: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("Agateward-Request"))
		return true
	}
	truncated := func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 30\r\n\r\nhalf", r.Header.Get("Agateward-Request"))
		return false
	}
	misdelivered := func(w io.Writer, _ *http.Request, _ int64) bool {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nAgateward-Request: r0\r\nContent-Length: 5\r\n\r\nother")
		return true
	}
	garbage := func(w io.Writer, _ *http.Request, _ int64) bool { fmt.Fprint(w, "what?\r\n\r\n"); return false }
	encoded := func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx", r.Header.Get("Agateward-Request"))
		return true
	}
	first := func(f reply) reply {
		return func(w io.Writer, r *http.Request, n int64) bool {
			if n == 1 {
				return f(w, r, n)
			}
			return ok(w, r, "fine")
		}
	}
	cases := []struct {
		name, path string
		bad        reply
		status     int
		runs       int64
	}{
		{"safe, cut", "/safe/x", cut, 200, 2},
		{"safe, not run", "/safe/x", notRun, 200, 2},
		{"safe, another upstream at the address", "/safe/x", moved, 200, 2},
		{"safe, failure", "/safe/x", failed, 200, 2},
		{"safe, half an answer", "/safe/x", truncated, 200, 2},
		{"safe, the answer to another request", "/safe/x", misdelivered, 200, 2},
		{"safe, no answer of the protocol", "/safe/x", garbage, 200, 2},
		{"safe, encoded on the way", "/safe/x", encoded, 200, 2},
		{"unsafe, cut", "/unsafe/x", cut, 502, 1},
		{"unsafe, not run", "/unsafe/x", notRun, 200, 2},
		{"unsafe, another upstream at the address", "/unsafe/x", moved, 200, 2},
		{"unsafe, failure", "/unsafe/x", failed, 500, 1},
		{"unsafe, half an answer", "/unsafe/x", truncated, 502, 1},
		{"unsafe, the answer to another request", "/unsafe/x", misdelivered, 502, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// Both upstreams share the counter, so that the first request fails.
			var n atomic.Int64
			f := first(c.bad)
			serve := func(w io.Writer, r *http.Request, _ int64) bool { return f(w, r, n.Add(1)) }
			s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
			got := do(t, s, "POST", c.path, nil)
			if got.status != c.status || got.err != nil {
				t.Errorf("status %d, %v; want %d", got.status, got.err, c.status)
			}
			if n.Load() != c.runs {
				t.Errorf("%d sends, want %d", n.Load(), c.runs)
			}
			if got.status == 200 && (got.body != "fine" || got.header.Get("Agateward-Request") != "r1") {
				t.Errorf("answer %q of %q", got.body, got.header.Get("Agateward-Request"))
			}
		})
	}
}

// TestUnavailableOnlyIfNotRun checks that 503 is sent only for a request that did not
// run.
func TestUnavailableOnlyIfNotRun(t *testing.T) {
	s := newGate(t)
	if got := do(t, s, "POST", "/unsafe/x", nil); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("without upstreams: %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	s = newGate(t, newClosedUpstream(t))
	if got := do(t, s, "POST", "/unsafe/x", nil); got.status != 503 {
		t.Errorf("no listener: %d, want 503", got.status)
	}
	slow := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		time.Sleep(time.Second)
		return ok(w, r, "late")
	})
	s = newGate(t, slow)
	start := time.Now()
	got := do(t, s, "POST", "/safe/short/x", nil)
	if got.status != 504 {
		t.Errorf("after the route's timeout: %d, want 504", got.status)
	}
	if d := time.Since(start); d > 800*time.Millisecond {
		t.Errorf("answered after %v, the route's timeout is 150ms", d)
	}
}

// TestUnreachableUpstreamIsNamed has a closed port as the only upstream: the caller is
// told that it can't be reached, and when to come back in whole seconds; at once if
// the request itself found out, else once it has waited for the upstream's return.
func TestUnreachableUpstreamIsNamed(t *testing.T) {
	s := newGate(t, newClosedUpstream(t))
	tests := []struct {
		path string
		most time.Duration
	}{{"/safe/x", time.Second}, {"/unsafe/x", 2500 * time.Millisecond}, {"/stream/x", time.Second}}
	for _, tt := range tests {
		path := tt.path
		begin := time.Now()
		got := do(t, s, "POST", path, nil)
		if got.status != 503 || !strings.Contains(got.body, "upstream-unreachable") {
			t.Errorf("%s: %d %q, want 503 upstream-unreachable", path, got.status, got.body)
		}
		if seconds, err := strconv.Atoi(got.header.Get("Retry-After")); err != nil || seconds < 1 {
			t.Errorf("%s: Retry-After %q is no whole number of seconds", path, got.header.Get("Retry-After"))
		}
		if held := time.Since(begin); held > tt.most {
			t.Errorf("%s: answered after %v", path, held)
		}
	}
}

func TestKeysAndRoutes(t *testing.T) {
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "fine") })
	s := newGate(t, u)
	cases := []struct {
		name   string
		path   string
		change func(r *http.Request)
		status int
	}{
		{"known key", "/safe/x", nil, 200},
		{"unknown key", "/safe/x", func(r *http.Request) { r.Header.Set("Authorization", "Bearer k3") }, 401},
		{"no key", "/safe/x", func(r *http.Request) { r.Header.Del("Authorization") }, 401},
		{"unknown path", "/other/x", nil, 404},
		{"unknown host", "/safe/x", func(r *http.Request) { r.Host = "g" }, 404},
		{"bad timeout", "/safe/x", func(r *http.Request) { r.Header.Set("Agateward-Timeout", "soon") }, 400},
		{"large body", "/safe/x", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
			r.ContentLength = 2 << 20
		}, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := do(t, s, "POST", c.path, c.change); got.status != c.status {
				t.Errorf("status %d, want %d", got.status, c.status)
			}
		})
	}
	do(t, s, "POST", "/safe/x?q=%2F%20a", func(r *http.Request) { r.Header.Set("Agateward-Team", "hosts") })
	u.mu.Lock()
	last := u.seen[len(u.seen)-1]
	u.mu.Unlock()
	if last.RequestURI != "/safe/x?q=%2F%20a" || last.Header.Get("Agateward-Team") != "guests" || last.Header.Get("Authorization") != "" {
		t.Errorf("the upstream got %q, team %q, authorization %q", last.RequestURI, last.Header.Get("Agateward-Team"), last.Header.Get("Authorization"))
	}
}

// TestExtraAnswerIsDiscarded checks that after an upstream sent a second answer on a
// keep-alive connection the next request still gets its own answer. The extra answer
// arrives at a fixed point: with the first one, which leaves it in the read buffer, or
// while the connection is idle, which leaves it in the socket.
func TestExtraAnswerIsDiscarded(t *testing.T) {
	cases := []struct {
		name string
		idle bool
	}{
		{"in one write with the first answer", false},
		{"while the connection is idle", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answered, extra := make(chan struct{}), make(chan struct{})
			u := newUpstream(t, func(w io.Writer, r *http.Request, n int64) bool {
				var b bytes.Buffer
				ok(&b, r, fmt.Sprint("own ", n))
				if n == 1 && c.idle {
					w.Write(b.Bytes())
					b.Reset()
					<-answered
				}
				if n == 1 {
					ok(&b, r, "again")
				}
				w.Write(b.Bytes())
				if n == 1 {
					close(extra)
				}
				return true
			})
			s := newGate(t, u)
			for n, id := range []string{"r1", "r2", "r3"} {
				got := do(t, s, "POST", "/unsafe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", id) })
				if got.status != 200 || got.body != fmt.Sprint("own ", n+1) || got.header.Get("Agateward-Request") != id {
					t.Errorf("request %s: %d %q of %q", id, got.status, got.body, got.header.Get("Agateward-Request"))
				}
				if n == 0 {
					close(answered)
					select {
					case <-extra:
					case <-time.After(5 * time.Second):
						t.Fatal("the upstream did not send the extra answer")
					}
				}
			}
		})
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	disconnected := make(chan struct{})
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		events(w, r, 1, 2, false)
		c := w.(net.Conn)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			close(disconnected)
		}
		return false
	})
	s := newGate(t, u)
	r, _ := http.NewRequest(http.MethodPost, s.URL+"/once/x", nil)
	r.Host = "h"
	r.Header.Set("Agateward-Request", "r1")
	r.Header.Set("Authorization", "Bearer k2")
	res, err := s.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	select {
	case <-disconnected:
	case <-time.After(5 * time.Second):
		t.Error("the upstream still works for a caller that has left")
	}
}
