// Package plan provides the faults of a soak: series that overlap, drawn from a
// seed.
//
// # Usage
//
//	for _, f := range plan.New(seed, length, store.Faults()) { ... }
package plan

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of fault.
const (
	// EntryStop, EntryKill and EntryPause signal one entry, EntryReload asks it to
	// read its settings again, AllKill kills all entries at once.
	EntryStop   Kind = "entry-stop"
	EntryKill   Kind = "entry-kill"
	EntryPause  Kind = "entry-pause"
	EntryReload Kind = "entry-reload"
	AllKill     Kind = "all-kill"
	// StoreFault makes the store misbehave as How says, StoreCompact drops its
	// history, StoreLink harms the path of one entry to it.
	StoreFault   Kind = "store-fault"
	StoreCompact Kind = "store-compact"
	StoreLink    Kind = "store-link"
	// UpstreamCrash ends an upstream, UpstreamDrain takes one away by plan,
	// UpstreamReborn starts one again under its id, UpstreamLink harms its path.
	UpstreamCrash  Kind = "upstream-crash"
	UpstreamDrain  Kind = "upstream-drain"
	UpstreamReborn Kind = "upstream-reborn"
	UpstreamLink   Kind = "upstream-link"
	// Configure puts another version of the configuration in force.
	Configure Kind = "configure"
	// Rollout moves a service to another version, which is good or bad as How says.
	Rollout Kind = "rollout"
)

// Fault is one fault. Target picks among what it fits.
type Fault struct {
	Kind   Kind
	At     time.Duration
	For    time.Duration
	Target int
	How    string
}

const (
	// gap is the mean time between two faults: a few overlap.
	gap = 700 * time.Millisecond
	// settle is the time without faults at the begin, in which all starts, and at
	// the end, in which what was harmed comes back.
	settle = 3 * time.Second
	// least and most bound the length of a fault. Most is longer than an entry may
	// be silent before its peers count it as gone.
	least = 200 * time.Millisecond
	most  = 4 * time.Second
)

// weights are the parts of the kinds: changes are more frequent than losses.
var weights = []struct {
	kind Kind
	n    int
}{
	{Configure, 6}, {Rollout, 2}, {EntryStop, 3}, {EntryKill, 3}, {EntryPause, 3}, {EntryReload, 1}, {AllKill, 1},
	{StoreFault, 3}, {StoreCompact, 1}, {StoreLink, 4},
	{UpstreamCrash, 3}, {UpstreamDrain, 4}, {UpstreamReborn, 2}, {UpstreamLink, 4},
}

// Good and Bad are the versions that a roll-out may bring.
const (
	Good = "good"
	Bad  = "bad"
)

var versions = []string{Good, Bad}

var links = []string{"delay", "reset", "silence", "mute"}

// New draws the faults of a soak of a length.
func New(seed uint64, length time.Duration, storeFaults []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	sum := 0
	for _, w := range weights {
		sum += w.n
	}
	var list []Fault
	for at := settle; at < length-settle; at += time.Duration(r.ExpFloat64() * float64(gap)) {
		f := Fault{At: at, Target: r.IntN(1 << 16), For: least + time.Duration(r.Float64()*float64(most-least))}
		n := r.IntN(sum)
		for _, w := range weights {
			if n < w.n {
				f.Kind = w.kind
				break
			}
			n -= w.n
		}
		switch f.Kind {
		case StoreFault:
			f.How = storeFaults[r.IntN(len(storeFaults))]
		case Rollout:
			f.How = versions[r.IntN(len(versions))]
		case StoreLink, UpstreamLink:
			f.How = links[r.IntN(len(links))]
		}
		list = append(list, f)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}
