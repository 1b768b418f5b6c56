package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/scheduler"
	"agateward/internal/result/code"
	"agateward/ward"

	"pgregory.net/rapid"
)

const (
	step       = 50 * time.Millisecond
	peerWindow = time.Second
	maxDelay   = 400 * time.Millisecond
)

// call is what the test records of one request.
type call struct {
	tier       ward.Tier
	entry      int
	arrived    time.Time
	dispatched time.Time
	ended      time.Time
	refused    time.Time
	code       code.Code
}

// fleet runs several schedulers whose messages to each other are delayed, lost,
// duplicated and reordered.
type fleet struct {
	t           *rapid.T
	rng         *rand.Rand
	now         time.Time
	entries     []*scheduler.Scheduler
	dead        []bool
	crashedAt   []time.Time
	received    [][]ward.PeerState
	messages    []message
	calls       map[string]*call
	ids         []string
	partitioned bool
	loss        float64
}

type message struct {
	at       time.Time
	to, from int
	state    ward.PeerState
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: start, calls: map[string]*call{}, loss: rapid.Float64Range(0, 0.2).Draw(t, "loss")}
	f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	n := rapid.IntRange(2, 4).Draw(t, "entries")
	cfg := config(rapid.IntRange(1, 3).Draw(t, "engines"))
	for i := range n {
		s := scheduler.New(scheduler.Settings{Self: name(i), MaxWaiting: 50}, uint64(i))
		s.Configure(f.now, cfg)
		f.entries = append(f.entries, s)
		f.dead = append(f.dead, false)
		f.crashedAt = append(f.crashedAt, time.Time{})
		states := make([]ward.PeerState, n)
		for k := range states {
			states[k].Name = name(k)
		}
		f.received = append(f.received, states)
	}
	return f
}

func name(i int) string { return fmt.Sprint("entry-", i) }

func (f *fleet) apply(entry int, acts []scheduler.Action) {
	for _, a := range acts {
		c := f.calls[a.ID]
		if c.entry != entry || !c.dispatched.IsZero() || !c.refused.IsZero() {
			f.t.Fatalf("%s: a second decision %+v after %+v", a.ID, a, *c)
		}
		if a.Kind == scheduler.Dispatch {
			c.dispatched = f.now
			continue
		}
		c.refused = f.now
		c.code = a.Code
	}
}

func (f *fleet) arrive(tier ward.Tier) {
	entry := f.rng.IntN(len(f.entries))
	if f.dead[entry] {
		return
	}
	id := fmt.Sprint("r", len(f.ids))
	f.ids = append(f.ids, id)
	f.calls[id] = &call{tier: tier, entry: entry, arrived: f.now}
	r := request(id, tier, f.now)
	r.PromptTokens = 200 + f.rng.IntN(3000)
	r.FirstToken = time.Duration(2+2*f.rng.IntN(3)) * time.Second
	f.apply(entry, f.entries[entry].Arrive(f.now, r))
}

// advance simulates one step: engines answer, messages are sent and delivered,
// and entries tick.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	f.answerCalls()
	f.broadcast()
	f.deliver()
	for i, s := range f.entries {
		if !f.dead[i] {
			f.apply(i, s.Tick(f.now))
		}
	}
}

func (f *fleet) answerCalls() {
	for _, id := range f.ids {
		c := f.calls[id]
		if c.dispatched.IsZero() || !c.ended.IsZero() || f.dead[c.entry] {
			continue
		}
		s := f.entries[c.entry]
		switch age := f.now.Sub(c.dispatched); {
		case age >= 3*time.Second:
			c.ended = f.now
			f.apply(c.entry, s.End(f.now, id, ward.Outcome{OK: true, Connected: true, OutputTokens: 50}))
		case age >= 500*time.Millisecond:
			s.FirstToken(f.now, id)
		}
	}
}

func (f *fleet) broadcast() {
	for i, s := range f.entries {
		if f.dead[i] || f.now.Sub(start)%(2*step) != 0 {
			continue
		}
		st := s.State()
		msg := ward.PeerState{Name: name(i), Seq: uint64(f.now.UnixNano()), Floor: st.Floor, Floors: st.Floors, Waiting: st.Waiting, Demand: st.Demand}
		for k := range f.entries {
			if k == i || f.partitioned && k%2 != i%2 || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				delay := time.Duration(f.rng.Float64() * float64(maxDelay))
				f.messages = append(f.messages, message{f.now.Add(delay), k, i, msg})
			}
		}
	}
}

func (f *fleet) deliver() {
	var kept []message
	for _, m := range f.messages {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		if old := &f.received[m.to][m.from]; m.state.Seq > old.Seq {
			*old = m.state
		}
	}
	f.messages = kept
	for i, s := range f.entries {
		var live []ward.PeerState
		for k, st := range f.received[i] {
			if k != i && !f.dead[k] && (!f.partitioned || k%2 == i%2) {
				live = append(live, st)
			}
		}
		if !f.dead[i] {
			f.apply(i, s.SetPeers(f.now, live))
		}
	}
}

func (f *fleet) crash(i int) {
	if !f.dead[i] {
		f.dead[i] = true
		f.crashedAt[i] = f.now
	}
}

// peersInformed reports whether the peers of an entry could learn what it did at
// a time.
func (f *fleet) peersInformed(i int, at time.Time) bool {
	return !f.dead[i] || f.crashedAt[i].Sub(at) >= peerWindow
}

// checkOrder fails if, after a request was refused for lack of capacity, an
// earlier request of a lower tier was still waiting or was dispatched later than
// the window allows.
func (f *fleet) checkOrder() {
	for _, id := range f.ids {
		high := f.calls[id]
		if high.refused.IsZero() || !refusedByLoad(high) || !f.peersInformed(high.entry, high.refused) {
			continue
		}
		limit := high.refused.Add(peerWindow)
		for _, other := range f.ids {
			low := f.calls[other]
			if low.tier <= high.tier || !low.arrived.Before(high.refused) || f.dead[low.entry] {
				continue
			}
			waits := low.dispatched.IsZero() && low.refused.IsZero() && f.now.After(limit)
			if waits || low.dispatched.After(limit) || low.refused.After(limit) {
				f.t.Fatalf("%s of tier %d was shed (%s) at %v, and %s of tier %d, there since %v, was still waiting a second later: %+v",
					id, high.tier, high.code, high.refused.Sub(start), other, low.tier, low.arrived.Sub(start), *low)
			}
		}
	}
}

// refusedByLoad reports whether a request was refused for lack of capacity. One
// that arrived with less time than the window was hardly feasible and doesn't
// count.
func refusedByLoad(c *call) bool {
	byLoad := []int{code.Shed.Number, code.QueueFull.Number, code.Displaced.Number, code.DeadlinePassed.Number}
	if !slices.Contains(byLoad, c.code.Number) {
		return false
	}
	return c.code.Number != code.DeadlinePassed.Number || c.refused.Sub(c.arrived) >= peerWindow
}

// TestFleetOrder runs bursts, crashes and unreliable messages between entries:
// every request is decided once, and no tier is shed before a lower one.
func TestFleetOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(4, 12).Draw(t, "phases") {
			burst := rapid.IntRange(0, 12).Draw(t, "burst")
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				for range burst {
					f.arrive(ward.Tier(1 + f.rng.IntN(ward.TierCount)))
				}
				f.advance()
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				f.crash(f.rng.IntN(len(f.dead) - 1))
			}
		}
		for range 30 {
			f.advance()
		}
		f.checkOrder()
	})
}

// TestFleetOrderWhenPartitioned checks that each group of entries keeps the order
// among its own requests while the groups can't exchange messages.
func TestFleetOrderWhenPartitioned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.partitioned = true
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 8).Draw(t, "burst") {
				f.arrive(ward.Tier(1 + f.rng.IntN(ward.TierCount)))
			}
			f.advance()
		}
		for range 30 {
			f.advance()
		}
		for group := range 2 {
			f.checkGroupOrder(group)
		}
	})
}

func (f *fleet) checkGroupOrder(group int) {
	all := f.ids
	f.ids = slices.DeleteFunc(slices.Clone(all), func(id string) bool { return f.calls[id].entry%2 != group })
	f.checkOrder()
	f.ids = all
}
