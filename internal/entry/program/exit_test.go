package program_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateward/ward"
)

// Guards against requests without an answer at a planned stop: the server closed connections
// on which half a head had arrived, or returned once it had read the whole of it. A request that
// crosses the exit is refused as not run, and answers say that their connection ends.
func TestRequestsOnTheirWayAtAPlannedStopAreAnswered(t *testing.T) {
	const request = "POST " + deposits + " HTTP/1.1\r\nHost: h\r\nAgateward-Team: guests\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}"
	tests := []struct {
		name string
		kept bool
		// sent is the number of bytes that are sent before the stop.
		sent int
		want int
	}{
		{"new connection", false, 40, http.StatusServiceUnavailable},
		{"kept connection, recorded answer", true, 40, http.StatusOK},
		{"half a body", false, len(request) - 1, http.StatusServiceUnavailable},
		{"running", false, len(request), http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, booking := start(t)
			c, err := net.Dial("tcp", strings.TrimPrefix(f.Target(0), "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			answered := func() (status int, closes bool) {
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Log(err)
					return 0, false
				}
				_, _ = io.Copy(io.Discard, res.Body)
				if refused := res.StatusCode == http.StatusServiceUnavailable; refused != (res.Header.Get("Agateward-Run") == string(ward.NotRun)) {
					t.Errorf("status %d, headers %v", res.StatusCode, res.Header)
				}
				return res.StatusCode, res.Close
			}
			if tt.kept {
				_, _ = io.WriteString(c, request)
				if status, closes := answered(); status != http.StatusOK || closes {
					t.Fatalf("status %d before the stop", status)
				}
			}
			_, _ = io.WriteString(c, request[:tt.sent])
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				f.Stop(0)
			}()
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(c, request[tt.sent:])
			switch status, closes := answered(); {
			case status == 0:
				t.Error("no answer")
			case status != tt.want || !closes:
				t.Errorf("status %d, closes %v; want %d and a closed connection", status, closes, tt.want)
			}
			<-stopped
			if n := booking.Runs()["k"]; (n == 1) != (tt.want == http.StatusOK) {
				t.Errorf("ran %d times", n)
			}
		})
	}
}
