package member

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// brakeKey names a brake.
type brakeKey struct {
	serves, version, route string
	ticket                 uint64
}

func keyOf(b ward.Quarantine) brakeKey { return brakeKey{b.Serves, b.Version, b.Route, b.Ticket} }

type brakeRow struct {
	rumor
	brake ward.Quarantine
}

type moveRow struct {
	rumor
	move ward.MoveState
}

// countsKey names the counts of one series at one run of an entry.
type countsKey struct {
	serves, version, route, move, entry string
	incarnation                         ward.Incarnation
}

type countsRow struct {
	rumor
	counts ward.Counts
	at     time.Time
	// untaken says that TakeCounts has not returned the row since it changed.
	untaken bool
}

// AddQuarantines adds brakes that were set here and returns how many are new. Like
// all that is added here, what other entries would refuse is left out: they
// would refuse the whole message.
func (m *Member) AddQuarantines(now time.Time, brakes ...ward.Quarantine) int {
	n := 0
	for _, b := range brakes {
		b.Reason = clip(b.Reason)
		if check.Quarantine(b) == nil && m.takeBrake(now, b) {
			n++
		}
	}
	return n
}

// AddMoves adds the states of moves as the store has accepted them.
func (m *Member) AddMoves(now time.Time, moves ...ward.MoveState) {
	for _, s := range moves {
		s.Reason = clip(s.Reason)
		if check.Move(s) == nil {
			m.takeMove(now, s)
		}
	}
}

// AddCounts adds this entry's own counts.
func (m *Member) AddCounts(now time.Time, counts ...ward.Counts) {
	for _, c := range counts {
		if check.Counts(now, c) == nil {
			m.takeCounts(now, c)
		}
	}
}

// Quarantines returns all brakes in force, sorted.
func (m *Member) Quarantines() []ward.Quarantine {
	var list []ward.Quarantine
	for _, b := range m.brakes {
		list = append(list, b.brake)
	}
	slices.SortFunc(list, func(a, b ward.Quarantine) int {
		return cmp.Or(cmp.Compare(a.Serves, b.Serves), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Ticket, b.Ticket))
	})
	return list
}

// QuarantineChanges grows with every brake that is set or lifted.
func (m *Member) QuarantineChanges() uint64 { return m.brakeChanges }

// Moves returns the highest state known of each move, sorted by name.
func (m *Member) Moves() []ward.MoveState {
	var list []ward.MoveState
	for _, r := range m.moves {
		list = append(list, r.move)
	}
	slices.SortFunc(list, func(a, b ward.MoveState) int { return cmp.Compare(a.Move, b.Move) })
	return list
}

// Counts returns the counts of all entries, sorted.
func (m *Member) Counts() []ward.Counts {
	list := make([]ward.Counts, 0, len(m.counts))
	for _, r := range m.counts {
		list = append(list, r.counts)
	}
	slices.SortFunc(list, compareCounts)
	return list
}

func compareCounts(a, b ward.Counts) int {
	return cmp.Or(cmp.Compare(a.Move, b.Move), cmp.Compare(a.Serves, b.Serves), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Version, b.Version), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}

// takeBrake merges a brake. It never goes by time; only a ticket that puts
// another move in force lifts it.
func (m *Member) takeBrake(now time.Time, b ward.Quarantine) bool {
	key := keyOf(b)
	if _, ok := m.brakes[key]; ok || m.docs.lifted(b) || len(m.brakes) >= maxBrakes {
		return false
	}
	if b.Reason = clip(b.Reason); b.At.IsZero() {
		b.At = now
	}
	r := &brakeRow{brake: b}
	m.hurry(&r.rumor)
	m.brakes[key] = r
	m.brakeChanges++
	m.digest.touch(now)
	return true
}

func (m *Member) takeMove(now time.Time, s ward.MoveState) {
	r := m.moves[s.Move]
	if r != nil && s.Revision <= r.move.Revision || m.docs.over(s.Move, s.Ticket) {
		return
	}
	if r == nil {
		if len(m.moves) >= maxMoves {
			return
		}
		r = &moveRow{}
		m.moves[s.Move] = r
	}
	s.PendingEvents = nil // operators are told from the store's record
	s.Reason = clip(s.Reason)
	r.move = s
	r.start(m.urgentLimit())
	m.digest.touch(now)
}

// takeCounts merges counts by the larger figure of each.
func (m *Member) takeCounts(now time.Time, c ward.Counts) {
	key := countsKey{c.Serves, c.Version, c.Route, c.Move, c.Entry, c.Incarnation}
	r := m.counts[key]
	if r == nil {
		if m.docs.over(runOf(c.Move)) {
			return
		}
		m.makeRoom()
		r = &countsRow{counts: c}
		m.counts[key] = r
		m.ring = append(m.ring, r)
		r.start(loadLimit)
		r.at = now
		m.changed(key, r)
		return
	}
	merged := r.counts
	merged.Succeeded = max(merged.Succeeded, c.Succeeded)
	merged.Failed = max(merged.Failed, c.Failed)
	for i := range merged.Latency {
		merged.Latency[i] = max(merged.Latency[i], c.Latency[i])
	}
	if merged == r.counts {
		return
	}
	r.counts = merged
	r.start(loadLimit)
	r.at = now
	m.changed(key, r)
}

// changed notes a row of another entry for TakeCounts.
func (m *Member) changed(key countsKey, r *countsRow) {
	if r.untaken || key.entry == m.self.state.Name {
		return
	}
	r.untaken = true
	m.untaken = append(m.untaken, key)
}

// TakeCounts returns the counts of other entries that have changed since the
// last call, so that the reader's work follows the news and not the fleet.
func (m *Member) TakeCounts() []ward.Counts {
	list := make([]ward.Counts, 0, len(m.untaken))
	for _, key := range m.untaken {
		if r := m.counts[key]; r != nil {
			r.untaken = false
			list = append(list, r.counts)
		}
	}
	m.untaken = m.untaken[:0]
	return list
}

// makeRoom drops the counts that have not changed for the longest time.
func (m *Member) makeRoom() {
	if len(m.counts) < maxCounts {
		return
	}
	var oldest countsKey
	var row *countsRow
	for k, r := range m.counts {
		if row == nil || r.at.Before(row.at) || r.at.Equal(row.at) && compareCounts(r.counts, row.counts) < 0 {
			oldest, row = k, r
		}
	}
	m.dropCounts(oldest)
}

// dropCounts drops one series.
func (m *Member) dropCounts(key countsKey) {
	r := m.counts[key]
	delete(m.counts, key)
	m.ring = slices.DeleteFunc(m.ring, func(x *countsRow) bool { return x == r })
	m.ringAt = 0
}

// prune drops what a new configuration has put an end to.
func (m *Member) prune(now time.Time) {
	for k, b := range m.brakes {
		if m.docs.lifted(b.brake) {
			delete(m.brakes, k)
			m.brakeChanges++
		}
	}
	for k, r := range m.moves {
		if m.docs.over(r.move.Move, r.move.Ticket) {
			delete(m.moves, k)
		}
	}
	for k, r := range m.counts {
		if m.docs.over(runOf(r.counts.Move)) {
			m.dropCounts(k)
		}
	}
	m.digest.touch(now)
}

// maxReason is what a reason may take in a message, in bytes.
const maxReason = 200

// clip shortens a reason to what messages carry, at the start of a character.
func clip(s string) string {
	if len(s) <= maxReason {
		return s
	}
	cut := maxReason
	for cut > 0 && s[cut]&0xC0 == 0x80 {
		cut--
	}
	return s[:cut]
}
