package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// conn is a kept connection of a client.
type conn struct {
	nc net.Conn
	br *bufio.Reader
}

func dial(address string) *conn {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		fatal("a client connects to %s: %v", address, err)
	}
	return &conn{nc, bufio.NewReader(nc)}
}

// answer is what a client got for a request.
type answer struct {
	id     string
	entry  string
	sent   time.Time
	status int
	signed bool
	body   string
	err    error
}

// text describes the answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signed %t, %q", a.status, a.signed, strings.TrimSpace(a.body))
}

// do sends a request and reads its answer. The connection must not be in use.
func (c *conn) do(rec *record, e *entry, method, host, path, key string, deadline time.Duration, body string) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)), entry: e.name, sent: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Agateward-Request-Id: %s\r\nX-Agateward-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, a.id, deadline.Milliseconds(), key)
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	rec.line("client: %s %s sent to %s", a.id, path, e.name)
	_ = c.nc.SetDeadline(a.sent.Add(deadline + time.Second))
	if _, a.err = io.WriteString(c.nc, head+"\r\n"+body); a.err == nil {
		var res *http.Response
		if res, a.err = http.ReadResponse(c.br, &http.Request{Method: method}); a.err == nil {
			var b []byte
			b, a.err = io.ReadAll(res.Body)
			_ = res.Body.Close()
			a.status, a.body, a.signed = res.StatusCode, string(b), res.Header.Get("X-Agateward-Response-Signature") != ""
		}
	}
	rec.line("client: %s after %.0f ms: %s", a.id, time.Since(a.sent).Seconds()*1000, a.text())
	return a
}
