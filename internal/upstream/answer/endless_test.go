package answer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/internal/upstream/transport"
)

// Guards against an engine or service whose reply does not end: an answer that looks
// complete, a connection that stays, or memory that grows with the reply.
func TestEndlessAnswerFails(t *testing.T) {
	const (
		fence = 64 << 20
		// readAhead is what the buffers of the transport and of the reader hold.
		readAhead = 64 << 10
	)
	limits := Limits{Event: 64 << 10, Buffer: 64 << 10, Body: 1 << 20}
	const plain, events = head + "text/plain\r\n", head + "text/event-stream\r\n\r\n"
	cases := []struct {
		name, head, unit string
		limit            int
	}{
		{"status line", "HTTP/1.1 200 O", "K", transport.DefaultHeaderBytes},
		{"header field", plain + "X: ", "y", transport.DefaultHeaderBytes},
		{"header fields", plain, "X: y\r\n", transport.DefaultHeaderBytes},
		{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", transport.DefaultHeaderBytes},
		{"chunk extension", plain + "Transfer-Encoding: chunked\r\n\r\n1;", "x", limits.Buffer},
		{"trailer", plain + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n", limits.Buffer},
		{"body", plain + "\r\n", "x", int(limits.Body)},
		{"chunks", plain + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 3 * int(limits.Body)},
		{"one event", events + token("m", "hi") + "data: ", "x", limits.Event},
		{"comments", events + token("m", "hi"), ": x\n\n", int(limits.Body)},
		{"blank lines", events + token("m", "hi"), "\n", limits.Event},
		{"blank lines after carriage returns", events, "\r\n", limits.Event},
		{"the same event", events, token("m", "hi"), int(limits.Body)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan int, 1)
			tr := &transport.Transport{Dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					_, _ = http.ReadRequest(bufio.NewReader(server))
					sent, err := io.WriteString(server, c.head)
					for block := strings.Repeat(c.unit, 1+(4<<10)/len(c.unit)); err == nil && sent < fence; {
						var n int
						n, err = io.WriteString(server, block)
						sent += n
					}
					closed <- sent
				}()
				return client, nil
			}}
			reply, err := tr.Send(t.Context(), transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/", Resume: transport.NoResume})
			if err == nil {
				a := &Answer{Reply: reply, Limits: limits, Model: strings.HasPrefix(c.head, events)}
				for err == nil {
					_, err = a.Next(t.Context())
				}
				_ = a.Close()
			}
			if errors.Is(err, io.EOF) {
				t.Error("the answer looks complete")
			}
			select {
			case sent := <-closed:
				if sent > c.limit+readAhead {
					t.Errorf("%d bytes were read, want at most %d", sent, c.limit+readAhead)
				}
			case <-time.After(10 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
