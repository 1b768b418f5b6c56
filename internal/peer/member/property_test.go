package member_test

import (
	"fmt"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/peer/codec"
	"agateward/internal/peer/member"
	"agateward/internal/peer/sim"
	"agateward/ward"

	"pgregory.net/rapid"
)

// bytesPerSecond is the required bound on the control bytes of a node.
const bytesPerSecond = 16 << 10

// machine runs a fleet through a generated schedule.
type machine struct {
	fleet       *sim.Fleet
	started     time.Time
	revision    uint64
	quarantines int
	// lastCount is the number of quarantines that each member had.
	lastCount map[*member.Member]int
	// bytes is the encoded size of what each entry sent and received.
	bytes map[int]int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{lastCount: map[*member.Member]int{}, bytes: map[int]int{}}
	m.fleet = sim.New(rapid.IntRange(2, 9).Draw(t, "entries"), rapid.Uint64().Draw(t, "seed"), drawNetwork(t))
	m.started = m.fleet.Now
	m.fleet.OnMessage = func(from, to int, x ward.Exchange) {
		b, err := codec.Marshal(&x)
		if err != nil {
			t.Fatal(err)
		}
		m.bytes[from] += len(b)
		m.bytes[to] += len(b)
	}
	return m
}

func drawNetwork(t *rapid.T) sim.Network {
	return sim.Network{
		Delay:     time.Duration(rapid.IntRange(1, 20).Draw(t, "delay ms")) * time.Millisecond,
		Jitter:    time.Duration(rapid.IntRange(0, 100).Draw(t, "spread ms")) * time.Millisecond,
		Loss:      rapid.Float64Range(0, 0.1).Draw(t, "loss"),
		Duplicate: rapid.Float64Range(0, 0.1).Draw(t, "repeat"),
	}
}

// drawLive draws a live entry, or returns -1 when there is none.
func (m *machine) drawLive(t *rapid.T) int {
	var list []int
	for i, e := range m.fleet.Entries {
		if e.Member != nil {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return -1
	}
	return rapid.SampledFrom(list).Draw(t, "entry")
}

func (m *machine) acceptConfig(t *rapid.T) {
	if i := m.drawLive(t); i >= 0 {
		m.revision++
		m.fleet.Update(i, func(*member.Member, time.Time) { m.fleet.SetConfig(i, config(m.revision)) })
	}
}

func (m *machine) addQuarantine(t *rapid.T) {
	if i := m.drawLive(t); i >= 0 {
		m.quarantines++
		q := quarantine
		q.Version = fmt.Sprint(m.quarantines)
		m.fleet.Update(i, func(x *member.Member, now time.Time) { x.AddQuarantines(now, q) })
	}
}

// addLoad gives a drawn entry much state to send.
func (m *machine) addLoad(t *rapid.T) {
	i := m.drawLive(t)
	if i < 0 {
		return
	}
	setLoad(m.fleet, i, ward.Tier(rapid.IntRange(1, 4).Draw(t, "floor")))
}

// setLoad gives an entry a floor, demand on 40 upstreams and 20 series of counts.
func setLoad(f *sim.Fleet, i int, floor ward.Tier) {
	count := uint64(f.Now.Unix())
	f.Update(i, func(x *member.Member, now time.Time) {
		s := x.Self()
		s.Floor = floor
		for u := range 40 {
			s.Demand = append(s.Demand, ward.Demand{Upstream: fmt.Sprintf("engine-%d", u), InFlight: u, Waiting: 1000 * u})
		}
		x.SetSelf(now, s)
		for r := range 20 {
			c := ward.Counts{Serves: "menu", Version: "2", Route: fmt.Sprint(r), Move: "m", Entry: s.Name, Incarnation: s.Incarnation, Succeeded: count}
			for b := range c.Latency {
				c.Latency[b] = count
			}
			x.AddCounts(now, c)
		}
	})
}

// check verifies the invariants of every state.
func (m *machine) check(t *rapid.T) {
	passed := m.fleet.Now.Sub(m.started).Seconds()
	for i, e := range m.fleet.Entries {
		// An entry may be two seconds' worth of bytes ahead of its rate.
		if bound := bytesPerSecond * (passed + 2); float64(m.bytes[i]) > bound {
			t.Fatalf("entry %d: %d bytes in %.1f s, want at most %.0f", i, m.bytes[i], passed, bound)
		}
		if e.Reverts > 0 {
			t.Fatalf("entry %d was handed a lower revision", i)
		}
		if e.Member == nil {
			continue
		}
		if n := len(e.Member.Quarantines()); n < m.lastCount[e.Member] {
			t.Fatalf("entry %d lost a quarantine: %d of %d", i, n, m.lastCount[e.Member])
		}
		m.lastCount[e.Member] = len(e.Member.Quarantines())
	}
}

// TestFleetConverges generates schedules of kills, starts, pauses and partitions,
// and expects all live entries to agree a while after the last one.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"accept": m.acceptConfig,
			"brake":  m.addQuarantine,
			"load":   m.addLoad,
			"pass": func(t *rapid.T) {
				m.fleet.Run(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"kill": func(t *rapid.T) {
				if i := m.drawLive(t); i >= 0 {
					m.fleet.Kill(i)
				}
			},
			"start": func(t *rapid.T) {
				for i, e := range m.fleet.Entries {
					if e.Member == nil {
						m.fleet.Start(i)
						return
					}
				}
			},
			"pause": func(t *rapid.T) {
				if i := m.drawLive(t); i >= 0 {
					m.fleet.Pause(i, time.Duration(rapid.IntRange(1, 10).Draw(t, "s"))*time.Second)
				}
			},
			"part": func(t *rapid.T) {
				at := rapid.IntRange(0, len(m.fleet.Entries)).Draw(t, "at")
				m.fleet.Partitioned = func(a, b int) bool { return a < at != (b < at) }
			},
			"heal": func(*rapid.T) { m.fleet.Partitioned = nil },
		})
		m.fleet.Partitioned = nil
		m.fleet.Run(30 * time.Second)
		m.check(t)
		m.checkConverged(t)
	})
}

// checkConverged fails when live entries differ.
func (m *machine) checkConverged(t *rapid.T) {
	live, revision, quarantines := 0, uint64(0), map[string]bool{}
	for _, e := range m.fleet.Entries {
		if e.Member == nil {
			continue
		}
		live++
		if e.Config != nil {
			revision = max(revision, e.Config.Revision)
		}
		for _, q := range e.Member.Quarantines() {
			quarantines[q.Version] = true
		}
	}
	for i, e := range m.fleet.Entries {
		if e.Member == nil {
			continue
		}
		if n := e.Member.Live(); n != live {
			t.Errorf("entry %d counts %d live entries of %d", i, n, live)
		}
		if n := len(e.Member.Quarantines()); n != len(quarantines) {
			t.Errorf("entry %d has %d quarantines of %d", i, n, len(quarantines))
		}
		if revision > 0 && (e.Config == nil || e.Config.Revision != revision) {
			t.Errorf("entry %d lacks revision %d", i, revision)
		}
	}
}

// TestQuarantineSpreadsWithin3s checks that a quarantine reaches every entry
// within 3 s and a revision within 5 s, under load, whatever the network does to
// messages, with an entry killed at the same moment, and at an instance that
// starts then. The store takes no part.
func TestQuarantineSpreadsWithin3s(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.fleet.Run(10 * time.Second)
		m.acceptConfig(t)
		m.fleet.Run(5 * time.Second)
		for range 3 {
			m.addLoad(t)
		}
		m.addQuarantine(t)
		m.acceptConfig(t)
		by, revision := m.fleet.Now, m.revision
		if len(m.fleet.Entries) > 3 && rapid.Bool().Draw(t, "kill") {
			i := m.drawLive(t)
			if e := m.fleet.Entries[i]; len(e.Member.Quarantines()) == 0 && e.Config.Revision < revision {
				m.fleet.Kill(i)
			}
		}
		took, ok := m.fleet.RunUntil(3*time.Second, func() bool { return m.fleet.All(hasQuarantine) })
		if !ok {
			t.Errorf("the quarantine has not reached every entry after %v", took)
		}
		m.fleet.Add()
		left := 5*time.Second - m.fleet.Now.Sub(by)
		if took, ok := m.fleet.RunUntil(min(left, 3*time.Second), func() bool { return m.fleet.All(hasQuarantine) }); !ok {
			t.Errorf("the new instance has no quarantine after %v", took)
		}
		left = 5*time.Second - m.fleet.Now.Sub(by)
		if _, ok := m.fleet.RunUntil(left, func() bool {
			return m.fleet.All(func(e *sim.Entry) bool { return e.Config != nil && e.Config.Revision == revision })
		}); !ok {
			t.Errorf("the revision has not reached every entry after %v", m.fleet.Now.Sub(by))
		}
		m.check(t)
	})
}

// FuzzReceive feeds a member any message that decodes; it must keep working.
func FuzzReceive(f *testing.F) {
	now := time.Unix(1000, 0)
	good := ward.Exchange{Fleet: "test", Protocol: member.Protocol, From: "b", Incarnation: 20, Revision: 3, Buckets: make([]uint32, 16),
		States:     []ward.PeerState{{Name: "b", Address: "10.0.0.2:7102", Incarnation: 20, Seq: 1, Demand: []ward.Demand{{Upstream: "u"}}}},
		Heartbeats: []ward.Heartbeat{{Entry: 1, Seq: 2, Suspect: true}}, Quarantines: []ward.Quarantine{quarantine}, Counts: []ward.Counts{{Serves: "menu", Entry: "b", Incarnation: 20}},
		Moves: []ward.MoveState{{Move: "m", Revision: 4}}, Config: config(3), Delta: &ward.ConfigDelta{Base: 2, Config: *config(3)}}
	b, err := codec.Marshal(&good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var x ward.Exchange
		if codec.Unmarshal(b, &x) != nil {
			return
		}
		m := member.New(member.Settings{Fleet: "test", Self: ward.PeerState{Name: "a", Address: "10.0.0.1:7102", Incarnation: 10}}, 1)
		m.SetConfig(now, config(2))
		_, _ = m.Receive(now, x)
		m.Tick(now.Add(time.Second))
		if c := m.TakeConfig(); c != nil && c.Revision <= 2 {
			t.Errorf("revision %d was taken after 2", c.Revision)
		}
		if _, err := m.Receive(now.Add(time.Minute), ward.Exchange{Fleet: "test", Protocol: member.Protocol, From: "c", Incarnation: 5}); err != nil {
			t.Errorf("a valid message after it: %v", err)
		}
	})
}

// TestRevisionUnderLoad is a schedule that TestFleetConverges found: of two
// entries, one has much to send to the other, which was paused and has a later
// revision.
func TestRevisionUnderLoad(t *testing.T) {
	f := sim.New(2, 0, sim.Network{Delay: time.Millisecond, Loss: 1.0 / 256, Duplicate: 0.1})
	f.Pause(1, 3*time.Second)
	for _, floor := range []ward.Tier{1, 4} {
		setLoad(f, 0, floor)
	}
	f.Update(0, func(*member.Member, time.Time) { f.SetConfig(0, config(1)) })
	f.Update(1, func(*member.Member, time.Time) { f.SetConfig(1, config(2)) })
	f.Run(3 * time.Second)
	if took, ok := f.RunUntil(5*time.Second, func() bool {
		return f.All(func(e *sim.Entry) bool { return e.Config.Revision == 2 })
	}); !ok {
		t.Errorf("the revision has not reached every entry after %v", took)
	}
}
