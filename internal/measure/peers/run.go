package peers

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/peer/codec"
	"agateward/internal/peer/member"
	"agateward/internal/peer/sim"
	"agateward/ward"
)

// Lengths of the parts of a run, in virtual time.
const (
	maxStartTime = 60 * time.Second
	// minStartWindow is the minimum time over which the bytes of a start are
	// averaged.
	minStartWindow = 10 * time.Second
	settle         = 5 * time.Second
	window         = 6 * time.Second
	// trials is the number of propagation trials. Fleets larger than smallFleet have
	// one, to keep the experiment short.
	trials     = 2
	smallFleet = 32
	// maxStartFleet is the size of the largest fleet whose start is simulated.
	maxStartFleet = 100
	// timeout is the time after which a propagation trial ends and counts as failed.
	timeout = 30 * time.Second
)

// frameBytes is the overhead of a message beyond its encoding: the header and
// length of net/rpc, and a TCP segment with its acknowledgement.
const frameBytes = 28 + 104

// upstreams is the number of upstreams on which an entry has demand. It is the
// size of the entry's subset, which doesn't depend on the number of all upstreams.
const upstreams = 16

// sizeResult is the result of one fleet size.
type sizeResult struct {
	entries int
	// bytes and busiest are the mean and the maximum of an entry's bytes a second.
	// start is the maximum while all entries start in the same second, 0 when not
	// measured.
	bytes, busiest, start float64
	// cpu is the CPU time of an entry in cores, exchanges the number that it begins
	// a second.
	cpu, exchanges float64
	// quarantine, revision, revisionNew and floor are the longest propagation times
	// of the trials.
	quarantine, revision, revisionNew, floor time.Duration
	// age is the mean age of the peer states that an entry holds, countsAge that of
	// the counts. known is the time until all entries knew all others.
	age, countsAge, known time.Duration
	// countsKnown is the share of all series of counts that an entry holds.
	countsKnown float64
	mesh, table baseline
}

// measurement is a fleet being measured.
type measurement struct {
	ctx         context.Context
	fleet       *sim.Fleet
	began       time.Time
	bytes       []float64
	messages    int
	err         error
	revision    uint64
	quarantines int
	// loaded reports whether entries have load; lastLoad is when it last changed.
	loaded   bool
	lastLoad time.Time
}

func run(ctx context.Context, n int, seed uint64) (sizeResult, error) {
	t := &measurement{ctx: ctx, bytes: make([]float64, n+trials)}
	t.fleet = sim.New(n, seed, sim.Network{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.01})
	t.began = t.fleet.Now
	t.fleet.OnMessage = t.count
	fig := sizeResult{entries: n}
	spreads := trials
	if n > smallFleet {
		spreads = 1
	}
	t.measureStart(&fig)
	t.acceptRevision(0)
	for i := range t.fleet.Entries {
		t.fleet.SetConfig(i, t.fleet.Entries[0].Config)
	}
	t.loaded = true
	t.runUntil(settle, never)
	t.measureSteady(&fig)
	for i := range spreads {
		t.measureSpread(&fig, i*(n-1)/trials)
	}
	var err error
	if fig.mesh, fig.table, err = baselines(t.fleet.Entries[0].Member.Self(), n); err != nil {
		return fig, err
	}
	return fig, t.err
}

// measureStart starts all entries in the same second and measures until they know
// each other. Fleets above maxStartFleet would exceed the time limit of an
// experiment, so their entries know each other from the start.
func (t *measurement) measureStart(fig *sizeResult) {
	if fig.entries > maxStartFleet {
		t.fleet.Introduce()
		t.runUntil(3*settle, never)
		return
	}
	fig.known = t.runUntil(maxStartTime, func() bool {
		return t.fleet.All(func(e *sim.Entry) bool { return e.Member.Live() == fig.entries })
	})
	fig.start = largest(t.bytes) / max(fig.known, minStartWindow).Seconds()
}

// count encodes and decodes a message, as sending it would, and counts its bytes.
func (t *measurement) count(from, to int, m ward.Exchange) {
	b, err := codec.Marshal(&m)
	if err == nil {
		var got ward.Exchange
		err = codec.Unmarshal(b, &got)
	}
	if err != nil {
		t.err = err
	}
	t.messages++
	t.bytes[from] += float64(len(b) + frameBytes)
	t.bytes[to] += float64(len(b) + frameBytes)
}

// measureSteady measures a window without changes other than load.
func (t *measurement) measureSteady(fig *sizeResult) {
	clear(t.bytes)
	t.messages = 0
	before := processCPU()
	t.runUntil(window, never)
	n := float64(fig.entries)
	fig.cpu = (processCPU() - before).Seconds() / window.Seconds() / n
	fig.exchanges = float64(t.messages) / 2 / window.Seconds() / n
	for _, b := range t.bytes {
		fig.bytes += b / window.Seconds() / n
	}
	fig.busiest = largest(t.bytes) / window.Seconds()
	t.measureAges(fig)
}

// measureSpread measures the propagation of a quarantine, a revision, a revision
// while a new entry starts, and a floor, each set at one entry.
func (t *measurement) measureSpread(fig *sizeResult, at int) {
	f := t.fleet
	t.quarantines++
	quarantines := t.quarantines
	f.Update(at, func(m *member.Member, now time.Time) {
		m.AddQuarantines(now, ward.Quarantine{Serves: "menu", Version: fmt.Sprint(quarantines), Route: "draft", Move: "menu-2", Ticket: 1, Reason: "fails", By: m.Self().Name})
	})
	fig.quarantine = max(fig.quarantine, t.runUntil(timeout, func() bool {
		return f.All(func(e *sim.Entry) bool { return len(e.Member.Quarantines()) >= quarantines })
	}))
	t.runUntil(settle, never)
	t.acceptRevision(at)
	fig.revision = max(fig.revision, t.runUntil(timeout, t.inForce))
	t.runUntil(settle, never)
	t.acceptRevision(at)
	f.Add()
	fig.revisionNew = max(fig.revisionNew, t.runUntil(timeout, t.inForce))
	t.runUntil(settle, never)
	want := ward.ServesFloor{Serves: "menu", Need: ward.Tier(at%3 + 1), Floor: ward.Tier(at%3 + 1)}
	name := f.Entries[at].Member.Self().Name
	f.Update(at, func(m *member.Member, now time.Time) {
		s := m.Self()
		s.Floors = []ward.ServesFloor{want}
		m.SetSelf(now, s)
	})
	fig.floor = max(fig.floor, t.runUntil(timeout, func() bool {
		return f.All(func(e *sim.Entry) bool {
			s, ok := e.Member.Peer(name)
			return !ok || len(s.Floors) == 1 && s.Floors[0] == want
		})
	}))
}

// acceptRevision puts the next revision of the configuration in force at one
// entry.
func (t *measurement) acceptRevision(at int) {
	t.revision++
	c := &ward.Config{Fleet: "test", Revision: t.revision, Ticket: t.revision, Moves: []ward.Move{{Name: "menu-2", Ticket: 1, Serves: "menu", From: "1", To: "2"}}}
	for i := range 30 {
		c.Upstreams = append(c.Upstreams, ward.Upstream{Name: fmt.Sprintf("engine-%02d", i), Kind: ward.KindEngine, Serves: "menu", Version: "1", Address: "10.1.0.1:8000", DataCentre: "cpt-1", Ticket: 1})
	}
	c.Upstreams[0].Ticket = t.revision
	t.fleet.Update(at, func(*member.Member, time.Time) { t.fleet.SetConfig(at, c) })
}

func (t *measurement) inForce() bool {
	return t.fleet.All(func(e *sim.Entry) bool { return e.Config != nil && e.Config.Revision == t.revision })
}

// runUntil advances the time by d, or until done, and changes the load every
// second. It returns the time that passed.
func (t *measurement) runUntil(d time.Duration, done func() bool) time.Duration {
	start := t.fleet.Now
	for t.fleet.Now.Sub(start) < d && t.ctx.Err() == nil {
		if t.loaded && t.fleet.Now.Sub(t.lastLoad) >= time.Second {
			t.lastLoad = t.fleet.Now
			t.changeLoad()
		}
		if _, ok := t.fleet.RunUntil(min(time.Second, d-t.fleet.Now.Sub(start)), done); ok {
			break
		}
	}
	if t.err == nil {
		t.err = t.ctx.Err()
	}
	return t.fleet.Now.Sub(start)
}

// changeLoad changes the state that every entry sends: demand, waiting requests,
// and counts. Succeeded holds the second in which the counts were made, from which
// measureAges derives their age.
func (t *measurement) changeLoad() {
	second := uint64(t.fleet.Now.Sub(t.began) / time.Second)
	for i := range t.fleet.Entries {
		t.fleet.Update(i, func(m *member.Member, now time.Time) {
			s := m.Self()
			s.Waiting[2] = int(second) % 7
			s.Demand = nil
			for u := range upstreams {
				s.Demand = append(s.Demand, ward.Demand{Upstream: fmt.Sprintf("engine-%03d", (i+u)%750), InFlight: 10 + u, Prefill: 9000, Waiting: int(second)})
			}
			m.SetSelf(now, s)
			for _, version := range []string{"1", "2"} {
				c := ward.Counts{Serves: "menu", Version: version, Route: "draft", Move: "menu-2", Entry: s.Name, Incarnation: s.Incarnation, Succeeded: second}
				for b := 8; b < 16; b++ {
					c.Latency[b] = second * uint64(b)
				}
				m.AddCounts(now, c)
			}
		})
	}
}

// measureAges sets the mean age of the peer states and of the counts that entries
// hold, and the share of all counts.
func (t *measurement) measureAges(fig *sizeResult) {
	var state, counts time.Duration
	second := uint64(t.fleet.Now.Sub(t.began) / time.Second)
	var states, series int
	for _, e := range t.fleet.Entries {
		for _, p := range e.Member.Peers(t.fleet.Now) {
			if p.Live {
				state += p.Age
				states++
			}
		}
		for _, c := range e.Member.Counts() {
			counts += time.Duration(second-c.Succeeded) * time.Second
			series++
		}
	}
	fig.age = state / time.Duration(max(states, 1))
	fig.countsAge = counts / time.Duration(max(series, 1))
	fig.countsKnown = float64(series) / float64(2*fig.entries*fig.entries)
}

func never() bool { return false }

func largest(list []float64) float64 {
	n := 0.0
	for _, x := range list {
		n = max(n, x)
	}
	return n
}
