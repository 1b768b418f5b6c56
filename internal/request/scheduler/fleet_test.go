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

// call is one request as the test knows it.
type call struct {
	tier       ward.Tier
	entry      int
	arrived    time.Time
	dispatched time.Time
	ended      time.Time
	refused    time.Time
	code       code.Code
}

// fleet runs several schedulers against each other; their news is delayed, lost,
// repeated and reordered.
type fleet struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	entries []*scheduler.Scheduler
	dead    []bool
	died    []time.Time
	heard   [][]ward.PeerState
	mail    []letter
	calls   map[string]*call
	ids     []string
	apart   bool
	loss    float64
}

type letter struct {
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
		f.died = append(f.died, time.Time{})
		states := make([]ward.PeerState, n)
		for k := range states {
			states[k].Name = name(k)
		}
		f.heard = append(f.heard, states)
	}
	return f
}

func name(i int) string { return fmt.Sprint("entry-", i) }

func (f *fleet) act(entry int, acts []scheduler.Action) {
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
	f.act(entry, f.entries[entry].Arrive(f.now, r))
}

// pass lets one step go by: engines answer, news travels, entries tick.
func (f *fleet) pass() {
	f.now = f.now.Add(step)
	f.answer()
	f.tell()
	f.deliver()
	for i, s := range f.entries {
		if !f.dead[i] {
			f.act(i, s.Tick(f.now))
		}
	}
}

func (f *fleet) answer() {
	for _, id := range f.ids {
		c := f.calls[id]
		if c.dispatched.IsZero() || !c.ended.IsZero() || f.dead[c.entry] {
			continue
		}
		s := f.entries[c.entry]
		switch age := f.now.Sub(c.dispatched); {
		case age >= 3*time.Second:
			c.ended = f.now
			f.act(c.entry, s.End(f.now, id, ward.Outcome{OK: true, Connected: true, OutputTokens: 50}))
		case age >= 500*time.Millisecond:
			s.FirstToken(f.now, id)
		}
	}
}

func (f *fleet) tell() {
	for i, s := range f.entries {
		if f.dead[i] || f.now.Sub(start)%(2*step) != 0 {
			continue
		}
		st := s.State()
		msg := ward.PeerState{Name: name(i), Seq: uint64(f.now.UnixNano()), Floor: st.Floor, Floors: st.Floors, Waiting: st.Waiting, Demand: st.Demand}
		for k := range f.entries {
			if k == i || f.apart && k%2 != i%2 || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				delay := time.Duration(f.rng.Float64() * float64(maxDelay))
				f.mail = append(f.mail, letter{f.now.Add(delay), k, i, msg})
			}
		}
	}
}

func (f *fleet) deliver() {
	var kept []letter
	for _, l := range f.mail {
		if l.at.After(f.now) {
			kept = append(kept, l)
			continue
		}
		if old := &f.heard[l.to][l.from]; l.state.Seq > old.Seq {
			*old = l.state
		}
	}
	f.mail = kept
	for i, s := range f.entries {
		var live []ward.PeerState
		for k, st := range f.heard[i] {
			if k != i && !f.dead[k] && (!f.apart || k%2 == i%2) {
				live = append(live, st)
			}
		}
		if !f.dead[i] {
			f.act(i, s.SetPeers(f.now, live))
		}
	}
}

func (f *fleet) crash(i int) {
	if !f.dead[i] {
		f.dead[i] = true
		f.died[i] = f.now
	}
}

// heardOf tells whether the peers of an entry could hear what it did at a time.
func (f *fleet) heardOf(i int, at time.Time) bool {
	return !f.dead[i] || f.died[i].Sub(at) >= peerWindow
}

// checkOrder fails when a request was refused for want of capacity and a
// lower-tier one that had come before was still waiting or dispatched later than
// the window allows.
func (f *fleet) checkOrder() {
	for _, id := range f.ids {
		high := f.calls[id]
		if high.refused.IsZero() || !shedding(high) || !f.heardOf(high.entry, high.refused) {
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

// shedding tells whether a refusal was for want of capacity. One that came with
// less time than the window was hardly feasible.
func shedding(c *call) bool {
	byLoad := []int{code.Shed.Number, code.QueueFull.Number, code.Displaced.Number, code.DeadlinePassed.Number}
	if !slices.Contains(byLoad, c.code.Number) {
		return false
	}
	return c.code.Number != code.DeadlinePassed.Number || c.refused.Sub(c.arrived) >= peerWindow
}

// TestFleetOrder runs bursts, crashes and bad news between entries: every
// request is decided once, and no tier is shed before a lower one.
func TestFleetOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(4, 12).Draw(t, "phases") {
			burst := rapid.IntRange(0, 12).Draw(t, "burst")
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				for range burst {
					f.arrive(ward.Tier(1 + f.rng.IntN(ward.TierCount)))
				}
				f.pass()
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				f.crash(f.rng.IntN(len(f.dead) - 1))
			}
		}
		for range 30 {
			f.pass()
		}
		f.checkOrder()
	})
}

// TestApart shows that each group keeps the order among its own while groups of
// entries can't hear each other.
func TestApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.apart = true
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 8).Draw(t, "burst") {
				f.arrive(ward.Tier(1 + f.rng.IntN(ward.TierCount)))
			}
			f.pass()
		}
		for range 30 {
			f.pass()
		}
		for group := range 2 {
			f.groupOrder(group)
		}
	})
}

func (f *fleet) groupOrder(group int) {
	all := f.ids
	f.ids = slices.DeleteFunc(slices.Clone(all), func(id string) bool { return f.calls[id].entry%2 != group })
	f.checkOrder()
	f.ids = all
}
