package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/gate"
	"agateward/internal/forward/retry"
)

// noRetries leaves no retry to the gate.
func noRetries(s *gate.Setup) { s.Retries = retry.Budget{Window: time.Second, Entries: 1} }

// pieces returns the events from first to last as an upstream sends them.
func pieces(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// falls writes a whole answer with a pause of silent: within a stream after two of four
// events, before the answer to other requests.
func falls(silent time.Duration) reply {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			time.Sleep(silent)
			return ok(w, r, "fine")
		}
		events(w, r, 1, 2, false)
		time.Sleep(silent)
		for id := 3; id <= 4; id++ {
			e := pieces(id, id)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return true
	}
}

// Guards against answers in hand that end because a sound upstream falls silent for a
// second or so, and no other upstream can take the request over: no retry is left, or
// there is no free slot.
func TestSilenceEndsNoAnswerInHand(t *testing.T) {
	const silent = 1500 * time.Millisecond
	cases := []struct {
		name, path, body string
		silent           time.Duration
		change           func(*gate.Setup)
		upstreams        int
	}{
		{"stream, no retry left", "/stream/x", pieces(1, 4), silent, noRetries, 2},
		{"stream, no other upstream", "/stream/x", pieces(1, 4), silent, nil, 1},
		{"plain, no retry left", "/safe/x", "fine", silent, noRetries, 2},
		{"plain, no other upstream", "/safe/x", "fine", silent, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var list []*upstream
			for range c.upstreams {
				list = append(list, newUpstream(t, falls(c.silent)))
			}
			s := newGateSetup(t, nil, c.change, list...)
			if got := do(t, s, "POST", c.path, nil); got.status != 200 || got.body != c.body || got.err != nil {
				t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
			}
			var runs int64
			for _, u := range list {
				runs += u.runs.Load()
			}
			if runs != 1 {
				t.Errorf("the request was sent %d times, want once", runs)
			}
		})
	}
}

// Guards against answers in hand that end because the upstream that took the request
// over rejects it, though the first one falls silent only for a second or so. The
// callers of the brief route leave after two seconds.
func TestSilenceOfASecondMovesNoStream(t *testing.T) { silenceMovesNoStream(t, "/stream/x") }

func TestSilenceOfASecondMovesNoBriefStream(t *testing.T) { silenceMovesNoStream(t, "/stream/brief/x") }

// Guards against 502 for requests that have no part of their answer yet, because their
// upstream falls silent to all for a second or so and the next one rejects them.
func TestSilenceOfASecondMovesNoUnbegunStream(t *testing.T) {
	first := func(w io.Writer, r *http.Request, _ int64) bool {
		time.Sleep(1500 * time.Millisecond)
		return events(w, r, 1, 4, true)
	}
	moveNoStream(t, "/stream/x", first)
}

func silenceMovesNoStream(t *testing.T, path string) {
	moveNoStream(t, path, falls(1500*time.Millisecond))
}

// moveNoStream has first serve the first request of a stream, and every other one
// rejected.
func moveNoStream(t *testing.T, path string, first reply) {
	full := func(w io.Writer, _ *http.Request, _ int64) bool {
		fmt.Fprint(w, "HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	var sends atomic.Int64
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		if sends.Add(1) == 1 {
			return first(w, r, 1)
		}
		return full(w, r, 1)
	}
	s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
	got := do(t, s, "POST", path, nil)
	if got.status != 200 || got.body != pieces(1, 4) || got.err != nil {
		t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
	}
}

// Guards against a caller that reads slowly being taken for an upstream that is silent:
// its answer went to another upstream, or ended.
func TestSlowCallerIsNoSilence(t *testing.T) {
	const events, size = 40, 256 << 10
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Agateward-Request"))
		for id := 1; id <= events; id++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", size))
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return true
	}
	list := []*upstream{newUpstream(t, serve), newUpstream(t, serve)}
	s := newGate(t, list...)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /stream/x HTTP/1.1\r\nHost: h\r\nAgateward-Request: r1\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	time.Sleep(1800 * time.Millisecond)
	b, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(b), "0\r\n\r\n") || strings.Count(string(b), "data: ") != events {
		t.Errorf("%d events, end %q, %v; want %d events and the end", strings.Count(string(b), "data: "), b[max(0, len(b)-9):], err, events)
	}
	if n := list[0].runs.Load() + list[1].runs.Load(); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// Guards against a plain answer that arrives slowly but steadily being taken for
// silence: it was given up with part of its body read, and the caller got a failure if
// the next upstream rejected the request.
func TestSlowBodyIsNoSilence(t *testing.T) {
	const body = "a slow body that never pauses for long"
	var sends atomic.Int64
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		if sends.Add(1) > 1 {
			fmt.Fprint(w, "HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Agateward-Request"), len(body))
		for i := range body {
			time.Sleep(30 * time.Millisecond)
			io.WriteString(w, body[i:i+1])
		}
		return true
	}
	s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
	if got := do(t, s, "POST", "/safe/x", nil); got.status != 200 || got.body != body || got.err != nil {
		t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
	}
	if n := sends.Load(); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// slowWriter is a caller that takes a second to read a body.
type slowWriter struct{ *httptest.ResponseRecorder }

func (w slowWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Second)
	return w.ResponseRecorder.Write(b)
}

// Guards against a caller that reads a plain answer slowly using up a retry and a slot
// of another upstream: a request whose upstream broke off then got no second attempt.
func TestSlowCallerUsesNoRetry(t *testing.T) {
	var cuts atomic.Int64
	serve := func(w io.Writer, r *http.Request, _ int64) bool {
		if r.URL.Path == "/safe/cut" && cuts.Add(1) == 1 {
			return false
		}
		return ok(w, r, "fine")
	}
	oneRetry := func(s *gate.Setup) { s.Retries = retry.Budget{Slack: 2, Window: time.Minute, Entries: 1} }
	s := newGateSetup(t, nil, oneRetry, newUpstream(t, serve), newUpstream(t, serve))
	r := httptest.NewRequest(http.MethodPost, "http://h/safe/x", nil)
	r.Header.Set("Agateward-Request", "r1")
	r.Header.Set("Authorization", "Bearer k1")
	w := slowWriter{httptest.NewRecorder()}
	s.Config.Handler.ServeHTTP(w, r)
	if w.Code != 200 || w.Body.String() != "fine" {
		t.Errorf("slow caller: status %d, body %q", w.Code, w.Body)
	}
	if got := do(t, s, "POST", "/safe/cut", nil); got.status != 200 || got.body != "fine" {
		t.Errorf("status %d, body %q, %v; want a second attempt", got.status, got.body, got.err)
	}
}

// Guards against an answer in hand that ends because its request moves to an upstream
// that can't be reached.
func TestRequestMovesToNoUnreachableUpstream(t *testing.T) {
	var list [2]*upstream
	serve := func(other int) reply {
		return func(w io.Writer, r *http.Request, n int64) bool {
			list[other].Close()
			return falls(2200*time.Millisecond)(w, r, n)
		}
	}
	list[0], list[1] = newUpstream(t, serve(1)), newUpstream(t, serve(0))
	s := newGate(t, list[:]...)
	got := do(t, s, "POST", "/stream/x", nil)
	if got.status != 200 || got.body != pieces(1, 4) || got.err != nil {
		t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
	}
}
