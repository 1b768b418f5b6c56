package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"agateward/internal/peer/size"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets of a digest. The first one holds the
// quarantines and moves, which are few, so that repairing one of them does not
// send the states of entries too.
const bucketCount = 16

// bucketOf returns the bucket of an item.
func bucketOf(h uint64, entry bool) uint64 {
	if !entry {
		return 0
	}
	return 1 + h%(bucketCount-1)
}

// itemsShift is the position of the sum of quarantines and moves in a digest;
// the bits below it hold the sum of the entries. maxItemsBytes bounds the
// quarantines and moves that a reply brings when their sums differ.
const (
	itemsShift    = 32
	maxItemsBytes = 700
)

// digest summarizes the state that the fleet should agree on: the live entries,
// the quarantines, and the states of moves.
type digest struct {
	whole     uint64
	buckets   [bucketCount]uint32
	dirty     bool
	valid     bool
	changedAt time.Time
}

// repair is a difference to a peer that is being repaired.
type repair struct {
	with   string
	theirs []uint32
	at     time.Time
}

// Times of repair. Digests differ while changes are spreading; only a digest that
// has not changed for settleTime shows that a message was missed.
const (
	settleTime     = time.Second
	repairInterval = time.Second
)

// markDirty notes that something the digest covers has changed.
func (d *digest) markDirty(now time.Time) {
	d.dirty = true
	d.changedAt = now
}

// updateDigest recomputes the digest when it is out of date.
func (m *Member) updateDigest() {
	d := &m.digest
	if d.valid && !d.dirty {
		return
	}
	d.whole, d.buckets, d.dirty, d.valid = 0, [bucketCount]uint32{}, false, true
	m.eachDigestItem(func(h uint64, entry bool, _ func(*ward.Exchange) int) {
		part := h >> 32
		if !entry {
			part <<= itemsShift
		}
		d.whole ^= part
		d.buckets[bucketOf(h, entry)] ^= uint32(h >> 32)
	})
}

// eachDigestItem calls f with the hash of each item that the digest covers,
// whether it is an entry, and a function that adds the item to a message and
// returns its size.
func (m *Member) eachDigestItem(f func(h uint64, entry bool, add func(*ward.Exchange) int)) {
	for _, r := range m.rows {
		if r.status != Alive || !r.known() {
			continue
		}
		f(r.hash, true, func(x *ward.Exchange) int {
			s := r.state
			s.Demand = nil
			x.States = append(x.States, s)
			return size.State(s)
		})
	}
	for k, r := range m.quarantines {
		f(hash("brake", k.serves, k.version, k.route, strconv.FormatUint(k.ticket, 10)), false, func(x *ward.Exchange) int {
			x.Quarantines = append(x.Quarantines, r.quarantine)
			return size.Quarantine(r.quarantine)
		})
	}
	for _, r := range m.moves {
		f(hash("move", r.move.Move, strconv.FormatUint(r.move.Revision, 10)), false, func(x *ward.Exchange) int {
			x.Moves = append(x.Moves, r.move)
			return size.Move(r.move)
		})
	}
}

// buckets returns a copy of the digest's buckets.
func (m *Member) buckets() []uint32 { return slices.Clone(m.digest.buckets[:]) }

// bootstrapping reports whether this entry has not yet heard from most of the
// entries it knows of, as after its start.
func (m *Member) bootstrapping() bool { return 2*m.live < len(m.rows) }

// compareDigests adds to a reply what repairs a difference: the items of the
// buckets that differ when the sender gave its own, and otherwise this entry's
// buckets when a repair is due.
func (m *Member) compareDigests(now time.Time, reply *ward.Exchange, asked ward.Exchange) {
	if len(asked.Buckets) == bucketCount {
		m.addDifferences(reply, asked.Buckets)
		return
	}
	if asked.Digest>>itemsShift != m.digest.whole>>itemsShift {
		m.addQuarantinesAndMoves(reply)
	}
	if uint32(asked.Digest) != uint32(m.digest.whole) && m.settled(now) {
		m.repair.at = now
		reply.Buckets = m.buckets()
	}
}

// addQuarantinesAndMoves adds quarantines and moves to the reply to an entry whose
// sum of them differs. They are few, and every entry asks several others a second,
// so that an entry that has just started or missed a message has them within a
// second.
func (m *Member) addQuarantinesAndMoves(reply *ward.Exchange) {
	left := maxItemsBytes
	quarantines := m.Quarantines()
	for i := range quarantines {
		q := quarantines[(i+int(m.stats.SentMessages))%len(quarantines)]
		if left -= size.Quarantine(q); left < 0 {
			return
		}
		reply.Quarantines = append(reply.Quarantines, q)
	}
	moves := m.Moves()
	for i := range moves {
		s := moves[(i+int(m.stats.SentMessages))%len(moves)]
		if left -= size.Move(s); left < 0 {
			return
		}
		reply.Moves = append(reply.Moves, s)
	}
}

// settled reports whether the digest has stopped changing and the last repair is
// long enough ago.
func (m *Member) settled(now time.Time) bool {
	return now.Sub(m.digest.changedAt) >= settleTime && now.Sub(m.repair.at) >= repairInterval
}

// scheduleRepair makes the next tick repair a difference to a peer.
func (m *Member) scheduleRepair(now time.Time, reply ward.Exchange) {
	m.updateDigest()
	if len(reply.Buckets) != bucketCount || now.Sub(m.repair.at) < repairInterval || uint32(reply.Digest) == uint32(m.digest.whole) {
		return
	}
	m.stats.Repairs++
	m.repair = repair{with: reply.From, theirs: reply.Buckets, at: now}
}

// addDifferences adds the items of the buckets that differ from theirs, and
// heartbeats of the entries in them that are not alive.
func (m *Member) addDifferences(x *ward.Exchange, theirs []uint32) {
	type item struct {
		hash uint64
		add  func(*ward.Exchange) int
	}
	var items []item
	collect := func(h uint64, entry bool, add func(*ward.Exchange) int) {
		if b := bucketOf(h, entry); m.digest.buckets[b] != theirs[b] {
			items = append(items, item{h, add})
		}
	}
	m.eachDigestItem(collect)
	for _, r := range m.rows {
		if r.status != Alive && r.known() {
			collect(r.hash, true, func(x *ward.Exchange) int {
				x.Heartbeats = append(x.Heartbeats, m.heartbeatOfRow(r))
				return size.Heartbeat(m.heartbeatOfRow(r))
			})
		}
	}
	// In random order, so that items that do not fit are sent another time.
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.hash, b.hash) })
	m.random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	left := min(maxRepairBytes-maxMessageBytes, int(m.bucket.tokens-bulkReserve*m.bucket.rate))
	for ; left > 0 && len(items) > 0; items = items[1:] {
		left -= items[0].add(x)
	}
}

func hash(kind string, parts ...string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	for _, s := range parts {
		_, _ = h.WriteString("\x00" + s)
	}
	return h.Sum64()
}
