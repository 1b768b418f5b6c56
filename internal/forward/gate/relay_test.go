package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/gate"
	"agateward/internal/forward/relay"
	"agateward/internal/result/code"
)

// otherEntry is an entry that answers each relayed request with a status, as a refusal with
// the number of a code if that is not 0.
func otherEntry(t *testing.T, status, number int) (address string, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.Header().Set("Agateward-Request", r.Header.Get("Agateward-Request"))
		if number != 0 {
			w.Header().Set(relay.FieldRefused, fmt.Sprint(number))
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

// Guards against a stream that is cut since another entry does not take its rest, though an
// upstream would: the links to all upstreams seemed lost for a moment.
func TestRestOfStreamThatNoEntryTakes(t *testing.T) {
	cases := []struct {
		name           string
		status, number int
	}{
		{"refused, the queue is long", http.StatusServiceUnavailable, code.QueueFull.Number},
		{"refused, the entry stops", http.StatusServiceUnavailable, code.Stopping.Number},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			serve := func(w io.Writer, r *http.Request, _ int64) bool {
				switch {
				case strings.HasPrefix(r.URL.Path, "/unsafe/"):
					time.Sleep(500 * time.Millisecond)
					return false
				case r.Header.Get("Last-Event-Id") != "":
					return events(w, r, 3, 4, true)
				}
				time.Sleep(200 * time.Millisecond) // the other requests prefer the other upstreams
				events(w, r, 1, 2, false)
				close(begun)
				time.Sleep(1200 * time.Millisecond)
				return false
			}
			address, asked := otherEntry(t, c.status, c.number)
			s := newGateWith(t, func(g *gate.Gate) {
				g.Relay = &gate.Relay{Pool: &backend.Pool{}, Entries: func() []string { return []string{address} }, DataCentre: func(string) string { return "a" }}
			}, newUpstream(t, serve), newUpstream(t, serve), newUpstream(t, serve))
			var wg sync.WaitGroup
			wg.Go(func() {
				if got := do(t, s, "POST", "/stream/x", nil); got.status != 200 || got.body != pieces(1, 4) || got.err != nil {
					t.Errorf("status %d, body %q, %v; want the whole answer", got.status, got.body, got.err)
				}
			})
			<-begun
			for i := range 3 { // they fail at the two other upstreams
				wg.Go(func() { do(t, s, "POST", fmt.Sprint("/unsafe/", i), nil) })
			}
			wg.Wait()
			if asked.Load() == 0 {
				t.Error("the other entry was not asked")
			}
		})
	}
}

// Guards against a relayed request that ends before the deadline under which it came, as the
// other entry already has a configuration with a shorter time-out.
func TestRelayedRequestKeepsItsDeadline(t *testing.T) {
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		time.Sleep(400 * time.Millisecond)
		return ok(w, r, "fine")
	})
	var g *gate.Gate
	newGateWith(t, func(made *gate.Gate) { g = made }, u)
	r := httptest.NewRequest(http.MethodPost, "http://h/safe/short/x", nil) // 150 ms
	r.Header.Set("Agateward-Request", "r1")
	r.Header.Set("Authorization", "Bearer k1")
	e := relay.Envelope{From: "entry-2", Remaining: 2 * time.Second, LastEvent: -1}
	r.Header = e.Wrap(r.Header)
	w := httptest.NewRecorder()
	g.ServeRelayed(w, r)
	if w.Code != http.StatusOK || w.Body.String() != "fine" {
		t.Errorf("status %d, body %q; want the answer", w.Code, w.Body)
	}
}
