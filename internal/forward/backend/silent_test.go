package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/soak/proxy"
)

// Guards against requests that are lost one after the other: when the connections to an
// upstream had fallen silent, each idle one cost a request.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	cases := []struct {
		name string
		// wait is the time that the first request after the silence has.
		wait time.Duration
		// lost is the number of later requests that may be lost.
		lost int
	}{
		{"no byte for long", 700 * time.Millisecond, 0},
		{"its caller left soon", 50 * time.Millisecond, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var together sync.WaitGroup
			together.Add(3)
			var once sync.Map
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The first three are answered together, so that each has a connection.
				if _, again := once.LoadOrStore(r.URL.Path, true); !again {
					together.Done()
					together.Wait()
				}
			}))
			defer server.Close()
			network := &proxy.Proxy{Target: strings.TrimPrefix(server.URL, "http://")}
			if err := network.Listen(); err != nil {
				t.Fatal(err)
			}
			defer network.Close()
			var p backend.Pool
			get := func(path string, wait time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				x, err := p.Send(ctx, backend.Request{Address: network.Address(), Method: "GET", Target: path, Host: "h"})
				if err != nil {
					return err
				}
				defer x.Close()
				_, err = io.Copy(io.Discard, x.Body)
				return err
			}
			var wg sync.WaitGroup
			for _, path := range []string{"/1", "/2", "/3"} {
				wg.Go(func() {
					if err := get(path, 5*time.Second); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			if n := network.SilenceOpen(); n != 3 {
				t.Fatalf("%d open connections, want 3", n)
			}
			if get("/1", c.wait) == nil {
				t.Error("a request on a silent connection was answered")
			}
			lost := 0
			for range 3 {
				if get("/2", 700*time.Millisecond) != nil {
					lost++
				}
			}
			if lost > c.lost {
				t.Errorf("%d of 3 later requests were lost, want at most %d", lost, c.lost)
			}
		})
	}
}
