package gate_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a refusal that its caller does not get, as the server awaits the rest of a body
// that it does not need.
func TestRefusalDoesNotAwaitTheBody(t *testing.T) {
	tests := []struct{ name, length, body string }{
		{"length", "Content-Length: 100", "half"},
		{"chunked", "Transfer-Encoding: chunked", "4\r\nhalf\r\n"},
		{"expects 100", "Content-Length: 100\r\nExpect: 100-continue", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newGate(t, newClosedUpstream(t))
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /nowhere HTTP/1.1\r\nHost: h\r\nAgateward-Request: r1\r\nAuthorization: Bearer k1\r\n%s\r\n\r\n%s", tt.length, tt.body)
			_ = c.SetReadDeadline(time.Now().Add(endlessWait))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != http.StatusNotFound || !res.Close {
				t.Errorf("%+v, %v; want 404 and a closed connection", res, err)
			}
		})
	}
}
