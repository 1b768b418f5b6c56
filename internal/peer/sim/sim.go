// Package sim provides several entries' membership deciders on virtual time,
// joined by a small fake network that loses, delays, repeats and reorders
// messages. Tests and measurements use it.
//
// # Usage
//
//	f := sim.New(8, 1, sim.Network{Delay: time.Millisecond, Spread: 20 * time.Millisecond, Loss: 0.1})
//	f.Run(5 * time.Second)
//	f.Change(0, func(m *member.Member, now time.Time) { m.AddBrakes(now, brake) })
//	took, ok := f.Until(3*time.Second, func() bool { return f.All(hasBrake) })
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/peer/member"
	"agateward/ward"
)

// Network says what happens to a message.
type Network struct {
	// Delay is the least time of one way, Spread what chance adds at most.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Repeat are probabilities of one message.
	Loss      float64
	Duplicate float64
}

// Times as in package gossip.
const (
	sendTimeout = time.Second
	urgentGap   = 50 * time.Millisecond
	rosterEvery = 15 * time.Second
	// lookEvery is how often Until looks.
	lookEvery = 10 * time.Millisecond
)

// Fleet is a number of entries. Make one with New.
type Fleet struct {
	Now     time.Time
	Network Network
	// Partitioned tells whether two entries cannot hear each other; nil means none.
	Partitioned func(a, b int) bool
	// OnMessage sees every message that is sent.
	OnMessage func(from, to int, m ward.Exchange)
	// ListLag is how late the platform's list shows what has changed.
	ListLag time.Duration
	// Entries are the entries by index; a dead one has no Member.
	Entries []*Entry

	random *rand.Rand
	seed   uint64
	events queue
	order  uint64
	names  map[string]int
}

// Entry is one entry of a fleet.
type Entry struct {
	Member *member.Member
	// Config is the configuration in force, Reverts counts how often a lower
	// revision took its place, which must never be.
	Config  *ward.Config
	Reverts int
	// PausedUntil is the end of a pause.
	PausedUntil time.Time

	run    int
	name   string
	next   time.Time
	last   time.Time
	listed time.Time
}

// New returns a fleet whose entries start within one interval.
func New(n int, seed uint64, network Network) *Fleet {
	f := &Fleet{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Network: network, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), names: map[string]int{}}
	for range n {
		f.Add()
	}
	return f
}

// Add starts one more entry and returns its index.
func (f *Fleet) Add() int {
	i := len(f.Entries)
	e := &Entry{name: fmt.Sprintf("entry-%03d", i), listed: f.Now}
	f.names[e.name] = i
	f.Entries = append(f.Entries, e)
	f.Start(i)
	return i
}

// Start starts an entry, or starts a dead one again, with nothing kept.
func (f *Fleet) Start(i int) {
	e := f.Entries[i]
	e.run++
	e.Config = nil
	self := ward.PeerState{
		Name: e.name, Address: address(i), Operator: address(i), DataCentre: fmt.Sprintf("dc-%d", i%7),
		Incarnation: ward.Incarnation(f.Now.UnixNano() + int64(e.run)), Floor: ward.TierBottom,
	}
	e.Member = member.New(member.Settings{Fleet: "test", Self: self}, f.seed+uint64(i))
	run := e.run
	f.at(f.Now, func() { f.roster(i, run) })
	e.next = f.Now.Add(time.Duration(f.random.Int64N(int64(member.DefaultInterval))))
	f.tickAt(i, e.run, e.next)
}

// Introduce makes all entries known to each other, as they are long after their
// start.
func (f *Fleet) Introduce() {
	var states []ward.PeerState
	for _, e := range f.Entries {
		if e.Member != nil {
			states = append(states, e.Member.Self())
		}
	}
	for i, e := range f.Entries {
		by := states[(i+1)%len(states)]
		if e.Member == nil || by.Name == e.name {
			continue
		}
		_, _ = e.Member.Receive(f.Now, ward.Exchange{Fleet: "test", Protocol: member.Protocol, From: by.Name, Incarnation: by.Incarnation, States: states})
	}
}

// Kill ends an entry: nothing of it is left, connections to it are refused.
func (f *Fleet) Kill(i int) { f.Entries[i].Member = nil }

// Pause stops an entry for a time; messages to it wait.
func (f *Fleet) Pause(i int, d time.Duration) { f.Entries[i].PausedUntil = f.Now.Add(d) }

// Update changes an entry from outside.
func (f *Fleet) Update(i int, change func(m *member.Member, now time.Time)) {
	change(f.Entries[i].Member, f.Now)
	f.after(i)
}

// SetConfig puts a configuration in force at an entry, as its holder does.
func (f *Fleet) SetConfig(i int, c *ward.Config) {
	e := f.Entries[i]
	if e.Config != nil && c.Revision <= e.Config.Revision {
		return
	}
	e.Config = c
	e.Member.SetConfig(f.Now, c)
}

// All tells whether ok holds for every live entry.
func (f *Fleet) All(ok func(e *Entry) bool) bool {
	for _, e := range f.Entries {
		if e.Member != nil && !ok(e) {
			return false
		}
	}
	return true
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil lets time pass until done holds, at most for d, and returns how long it
// took and whether it holds.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start, end := f.Now, f.Now.Add(d)
	var looked time.Time
	for {
		if f.Now.Sub(looked) >= lookEvery {
			looked = f.Now
			if done() {
				return f.Now.Sub(start), true
			}
		}
		if f.events.Len() == 0 || f.events[0].at.After(end) {
			f.Now = end
			return d, done()
		}
		e := heap.Pop(&f.events).(event)
		if e.at.After(f.Now) {
			f.Now = e.at
		}
		e.do()
	}
}

// at calls do at a time, of equal ones in the order in which they were given.
func (f *Fleet) at(t time.Time, do func()) {
	f.order++
	heap.Push(&f.events, event{at: t, order: f.order, do: do})
}

// awake calls do for one run of an entry, after its pause.
func (f *Fleet) awake(i, run int, do func(e *Entry)) {
	e := f.Entries[i]
	switch {
	case e.Member == nil || e.run != run:
	case f.Now.Before(e.PausedUntil):
		f.at(e.PausedUntil, func() { f.awake(i, run, do) })
	default:
		do(e)
	}
}

func (f *Fleet) tickAt(i, run int, t time.Time) {
	f.at(t, func() {
		f.awake(i, run, func(e *Entry) {
			if t.Before(e.next) || e.last.Equal(f.Now) {
				return // another tick came before
			}
			f.tick(i, e)
		})
	})
}

func (f *Fleet) tick(i int, e *Entry) {
	e.last = f.Now
	for _, s := range e.Member.Tick(f.Now) {
		f.send(i, e.run, s)
	}
	e.next = f.Now.Add(member.DefaultInterval)
	f.tickAt(i, e.run, e.next)
	f.after(i)
}

// after takes a configuration that came, and brings an urgent tick forward.
func (f *Fleet) after(i int) {
	e := f.Entries[i]
	if c := e.Member.TakeConfig(); c != nil {
		if e.Config != nil && c.Revision < e.Config.Revision {
			e.Reverts++
		}
		f.SetConfig(i, c)
	}
	soon := e.last.Add(urgentGap)
	if soon.Before(f.Now) {
		soon = f.Now
	}
	if e.Member.Urgent() && soon.Before(e.next) {
		e.next = soon
		f.tickAt(i, e.run, soon)
	}
}

// roster gives an entry the platform's list, and again every now and then.
func (f *Fleet) roster(i, run int) {
	f.awake(i, run, func(e *Entry) {
		var list []ward.Instance
		for j, x := range f.Entries {
			if !f.Now.Before(x.listed.Add(f.ListLag)) {
				list = append(list, ward.Instance{Name: x.name, Role: ward.RoleEntry, Address: address(j), State: ward.InstanceLive})
			}
		}
		e.Member.SetInstances(f.Now, list)
		wait := rosterEvery
		if e.Member.Live() < 2 {
			wait = time.Second
		}
		f.at(f.Now.Add(wait), func() { f.roster(i, run) })
	})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250+1) }
