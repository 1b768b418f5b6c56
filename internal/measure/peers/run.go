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
	mostStart = 60 * time.Second
	// leastStart is the least time that bytes of a start are averaged over.
	leastStart = 10 * time.Second
	settle     = 5 * time.Second
	window     = 6 * time.Second
	// trials is how often news is spread; fleets above small have one, for time.
	trials = 2
	small  = 32
	// largest is the largest fleet whose start is run through.
	largest = 100
	// give is how long news may take before the trial counts as failed.
	give = 30 * time.Second
)

// Bytes that are not in an encoded message: the header and length of net/rpc,
// and a TCP segment with its acknowledgement.
const frameBytes = 28 + 104

// upstreams is on how many an entry has demand: its subset, whatever the number
// of all.
const upstreams = 16

// figure is what one size gave.
type figure struct {
	entries int
	// bytes and busiest are bytes a second of an entry, mean and most; start is
	// the most while all entries start in the same second, 0 when not measured.
	bytes, busiest, start float64
	// cpu is in cores of an entry, exchanges a second are those it begins.
	cpu, exchanges float64
	// brake, revision and floor are the longest of the trials.
	brake, revision, revisionNew, floor time.Duration
	// age is that of what an entry knows of another one, countsAge of its counts,
	// known how long it took until all knew all.
	age, countsAge, known time.Duration
	// countsKnown is the share of all series that an entry holds.
	countsKnown float64
	mesh, table baseline
}

// trial is a fleet under measurement.
type trial struct {
	ctx      context.Context
	fleet    *sim.Fleet
	began    time.Time
	bytes    []float64
	messages int
	err      error
	revision uint64
	brakes   int
	// busy says that entries have load, loaded when it changed last.
	busy   bool
	loaded time.Time
}

func run(ctx context.Context, n int, seed uint64) (figure, error) {
	t := &trial{ctx: ctx, bytes: make([]float64, n+trials)}
	t.fleet = sim.New(n, seed, sim.Network{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.01})
	t.began = t.fleet.Now
	t.fleet.OnMessage = t.count
	fig := figure{entries: n}
	spreads := trials
	if n > small {
		spreads = 1
	}
	t.start(&fig)
	t.accept(0)
	for i := range t.fleet.Entries {
		t.fleet.SetConfig(i, t.fleet.Entries[0].Config)
	}
	t.busy = true
	t.until(settle, never)
	t.steady(&fig)
	for i := range spreads {
		t.spread(&fig, i*(n-1)/trials)
	}
	var err error
	if fig.mesh, fig.table, err = baselines(t.fleet.Entries[0].Member.Self(), n); err != nil {
		return fig, err
	}
	return fig, t.err
}

// start lets all entries start in the same second. For the largest fleet that
// would take longer than an experiment may: its entries know each other already.
func (t *trial) start(fig *figure) {
	if fig.entries > largest {
		t.fleet.Introduce()
		t.until(3*settle, never)
		return
	}
	fig.known = t.until(mostStart, func() bool {
		return t.fleet.All(func(e *sim.Entry) bool { return e.Member.Live() == fig.entries })
	})
	fig.start = most(t.bytes) / max(fig.known, leastStart).Seconds()
}

// count encodes and decodes a message as the wire does.
func (t *trial) count(from, to int, m ward.Exchange) {
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

// steady measures the window in which nothing special happens.
func (t *trial) steady(fig *figure) {
	clear(t.bytes)
	t.messages = 0
	before := processCPU()
	t.until(window, never)
	n := float64(fig.entries)
	fig.cpu = (processCPU() - before).Seconds() / window.Seconds() / n
	fig.exchanges = float64(t.messages) / 2 / window.Seconds() / n
	for _, b := range t.bytes {
		fig.bytes += b / window.Seconds() / n
	}
	fig.busiest = most(t.bytes) / window.Seconds()
	t.ages(fig)
}

// spread measures a brake, a revision, one with an instance that starts then,
// and a floor, each set at one entry.
func (t *trial) spread(fig *figure, at int) {
	f := t.fleet
	t.brakes++
	brakes := t.brakes
	f.Update(at, func(m *member.Member, now time.Time) {
		m.AddQuarantines(now, ward.Quarantine{Serves: "menu", Version: fmt.Sprint(brakes), Route: "draft", Move: "menu-2", Ticket: 1, Reason: "fails", By: m.Self().Name})
	})
	fig.brake = max(fig.brake, t.until(give, func() bool {
		return f.All(func(e *sim.Entry) bool { return len(e.Member.Quarantines()) >= brakes })
	}))
	t.until(settle, never)
	t.accept(at)
	fig.revision = max(fig.revision, t.until(give, t.inForce))
	t.until(settle, never)
	t.accept(at)
	f.Add()
	fig.revisionNew = max(fig.revisionNew, t.until(give, t.inForce))
	t.until(settle, never)
	want := ward.ServesFloor{Serves: "menu", Need: ward.Tier(at%3 + 1), Floor: ward.Tier(at%3 + 1)}
	name := f.Entries[at].Member.Self().Name
	f.Update(at, func(m *member.Member, now time.Time) {
		s := m.Self()
		s.Floors = []ward.ServesFloor{want}
		m.SetSelf(now, s)
	})
	fig.floor = max(fig.floor, t.until(give, func() bool {
		return f.All(func(e *sim.Entry) bool {
			s, ok := e.Member.Peer(name)
			return !ok || len(s.Floors) == 1 && s.Floors[0] == want
		})
	}))
}

// accept puts the next revision in force at one entry.
func (t *trial) accept(at int) {
	t.revision++
	c := &ward.Config{Fleet: "test", Revision: t.revision, Ticket: t.revision, Moves: []ward.Move{{Name: "menu-2", Ticket: 1, Serves: "menu", From: "1", To: "2"}}}
	for i := range 30 {
		c.Upstreams = append(c.Upstreams, ward.Upstream{Name: fmt.Sprintf("engine-%02d", i), Kind: ward.KindEngine, Serves: "menu", Version: "1", Address: "10.1.0.1:8000", DataCentre: "cpt-1", Ticket: 1})
	}
	c.Upstreams[0].Ticket = t.revision
	t.fleet.Update(at, func(*member.Member, time.Time) { t.fleet.SetConfig(at, c) })
}

func (t *trial) inForce() bool {
	return t.fleet.All(func(e *sim.Entry) bool { return e.Config != nil && e.Config.Revision == t.revision })
}

// until lets time pass, second by second, with load.
func (t *trial) until(d time.Duration, done func() bool) time.Duration {
	start := t.fleet.Now
	for t.fleet.Now.Sub(start) < d && t.ctx.Err() == nil {
		if t.busy && t.fleet.Now.Sub(t.loaded) >= time.Second {
			t.loaded = t.fleet.Now
			t.load()
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

// load changes what every entry tells: demand, waiting requests, and counts that
// hold the second in which they were made.
func (t *trial) load() {
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

// ages sets the mean age of what entries know of others, and of their counts.
func (t *trial) ages(fig *figure) {
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

func most(list []float64) float64 {
	n := 0.0
	for _, x := range list {
		n = max(n, x)
	}
	return n
}
