package schedule

import (
	"time"
)

// peer is what is known of one other entry.
type peer struct {
	heard time.Time
	news  PeerState
	// given are the slots that were given to the peer and that its news does not
	// show yet; sequence is the number of the last one.
	given    []SlotGrant
	sequence uint64
	// received is the number of the last slot that the peer gave away to this entry.
	received uint64
}

// PeerState is what an entry tells the others of its requests.
type PeerState struct {
	// Load is the number of its requests at each upstream.
	Load map[string]int `msgpack:"u,omitempty"`
	// Demand is what waits there.
	Demand []Demand `msgpack:"d,omitempty"`
	// Unresponsive lists the upstreams that do not answer it.
	Unresponsive []string `msgpack:"i,omitempty"`
	// Grants lists the slots that it gave away, as long as the receiver's news may
	// not show them; Received is the number of the last slot that it got from each
	// of the others.
	Grants         []SlotGrant       `msgpack:"g,omitempty"`
	ReceivedGrants map[string]uint64 `msgpack:"r,omitempty"`
	// Leaving says that the entry stops and needs no slots.
	Leaving bool `msgpack:"x,omitempty"`
}

// PeerState returns what the others are told.
func (s *Scheduler) PeerState(now time.Time) PeerState {
	n := PeerState{Load: make(map[string]int), Demand: s.demand(now), Unresponsive: s.silent(now), ReceivedGrants: make(map[string]uint64)}
	for id, u := range s.byID {
		if u.own > 0 {
			n.Load[id] = u.own
		}
	}
	for name, p := range s.peers {
		n.Grants = append(n.Grants, p.given...)
		if p.received > 0 {
			n.ReceivedGrants[name] = p.received
		}
	}
	return n
}

// UpdatePeer takes the news of a peer.
func (s *Scheduler) UpdatePeer(name string, n PeerState, now time.Time) []Action {
	s.init()
	if n.Leaving && len(n.Load) == 0 {
		delete(s.peers, name)
		s.countPeers(now)
		return nil
	}
	p := s.peer(name)
	p.heard, p.news = now, n
	s.countPeers(now)
	out := s.lend(name, now)
	if s.Waiting() == 0 {
		return out
	}
	return append(out, s.drain(now)...)
}

func (s *Scheduler) peer(name string) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{sequence: s.Start}
		s.peers[name] = p
	}
	return p
}

// countPeers sums up what the peers run and which upstreams they doubt.
func (s *Scheduler) countPeers(now time.Time) {
	for _, u := range s.byID {
		u.others, u.lent = 0, 0
	}
	s.entries = append(s.entries[:0], s.Name)
	for name, p := range s.peers {
		if now.Sub(p.heard) > peerSilence {
			delete(s.peers, name)
			continue
		}
		s.entries = append(s.entries, name)
		for id, n := range p.news.Load {
			if u := s.byID[id]; u != nil {
				u.others += n
			}
		}
		for _, id := range p.news.Unresponsive {
			if u := s.byID[id]; u != nil && p.heard.After(u.doubted) {
				u.doubted = p.heard
			}
		}
		s.countGiven(name, p, now)
	}
	s.deal()
}
