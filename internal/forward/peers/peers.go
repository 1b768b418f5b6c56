// Package peers keeps the other entries' last messages, and selects the addresses
// to send to and the entries that follow the store.
//
// # Usage
//
//	s := peers.Set{Self: "entry-1"}
//	s.AddCandidate("10.1.0.4:7600", now)
//	fresh := s.Receive(m, now)
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
	// aliveTimeout is the age of its last message from which a peer is unresponsive.
	aliveTimeout = 1500 * time.Millisecond
	// peerTTL is the age after which nothing is sent to an unresponsive peer. It is
	// longer than any disruption that the platform documents.
	peerTTL = 60 * time.Second
	// candidateTTL is how long messages are sent to an address that does not answer.
	candidateTTL = 30 * time.Second
	// candidateEagerTime is how long a new address gets every message, so that
	// entries that have just started find each other soon.
	candidateEagerTime = time.Second
	// maxUnassigned bounds the peers and candidates of an entry that does not know its
	// cell, or has none: twice the size of an undivided fleet, so that entries that
	// were replaced leave room for the new ones. Without a bound, a large fleet that
	// starts together would send everything to everyone.
	maxUnassigned = 2 * maxUndividedFleet
	// unresponsiveSendInterval is the interval, in messages, at which an unresponsive
	// address still gets one.
	unresponsiveSendInterval = 8
)

// Peer is one other entry.
type Peer struct {
	peerstate.Message
	LastHeard time.Time
}

// Set is the set of peers. Self must be set.
type Set struct {
	Self string

	peers      map[string]*Peer
	candidates map[string]time.Time
	sends      int
	// cell holds the names of the entries to exchange state with, nil for all.
	cell map[string]bool
	lag  lag
}

func (s *Set) init() {
	if s.peers == nil {
		s.peers, s.candidates = make(map[string]*Peer), make(map[string]time.Time)
	}
}

// AddCandidate adds an address at which an entry may listen for messages.
func (s *Set) AddCandidate(listen string, now time.Time) {
	s.init()
	if _, ok := s.candidates[listen]; !ok && s.hasRoom(now) {
		s.candidates[listen] = now
	}
}

// hasRoom reports whether another address may be learned.
func (s *Set) hasRoom(now time.Time) bool {
	return s.cell != nil || len(s.candidates)+s.heard(now) < maxUnassigned
}

// heard returns the number of peers that are not unresponsive.
func (s *Set) heard(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if now.Sub(p.LastHeard) < aliveTimeout {
			n++
		}
	}
	return n
}

// Receive stores a message and reports whether it is new: from another entry of
// the cell, and later than its last one.
func (s *Set) Receive(m peerstate.Message, now time.Time) bool {
	s.init()
	if m.Name == s.Self || !s.IsMember(m.Name) {
		return false
	}
	old := s.peers[m.Name]
	if _, known := s.candidates[m.Listen]; old == nil && !known && !s.hasRoom(now) {
		return false
	}
	if old != nil && m.Start == old.Start && m.Sequence <= old.Sequence {
		return false
	}
	// A clock that was set back gives a new process a lower Start. Its messages are
	// accepted once nothing has come from the earlier process for longer than a
	// datagram travels.
	if old != nil && m.Start < old.Start && now.Sub(old.LastHeard) < aliveTimeout {
		return false
	}
	s.peers[m.Name] = &Peer{Message: m, LastHeard: now}
	delete(s.candidates, m.Listen)
	for _, other := range m.Peers {
		if !s.hasAddress(other) {
			s.AddCandidate(other, now)
		}
	}
	return true
}

func (s *Set) hasAddress(address string) bool {
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

// Alive returns the number of peers that are neither unresponsive nor stopping.
func (s *Set) Alive(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if !p.Requests.Leaving && now.Sub(p.LastHeard) < aliveTimeout {
			n++
		}
	}
	return n
}

// Entries returns the number of entries that share quotas and budgets: this one
// and all known peers, including unresponsive ones.
func (s *Set) Entries(now time.Time) int {
	n := 1
	for name, p := range s.peers {
		if now.Sub(p.LastHeard) > peerTTL {
			delete(s.peers, name)
			continue
		}
		n++
	}
	return n
}

// AliveAddresses returns the sorted addresses of the peers that are not
// unresponsive.
func (s *Set) AliveAddresses(now time.Time) []string {
	var list []string
	for _, p := range s.peers {
		if now.Sub(p.LastHeard) < aliveTimeout {
			list = append(list, p.Listen)
		}
	}
	sort.Strings(list)
	return list
}

// Targets returns the sorted addresses that the next message goes to. Unresponsive
// ones are included only in every unresponsiveSendInterval-th call.
func (s *Set) Targets(now time.Time) []string {
	s.init()
	s.sends++
	includeUnresponsive := s.sends%unresponsiveSendInterval == 0
	var list []string
	for _, p := range s.peers {
		if now.Sub(p.LastHeard) < aliveTimeout || includeUnresponsive && now.Sub(p.LastHeard) < peerTTL {
			list = append(list, p.Listen)
		}
	}
	for address, since := range s.candidates {
		if now.Sub(since) > candidateTTL {
			delete(s.candidates, address)
		} else if includeUnresponsive || now.Sub(since) < candidateEagerTime {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}
