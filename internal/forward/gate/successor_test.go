package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// streamRest writes the events 3 and 4 of a resumed stream.
func streamRest(w io.Writer, r *http.Request, _ int64) bool { return events(w, r, 3, 4, true) }

// Guards against an answer in hand that ends because its request moves to an upstream that
// does not go on with it: it is silent as well, rejects the request, fails, breaks off or answers with
// something else, while the first one only paused.
func TestSilentAnswerOutlivesItsSuccessor(t *testing.T) {
	const silent = 2300 * time.Millisecond
	head := "Agateward-Request: r1\r\n"
	write := func(text string) reply {
		return func(w io.Writer, _ *http.Request, _ int64) bool {
			io.WriteString(w, text)
			return false
		}
	}
	cases := []struct {
		name string
		next reply
	}{
		{"silent as well", func(io.Writer, *http.Request, int64) bool { time.Sleep(silent); return false }},
		{"rejects the request", write("HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")},
		{"fails", write("HTTP/1.1 500 E\r\n" + head + "Content-Length: 0\r\n\r\n")},
		{"breaks off", write("HTTP/1.1 200 OK\r\nAgatew")},
		{"answers another request", write("HTTP/1.1 200 OK\r\nAgateward-Request: r0\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: other\n\n")},
		{"is no stream", write("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/plain\r\nContent-Length: 1\r\n\r\nx")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			serve := func(w io.Writer, r *http.Request, n int64) bool {
				if sends.Add(1) == 1 {
					return falls(silent)(w, r, n)
				}
				return c.next(w, r, n)
			}
			s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
			wantWholeStream(t, s, &sends)
		})
	}
}

// wantWholeStream checks that a stream is whole after two sends.
func wantWholeStream(t *testing.T, s *httptest.Server, sends *atomic.Int64) {
	t.Helper()
	got := do(t, s, "POST", "/stream/x", nil)
	if got.status != 200 || got.body != pieces(1, 4) || got.err != nil {
		t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
	}
	if n := sends.Load(); n != 2 {
		t.Errorf("the request was sent %d times, want twice", n)
	}
}

// Guards against a stream that ends with its upstream while another one is about to go on
// with it, as the send to that one was given up.
func TestSuccessorGoesOnAfterTheEnd(t *testing.T) {
	cases := []struct {
		name   string
		silent time.Duration
		delay  time.Duration
	}{
		{"the upstream ends before the successor begins", 1750 * time.Millisecond, 350 * time.Millisecond},
		{"the successor begins first", 2500 * time.Millisecond, 50 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			serve := func(w io.Writer, r *http.Request, n int64) bool {
				if sends.Add(1) > 1 {
					time.Sleep(c.delay)
					return streamRest(w, r, n)
				}
				events(w, r, 1, 2, false)
				time.Sleep(c.silent)
				return false
			}
			s := newGate(t, newUpstream(t, serve), newUpstream(t, serve))
			wantWholeStream(t, s, &sends)
			checkNoExchange(t, s)
		})
	}
}

// Guards against 502 for a plain request whose upstream answers others first: the request
// was given up before another upstream had begun to answer it.
func TestSlowAnswerIsNotGivenUp(t *testing.T) {
	busy := func(w io.Writer, r *http.Request, _ int64) bool {
		switch r.URL.Path {
		case "/safe/slow":
			time.Sleep(900 * time.Millisecond)
		case "/safe/other":
			time.Sleep(30 * time.Millisecond)
		}
		return ok(w, r, "fine")
	}
	var sends atomic.Int64
	first := func(w io.Writer, r *http.Request, n int64) bool {
		if r.URL.Path == "/safe/slow" && sends.Add(1) > 1 {
			fmt.Fprint(w, "HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return busy(w, r, n)
	}
	s := newGate(t, newUpstream(t, first), newUpstream(t, first))
	end := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 { // so that both upstreams answer others all the while
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
					do(t, s, "POST", "/safe/other", func(r *http.Request) { r.Header.Set("Agateward-Request", fmt.Sprint("other-", i, "-", n)) })
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	got := do(t, s, "POST", "/safe/slow", nil)
	close(end)
	wg.Wait()
	if got.status != 200 || got.body != "fine" || got.err != nil {
		t.Errorf("status %d, body %q, %v; want the answer", got.status, got.body, got.err)
	}
	if sends.Load() != 2 {
		t.Errorf("%d sends, want 2", sends.Load())
	}
}

// Guards against a refusal that says that a request has not run, as its silent upstream says so
// in the end, while the upstream that got it meanwhile may have run it.
func TestRefusalAfterASendBesideIsTruthful(t *testing.T) {
	const notRun = "HTTP/1.1 503 Full\r\nAgateward-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name   string
		beside reply
		want   int
	}{
		{"the other one runs it", func(io.Writer, *http.Request, int64) bool { time.Sleep(3 * time.Second); return false }, http.StatusBadGateway},
		{"the other one rejects it", func(w io.Writer, _ *http.Request, _ int64) bool { io.WriteString(w, notRun); return false }, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			serve := func(w io.Writer, r *http.Request, n int64) bool {
				if sends.Add(1) > 1 {
					return c.beside(w, r, n)
				}
				time.Sleep(2600 * time.Millisecond)
				io.WriteString(w, notRun)
				return false
			}
			got := do(t, newGate(t, newUpstream(t, serve), newUpstream(t, serve)), "POST", "/stream/x", nil)
			if got.status != c.want || sends.Load() != 2 {
				t.Errorf("status %d, %v, %d sends; want %d after two", got.status, got.err, sends.Load(), c.want)
			}
		})
	}
}
