package gossip

import (
	"agateward/internal/peer/member"
	"agateward/ward"
)

// SetSelf sets what this entry tells of itself: Floor, Waiting, Demand and
// Leaving. The other fields are kept.
func (g *Gossip) SetSelf(s ward.PeerState) {
	g.change(func(m *member.Member) { m.SetSelf(g.deps.Clock.Now(), s) })
}

// SetConfig sets the configuration in force at this entry, which it hands on.
func (g *Gossip) SetConfig(c *ward.Config) {
	g.change(func(m *member.Member) { m.SetConfig(g.deps.Clock.Now(), c) })
}

// AddQuarantines adds brakes that were set here. They are sent within urgentGap.
func (g *Gossip) AddQuarantines(brakes ...ward.Quarantine) {
	g.change(func(m *member.Member) { m.AddQuarantines(g.deps.Clock.Now(), brakes...) })
}

// AddMoves adds states of moves as the store has accepted them.
func (g *Gossip) AddMoves(moves ...ward.MoveState) {
	g.change(func(m *member.Member) { m.AddMoves(g.deps.Clock.Now(), moves...) })
}

// AddCounts adds this entry's own outcome counts.
func (g *Gossip) AddCounts(counts ...ward.Counts) {
	g.change(func(m *member.Member) { m.AddCounts(g.deps.Clock.Now(), counts...) })
}

// change changes the decider, and tells the hooks.
func (g *Gossip) change(f func(*member.Member)) {
	g.mu.Lock()
	f(g.member)
	g.mu.Unlock()
	g.tell()
}

// Self returns what this entry tells of itself.
func (g *Gossip) Self() ward.PeerState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Self()
}

// Peers returns the other entries with state and age, sorted by name.
func (g *Gossip) Peers() []member.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Peers(g.deps.Clock.Now())
}

// Live returns the number of live entries, this one included.
func (g *Gossip) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Live()
}

// Quarantines returns all brakes in force.
func (g *Gossip) Quarantines() []ward.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Quarantines()
}

// Moves returns the highest state known of each move.
func (g *Gossip) Moves() []ward.MoveState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Moves()
}

// TakeCounts returns the counts of other entries that have changed since the
// last call.
func (g *Gossip) TakeCounts() []ward.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.TakeCounts()
}

// Counts returns the outcome counts of all entries.
func (g *Gossip) Counts() []ward.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Counts()
}

// Stats returns what was exchanged so far.
func (g *Gossip) Stats() member.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Stats()
}
