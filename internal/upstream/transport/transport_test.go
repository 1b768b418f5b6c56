package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"agateward/internal/result/code"
	"agateward/ward"
)

// fakeNetwork connects each dial by a pipe to a server that answers complete
// requests. While armed, each connection passes only budget bytes and then fails.
type fakeNetwork struct {
	mu              sync.Mutex
	refuse          bool // dials fail
	budget          int  // bytes that pass of the request under test; -1: all
	armed           bool // the request under test has begun
	reached         int  // connections that passed a byte of the request under test
	requests        int  // complete requests that the server read
	answer          string
	closeUnanswered bool // the server closes the connection instead of answering
}

func (w *fakeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuse {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go w.serve(server)
	return &limitedConn{Conn: client, network: w}, nil
}

func (w *fakeNetwork) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		w.mu.Lock()
		w.requests++
		closeUnanswered := w.closeUnanswered
		w.mu.Unlock()
		if closeUnanswered {
			return
		}
		fmt.Fprintf(c, w.answer, req.Header.Get("Agateward-Request"))
	}
}

type limitedConn struct {
	net.Conn
	network *fakeNetwork
	passed  int
}

func (l *limitedConn) Write(p []byte) (int, error) {
	w := l.network
	w.mu.Lock()
	if !w.armed || w.budget < 0 {
		w.mu.Unlock()
		return l.Conn.Write(p)
	}
	remaining := max(0, w.budget-l.passed)
	if remaining > 0 && l.passed == 0 {
		w.reached++
	}
	w.mu.Unlock()
	n := min(remaining, len(p))
	l.passed += n
	if n > 0 {
		_, _ = l.Conn.Write(p[:n])
	}
	if n < len(p) {
		l.Close()
		return n, errors.New("connection reset")
	}
	return n, nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nAgateward-Request: %s\r\nContent-Length: 2\r\n\r\nok"

func calls() []Call {
	return []Call{
		{Address: "1.2.3.4:5", ID: "a", Method: "POST", Path: "/book", Body: []byte("seats=2"), Resume: NoResume},
		{Address: "1.2.3.4:5", ID: "a", Method: "POST", Path: "/book", Body: []byte("seats=2"), Resume: NoResume, IdempotencyKey: "k"},
		{Address: "1.2.3.4:5", ID: "a", Method: "POST", Path: "/book", Resume: NoResume, IdempotencyKey: "k"},
		{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/free?day=3", Resume: NoResume},
	}
}

// TestEachByteBoundary fails a connection after each possible number of bytes,
// on a new and on a reused connection. The request may reach at most one
// connection, and the error may be ErrNotConnected only if it reached none.
func TestEachByteBoundary(t *testing.T) {
	const longest = 220
	for i, call := range calls() {
		for _, reused := range []bool{false, true} {
			for budget := 0; budget < longest; budget++ {
				name := fmt.Sprintf("call %d reused %v budget %d", i, reused, budget)
				w := &fakeNetwork{budget: budget, answer: okAnswer}
				tr := &Transport{Dial: w.dial}
				if reused {
					exchange(t, tr, call)
				}
				w.mu.Lock()
				w.armed = true
				w.requests = 0
				w.mu.Unlock()
				reply, err := tr.Send(context.Background(), call)
				if err == nil {
					_ = reply.Close()
				}
				tr.CloseIdle()
				w.mu.Lock()
				if w.reached > 1 || w.requests > 1 {
					t.Fatalf("%s: reached %d connections, %d complete requests", name, w.reached, w.requests)
				}
				if errors.Is(err, ward.ErrNotConnected) && w.reached > 0 {
					t.Fatalf("%s: ErrNotConnected after a byte was sent", name)
				}
				if err == nil && w.requests != 1 {
					t.Fatalf("%s: an answer without a request", name)
				}
				w.mu.Unlock()
			}
		}
	}
}

// TestPathDoesNotChangeHost sends a path that starts like a host to the address.
func TestPathDoesNotChangeHost(t *testing.T) {
	w := &fakeNetwork{budget: -1, answer: okAnswer}
	exchange(t, &Transport{Dial: w.dial}, Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "//other/x?y=/../z", Resume: NoResume})
}

func exchange(t *testing.T, tr *Transport, c Call) {
	t.Helper()
	reply, err := tr.Send(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(reply); err != nil || string(b) != "ok" {
		t.Fatalf("read %q, %v", b, err)
	}
	_ = reply.Close()
}

// TestClosedReusedConnection lets the server read a request on a reused
// connection and close it without an answer, where net/http would resend it.
func TestClosedReusedConnection(t *testing.T) {
	for i, call := range calls() {
		w := &fakeNetwork{budget: -1, answer: okAnswer}
		tr := &Transport{Dial: w.dial}
		exchange(t, tr, call)
		w.mu.Lock()
		w.closeUnanswered = true
		w.requests = 0
		w.mu.Unlock()
		_, err := tr.Send(context.Background(), call)
		if !code.UpstreamFailed.Is(err) || errors.Is(err, ward.ErrNotConnected) {
			t.Errorf("call %d: got %v", i, err)
		}
		w.mu.Lock()
		if w.requests != 1 {
			t.Errorf("call %d: the server read %d requests, want 1", i, w.requests)
		}
		w.mu.Unlock()
	}
}

func TestSendErrors(t *testing.T) {
	cases := []struct {
		name    string
		network *fakeNetwork
		path    string
		want    code.Code
		notSent bool
	}{
		{"dial refused", &fakeNetwork{refuse: true}, "/x", code.UpstreamUnreachable, true},
		{"another URL", &fakeNetwork{refuse: true}, "http://other/x", code.UnknownRoute, false},
		{"another host", &fakeNetwork{refuse: true}, "@other/x", code.UnknownRoute, false},
		{"bad escape", &fakeNetwork{refuse: true}, "/x%zz", code.UnknownRoute, false},
		{"another id", &fakeNetwork{budget: -1, answer: strings.Replace(okAnswer, "%s", "b%.0s", 1)}, "/x", code.AnswerMismatch, false},
		{"no id", &fakeNetwork{budget: -1, answer: "HTTP/1.1 200 OK\r\nContent-Length: 2%.0s\r\n\r\nok"}, "/x", code.AnswerMismatch, false},
		{"status 000", &fakeNetwork{budget: -1, answer: strings.Replace(okAnswer, "200 OK", "000 Trouble", 1)}, "/x", code.UpstreamFailed, false},
		{"status 600", &fakeNetwork{budget: -1, answer: strings.Replace(okAnswer, "200 OK", "600 Trouble", 1)}, "/x", code.UpstreamFailed, false},
		{"protocol switch", &fakeNetwork{budget: -1, answer: strings.Replace(okAnswer, "200 OK", "101 Switching Protocols", 1)}, "/x", code.UpstreamFailed, false},
		{"no HTTP", &fakeNetwork{budget: -1, answer: "%s hello\r\n\r\n"}, "/x", code.UpstreamFailed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := &Transport{Dial: c.network.dial}
			_, err := tr.Send(context.Background(), Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: c.path, Resume: NoResume})
			if !c.want.Is(err) {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if got := errors.Is(err, ward.ErrNotConnected); got != c.notSent {
				t.Errorf("not connected: %v, want %v", got, c.notSent)
			}
			if c.network.refuse && code.Of(err).Run != ward.NotRun {
				t.Errorf("run state %s", code.Of(err).Run)
			}
		})
	}
}
