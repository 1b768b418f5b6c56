package member_test

import (
	"math"
	"testing"
	"time"

	"agateward/internal/peer/member"
	"agateward/internal/peer/sim"
	"agateward/internal/result/code"
	"agateward/ward"
)

var quarantine = ward.Quarantine{Serves: "menu", Version: "2", Route: "draft", Move: "m", Ticket: 3, Reason: "fails", By: "entry-000"}

func hasQuarantine(e *sim.Entry) bool { return len(e.Member.Quarantines()) > 0 }

func config(revision uint64) *ward.Config {
	return &ward.Config{Fleet: "test", Revision: revision, Ticket: revision,
		Upstreams: []ward.Upstream{{Name: "u", Kind: ward.KindEngine, Address: "10.1.0.1:8000", Ticket: revision}}}
}

// TestQuarantineAndConfigSpread checks that a quarantine reaches every entry
// within 3 s and a revision within 5 s, over fleet sizes and networks.
func TestQuarantineAndConfigSpread(t *testing.T) {
	cases := []struct {
		name    string
		n       int
		network sim.Network
	}{
		{"today", 8, sim.Network{Delay: time.Millisecond}},
		{"lossy", 8, sim.Network{Delay: time.Millisecond, Jitter: 100 * time.Millisecond, Loss: 0.1, Duplicate: 0.1}},
		{"larger", 60, sim.Network{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.01}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := sim.New(c.n, 1, c.network)
			if took, ok := f.RunUntil(time.Minute, func() bool {
				return f.All(func(e *sim.Entry) bool { return e.Member.Live() == c.n })
			}); !ok {
				t.Fatalf("entries do not know each other after %v", took)
			}
			f.Run(10 * time.Second)
			f.Update(0, func(m *member.Member, now time.Time) { m.AddQuarantines(now, quarantine) })
			took, ok := f.RunUntil(3*time.Second, func() bool { return f.All(hasQuarantine) })
			if !ok {
				t.Errorf("the quarantine has not reached every entry after %v", took)
			}
			t.Logf("quarantine took %v", took)
			f.Run(5 * time.Second)
			for _, r := range []uint64{5, 6} {
				f.Update(1, func(*member.Member, time.Time) { f.SetConfig(1, config(r)) })
				took, ok = f.RunUntil(5*time.Second, func() bool {
					return f.All(func(e *sim.Entry) bool { return e.Config != nil && e.Config.Revision == r })
				})
				if !ok {
					t.Errorf("revision %d has not reached every entry after %v", r, took)
				}
				t.Logf("revision %d took %v", r, took)
				f.Run(10 * time.Second)
			}
		})
	}
}

// TestFloorsAndDrainingSpread checks that the floor of a model reaches every entry
// within 1 s and a draining upstream within 3 s, from an entry with many other
// items to send.
func TestFloorsAndDrainingSpread(t *testing.T) {
	for _, network := range []sim.Network{
		{Delay: time.Millisecond},
		{Delay: time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.05, Duplicate: 0.05},
	} {
		f := sim.New(8, 1, network)
		f.Run(5 * time.Second)
		everyPeer := func(ok func(s ward.PeerState) bool) func() bool {
			return func() bool {
				return f.All(func(e *sim.Entry) bool {
					for _, p := range e.Member.Peers(f.Now) {
						if p.State.Name == "entry-000" {
							return ok(p.State)
						}
					}
					return e == f.Entries[0]
				})
			}
		}
		for tier := ward.TierBottom; tier >= ward.TierTop; tier-- {
			want := ward.ServesFloor{Serves: "menu", Need: tier, Floor: tier}
			f.Update(0, func(m *member.Member, now time.Time) {
				s := m.Self()
				s.Floors = []ward.ServesFloor{want}
				m.SetSelf(now, s)
			})
			if took, ok := f.RunUntil(time.Second, everyPeer(func(s ward.PeerState) bool {
				return tier == ward.TierBottom || len(s.Floors) == 1 && s.Floors[0] == want
			})); !ok {
				t.Errorf("the floor of tier %d has not reached every entry after %v", tier, took)
			}
		}
		f.Update(0, func(m *member.Member, now time.Time) {
			s := m.Self()
			s.Draining = []string{"engine-1", "engine-7"}
			m.SetSelf(now, s)
		})
		if took, ok := f.RunUntil(3*time.Second, everyPeer(func(s ward.PeerState) bool { return len(s.Draining) == 2 })); !ok {
			t.Errorf("the leaving upstreams have not reached every entry after %v", took)
		}
	}
}

// TestDeadPeer checks that a killed entry is soon no longer live at any other,
// and that its next run is accepted.
func TestDeadPeer(t *testing.T) {
	f := sim.New(8, 1, sim.Network{Delay: time.Millisecond})
	f.Run(5 * time.Second)
	f.Kill(3)
	live := func(n int) func() bool {
		return func() bool { return f.All(func(e *sim.Entry) bool { return e.Member.Live() == n }) }
	}
	if took, ok := f.RunUntil(8*time.Second, live(7)); !ok {
		t.Errorf("a killed entry is still live after %v", took)
	}
	f.Start(3)
	if took, ok := f.RunUntil(5*time.Second, live(8)); !ok {
		t.Errorf("a new run is not live after %v", took)
	}
}

func TestPartitionedRegionsConverge(t *testing.T) {
	f := sim.New(8, 1, sim.Network{Delay: time.Millisecond})
	f.Run(5 * time.Second)
	f.Partitioned = func(a, b int) bool { return a < 4 != (b < 4) }
	f.Run(10 * time.Second)
	if !f.All(func(e *sim.Entry) bool { return e.Member.Live() == 4 }) {
		t.Error("a region still counts the other as live after 10 s")
	}
	f.Update(0, func(m *member.Member, now time.Time) { m.AddQuarantines(now, quarantine) })
	f.Update(7, func(*member.Member, time.Time) { f.SetConfig(7, config(9)) })
	f.Run(time.Minute)
	f.Partitioned = nil
	if took, ok := f.RunUntil(15*time.Second, func() bool {
		return f.All(func(e *sim.Entry) bool {
			return e.Member.Live() == 8 && hasQuarantine(e) && e.Config != nil && e.Config.Revision == 9
		})
	}); !ok {
		t.Errorf("regions have not converged %v after the link came back", took)
	}
}

func TestRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	self := ward.PeerState{Name: "a", Address: "10.0.0.1:7102", Incarnation: 10}
	good := ward.Exchange{Fleet: "test", Protocol: member.Protocol, From: "b", Incarnation: 20,
		States: []ward.PeerState{{Name: "b", Address: "10.0.0.2:7102", Incarnation: 20, Seq: 1}}}
	cases := []struct {
		name   string
		change func(x *ward.Exchange)
		refuse bool
	}{
		{"good", func(*ward.Exchange) {}, false},
		{"another fleet", func(x *ward.Exchange) { x.Fleet = "other" }, true},
		{"another protocol", func(x *ward.Exchange) { x.Protocol++ }, true},
		{"an older incarnation", func(x *ward.Exchange) { x.Incarnation = 19 }, true},
		{"another receiver", func(x *ward.Exchange) { x.To = "c" }, true},
		{"own name", func(x *ward.Exchange) { x.From = "a" }, true},
		{"incarnation ahead of time", func(x *ward.Exchange) { x.Incarnation = math.MaxUint64 }, true},
		{"share that is no number", func(x *ward.Exchange) { x.Moves = []ward.MoveState{{Move: "m", Share: math.NaN()}} }, true},
		{"host name", func(x *ward.Exchange) { x.States[0].Address = "example:80" }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := member.New(member.Settings{Fleet: "test", Self: self}, 1)
			if _, err := m.Receive(now, good); err != nil {
				t.Fatal(err)
			}
			x := good
			x.States = append([]ward.PeerState{}, good.States...)
			c.change(&x)
			_, err := m.Receive(now, x)
			if code.PeerRefused.Is(err) != c.refuse {
				t.Errorf("Receive() = %v, want refused %v", err, c.refuse)
			}
			if c.refuse && m.Stats().Refused != 1 {
				t.Errorf("refused = %d, want 1", m.Stats().Refused)
			}
		})
	}
}
