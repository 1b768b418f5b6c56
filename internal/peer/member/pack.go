package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"agateward/internal/peer/check"
	"agateward/internal/peer/size"
	"agateward/ward"
)

// packer fills one message up to a number of bytes.
type packer struct {
	member *Member
	x      *ward.Exchange
	left   int
	salt   uint32
}

// pack fills a message with the pending items, in order of priority. to is the
// receiver, nil when it is not known.
func (m *Member) pack(now time.Time, to *row, x *ward.Exchange, room int) {
	left := min(room, int(max(m.bucket.tokens, minExchangeBytes))) - size.Exchange(*x)
	p := &packer{member: m, x: x, left: left, salt: m.random.Uint32()}
	// Items of low priority are sent from the upper half of the bucket only.
	bulk := int(m.bucket.tokens-bulkReserve*m.bucket.rate) - size.Exchange(*x)
	p.quarantines()
	if m.config.pending() {
		m.config.sent++ // every message carries the revision
	}
	p.self()
	p.heartbeats(true, p.left)
	p.moves()
	p.left = min(p.left, bulk)
	p.states()
	p.heartbeats(false, p.left/2)
	p.counts()
	p.demand(now, to)
}

// reserve takes n bytes of the message when they are left, and reports whether
// they were.
func (p *packer) reserve(n int) bool {
	if n > p.left {
		return false
	}
	p.left -= n
	return true
}

func (p *packer) quarantines() {
	var rows []*quarantineRow
	for _, r := range p.member.quarantines {
		if r.pending() {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *quarantineRow) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.quarantine.Serves, b.quarantine.Serves),
			cmp.Compare(a.quarantine.Version, b.quarantine.Version), cmp.Compare(a.quarantine.Route, b.quarantine.Route), cmp.Compare(a.quarantine.Ticket, b.quarantine.Ticket))
	})
	for _, r := range rows {
		if len(p.x.Quarantines) < check.MaxQuarantines && p.reserve(size.Quarantine(r.quarantine)) {
			r.sent++
			p.x.Quarantines = append(p.x.Quarantines, r.quarantine)
		}
	}
}

// self adds this entry's own state without demand; it serves as its heartbeat.
func (p *packer) self() {
	s := p.member.self.state
	s.Demand = nil
	if p.reserve(size.State(s)) {
		p.x.States = append(p.x.States, s)
	}
}

func (p *packer) states() {
	rows := p.rows(func(r *row) bool { return r.stateRumor.pending() && r.known() && r != p.member.self }, func(r *row) int { return r.stateRumor.sent })
	for _, r := range rows {
		s := r.state
		s.Demand = nil
		if len(p.x.States) < check.MaxStates && p.reserve(size.State(s)) {
			r.stateRumor.sent++
			p.x.States = append(p.x.States, s)
		}
	}
}

// minHeartbeatBytes is below the size of any heartbeat.
const minHeartbeatBytes = 12

// heartbeats adds urgent or other heartbeats, in at most room bytes.
func (p *packer) heartbeats(urgent bool, room int) {
	if room < minHeartbeatBytes {
		return
	}
	rows := p.rows(func(r *row) bool { return r.heartbeatRumor.pending() && r.known() && r.urgent == urgent }, func(r *row) int { return r.heartbeatRumor.sent })
	for _, r := range rows {
		h := p.member.heartbeatOfRow(r)
		n := size.Heartbeat(h)
		if n > room || len(p.x.Heartbeats) >= check.MaxHeartbeats || !p.reserve(n) {
			continue
		}
		room -= n
		r.heartbeatRumor.sent++
		p.x.Heartbeats = append(p.x.Heartbeats, h)
	}
}

// rows returns the rows that pass, the least often sent first and otherwise in an
// order that changes with each message.
func (p *packer) rows(pass func(*row) bool, sent func(*row) int) []*row {
	type ranked struct {
		rank uint64
		row  *row
	}
	var list []ranked
	for _, r := range p.member.rows {
		if pass(r) {
			list = append(list, ranked{uint64(sent(r))<<32 | uint64(r.id^p.salt), r})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return strings.Compare(a.row.state.Name, b.row.state.Name)
	})
	rows := make([]*row, len(list))
	for i, x := range list {
		rows[i] = x.row
	}
	return rows
}

func (p *packer) moves() {
	var rows []*moveRow
	for _, r := range p.member.moves {
		if r.pending() {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *moveRow) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.move.Move, b.move.Move))
	})
	for _, r := range rows {
		if len(p.x.Moves) < check.MaxMoves && p.reserve(size.Move(r.move)) {
			r.sent++
			p.x.Moves = append(p.x.Moves, r.move)
		}
	}
}

// counts adds outcome counts in turn, starting where the last message ended, so
// that no series starves and nothing has to be sorted.
func (p *packer) counts() {
	ring := p.member.ring
	for i := range ring {
		at := (p.member.ringAt + i) % len(ring)
		r := ring[at]
		if !r.pending() {
			continue
		}
		if len(p.x.Counts) >= check.MaxCounts || !p.reserve(size.Counts(r.counts)) {
			p.member.ringAt = at
			return
		}
		r.sent++
		p.x.Counts = append(p.x.Counts, r.counts)
	}
}

// demandInterval is the least time between two messages to an entry that carry
// this entry's demand.
const demandInterval = 500 * time.Millisecond

// demand adds this entry's demand, the largest first, to its own state.
func (p *packer) demand(now time.Time, to *row) {
	if to == nil || now.Sub(to.demandSentAt) < demandInterval || len(p.x.States) == 0 || p.x.States[0].Name != p.member.self.state.Name {
		return
	}
	list := slices.Clone(p.member.self.state.Demand)
	slices.SortFunc(list, func(a, b ward.Demand) int {
		return cmp.Or(cmp.Compare(b.Waiting+b.Prefill, a.Waiting+a.Prefill), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Upstream, b.Upstream))
	})
	s := &p.x.States[0]
	to.demandSentAt = now
	for _, d := range list {
		if len(s.Demand) >= check.MaxDemand || !p.reserve(size.Demand(d)) {
			return
		}
		s.Demand = append(s.Demand, d)
	}
}
