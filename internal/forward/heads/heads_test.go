package heads

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fields returns the fields of a head, of about n bytes.
func fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against connections with half a head that take the memory of the entry, against sound
// requests that are closed for them, and against bytes that stay counted.
func TestHalfHeads(t *testing.T) {
	const total, half, conns = 4 << 20, 40 << 10, 40
	var told atomic.Int64
	g := Guard{OnCut: func(string, int) { told.Add(1) }}
	g.SetTotal(total)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	}))
	s.Listener = g.Listener(s.Listener)
	g.Guard(s.Config)
	s.Start()
	defer s.Close()
	var open []net.Conn
	for range conns {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		// A write to a connection that was closed meanwhile fails.
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+fields(half))
		open = append(open, c)
	}
	for end := time.Now().Add(5 * time.Second); g.Cuts() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection was closed")
		}
	}
	if n := g.Used(); n > total+total/4 {
		t.Errorf("%d bytes are counted, the bound is %d", n, total)
	}
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for i := range 3 {
		body := strings.Repeat("\n", 64<<10)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", fields(2<<10), len(body), body)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("sound request %d: %v", i, err)
		}
		if b, err := io.ReadAll(res.Body); err != nil || string(b) != body {
			t.Errorf("sound request %d: %d bytes, %v", i, len(b), err)
		}
		res.Body.Close()
	}
	if told.Load() == 0 {
		t.Error("nothing is told of the connections that were closed")
	}
	for _, c := range open {
		c.Close()
	}
	c.Close()
	for end := time.Now().Add(5 * time.Second); g.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay counted", g.Used())
		}
	}
}

// Guards against a body that counts as a head, as the server reads it after the answer to a
// request whose body was not read.
func TestUnreadBodyDoesNotCount(t *testing.T) {
	var g Guard
	g.SetTotal(28 << 20)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }))
	s.Listener = g.Listener(s.Listener)
	g.Guard(s.Config)
	s.Start()
	defer s.Close()
	for i := range 60 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		body := strings.Repeat("line of a body\n", 10<<10)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
	time.Sleep(50 * time.Millisecond)
	if n := g.Used(); n > 0 || g.Cuts() > 0 {
		t.Errorf("%d bytes are counted and %d connections cut, none has a head", n, g.Cuts())
	}
}
