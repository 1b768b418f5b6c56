// Package fairshare divides what the upstreams of a service carry between the teams of a
// rank, and tells which teams got more than their share while others lack theirs.
//
// The unit is engine time: the seconds for which a request occupies a slot, estimated from
// its sizes. Capacity that a team does not ask for belongs to the others.
//
// # Usage
//
//	var l fairshare.Ledger
//	l.Ask(key, 1500, 0.4, now)          // a request arrived, 0.4 s of a slot
//	l.Give(key, 0.4, now)               // it was sent to an upstream,
//	l.Lack(key, 0.4, now)               // or refused, or too late
//	l.UpdatePeer("entry-2", rows, now)  // sums of another entry
//	if l.Over(key, now) { ... }         // other teams go first
//	rows := l.Rows(now)                 // for the other entries
//
// The ledger reads no clock and does no I/O.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant with which sums decay: debts are forgotten, and no
	// credit is saved.
	memory = 4 * time.Second
	// idleTime is the time after its last change after which a sum is dropped. 2% of it
	// are left by then.
	idleTime = 4 * memory
	// peerTimeout is the age of a peer's rows after which they don't count. It is that of
	// a peer's load in package schedule.
	peerTimeout = 1500 * time.Millisecond
	// levelInterval is the least time between two computations of the shares. Decisions
	// come some hundred times a second, and the sums change little within it.
	levelInterval = 20 * time.Millisecond
	// MaxRows bounds the rows of one entry in a message, and the teams that are shown.
	MaxRows = 64
	// maxTeams bounds the own sums. Further teams are within their share.
	maxTeams = 1024
)

// Key identifies a team among those of a rank that share the upstreams of a service.
type Key struct {
	Service string
	Rank    [2]int
	Team    string
}

// Row is what an entry sends to its peers about one team: the decayed engine time, in
// seconds, that its requests asked for, were given and lacked at that entry.
type Row struct {
	Service string  `msgpack:"s"`
	Rank    [2]int  `msgpack:"r"`
	Team    string  `msgpack:"t,omitempty"`
	Weight  float32 `msgpack:"w,omitempty"`
	Asked   float32 `msgpack:"a,omitempty"`
	Given   float32 `msgpack:"g,omitempty"`
	Lacked  float32 `msgpack:"l,omitempty"`
}

// maxNumber bounds the numbers of a row, so that sums of them are numbers too.
const maxNumber = 1e12

// Valid reports whether the numbers of r can be used.
func (r Row) Valid() bool {
	for _, x := range []float32{r.Weight, r.Asked, r.Given, r.Lacked} {
		if !(x >= 0 && x <= maxNumber) {
			return false
		}
	}
	return true
}

// Ledger holds the engine time that teams asked for and were given. The zero value is
// empty and ready to use. It is not safe for concurrent use.
type Ledger struct {
	own   map[Key]*sum
	peers map[string]report
	// states holds the teams by the last computation, at computed; anyOver is true if one
	// is over its share.
	states   map[Key]*state
	computed time.Time
	anyOver  bool
}

// sum is the decayed engine time of a team at this entry, in seconds.
type sum struct {
	weight, asked, given, lacked float64
	// updated is the time to which the sums are decayed, changed that of the last request.
	updated, changed time.Time
}

// report holds the rows of a peer.
type report struct {
	rows []Row
	at   time.Time
}

func decay(age time.Duration) float64 { return math.Exp(-max(age, 0).Seconds() / memory.Seconds()) }

func (s *sum) decay(now time.Time) {
	if now.After(s.updated) {
		f := decay(now.Sub(s.updated))
		s.asked, s.given, s.lacked, s.updated = s.asked*f, s.given*f, s.lacked*f, now
	}
}

// Ask records a request of a team that takes the given engine time in seconds. weight is
// the team's weight, 0 if it has none.
func (l *Ledger) Ask(k Key, weight, seconds float64, now time.Time) {
	if s := l.sum(k, now); s != nil {
		s.weight = weight
		s.asked += seconds
	}
}

// Give records that a request of a team was sent to an upstream.
func (l *Ledger) Give(k Key, seconds float64, now time.Time) {
	if s := l.sum(k, now); s != nil {
		s.given += seconds
	}
}

// Lack records that a request of a team was refused for want of room, or can't be in time
// any more.
func (l *Ledger) Lack(k Key, seconds float64, now time.Time) {
	if s := l.sum(k, now); s != nil {
		s.lacked += seconds
	}
}

// sum returns the sums of a team, decayed to now, nil if there are too many teams.
func (l *Ledger) sum(k Key, now time.Time) *sum {
	s := l.own[k]
	if s == nil {
		if len(l.own) >= maxTeams {
			return nil
		}
		if l.own == nil {
			l.own = make(map[Key]*sum)
		}
		s = &sum{updated: now}
		l.own[k] = s
	}
	s.decay(now)
	s.changed = now
	return s
}

// UpdatePeer replaces the rows of a peer; without rows, those of its last message stay.
// Rows with numbers that are no sums are left out.
func (l *Ledger) UpdatePeer(name string, rows []Row, now time.Time) {
	rows = rows[:min(len(rows), MaxRows)]
	if len(rows) == 0 {
		return
	}
	if l.peers == nil {
		l.peers = make(map[string]report)
	}
	l.peers[name] = report{slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return !r.Valid() }), now}
}

// Rows returns the own sums to send to the peers, the largest first.
func (l *Ledger) Rows(now time.Time) []Row {
	l.drop(now)
	rows := make([]Row, 0, len(l.own))
	for k, s := range l.own {
		s.decay(now)
		rows = append(rows, Row{Service: k.Service, Rank: k.Rank, Team: k.Team,
			Weight: float32(s.weight), Asked: float32(s.asked), Given: float32(s.given), Lacked: float32(s.lacked)})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Asked+b.Given, a.Asked+a.Given), cmp.Compare(a.Service, b.Service),
			slices.Compare(a.Rank[:], b.Rank[:]), cmp.Compare(a.Team, b.Team))
	})
	return rows[:min(len(rows), MaxRows)]
}

// drop removes the own sums that have decayed and the rows of peers that are silent.
func (l *Ledger) drop(now time.Time) {
	for k, s := range l.own {
		if now.Sub(s.changed) > idleTime {
			delete(l.own, k)
		}
	}
	for name, r := range l.peers {
		if now.Sub(r.at) > peerTimeout {
			delete(l.peers, name)
		}
	}
}
