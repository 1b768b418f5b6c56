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

// bucketCount is the number of parts of a digest. The first part is that of
// brakes and moves, which are few, so that one that was missed does not bring
// the states of entries with it.
const bucketCount = 16

// bucketOf returns the part of an item.
func bucketOf(h uint64, entry bool) uint64 {
	if !entry {
		return 0
	}
	return 1 + h%(bucketCount-1)
}

// newsShift is where the sum of brakes and moves begins in a digest; below it is
// that of the entries. newsBytes bounds what a reply brings when the former
// differs.
const (
	newsShift = 32
	newsBytes = 700
)

// digest sums up what this entry knows and the fleet should agree on: who is
// alive, the brakes, and the states of moves.
type digest struct {
	whole   uint64
	buckets [bucketCount]uint32
	stale   bool
	valid   bool
	changed time.Time
}

// repair is a difference that is being mended.
type repair struct {
	with   string
	theirs []uint32
	at     time.Time
}

// Times of repair. A digest differs for as long as news travels; only one that
// has been at rest for settleTime shows that something was missed.
const (
	settleTime  = time.Second
	repairEvery = time.Second
)

// touch notes that something the digest covers has changed.
func (d *digest) touch(now time.Time) {
	d.stale = true
	d.changed = now
}

// sum brings the digest up to date.
func (m *Member) sum() {
	d := &m.digest
	if d.valid && !d.stale {
		return
	}
	d.whole, d.buckets, d.stale, d.valid = 0, [bucketCount]uint32{}, false, true
	m.each(func(h uint64, entry bool, _ func(*ward.Exchange) int) {
		part := h >> 32
		if !entry {
			part <<= newsShift
		}
		d.whole ^= part
		d.buckets[bucketOf(h, entry)] ^= uint32(h >> 32)
	})
}

// each calls f with the hash of each item that the digest covers, whether it is
// an entry, and a function that adds the item to a message and returns its size.
func (m *Member) each(f func(h uint64, entry bool, add func(*ward.Exchange) int)) {
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
	for k, r := range m.brakes {
		f(hash("brake", k.serves, k.version, k.route, strconv.FormatUint(k.ticket, 10)), false, func(x *ward.Exchange) int {
			x.Quarantines = append(x.Quarantines, r.brake)
			return size.Quarantine(r.brake)
		})
	}
	for _, r := range m.moves {
		f(hash("move", r.move.Move, strconv.FormatUint(r.move.Revision, 10)), false, func(x *ward.Exchange) int {
			x.Moves = append(x.Moves, r.move)
			return size.Move(r.move)
		})
	}
}

// buckets returns a copy of the digest's parts.
func (m *Member) buckets() []uint32 { return slices.Clone(m.digest.buckets[:]) }

// young tells that this entry has not heard of most of those it was told of, as
// after its start.
func (m *Member) young() bool { return 2*m.live < len(m.rows) }

// compare adds to a reply what mends a difference: the items of the buckets
// that differ when the sender gave its own, and otherwise this entry's buckets
// when it is time to look.
func (m *Member) compare(now time.Time, reply *ward.Exchange, asked ward.Exchange) {
	if len(asked.Buckets) == bucketCount {
		m.mend(reply, asked.Buckets)
		return
	}
	if asked.Digest>>newsShift != m.digest.whole>>newsShift {
		m.addNews(reply)
	}
	if uint32(asked.Digest) != uint32(m.digest.whole) && m.settled(now) {
		m.repair.at = now
		reply.Buckets = m.buckets()
	}
}

// addNews adds brakes and moves to a reply to one whose sum of them differs. They
// are few, and every entry asks several others a second, so that one that has
// just started or missed a message has them within a second.
func (m *Member) addNews(reply *ward.Exchange) {
	left := newsBytes
	brakes := m.Quarantines()
	for i := range brakes {
		b := brakes[(i+int(m.stats.SentMessages))%len(brakes)]
		if left -= size.Quarantine(b); left < 0 {
			return
		}
		reply.Quarantines = append(reply.Quarantines, b)
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

// settled tells that the digest is at rest and no repair was made just now.
func (m *Member) settled(now time.Time) bool {
	return now.Sub(m.digest.changed) >= settleTime && now.Sub(m.repair.at) >= repairEvery
}

// startRepair notes that the next tick mends a difference with a peer.
func (m *Member) startRepair(now time.Time, reply ward.Exchange) {
	m.sum()
	if len(reply.Buckets) != bucketCount || now.Sub(m.repair.at) < repairEvery || uint32(reply.Digest) == uint32(m.digest.whole) {
		return
	}
	m.stats.Repairs++
	m.repair = repair{with: reply.From, theirs: reply.Buckets, at: now}
}

// mend adds the items of buckets that differ from theirs, and what this entry
// holds of those that are not alive.
func (m *Member) mend(x *ward.Exchange, theirs []uint32) {
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
	m.each(collect)
	for _, r := range m.rows {
		if r.status != Alive && r.known() {
			collect(r.hash, true, func(x *ward.Exchange) int {
				x.Heartbeats = append(x.Heartbeats, m.short(r))
				return size.Heartbeat(m.short(r))
			})
		}
	}
	// In an order that changes, so that what does not fit comes another time.
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.hash, b.hash) })
	m.random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	left := min(maxRepair-maxMessage, int(m.bucket.tokens-bulkReserve*m.bucket.rate))
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
