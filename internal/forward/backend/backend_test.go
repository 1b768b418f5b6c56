package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"agateward/internal/forward/backend"
)

// Guards against an upstream that counts as silent although its bytes have arrived:
// the entry was late to read them.
func TestUnreadBytesAreSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	rest := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		<-rest
		fmt.Fprint(c, "body")
		<-t.Context().Done()
	}()
	var p backend.Pool
	var unread func() bool
	x, err := p.Send(t.Context(), backend.Request{
		Address: l.Addr().String(), Method: "GET", Target: "/", Host: "h",
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
