package gate_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"agateward/internal/forward/gate"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/rollout"
	"agateward/internal/forward/static"
	"agateward/internal/move/split"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// records is a source of records alone.
type records struct {
	ward.ForwardSource
	store ward.Store
}

func (r records) Records() ward.Store { return r.store }

// moves holds the last state of the roll-outs that an entry published.
type moves struct {
	mu      sync.Mutex
	last    peerstate.Moves
	changed chan struct{}
}

func (m *moves) publish(p peerstate.Moves) {
	m.mu.Lock()
	m.last = p
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// failed returns the number of failed answers that have been counted so far.
func (m *moves) failed() (n uint64) {
	for range 3 { // one may be waiting, and one may have been read before this call
		<-m.changed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.last.Counts {
		n += c.Failed
	}
	return n
}

// counts reports whether outcomes are being counted.
func (m *moves) counts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.last.Counts) > 0
}

// counting adds a roll-out of service s from v1 to v2 to a gate, and returns what it
// publishes. No upstream of v2 is there, so all requests are of v1.
func counting(t *testing.T, g *gate.Gate) *moves {
	m := &moves{changed: make(chan struct{}, 1)}
	g.Rollout = &rollout.Rollout{
		Self: "entry-1", Start: 1, Log: logr.Discard(), Publish: m.publish, Changed: func() {},
		Source: records{(&static.Source{}).Feed(), &memory.Platform{Seed: 1}},
		Orders: func() []ward.Rollout {
			return []ward.Rollout{{Service: "s", Target: "v2", Within: time.Minute, Revision: 1}}
		},
		Upstreams: func() []ward.Replica { return []ward.Replica{{ID: "u1", Service: "s", Version: "v1"}} },
		Fleet:     func() split.Fleet { return split.Fleet{Entries: 1} },
		Cells:     func() bool { return false },
	}
	go g.Rollout.Run(t.Context())
	for !m.counts() { // until the first step is in force
		<-m.changed
		g.Rollout.Observe("safe", "s", ward.Outcome{Upstream: "u1", Version: "v1", Connected: true, OK: true, At: time.Now()})
	}
	return m
}

// Guards against a version that is rolled back, or an old one that looks as bad as a
// new one, by an answer to another request: it came late on a kept connection, and
// counted as the version's answer to the next request.
func TestAnswerToAnotherRequestIsNoEvidenceOfVersion(t *testing.T) {
	cases := []struct {
		name string
		// kept makes the answer come on a connection that has carried a request.
		kept   bool
		id     string
		status int
		failed uint64
	}{
		{"kept connection, another id", true, "r0", 200, 0},
		{"kept connection, no id", true, "", 200, 0},
		{"kept connection, not run", true, "r0", 503, 0},
		// Nothing else was sent on a new connection, so the version made this answer
		// to this request.
		{"new connection, another id", false, "r0", 200, 1},
		{"new connection, no id", false, "", 200, 1},
		{"own failure", true, "r1", 500, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
				if r.URL.Path == "/safe/x" {
					return ok(w, r, "fine")
				}
				statement{status: c.status, id: c.id, notRun: c.status == 503}.write(w)
				return true
			})
			var m *moves
			s := newGateWith(t, func(g *gate.Gate) { m = counting(t, g) }, u)
			if c.kept {
				do(t, s, "POST", "/safe/x", func(r *http.Request) { r.Header.Set("Agateward-Request", "r7") })
			}
			do(t, s, "POST", "/unsafe/x", nil)
			if n := m.failed(); n != c.failed {
				t.Errorf("%d failed answers of the version, want %d", n, c.failed)
			}
		})
	}
}

// Guards against a version that looks bad because one of its upstreams can't be
// reached: each dial of one request counted, and the limit of one in 10 s did not apply.
func TestFailedConnectionsCountOnce(t *testing.T) {
	var m *moves
	s := newGateWith(t, func(g *gate.Gate) { m = counting(t, g) }, newClosedUpstream(t))
	for range 2 {
		if got := do(t, s, "POST", "/safe/x", nil); got.status != 503 {
			t.Errorf("status %d, %v; want 503", got.status, got.err)
		}
	}
	if n := m.failed(); n != 1 {
		t.Errorf("%d failed connections counted, want 1", n)
	}
}

// Guards against failed answers passing for connections that can't be made, of which
// only the first of an upstream counts.
func TestFailedAnswersCountEach(t *testing.T) {
	var m *moves
	u := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
		statement{status: 500, id: r.Header.Get("Agateward-Request")}.write(w)
		return true
	})
	s := newGateWith(t, func(g *gate.Gate) { m = counting(t, g) }, u)
	for range 2 {
		if got := do(t, s, "POST", "/unsafe/x", nil); got.status != 500 {
			t.Errorf("status %d, %v; want 500", got.status, got.err)
		}
	}
	if n := m.failed(); n != 2 {
		t.Errorf("%d failed answers counted, want 2", n)
	}
}
