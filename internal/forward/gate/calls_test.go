package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/internal/forward/dialect"
	"agateward/internal/forward/gate"
	"agateward/ward"
)

// faulty is a dialect that panics at one of its calls for the requests whose id begins with
// "bad".
type faulty struct {
	dialect.Native
	at string
}

func (f faulty) fail(at string, h http.Header) {
	if f.at == at && strings.HasPrefix(h.Get("Agateward-Request"), "bad") {
		panic("fault at " + at)
	}
}

func (f faulty) Head(h http.Header) (ward.ForwardHead, error) {
	f.fail("head", h)
	return f.Native.Head(h)
}

func (f faulty) Outgoing(h http.Header, hop ward.ForwardHop) http.Header {
	f.fail("outgoing", h)
	return f.Native.Outgoing(h, hop)
}

func (f faulty) Reply(status int, h http.Header) ward.ForwardReply {
	f.fail("reply", h)
	return f.Native.Reply(status, h)
}

// Guards against a request that ends without an answer and a line, and keeps its slot, as the
// code that serves it panicked.
func TestPanicEndsItsRequestAlone(t *testing.T) {
	for _, at := range []string{"head", "outgoing", "reply"} {
		t.Run(at, func(t *testing.T) {
			u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "fine") })
			var log logLines
			var g *gate.Gate
			s := newGateWith(t, func(made *gate.Gate) {
				g = made
				g.Dialect = faulty{at: at}
				log.collect(g)
			}, u)
			for i := range 10 { // more than the slots of the upstream
				id := fmt.Sprint("bad-", i)
				got := do(t, s, "POST", "/unsafe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", id) })
				if got.status != http.StatusInternalServerError {
					t.Errorf("status %d, %v; want 500", got.status, got.err)
				}
				if n := log.count(`"request-failed" "request"="` + id + `"`); n != 1 {
					t.Errorf("%d lines of the failed request", n)
				}
			}
			if got := do(t, s, "POST", "/unsafe/x", nil); got.status != http.StatusOK {
				t.Errorf("status %d, %v of the next request", got.status, got.err)
			}
			if read, ended := g.Counts(); read != 11 || ended != 11 || g.Running() != 0 {
				t.Errorf("%d requests read, %d ended, %d running", read, ended, g.Running())
			}
		})
	}
}

// Guards against an answer that looks complete though the code that wrote it panicked.
func TestPanicCutsTheBegunAnswer(t *testing.T) {
	serve := func(w io.Writer, r *http.Request, _ int64) bool { return events(w, r, 1, 2, false) }
	var log logLines
	replies := 0
	s := newGateWith(t, func(g *gate.Gate) {
		g.Dialect = failingReply{replies: &replies}
		log.collect(g)
	}, newUpstream(t, serve), newUpstream(t, serve))
	got := do(t, s, "POST", "/stream/x", nil)
	if got.err == nil || log.count(`"request-failed"`) != 1 || log.count(`"state"="answering"`) != 1 {
		t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
	}
}

// failingReply is a dialect that panics at its second reply.
type failingReply struct {
	dialect.Native
	replies *int
}

func (f failingReply) Reply(status int, h http.Header) ward.ForwardReply {
	if *f.replies++; *f.replies == 2 {
		panic("fault at the second reply")
	}
	return f.Native.Reply(status, h)
}

// Guards against requests that the end of the process leaves without a line that says in which
// state they were, and against a second line if they end after that.
func TestUnfinishedRequestsAreLogged(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		<-release
		return ok(w, r, "fine")
	})
	var log logLines
	var g *gate.Gate
	s := newGateWith(t, func(made *gate.Gate) {
		g = made
		log.collect(g)
	}, u)
	ended := make(chan answer, 1)
	go func() { ended <- do(t, s, "POST", "/unsafe/x", nil) }()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAgateward-Request: r2\r\nAuthorization: Bearer k1\r\nContent-Length: 9\r\n\r\nhalf")
	for log.count("request-dispatched") == 0 || g.Running() < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	g.LogUnfinished()
	for _, want := range []string{`"request-unfinished" "request"="r1" "state"="sent"`, `"request-unfinished" "request"="r2" "state"="reading-body"`} {
		if log.count(want) != 1 {
			t.Errorf("no line %s", want)
		}
	}
	close(release)
	if got := <-ended; got.status != http.StatusOK {
		t.Errorf("status %d, %v", got.status, got.err)
	}
	if log.count(`"request-answered"`) != 0 {
		t.Error("a second last line")
	}
}

// faultyRetry is a dialect that panics as it writes the retry delay of a refusal.
type faultyRetry struct{ dialect.Native }

func (faultyRetry) RetryAfter(time.Duration) string { panic("fault at the retry delay") }

// Guards against a panic that leaves no trace, as the last line of its request was written before
// it: the line then tells of another answer than the caller got.
func TestPanicAfterTheLastLineIsLogged(t *testing.T) {
	var log logLines
	s := newGateWith(t, func(g *gate.Gate) {
		g.Dialect = faultyRetry{}
		log.collect(g)
		g.Refuse()
	}, newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool { return ok(w, r, "fine") }))
	got := do(t, s, "POST", "/unsafe/x", nil)
	if n := log.count("fault at the retry delay"); n != 1 {
		t.Errorf("%d lines of the panic; the caller got %d, %v; %d lines of a refusal with 503", n, got.status, got.err, log.count(`"status"=503`))
	}
}
