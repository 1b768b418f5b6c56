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

// pack fills a message to an entry, nil when it is not known, with what is to be passed on, by rank.
func (m *Member) pack(now time.Time, to *row, x *ward.Exchange, room int) {
	left := min(room, int(max(m.bucket.tokens, minExchange))) - size.Exchange(*x)
	p := &packer{member: m, x: x, left: left, salt: m.random.Uint32()}
	// What can wait is sent from the upper half of the bucket only.
	bulk := int(m.bucket.tokens-bulkReserve*m.bucket.rate) - size.Exchange(*x)
	p.brakes()
	if m.docs.hot() {
		m.docs.sent++ // the revision goes with every message
	}
	p.self()
	p.beats(true, p.left)
	p.moves()
	p.left = min(p.left, bulk)
	p.states()
	p.beats(false, p.left/2)
	p.counts()
	p.demand(now, to)
}

// fits takes n bytes when they are left.
func (p *packer) fits(n int) bool {
	if n > p.left {
		return false
	}
	p.left -= n
	return true
}

func (p *packer) brakes() {
	var rows []*brakeRow
	for _, r := range p.member.brakes {
		if r.hot() {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *brakeRow) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.brake.Serves, b.brake.Serves),
			cmp.Compare(a.brake.Version, b.brake.Version), cmp.Compare(a.brake.Route, b.brake.Route), cmp.Compare(a.brake.Ticket, b.brake.Ticket))
	})
	for _, r := range rows {
		if len(p.x.Quarantines) < check.MaxQuarantines && p.fits(size.Quarantine(r.brake)) {
			r.sent++
			p.x.Quarantines = append(p.x.Quarantines, r.brake)
		}
	}
}

// self adds this entry's own state without demand: a message is a heartbeat.
func (p *packer) self() {
	s := p.member.self.state
	s.Demand = nil
	if p.fits(size.State(s)) {
		p.x.States = append(p.x.States, s)
	}
}

func (p *packer) states() {
	rows := p.rows(func(r *row) bool { return r.full.hot() && r.known() && r != p.member.self }, func(r *row) int { return r.full.sent })
	for _, r := range rows {
		s := r.state
		s.Demand = nil
		if len(p.x.States) < check.MaxStates && p.fits(size.State(s)) {
			r.full.sent++
			p.x.States = append(p.x.States, s)
		}
	}
}

// leastBeat is less than any beat takes.
const leastBeat = 12

// beats adds urgent or other beats, in at most room bytes.
func (p *packer) beats(urgent bool, room int) {
	if room < leastBeat {
		return
	}
	rows := p.rows(func(r *row) bool { return r.beat.hot() && r.known() && r.urgent == urgent }, func(r *row) int { return r.beat.sent })
	for _, r := range rows {
		b := p.member.short(r)
		n := size.Heartbeat(b)
		if n > room || len(p.x.Heartbeats) >= check.MaxHeartbeats || !p.fits(n) {
			continue
		}
		room -= n
		r.beat.sent++
		p.x.Heartbeats = append(p.x.Heartbeats, b)
	}
}

// rows returns the rows that pass, the least passed on first and otherwise in
// an order that changes with each message.
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
		if r.hot() {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *moveRow) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.move.Move, b.move.Move))
	})
	for _, r := range rows {
		if len(p.x.Moves) < check.MaxMoves && p.fits(size.Move(r.move)) {
			r.sent++
			p.x.Moves = append(p.x.Moves, r.move)
		}
	}
}

// counts adds outcome counts in turn, on from where the last message ended: no
// series waits for ever, and nothing has to be sorted.
func (p *packer) counts() {
	ring := p.member.ring
	for i := range ring {
		at := (p.member.ringAt + i) % len(ring)
		r := ring[at]
		if !r.hot() {
			continue
		}
		if len(p.x.Counts) >= check.MaxCounts || !p.fits(size.Counts(r.counts)) {
			p.member.ringAt = at
			return
		}
		r.sent++
		p.x.Counts = append(p.x.Counts, r.counts)
	}
}

// demandEvery is the least time between two messages to an entry that bring it
// this entry's demand.
const demandEvery = 500 * time.Millisecond

// demand adds this entry's demand, the largest first, to its own state.
func (p *packer) demand(now time.Time, to *row) {
	if to == nil || now.Sub(to.told) < demandEvery || len(p.x.States) == 0 || p.x.States[0].Name != p.member.self.state.Name {
		return
	}
	list := slices.Clone(p.member.self.state.Demand)
	slices.SortFunc(list, func(a, b ward.Demand) int {
		return cmp.Or(cmp.Compare(b.Waiting+b.Prefill, a.Waiting+a.Prefill), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Upstream, b.Upstream))
	})
	s := &p.x.States[0]
	to.told = now
	for _, d := range list {
		if len(s.Demand) >= check.MaxDemand || !p.fits(size.Demand(d)) {
			return
		}
		s.Demand = append(s.Demand, d)
	}
}
