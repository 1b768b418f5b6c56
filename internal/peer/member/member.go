// Package member implements cluster membership and the gossip of quarantines,
// configuration revisions, floors, move states and outcome counts between
// entries. It decides which entry is sent which message.
//
// # Usage
//
//	m := member.New(member.Settings{Fleet: "brassie", Self: state}, seed)
//	m.SetInstances(now, list)        // the platform's list: addresses to probe
//	m.SetSelf(now, state)            // floor, waiting requests, demand
//	for _, send := range m.Tick(now) {
//		reply, err := peer.Exchange(ctx, send.Address, send.Message)
//		// then m.ReceiveReply(now, send, reply) or m.Failed(now, send, connected)
//	}
//	reply, err := m.Receive(now, message) // a message from another entry
//	for _, p := range m.Peers(now) { ... }
//
// Member is pure: it does no I/O and takes the time and its random numbers from
// outside. It is not safe for concurrent use; package gossip runs it.
//
// # How it works
//
// Every Interval an entry exchanges one message with one peer of a small view
// that rotates through the fleet, whatever the fleet's size. While something
// urgent is pending (a quarantine, a new revision, a floor, a suspicion) it sends
// Fanout messages. A message carries deltas only: a new item is passed on a
// number of times that grows with the logarithm of the fleet's size. Digests are
// compared in every message; when they differ for a while, the two entries
// exchange the items of the buckets that differ.
//
// An entry whose exchange fails is suspected, and the suspicion spreads. The
// suspected entry refutes it with a higher sequence number; otherwise it becomes
// silent after the time in the chart. There are no all-to-all heartbeats: every
// exchange counts as one, and the whole fleet exchanges with each entry several
// times a second.
//
// # Bytes
//
// All bytes in both directions are charged to one token bucket before they are
// sent, by the upper bounds of package size. Messages are filled in order of
// priority: quarantines, the configuration's revision, floors and states, moves,
// counts, demand. What does not fit waits. The byte limit therefore holds at any
// fleet size; in a larger fleet the items of low priority are older.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// Protocol is the version of the messages. Messages of another version are
// refused.
const Protocol = 1

// Defaults and limits.
const (
	// DefaultInterval is the time between two messages of an entry.
	DefaultInterval = 250 * time.Millisecond
	// DefaultBytesPerSecond bounds the bytes of messages in both directions. With
	// fullConfigBytesPerSecond and the overhead of the connections it stays below
	// 16 KB.
	DefaultBytesPerSecond = 12 << 10
	// Fanout is the number of messages of one tick while something is urgent.
	Fanout = 3
	// viewSize is the number of peers that are sent messages in turn; one of them
	// is replaced every viewRotation.
	viewSize     = 12
	viewRotation = 2 * time.Second
	// probeInterval is how often a silent or listed peer is probed.
	probeInterval = time.Second
	// maxMessageBytes is the size limit of the first message of a tick and of a
	// reply, maxExtraMessageBytes of the further messages of a tick, and
	// maxRepairBytes of a message that repairs a difference.
	maxMessageBytes      = 1400
	maxExtraMessageBytes = 700
	maxRepairBytes       = 4096
	// transportBytes is the overhead of one exchange on the network: two segments
	// and their acknowledgements.
	transportBytes = 208
	// suspectAfter is how long a peer must not have been heard from before a
	// timeout makes it suspect.
	suspectAfter = time.Second
	// maxQuarantines, maxCounts and maxMoves bound what is stored.
	maxQuarantines = 256
	maxCounts      = 8192
	maxMoves       = 256
)

// Settings configures a Member.
type Settings struct {
	Fleet string
	// Self is this entry: name, addresses, data centre and incarnation.
	Self ward.PeerState
	// Interval is DefaultInterval when 0, BytesPerSecond DefaultBytesPerSecond.
	Interval       time.Duration
	BytesPerSecond int
}

// Send is one message to be sent to a peer.
type Send struct {
	// Name is empty when only the address is known.
	Name    string
	Address string
	Message ward.Exchange
}

// Stats counts the messages exchanged. Bytes are the upper bounds that are
// charged.
type Stats struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	Refused          uint64
	Failed           uint64
	Repairs          uint64
	// Deferred counts messages that were postponed because the bytes were used up.
	Deferred uint64
}

// Member is the membership and gossip state of one entry. Create one with New.
type Member struct {
	settings Settings
	random   *rand.Rand
	chart    chart
	stats    Stats

	self *row
	rows map[string]*row
	ids  map[uint32]*row
	// order lists the rows by name; it is nil when it must be rebuilt.
	order []*row
	view  view

	quarantines map[quarantineKey]*quarantineRow
	moves       map[string]*moveRow
	counts      map[countsKey]*countsRow
	// changedCounts lists rows for TakeCounts.
	changedCounts []countsKey
	// ring holds the rows of counts in the order in which they are sent; ringAt
	// is the index of the next one.
	ring   []*countsRow
	ringAt int
	// live is the number of live entries at the last tick.
	live int
	// hasUrgent reports whether an urgent item may still be pending,
	// hasUnsentUrgent whether one was not sent to any peer yet.
	hasUrgent       bool
	hasUnsentUrgent bool
	// quarantineChanges counts quarantines that were set or lifted.
	quarantineChanges uint64

	config configSync
	bucket bucket
	digest digest
	repair repair
	// retryName is an entry whose exchange failed once.
	retryName string
	// bootstrapAskedAt is when this entry, after its start, last asked for missing
	// items.
	bootstrapAskedAt time.Time
}

// New returns the membership of one entry. The same seed gives the same choices.
func New(s Settings, seed uint64) *Member {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.BytesPerSecond <= 0 {
		s.BytesPerSecond = DefaultBytesPerSecond
	}
	m := &Member{
		settings:    s,
		random:      rand.New(rand.NewPCG(seed, uint64(s.Self.Incarnation))),
		chart:       mustChart(),
		rows:        map[string]*row{},
		ids:         map[uint32]*row{},
		quarantines: map[quarantineKey]*quarantineRow{},
		moves:       map[string]*moveRow{},
		counts:      map[countsKey]*countsRow{},
		bucket:      bucket{rate: float64(s.BytesPerSecond)},
	}
	s.Self.Seq = max(s.Self.Seq, 1)
	m.self = &row{state: s.Self, status: Alive, chart: m.chart.States[Alive], listed: true}
	m.put(s.Self.Name, m.self)
	m.index(m.self)
	return m
}

// Stats returns the counts since the start.
func (m *Member) Stats() Stats { return m.stats }

// Self returns this entry's state as its peers receive it.
func (m *Member) Self() ward.PeerState { return m.self.state }

// SetSelf sets this entry's state as its peers receive it. A change of floor or
// of leaving is urgent; Name, addresses, Incarnation, Seq and Revision are kept.
func (m *Member) SetSelf(now time.Time, s ward.PeerState) {
	old := m.self.state
	next := old
	next.Leaving, next.Floor, next.Waiting = s.Leaving, min(s.Floor, ward.TierBottom), s.Waiting
	for i, n := range next.Waiting {
		next.Waiting[i] = max(n, 0)
	}
	next.Floors = limitFloors(s.Floors)
	next.Draining = limitDraining(now, s.Draining)
	next.Demand = slices.DeleteFunc(slices.Clone(s.Demand), func(d ward.Demand) bool { return check.Demand(d) != nil })
	urgent := urgentChange(next, old)
	if !urgent && next.Waiting == old.Waiting && slices.Equal(next.Floors, old.Floors) && sameDemand(next.Demand, old.Demand) {
		return
	}
	next.Seq++
	m.self.state = next
	m.self.lastHeard = now
	if urgent {
		m.spreadUrgently(&m.self.heartbeatRumor)
		m.self.urgent = true
	}
}

// Urgent reports whether the next tick should not wait for the interval, because
// an urgent item was not sent to any peer yet.
func (m *Member) Urgent() bool {
	return m.hasUnsentUrgent || m.config.pullFrom != "" && m.config.pullSentAt.IsZero()
}

// anyUrgentPending reports whether any urgent item has to be sent again.
func (m *Member) anyUrgentPending() bool {
	if m.config.pending() {
		return true
	}
	for _, r := range m.quarantines {
		if r.pending() {
			return true
		}
	}
	for _, r := range m.rows {
		if r.urgent && r.heartbeatRumor.pending() {
			return true
		}
	}
	return false
}

// spreadUrgently starts the urgent spread of an item.
func (m *Member) spreadUrgently(r *rumor) {
	r.start(m.urgentSends())
	m.hasUrgent = true
	m.hasUnsentUrgent = true
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
