// Package sim simulates several entries' membership on virtual time, connected by
// a simulated network that loses, delays, duplicates and reorders messages. Tests
// and measurements use it.
//
// # Usage
//
//	f := sim.New(8, 1, sim.Network{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.1})
//	f.Run(5 * time.Second)
//	f.Update(0, func(m *member.Member, now time.Time) { m.AddQuarantines(now, quarantine) })
//	took, ok := f.RunUntil(3*time.Second, func() bool { return f.All(hasQuarantine) })
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/peer/member"
	"agateward/ward"
)

// Network configures the simulated network.
type Network struct {
	// Delay is the least time of one way, Jitter the largest random addition to
	// it.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Duplicate are the probabilities that a message is lost or
	// duplicated.
	Loss      float64
	Duplicate float64
}

// Times as in package gossip.
const (
	sendTimeout    = time.Second
	urgentGap      = 50 * time.Millisecond
	rosterInterval = 15 * time.Second
	// pollInterval is how often RunUntil checks its condition.
	pollInterval = 10 * time.Millisecond
)

// Fleet is a set of simulated entries. Create one with New.
type Fleet struct {
	Now     time.Time
	Network Network
	// Partitioned reports whether two entries cannot reach each other; nil means
	// that all can.
	Partitioned func(a, b int) bool
	// OnMessage is called with every message that is sent.
	OnMessage func(from, to int, m ward.Exchange)
	// ListLag is how late the platform's list shows a change.
	ListLag time.Duration
	// Entries are the entries by index; a killed one has no Member.
	Entries []*Entry

	random  *rand.Rand
	seed    uint64
	events  queue
	lastSeq uint64
	names   map[string]int
}

// Entry is one entry of a fleet.
type Entry struct {
	Member *member.Member
	// Config is the configuration in force. Reverts counts how often a lower
	// revision replaced it, which must never happen.
	Config  *ward.Config
	Reverts int
	// PausedUntil is the end of a pause.
	PausedUntil time.Time

	run      int
	name     string
	nextTick time.Time
	lastTick time.Time
	listedAt time.Time
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
	e := &Entry{name: fmt.Sprintf("entry-%03d", i), listedAt: f.Now}
	f.names[e.name] = i
	f.Entries = append(f.Entries, e)
	f.Start(i)
	return i
}

// Start starts an entry, or restarts a killed one without its earlier state.
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
	f.schedule(f.Now, func() { f.updateRoster(i, run) })
	e.nextTick = f.Now.Add(time.Duration(f.random.Int64N(int64(member.DefaultInterval))))
	f.scheduleTick(i, e.run, e.nextTick)
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

// Kill ends an entry: its state is lost and connections to it are refused.
func (f *Fleet) Kill(i int) { f.Entries[i].Member = nil }

// Pause suspends an entry for a time; messages to it wait.
func (f *Fleet) Pause(i int, d time.Duration) { f.Entries[i].PausedUntil = f.Now.Add(d) }

// Update changes the member of an entry, as its runner does.
func (f *Fleet) Update(i int, change func(m *member.Member, now time.Time)) {
	change(f.Entries[i].Member, f.Now)
	f.afterChange(i)
}

// SetConfig puts a configuration in force at an entry, as its holder of the
// configuration does.
func (f *Fleet) SetConfig(i int, c *ward.Config) {
	e := f.Entries[i]
	if e.Config != nil && c.Revision <= e.Config.Revision {
		return
	}
	e.Config = c
	e.Member.SetConfig(f.Now, c)
}

// All reports whether ok holds for every live entry.
func (f *Fleet) All(ok func(e *Entry) bool) bool {
	for _, e := range f.Entries {
		if e.Member != nil && !ok(e) {
			return false
		}
	}
	return true
}

// Run advances the time by d.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil advances the time until done holds, by at most d, and returns the time
// that passed and whether done holds.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start, end := f.Now, f.Now.Add(d)
	var lastPoll time.Time
	for {
		if f.Now.Sub(lastPoll) >= pollInterval {
			lastPoll = f.Now
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

// schedule calls do at a time. Calls for the same time run in the order in which
// they were scheduled.
func (f *Fleet) schedule(t time.Time, do func()) {
	f.lastSeq++
	heap.Push(&f.events, event{at: t, seq: f.lastSeq, do: do})
}

// whenAwake calls do for one run of an entry, after its pause.
func (f *Fleet) whenAwake(i, run int, do func(e *Entry)) {
	e := f.Entries[i]
	switch {
	case e.Member == nil || e.run != run:
	case f.Now.Before(e.PausedUntil):
		f.schedule(e.PausedUntil, func() { f.whenAwake(i, run, do) })
	default:
		do(e)
	}
}

func (f *Fleet) scheduleTick(i, run int, t time.Time) {
	f.schedule(t, func() {
		f.whenAwake(i, run, func(e *Entry) {
			if t.Before(e.nextTick) || e.lastTick.Equal(f.Now) {
				return // another tick was earlier
			}
			f.tick(i, e)
		})
	})
}

func (f *Fleet) tick(i int, e *Entry) {
	e.lastTick = f.Now
	for _, s := range e.Member.Tick(f.Now) {
		f.send(i, e.run, s)
	}
	e.nextTick = f.Now.Add(member.DefaultInterval)
	f.scheduleTick(i, e.run, e.nextTick)
	f.afterChange(i)
}

// afterChange applies a received configuration, and schedules an urgent tick
// earlier.
func (f *Fleet) afterChange(i int) {
	e := f.Entries[i]
	if c := e.Member.TakeConfig(); c != nil {
		if e.Config != nil && c.Revision < e.Config.Revision {
			e.Reverts++
		}
		f.SetConfig(i, c)
	}
	soon := e.lastTick.Add(urgentGap)
	if soon.Before(f.Now) {
		soon = f.Now
	}
	if e.Member.Urgent() && soon.Before(e.nextTick) {
		e.nextTick = soon
		f.scheduleTick(i, e.run, soon)
	}
}

// updateRoster gives an entry the platform's list of instances, and repeats that.
func (f *Fleet) updateRoster(i, run int) {
	f.whenAwake(i, run, func(e *Entry) {
		var list []ward.Instance
		for j, x := range f.Entries {
			if !f.Now.Before(x.listedAt.Add(f.ListLag)) {
				list = append(list, ward.Instance{Name: x.name, Role: ward.RoleEntry, Address: address(j), State: ward.InstanceLive})
			}
		}
		e.Member.SetInstances(f.Now, list)
		wait := rosterInterval
		if e.Member.Live() < 2 {
			wait = time.Second
		}
		f.schedule(f.Now.Add(wait), func() { f.updateRoster(i, run) })
	})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250+1) }
