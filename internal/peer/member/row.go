package member

import (
	"math"
	"slices"
	"strings"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// row is the state of one entry, including this one.
type row struct {
	state  ward.PeerState
	id     uint32
	hash   uint64
	status Status
	// chart is the chart's definition of status.
	chart *chartState
	// statusSince is when status began, lastHeard when the last heartbeat arrived
	// from anywhere, lastDirect when the last message came from the entry itself.
	statusSince time.Time
	lastHeard   time.Time
	lastDirect  time.Time
	demandAt    time.Time
	listed      bool
	// demandSentAt is when this entry last sent it its demand.
	demandSentAt time.Time
	// failed reports whether the last exchange with it got no reply.
	failed bool
	// stateRumor spreads the full state, heartbeatRumor the short form.
	stateRumor     rumor
	heartbeatRumor rumor
	// urgent reports whether heartbeatRumor carries a floor, the leaving of the
	// entry or a suspicion.
	urgent bool
}

// rumor counts how often an item was sent, up to a limit.
type rumor struct {
	sent  int
	limit int
}

func (r *rumor) start(limit int) { *r = rumor{limit: limit} }
func (r *rumor) pending() bool   { return r.sent < r.limit }

// urgentSends is how often an urgent item is sent: enough to reach every entry
// of a fleet of this size with a few spare rounds.
func (m *Member) urgentSends() int {
	return 4 + int(math.Ceil(1.5*math.Log2(float64(len(m.rows)+1))))
}

// loadSends is how often other heartbeats, counts and moves are sent. An entry
// that misses one gets the next.
const loadSends = 2

// demandTTL is how long an entry's demand is kept when its messages bring none,
// as not every message does.
const demandTTL = 3 * time.Second

// stateSends is how often the full state of a new entry is sent. It is large,
// and every message of that entry carries it too; digests repair what is missed.
const stateSends = 4

// newRow returns a row in the initial state of the chart.
func (m *Member) newRow(now time.Time) *row {
	return &row{status: m.chart.Initial, chart: m.chart.States[m.chart.Initial], statusSince: now}
}

// known reports whether the row comes from more than the platform's list.
func (r *row) known() bool { return r.state.Incarnation > 0 }

// index sets the row's short hash. Two entries with the same short hash are
// updated by full states only.
func (m *Member) index(r *row) {
	h := xxhash.New()
	_, _ = h.WriteString(r.state.Name)
	var n [8]byte
	for i := range n {
		n[i] = byte(r.state.Incarnation >> (8 * i))
	}
	_, _ = h.Write(n[:])
	r.hash = h.Sum64()
	r.id = uint32(r.hash)
	if other, ok := m.ids[r.id]; ok && other != r {
		m.ids[r.id] = nil
		return
	}
	m.ids[r.id] = r
}

// unindex removes the row's short hash.
func (m *Member) unindex(r *row) {
	if m.ids[r.id] == r {
		delete(m.ids, r.id)
	}
}

// SetInstances takes the platform's list of instances. The list only states which
// addresses to probe: it makes no entry live, and only entries that were never
// heard from are removed when they are missing from it.
func (m *Member) SetInstances(now time.Time, list []ward.Instance) {
	for _, r := range m.rows {
		r.listed = r == m.self
	}
	for _, x := range list {
		if x.Role != ward.RoleEntry || x.Name == "" || x.Name == m.self.state.Name {
			continue
		}
		r := m.rows[x.Name]
		if r == nil {
			r = m.newRow(now)
			r.state.Name = x.Name
			m.put(x.Name, r)
		}
		r.listed = true
		if !r.known() {
			r.state.Address = x.Address
			r.state.DataCentre = x.DataCentre
		}
	}
	for name, r := range m.rows {
		if !r.listed && !r.known() {
			m.drop(name)
		}
	}
}

// applyTimeouts changes the status of all rows whose time in it is over.
func (m *Member) applyTimeouts(now time.Time) {
	m.live = 0
	for name, r := range m.rows {
		if r.chart.Live {
			m.live++
		}
		if r == m.self || !m.chart.timeout(r, now) {
			continue
		}
		m.digest.markDirty(now)
		if r.status != forgotten {
			continue
		}
		m.unindex(r)
		m.drop(name)
		if r.listed {
			again := m.newRow(now)
			again.listed = true
			again.state = ward.PeerState{Name: name, Address: r.state.Address, DataCentre: r.state.DataCentre}
			m.put(name, again)
		}
	}
}

// mergeState merges a full state. direct reports whether it came from the entry
// itself.
func (m *Member) mergeState(now time.Time, s ward.PeerState, direct bool) {
	if s.Name == m.self.state.Name {
		return
	}
	r := m.rows[s.Name]
	if r == nil {
		r = m.newRow(now)
		m.put(s.Name, r)
	}
	if s.Incarnation < r.state.Incarnation {
		return
	}
	if s.Incarnation > r.state.Incarnation {
		m.replace(now, r, s)
	} else if r.stateRumor.pending() && !direct {
		r.stateRumor.sent++ // the sender knows it already
	}
	if direct {
		r.lastDirect = now
		if len(s.Demand) > 0 || now.Sub(r.demandAt) > demandTTL {
			r.state.Demand = s.Demand
			r.demandAt = now
		}
	}
	if s.Seq > r.state.Seq || direct && s.Seq == r.state.Seq {
		m.update(now, r, heartbeatOf(s))
	}
}

// replace resets a row to a new run of its entry.
func (m *Member) replace(now time.Time, r *row, s ward.PeerState) {
	m.unindex(r)
	listed := r.listed
	*r = *m.newRow(now)
	r.state, r.listed = s, listed
	r.state.Seq = 0
	r.state.Demand = nil
	m.index(r)
	r.stateRumor.start(stateSends)
	m.digest.markDirty(now)
}

// sorted returns all rows by name, so that choices do not depend on the order of
// a map.
func (m *Member) sorted() []*row {
	if len(m.order) > 0 {
		return m.order
	}
	for _, r := range m.rows {
		m.order = append(m.order, r)
	}
	slices.SortFunc(m.order, func(a, b *row) int { return strings.Compare(a.state.Name, b.state.Name) })
	return m.order
}

// put adds a row, or replaces the row of that name.
func (m *Member) put(name string, r *row) {
	m.rows[name] = r
	m.order = nil
}

// drop removes a row.
func (m *Member) drop(name string) {
	delete(m.rows, name)
	m.order = nil
}
