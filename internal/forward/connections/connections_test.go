package connections_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"agateward/internal/forward/connections"
)

const request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// serve returns a tracker, the address of its server, and a channel that releases one answer
// of a request to /slow for each value.
func serve(t *testing.T) (*connections.Tracker, string, chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	var c connections.Tracker
	s := &http.Server{ConnState: c.StateChanged, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "fine")
	})}
	go func() { _ = s.Serve(c.Listen(l)) }()
	t.Cleanup(func() { s.Close() })
	return &c, l.Addr().String(), release
}

func dial(t *testing.T, address, send string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	return c
}

// answered reports whether a whole answer arrives on a connection.
func answered(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(res.Body)
	return err == nil && string(b) == "fine"
}

// await waits until the counts are as wanted.
func await(t *testing.T, c *connections.Tracker, want connections.Counts) {
	t.Helper()
	for range 1000 {
		if c.Counts() == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("connections %+v, want %+v", c.Counts(), want)
}

// Guards against requests without an answer at an exit, whose connection was closed when the
// server had read them, and against connections without a request that hold the exit.
func TestEndUnused(t *testing.T) {
	tests := []struct {
		name string
		// before is sent before the end, after follows it.
		before, after string
		// answeredBefore is true when the answer to before is read before the end.
		answeredBefore bool
		counts         connections.Counts
		want           bool
	}{
		{"no byte yet", "", "", false, connections.Counts{New: 1}, false},
		{"idle after an answer", request, "", true, connections.Counts{Idle: 1}, false},
		{"half a head", request[:20], request[20:], false, connections.Counts{Head: 1}, true},
		{"half a body", request[:len(request)-1], "b", false, connections.Counts{Request: 1}, true},
		{"half a head after an answer", request + request[:20], request[20:], true, connections.Counts{Head: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, address, _ := serve(t)
			c := dial(t, address, "")
			first := tt.before
			if tt.answeredBefore {
				first = request
			}
			if _, err := io.WriteString(c, first); err != nil {
				t.Fatal(err)
			}
			if tt.answeredBefore {
				if !answered(c) {
					t.Fatal("no answer before the end")
				}
				if _, err := io.WriteString(c, tt.before[len(request):]); err != nil {
					t.Fatal(err)
				}
			}
			await(t, tracker, tt.counts)
			tracker.EndUnused()
			time.Sleep(50 * time.Millisecond) // longer than the last time to read
			if tt.after != "" {
				if _, err := io.WriteString(c, tt.after); err != nil {
					t.Fatal(err)
				}
			}
			if got := answered(c); got != tt.want {
				t.Errorf("answered %v, want %v", got, tt.want)
			}
			await(t, tracker, connections.Counts{})
			if late, err := net.Dial("tcp", address); err == nil {
				late.Close()
				t.Error("the listener still accepts connections")
			}
		})
	}
}

// Guards against a connection that stays open at the exit as its answer ended after the
// connections without a request were closed.
func TestAnswerAfterEndUnusedClosesItsConnection(t *testing.T) {
	tracker, address, release := serve(t)
	c := dial(t, address, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, tracker, connections.Counts{Request: 1})
	tracker.EndUnused()
	release <- struct{}{}
	if !answered(c) {
		t.Error("no answer")
	}
	await(t, tracker, connections.Counts{})
}
