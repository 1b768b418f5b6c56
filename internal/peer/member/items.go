package member

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// quarantineKey identifies a quarantine.
type quarantineKey struct {
	serves, version, route string
	ticket                 uint64
}

func keyOfQuarantine(q ward.Quarantine) quarantineKey {
	return quarantineKey{q.Serves, q.Version, q.Route, q.Ticket}
}

type quarantineRow struct {
	rumor
	quarantine ward.Quarantine
}

type moveRow struct {
	rumor
	move ward.MoveState
}

// countsKey identifies the counts of one series at one run of an entry.
type countsKey struct {
	serves, version, route, move, entry string
	incarnation                         ward.Incarnation
}

type countsRow struct {
	rumor
	counts ward.Counts
	at     time.Time
	// changed reports whether the row has changed since TakeCounts last returned it.
	changed bool
}

// AddQuarantines adds quarantines that were set at this entry and returns how
// many are new. Like all Add methods it skips items that other entries would
// refuse, because they would refuse the whole message.
func (m *Member) AddQuarantines(now time.Time, quarantines ...ward.Quarantine) int {
	n := 0
	for _, q := range quarantines {
		q.Reason = truncateReason(q.Reason)
		if check.Quarantine(q) == nil && m.mergeQuarantine(now, q) {
			n++
		}
	}
	return n
}

// AddMoves adds the states of moves as the store has accepted them.
func (m *Member) AddMoves(now time.Time, moves ...ward.MoveState) {
	for _, s := range moves {
		s.Reason = truncateReason(s.Reason)
		if check.Move(s) == nil {
			m.mergeMove(now, s)
		}
	}
}

// AddCounts adds this entry's own counts.
func (m *Member) AddCounts(now time.Time, counts ...ward.Counts) {
	for _, c := range counts {
		if check.Counts(now, c) == nil {
			m.mergeCounts(now, c)
		}
	}
}

// Quarantines returns all quarantines in force, sorted.
func (m *Member) Quarantines() []ward.Quarantine {
	var list []ward.Quarantine
	for _, r := range m.quarantines {
		list = append(list, r.quarantine)
	}
	slices.SortFunc(list, func(a, b ward.Quarantine) int {
		return cmp.Or(cmp.Compare(a.Serves, b.Serves), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Ticket, b.Ticket))
	})
	return list
}

// QuarantineChanges returns a counter that grows with every quarantine that is
// set or lifted.
func (m *Member) QuarantineChanges() uint64 { return m.quarantineChanges }

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

// mergeQuarantine merges a quarantine. A quarantine does not expire; only a
// ticket that puts another move in force lifts it.
func (m *Member) mergeQuarantine(now time.Time, q ward.Quarantine) bool {
	key := keyOfQuarantine(q)
	if _, ok := m.quarantines[key]; ok || m.config.lifted(q) || len(m.quarantines) >= maxQuarantines {
		return false
	}
	if q.Reason = truncateReason(q.Reason); q.At.IsZero() {
		q.At = now
	}
	r := &quarantineRow{quarantine: q}
	m.spreadUrgently(&r.rumor)
	m.quarantines[key] = r
	m.quarantineChanges++
	m.digest.markDirty(now)
	return true
}

func (m *Member) mergeMove(now time.Time, s ward.MoveState) {
	r := m.moves[s.Move]
	if r != nil && s.Revision <= r.move.Revision || m.config.ended(s.Move, s.Ticket) {
		return
	}
	if r == nil {
		if len(m.moves) >= maxMoves {
			return
		}
		r = &moveRow{}
		m.moves[s.Move] = r
	}
	s.PendingEvents = nil // operators are notified from the record in the store
	s.Reason = truncateReason(s.Reason)
	r.move = s
	r.start(m.urgentSends())
	m.digest.markDirty(now)
}

// mergeCounts merges counts by the larger value of each.
func (m *Member) mergeCounts(now time.Time, c ward.Counts) {
	key := countsKey{c.Serves, c.Version, c.Route, c.Move, c.Entry, c.Incarnation}
	r := m.counts[key]
	if r == nil {
		if m.config.ended(parseCountsMove(c.Move)) {
			return
		}
		m.evictCounts()
		r = &countsRow{counts: c}
		m.counts[key] = r
		m.ring = append(m.ring, r)
		r.start(loadSends)
		r.at = now
		m.markChanged(key, r)
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
	r.start(loadSends)
	r.at = now
	m.markChanged(key, r)
}

// markChanged notes a changed row of another entry for TakeCounts.
func (m *Member) markChanged(key countsKey, r *countsRow) {
	if r.changed || key.entry == m.self.state.Name {
		return
	}
	r.changed = true
	m.changedCounts = append(m.changedCounts, key)
}

// TakeCounts returns the counts of other entries that have changed since the
// last call, so that the caller's work grows with the changes and not with the
// fleet.
func (m *Member) TakeCounts() []ward.Counts {
	list := make([]ward.Counts, 0, len(m.changedCounts))
	for _, key := range m.changedCounts {
		if r := m.counts[key]; r != nil {
			r.changed = false
			list = append(list, r.counts)
		}
	}
	m.changedCounts = m.changedCounts[:0]
	return list
}

// evictCounts drops the row of counts that has not changed for the longest time
// when there are too many.
func (m *Member) evictCounts() {
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

// dropCounts removes one series.
func (m *Member) dropCounts(key countsKey) {
	r := m.counts[key]
	delete(m.counts, key)
	m.ring = slices.DeleteFunc(m.ring, func(x *countsRow) bool { return x == r })
	m.ringAt = 0
}

// prune removes items that a new configuration has ended.
func (m *Member) prune(now time.Time) {
	for k, r := range m.quarantines {
		if m.config.lifted(r.quarantine) {
			delete(m.quarantines, k)
			m.quarantineChanges++
		}
	}
	for k, r := range m.moves {
		if m.config.ended(r.move.Move, r.move.Ticket) {
			delete(m.moves, k)
		}
	}
	for k, r := range m.counts {
		if m.config.ended(parseCountsMove(r.counts.Move)) {
			m.dropCounts(k)
		}
	}
	m.digest.markDirty(now)
}

// maxReasonBytes bounds a reason in a message.
const maxReasonBytes = 200

// truncateReason shortens a reason to maxReasonBytes, at the start of a character.
func truncateReason(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	cut := maxReasonBytes
	for cut > 0 && s[cut]&0xC0 == 0x80 {
		cut--
	}
	return s[:cut]
}
