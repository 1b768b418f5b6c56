// Package peers keeps what an entry knows of the other entries from their news.
//
// # Usage
//
//	s := peers.Set{Self: "entry-1"}
//	s.Hint("10.1.0.4:7600")
//	fresh := s.Hear(m, now)
//	for _, to := range s.Targets(now) { send(to) }
//
// Peers are found from the settings' seeds, from the announcements in the store,
// and from the addresses that peers pass on.
package peers

import (
	"sort"
	"time"

	"agateward/internal/forward/peerstate"
)

// Timing of the set.
const (
	// silence is the age of news after which a peer no longer counts as heard.
	silence = 1500 * time.Millisecond
	// forget is the age after which a silent peer is no longer written to. It is
	// longer than any disruption that the platform speaks of.
	forget = 60 * time.Second
	// hintLife is how long an address is tried that has not answered.
	hintLife = 30 * time.Second
	// hintEager is how long a new address gets every message: an entry that has
	// just started is to be heard soon.
	hintEager = time.Second
	// quietPart is the part of messages that a silent address still gets.
	quietPart = 8
)

// Peer is one other entry.
type Peer struct {
	peerstate.Message
	Heard time.Time
}

// Set is the set of peers. Self must be set.
type Set struct {
	Self string

	peers map[string]*Peer
	hints map[string]time.Time
	turn  int
	// cell holds the names of the entries to exchange news with, nil for all.
	cell map[string]bool
	lag  lag
}

func (s *Set) init() {
	if s.peers == nil {
		s.peers, s.hints = make(map[string]*Peer), make(map[string]time.Time)
	}
}

// Hint adds an address at which an entry may listen.
func (s *Set) Hint(listen string, now time.Time) {
	s.init()
	if _, ok := s.hints[listen]; !ok {
		s.hints[listen] = now
	}
}

// Hear takes a message and tells whether it is news: not from this entry, and
// not older than what was heard before.
func (s *Set) Hear(m peerstate.Message, now time.Time) bool {
	s.init()
	if m.Name == s.Self || !s.Member(m.Name) {
		return false
	}
	old := s.peers[m.Name]
	if old != nil && m.Start == old.Start && m.Sequence <= old.Sequence {
		return false
	}
	// A clock that was set back gives a new process a lower number: it is taken
	// once the process before has been silent for longer than a datagram travels.
	if old != nil && m.Start < old.Start && now.Sub(old.Heard) < silence {
		return false
	}
	s.peers[m.Name] = &Peer{Message: m, Heard: now}
	delete(s.hints, m.Listen)
	for _, other := range m.Peers {
		if !s.listens(other) {
			s.Hint(other, now)
		}
	}
	return true
}

func (s *Set) listens(address string) bool {
	for _, p := range s.peers {
		if p.Listen == address {
			return true
		}
	}
	return false
}

// Address returns the address of a peer, empty when it is not known.
func (s *Set) Address(name string) string {
	if p := s.peers[name]; p != nil {
		return p.Listen
	}
	return ""
}

// Heard returns the number of peers heard lately.
func (s *Set) Heard(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if !p.Requests.Leaving && now.Sub(p.Heard) < silence {
			n++
		}
	}
	return n
}

// Entries returns the number of entries to share with: those that are known,
// silent ones too, and this one.
func (s *Set) Entries(now time.Time) int {
	n := 1
	for name, p := range s.peers {
		if now.Sub(p.Heard) > forget {
			delete(s.peers, name)
			continue
		}
		n++
	}
	return n
}

// Known returns the addresses of the peers heard lately, sorted.
func (s *Set) Known(now time.Time) []string {
	var list []string
	for _, p := range s.peers {
		if now.Sub(p.Heard) < silence {
			list = append(list, p.Listen)
		}
	}
	sort.Strings(list)
	return list
}

// Targets returns the addresses that the next message goes to. Silent ones are
// in turn left out.
func (s *Set) Targets(now time.Time) []string {
	s.init()
	s.turn++
	slow := s.turn%quietPart == 0
	var list []string
	for _, p := range s.peers {
		if now.Sub(p.Heard) < silence || slow && now.Sub(p.Heard) < forget {
			list = append(list, p.Listen)
		}
	}
	for address, since := range s.hints {
		if now.Sub(since) > hintLife {
			delete(s.hints, address)
		} else if slow || now.Sub(since) < hintEager {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}
