package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/fairshare"
	"agateward/internal/forward/lending"
)

// peer holds what is known of another entry.
type peer struct {
	lastUpdate time.Time
	state      PeerState
	// grants lists the slots granted to the peer that its state does not show yet;
	// sequence is the number of the last one.
	grants   []SlotGrant
	sequence uint64
	// loans lists the slots of brittle upstreams that the peer has not given back.
	loans lending.Ledger
	// lastReceived is the number of the last slot that the peer granted to this entry.
	lastReceived uint64
	// received holds the numbers of the last slots, nextReceived counts them: a message
	// that arrives twice is one permit of a limit.
	received     [16]uint64
	nextReceived int
}

// PeerState is what an entry sends the others about its requests.
type PeerState struct {
	// Load is the number of the entry's requests at each upstream.
	Load map[string]int `msgpack:"u,omitempty"`
	// Demand summarizes the waiting requests.
	Demand []Demand `msgpack:"d,omitempty"`
	// Unresponsive lists the upstreams that do not answer the entry.
	Unresponsive []string `msgpack:"i,omitempty"`
	// Grants lists the slots that the entry granted and the receiver's state may not
	// show yet. ReceivedGrants is the number of the last slot that it received from
	// each other entry.
	Grants         []SlotGrant       `msgpack:"g,omitempty"`
	ReceivedGrants map[string]uint64 `msgpack:"r,omitempty"`
	// Leaving is true when the entry is stopping and needs no slots.
	Leaving bool `msgpack:"x,omitempty"`
	// ExitsIn is the time in which a stopping entry exits at the latest.
	ExitsIn time.Duration `msgpack:"e,omitempty"`
	// Departures lists the upstreams that said that they leave.
	Departures []Identity `msgpack:"l,omitempty"`
	// Brittle holds, by service, the time in milliseconds since one of its upstreams last
	// said that it is brittle. Rejections lists what such upstreams just rejected.
	Brittle    map[string]int64 `msgpack:"b,omitempty"`
	Rejections []Rejection      `msgpack:"j,omitempty"`
	// Loans lists the slots of brittle upstreams that the entry's requests use and that
	// peers lent.
	Loans []Loan `msgpack:"o,omitempty"`
	// Teams holds what teams asked for and were given at the entry, with FairTeams. Most
	// messages are without.
	Teams []fairshare.Row `msgpack:"t,omitempty"`
	// Concurrency holds what the entry observed of how upstreams bear their load.
	Concurrency []ConcurrencyReport `msgpack:"k,omitempty"`
}

// PeerState returns the state to send to the peers.
func (s *Scheduler) PeerState(now time.Time) PeerState {
	s.noteCall(now)
	state := PeerState{Load: make(map[string]int), Demand: s.demand(now), Unresponsive: s.unresponsive(now), ReceivedGrants: make(map[string]uint64), Departures: s.departures()}
	if !s.stopEnd.IsZero() {
		state.Leaving, state.ExitsIn = true, s.stopEnd.Sub(now)
	}
	for id, u := range s.byID {
		if n := u.ownLoad - u.foreign + u.loaned; n > 0 {
			state.Load[id] = n
		}
	}
	s.reportBrittle(&state, now)
	s.reportTeams(&state, now)
	state.Concurrency = s.reportConcurrency(now)
	for name, p := range s.peers {
		state.Grants = append(state.Grants, p.grants...)
		if p.lastReceived > 0 {
			state.ReceivedGrants[name] = p.lastReceived
		}
	}
	return state
}

// services returns the services for which requests of the peer wait.
func (p *peer) services() []string {
	var list []string
	for _, d := range p.state.Demand {
		if !slices.Contains(list, d.Service) {
			list = append(list, d.Service)
		}
	}
	return list
}

// UpdatePeer applies the state received from a peer.
func (s *Scheduler) UpdatePeer(name string, state PeerState, now time.Time) []Action {
	s.init()
	s.noteCall(now)
	s.hearPeer(name, now)
	s.hearTeams(name, state, now)
	if state.Leaving && len(state.Load) == 0 {
		delete(s.peers, name)
		delete(s.limits.heard, name)
		s.aggregatePeers(now)
		return nil
	}
	p := s.peer(name)
	p.lastUpdate, p.state = now, state
	s.learnConcurrency(name, state.Concurrency, now)
	s.aggregatePeers(now)
	out := s.grantFree(name, now)
	if s.Waiting() == 0 {
		return out
	}
	return append(out, s.dispatchWaiting(now)...)
}

func (s *Scheduler) peer(name string) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{sequence: s.Start}
		s.peers[name] = p
	}
	return p
}

// aggregatePeers sums up the peers' load and the upstreams they report as
// unresponsive, and drops the peers that timed out.
func (s *Scheduler) aggregatePeers(now time.Time) {
	for _, u := range s.byID {
		u.peerLoad, u.pendingGrants, u.lent = 0, 0, 0
	}
	s.entries = append(s.entries[:0], s.Name)
	for name, p := range s.peers {
		if now.Sub(p.lastUpdate) > peerTimeout {
			delete(s.peers, name)
			continue
		}
		s.entries = append(s.entries, name)
		for id, n := range p.state.Load {
			if u := s.byID[id]; u != nil {
				u.peerLoad += n
			}
		}
		for _, id := range p.state.Unresponsive {
			if u := s.byID[id]; u != nil && p.lastUpdate.After(u.reportedAt) {
				s.reportCold(u, p.lastUpdate, now)
				u.reportedAt = p.lastUpdate
			}
		}
		s.countGrants(name, p, now)
		s.countLoans(p, now)
	}
	s.countLoaned(now)
	s.assignSlots()
	s.updateLimitFleet(now)
}

// Sending reports whether the upstream of a dispatched job has sent this entry anything
// since the given time. If it has and the job's answer does not come, then that answer
// alone is missing. Peers don't count: one that has just sent a request there does not
// report the upstream as unresponsive yet.
func (s *Scheduler) Sending(id uint64, since time.Time) bool {
	r := s.jobs[id]
	return r != nil && r.upstream.lastHeard.After(since)
}
