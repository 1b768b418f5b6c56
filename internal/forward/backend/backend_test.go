package backend_test

import (
	"bufio"
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
