// Package member decides whom an entry tells what: membership, and the spread
// of brakes, configuration revisions, floors, move states and outcome counts
// among entries.
//
// # Usage
//
//	m := member.New(member.Settings{Fleet: "brassie", Self: state}, seed)
//	m.Roster(now, list)              // the platform's list, a hint of whom to ask
//	m.SetSelf(now, state)            // floor, waiting requests, demand
//	for _, send := range m.Tick(now) {
//		reply, err := peer.Exchange(ctx, send.Address, send.Message)
//		// then m.Answer(now, send, reply) or m.Failed(now, send, connected)
//	}
//	reply, err := m.Receive(now, message) // what another entry sent
//	for _, p := range m.Peers(now) { ... }
//
// Member is pure: it does no I/O and takes the time and its random numbers from
// outside. It is used by one goroutine at a time; package gossip is the runner.
//
// # How it works
//
// Every Interval an entry exchanges one message with one peer of a small view
// that rotates through the fleet, whatever the fleet's size; while there is
// something urgent (a brake, a new revision, a floor, an accusation) it sends
// Fanout messages. A message carries deltas only: an item that is new here is
// passed on a number of times that grows with the logarithm of the fleet.
// Digests are compared in every message; when they differ for a while, the two
// entries exchange the items of the buckets that differ.
//
// An entry whose exchange fails is accused, and the accusation spreads. The
// accused refutes it with a higher sequence number; otherwise it is silent after
// the time in the chart. There is no heartbeat of each to all: every exchange is
// one, and the whole fleet exchanges with each entry several times a second.
//
// # Bytes
//
// All bytes in both directions are charged to one token bucket before they are
// sent, by the upper bounds of package size. Messages fill up by rank: brakes,
// the configuration's revision, floors and states, moves, counts, demand. What
// does not fit waits. So the bound holds by construction, and the fleet's size
// stretches the age of what is at the end of the list.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// Protocol is the version of the messages. Another one is refused.
const Protocol = 1

// Defaults and limits.
const (
	// DefaultInterval is the time between two messages of an entry.
	DefaultInterval = 250 * time.Millisecond
	// DefaultBytesPerSecond bounds the bytes of messages in both directions. With
	// documentBytes and the connections' own bytes it stays below 16 KB.
	DefaultBytesPerSecond = 12 << 10
	// Fanout is the number of messages of one tick while something is urgent.
	Fanout = 3
	// viewSize is the number of peers that messages go to in turn; one is
	// replaced every viewTurn.
	viewSize = 12
	viewTurn = 2 * time.Second
	// probeEvery is how often a silent or listed peer is tried.
	probeEvery = time.Second
	// maxMessage is the largest message in bytes, repair that of one that mends a
	// difference.
	maxMessage = 1400
	// maxMore is the largest of the further messages of a tick.
	maxMore   = 700
	maxRepair = 4096
	// transportBytes is what the network adds to one exchange: two segments and
	// their acknowledgements.
	transportBytes = 208
	// accuseAfter is how long nothing must have been heard of a peer before a
	// timeout accuses it.
	accuseAfter = time.Second
	// maxBrakes, maxCounts and maxMoves bound what is kept.
	maxBrakes = 256
	maxCounts = 8192
	maxMoves  = 256
)

// Settings are what a Member is made with.
type Settings struct {
	Fleet string
	// Self is this entry: name, addresses, data centre and incarnation.
	Self ward.PeerState
	// Interval is DefaultInterval when 0, BytesPerSecond DefaultBytesPerSecond.
	Interval       time.Duration
	BytesPerSecond int
}

// Send is one message to hand to a peer.
type Send struct {
	// Name is empty when only the address is known.
	Name    string
	Address string
	Message ward.Exchange
}

// Stats counts what was exchanged. Bytes are the upper bounds that are charged.
type Stats struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	Refused          uint64
	Failed           uint64
	Repairs          uint64
	// Deferred counts messages that were put off because the bytes were used up.
	Deferred uint64
}

// Member is the decider of one entry. Make one with New.
type Member struct {
	settings Settings
	random   *rand.Rand
	chart    chart
	stats    Stats

	self *row
	rows map[string]*row
	ids  map[uint32]*row
	// order is the rows by name, nil when it has to be made again.
	order []*row
	view  view

	brakes map[brakeKey]*brakeRow
	moves  map[string]*moveRow
	counts map[countsKey]*countsRow
	// untaken lists rows for TakeCounts.
	untaken []countsKey
	// ring holds the rows of counts in the order in which they are passed on,
	// ringAt is the next.
	ring   []*countsRow
	ringAt int
	// live is the number of live entries at the last tick.
	live int
	// urgent says that something urgent may be left to pass on, fresh that some
	// of it was not sent to anyone yet.
	urgent bool
	fresh  bool
	// brakeChanges counts brakes set and lifted.
	brakeChanges uint64

	docs   documents
	bucket bucket
	digest digest
	repair repair
	// retry is an entry whose exchange failed once.
	retry string
	// asked is when this entry, after its start, last asked for what it lacks.
	asked time.Time
}

// New returns the decider of one entry. The same seed gives the same choices.
func New(s Settings, seed uint64) *Member {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.BytesPerSecond <= 0 {
		s.BytesPerSecond = DefaultBytesPerSecond
	}
	m := &Member{
		settings: s,
		random:   rand.New(rand.NewPCG(seed, uint64(s.Self.Incarnation))),
		chart:    mustChart(),
		rows:     map[string]*row{},
		ids:      map[uint32]*row{},
		brakes:   map[brakeKey]*brakeRow{},
		moves:    map[string]*moveRow{},
		counts:   map[countsKey]*countsRow{},
		bucket:   bucket{rate: float64(s.BytesPerSecond)},
	}
	s.Self.Seq = max(s.Self.Seq, 1)
	m.self = &row{state: s.Self, status: Alive, chart: m.chart.States[Alive], listed: true}
	m.put(s.Self.Name, m.self)
	m.index(m.self)
	return m
}

// Stats returns the counts so far.
func (m *Member) Stats() Stats { return m.stats }

// Self returns what this entry tells of itself.
func (m *Member) Self() ward.PeerState { return m.self.state }

// SetSelf sets what this entry tells of itself. A change of floor or of leaving
// is urgent; Name, addresses, Incarnation, Seq and Revision are kept.
func (m *Member) SetSelf(now time.Time, s ward.PeerState) {
	old := m.self.state
	next := old
	next.Leaving, next.Floor, next.Waiting = s.Leaving, min(s.Floor, ward.TierBottom), s.Waiting
	for i, n := range next.Waiting {
		next.Waiting[i] = max(n, 0)
	}
	next.Floors = ownFloors(s.Floors)
	next.Draining = ownDraining(now, s.Draining)
	next.Demand = slices.DeleteFunc(slices.Clone(s.Demand), func(d ward.Demand) bool { return check.Demand(d) != nil })
	urgent := moved(next, old)
	if !urgent && next.Waiting == old.Waiting && slices.Equal(next.Floors, old.Floors) && sameDemand(next.Demand, old.Demand) {
		return
	}
	next.Seq++
	m.self.state = next
	m.self.heard = now
	if urgent {
		m.hurry(&m.self.beat)
		m.self.urgent = true
	}
}

// Urgent tells whether the next tick should not wait for the interval: there is
// urgent news that was not sent to anyone yet.
func (m *Member) Urgent() bool {
	return m.fresh || m.docs.pull != "" && m.docs.pulled.IsZero()
}

// stillUrgent looks whether anything urgent is left to pass on.
func (m *Member) stillUrgent() bool {
	if m.docs.hot() {
		return true
	}
	for _, b := range m.brakes {
		if b.hot() {
			return true
		}
	}
	for _, r := range m.rows {
		if r.urgent && r.beat.hot() {
			return true
		}
	}
	return false
}

// hurry starts the urgent spread of an item.
func (m *Member) hurry(r *rumor) {
	r.start(m.urgentLimit())
	m.urgent = true
	m.fresh = true
}

func sameDemand(a, b []ward.Demand) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
