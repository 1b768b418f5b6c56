package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"agateward/internal/forward/backend"

	"golang.org/x/sys/unix"
)

// Guards against an upstream that counts as silent although its bytes have arrived:
// the entry was late to read them.
func TestUnreadBytesAreSeen(t *testing.T) {
	rest := make(chan struct{})
	address := serveOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", rest, "body", false)
	var p backend.Pool
	var unread func() bool
	x, err := p.Send(t.Context(), backend.Request{
		Address: address, Method: "GET", Target: "/", Host: "h",
		Connected: func(f func() bool) { unread = f },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if unread() {
		t.Error("unread bytes before the body was sent")
	}
	close(rest)
	for end := time.Now().Add(5 * time.Second); !unread(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the body is not seen")
		}
	}
	if b, err := io.ReadAll(x.Body); string(b) != "body" || err != nil || unread() {
		t.Errorf("body %q, %v, unread %v", b, err, unread())
	}
}

// Guards against half an answer that looks complete: the probe for unread bytes took the reset
// of the connection from the goroutine that reads the answer.
func TestProbeLeavesTheEndToTheReader(t *testing.T) {
	cases := []struct {
		name  string
		more  string
		reset bool
		want  error
	}{
		{"end", "", false, nil},
		{"bytes and end", " and more", false, nil},
		{"reset", "", true, syscall.ECONNRESET},
		{"bytes and reset", " and more", true, syscall.ECONNRESET},
	}
	for _, c := range cases {
		for _, probes := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("%s/%d probes", c.name, probes), func(t *testing.T) {
				finish := make(chan struct{})
				address := serveOnce(t, "HTTP/1.1 200 OK\r\n\r\nbody", finish, c.more, c.reset)
				var raw net.Conn
				p := backend.Pool{Dial: func(ctx context.Context, address string) (conn net.Conn, err error) {
					raw, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
					return raw, err
				}}
				x, err := p.Send(t.Context(), backend.Request{Address: address, Method: "GET", Target: "/", Host: "h"})
				if err != nil {
					t.Fatal(err)
				}
				defer x.Close()
				first := make([]byte, len("body"))
				if _, err := io.ReadFull(x.Body, first); err != nil {
					t.Fatal(err)
				}
				close(finish)
				awaitEnd(t, raw)
				for range probes {
					if got, want := x.Unread(), c.more != ""; got != want {
						t.Errorf("unread %v, want %v", got, want)
					}
				}
				for range 2 {
					rest, err := io.ReadAll(x.Body)
					if string(rest) != c.more || !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
						t.Errorf("read %q, %v; want %q, %v", rest, err, c.more, c.want)
					}
					c.more = "" // read once, the end again and again
				}
			})
		}
	}
}

// serveOnce returns the address of a server that answers one request with text, and once finish
// is closed with more, and then ends or resets the connection.
func serveOnce(t *testing.T, text string, finish <-chan struct{}, more string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, text)
		<-finish
		fmt.Fprint(c, more)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String()
}

// awaitEnd waits until the peer has ended or reset a connection, and takes nothing from its
// socket.
func awaitEnd(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	var polled error
	err = raw.Control(func(fd uintptr) {
		n, polled = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 5000)
	})
	if n != 1 || err != nil || polled != nil {
		t.Fatalf("the connection has not ended: %v, %v", err, polled)
	}
}

// Guards against a request without a deadline that is held for ever: the upstream sends
// a head one byte at a time, or interim heads at long intervals.
func TestHeadThatDoesNotEndIsCut(t *testing.T) {
	cases := []struct {
		name, head, unit string
		interval         time.Duration
		cut              bool
	}{
		{"slow status line", "HTTP/1.1 200 O", "K", time.Millisecond, true},
		{"slow header field", "HTTP/1.1 200 OK\r\nX: ", "y", time.Millisecond, true},
		{"slow header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n", time.Millisecond, true},
		{"slow head after an interim head", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 O", "K", time.Millisecond, true},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n", 5 * time.Millisecond, true},
		{"a pause longer than a head may take, after an interim head", "HTTP/1.1 100 Continue\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 4 * headTimeout, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				sendSlowly(l, c.head, c.unit, c.interval)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			p := backend.Pool{HeadTimeout: headTimeout}
			x, err := p.Send(ctx, backend.Request{Address: l.Addr().String(), Method: "GET", Target: "/", Host: "h"})
			if errors.Is(err, backend.ErrBadAnswer) != c.cut || (err == nil) == c.cut || ctx.Err() != nil {
				t.Errorf("%v, %v; cut %v", err, ctx.Err(), c.cut)
			}
			if x != nil {
				x.Close()
				p.Retain(nil)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

const headTimeout = 100 * time.Millisecond

// sendSlowly answers one connection with head and then with a unit at each interval,
// until the connection is closed.
func sendSlowly(l net.Listener, head, unit string, interval time.Duration) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for _, err = io.WriteString(c, head); err == nil; _, err = io.WriteString(c, unit) {
		time.Sleep(interval)
	}
}

// Guards against half an answer that looks complete: the upstream reset the connection, and
// the request's body, which was still being written, took the error.
func TestResetWhileTheBodyIsWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 32<<10)
				_, _ = c.Read(buf)
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf of the ans")
				for range 8 {
					_, _ = c.Read(buf)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
		}
	}()
	for range 20 {
		var p backend.Pool
		x, err := p.Send(t.Context(), backend.Request{Address: l.Addr().String(), Method: "POST", Target: "/", Host: "h", Body: make([]byte, 8<<20)})
		if err != nil {
			continue
		}
		time.Sleep(20 * time.Millisecond) // the reset arrives
		if b, err := io.ReadAll(x.Body); err == nil {
			t.Fatalf("%q looks complete", b)
		}
		x.Close()
	}
}

// Guards against an answer without a length that is taken for cut: the upstream closes
// the connection regularly as soon as it has read the whole body.
func TestAnswerToTheEndOfTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			c.Close()
		}
	}()
	for range 300 {
		var p backend.Pool
		x, err := p.Send(t.Context(), backend.Request{Address: l.Addr().String(), Method: "POST", Target: "/", Host: "h", Body: make([]byte, 256<<10)})
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(x.Body); string(b) != "whole" || err != nil {
			t.Fatalf("%q, %v", b, err)
		}
		x.Close()
	}
}
