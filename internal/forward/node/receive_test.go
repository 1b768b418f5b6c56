package node

import (
	"math"
	"runtime"
	"testing"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/dialect"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/poison"
	"agateward/internal/forward/returns"
	"agateward/internal/forward/schedule"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// messages are valid ones of each kind, from which the fuzz test begins.
func messages() []peerstate.Message {
	of := func(change func(m *peerstate.Message)) peerstate.Message {
		m := peerstate.Message{Name: "entry-2", Start: 3, Sequence: 4, Listen: "10.0.0.2:7600"}
		change(&m)
		return m
	}
	u := schedule.Identity{ID: "i-1", Born: 5}
	return []peerstate.Message{
		of(func(m *peerstate.Message) {
			m.Requests = schedule.PeerState{
				Load: map[string]int{"i-1": 3}, Demand: []schedule.Demand{{Service: "bookings", Count: 2, Slack: time.Second}}, Unresponsive: []string{"i-1"},
				Grants: []schedule.SlotGrant{{Upstream: "i-1", To: "entry-1", Sequence: 1}}, Leaving: true, ExitsIn: time.Second,
				Departures: []schedule.Identity{u}, Brittle: map[string]int64{"bookings": 3},
			}
			m.Quota, m.QuotaLevels = map[string]float64{"guests": 8}, map[string]float64{"guests": 2}
			m.Peers = []string{"10.0.0.3:7600"}
		}),
		of(func(m *peerstate.Message) { m.Grant, m.GrantSequence = "i-1", 1 }),
		of(func(m *peerstate.Message) {
			m.Moves = &peerstate.Moves{Counts: []ward.Counts{{}}, States: []ward.MoveState{{}}, Quarantines: []ward.Quarantine{{}}}
		}),
		of(func(m *peerstate.Message) { m.Prompts = []poison.Report{{Count: 2}} }),
		of(func(m *peerstate.Message) {
			m.News, m.Returns = true, &returns.News{Given: []returns.Given{{Service: "bookings", Waited: 5}}, Used: []returns.Key{{Digest: 1, ID: 2}}}
		}),
		of(func(m *peerstate.Message) { m.News, m.Lending = true, &schedule.LendingMessage{} }),
		of(func(m *peerstate.Message) {
			m.News, m.Limits = true, []schedule.LimitReport{{Upstream: u}}
			m.Limits[0].State.Limited, m.Limits[0].State.PerSecond, m.Limits[0].State.Version = true, 2, 1
		}),
		of(func(m *peerstate.Message) { m.Quota = map[string]float64{"guests": math.NaN()} }),
		of(func(m *peerstate.Message) { m.QuotaLevels = map[string]float64{"guests": math.Inf(1)} }),
	}
}

// Guards against a message of a stranger that ends the process, or takes long or much memory.
func FuzzReceive(f *testing.F) {
	for _, m := range messages() {
		b, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	s := forwarding.Default()
	s.Name, s.DataCentre = "entry-1", "a"
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > peerstate.MaxSize {
			return
		}
		n := New(s, Parts{Dialect: dialect.Native{}, Log: logr.Discard()})
		n.fetching = true // no connection is opened to an address of the message
		docs := documents(3)
		docs.Forwarding.Teams = []ward.ForwardTeam{{Name: "guests", Keys: []string{"k1"}, Rate: 5, Burst: 5}}
		n.view.Merge("test", docs)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		begun := time.Now()
		for range 3 { // an entry is known by its second message
			n.receive(t.Context(), b)
		}
		n.gate.Refresh()
		if d := time.Since(begun); d > 2*time.Second {
			t.Errorf("%v for %d bytes", d, len(b))
		}
		runtime.ReadMemStats(&after)
		if sum := after.TotalAlloc - before.TotalAlloc; sum > 64<<20 {
			t.Errorf("%d bytes allocated for a message of %d", sum, len(b))
		}
	})
}
