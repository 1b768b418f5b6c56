package member

import (
	"time"

	"agateward/ward"
)

// Peer is another entry as this one sees it.
type Peer struct {
	State  ward.PeerState
	Status Status
	// Live reports whether it counts as a live entry.
	Live bool
	// Age is the time since it was last heard of, DemandAge the time since it last
	// sent its demand itself.
	Age       time.Duration
	DemandAge time.Duration
}

// Live returns the number of live entries, this one included.
func (m *Member) Live() int {
	n := 0
	for _, r := range m.rows {
		if r.chart.Live {
			n++
		}
	}
	return n
}

// Peers returns the other entries, sorted by name.
func (m *Member) Peers(now time.Time) []Peer {
	var peers []Peer
	for _, r := range m.sorted() {
		if r == m.self {
			continue
		}
		p := Peer{State: r.state, Status: r.status, Live: r.chart.Live}
		p.Age = now.Sub(r.lastHeard)
		p.DemandAge = now.Sub(r.demandAt)
		peers = append(peers, p)
	}
	return peers
}

// Peer returns the state of another entry, and whether one is known.
func (m *Member) Peer(name string) (ward.PeerState, bool) {
	r := m.rows[name]
	if r == nil || r == m.self || !r.known() {
		return ward.PeerState{}, false
	}
	return r.state, true
}
