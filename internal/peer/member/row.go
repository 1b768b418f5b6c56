package member

import (
	"math"
	"slices"
	"strings"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// row is one entry, this one included.
type row struct {
	state  ward.PeerState
	id     uint32
	hash   uint64
	status Status
	// chart is what the chart says of status.
	chart *chartState
	// since is when status began, heard when a beat came, direct when a message
	// came from the entry itself.
	since    time.Time
	heard    time.Time
	direct   time.Time
	demandAt time.Time
	listed   bool
	// told is when this entry last told it its demand.
	told time.Time
	// failed says that the last exchange with it had no answer.
	failed bool
	// full spreads the whole state, beat the short form.
	full rumor
	beat rumor
	// urgent says that beat carries a floor, a leaving or an accusation.
	urgent bool
}

// rumor counts how often an item was passed on.
type rumor struct {
	sent  int
	limit int
}

func (r *rumor) start(limit int) { *r = rumor{limit: limit} }
func (r *rumor) hot() bool       { return r.sent < r.limit }

// urgentLimit is how often an urgent item is passed on: enough to reach all of
// a fleet of this size with a few spare rounds.
func (m *Member) urgentLimit() int {
	return 4 + int(math.Ceil(1.5*math.Log2(float64(len(m.rows)+1))))
}

// loadLimit is how often other beats, counts and moves are passed on. Those who
// miss one get the next.
const loadLimit = 2

// demandKept is how long an entry's demand is kept when its messages bring none:
// not every one does.
const demandKept = 3 * time.Second

// fullLimit is how often the whole state of a new entry is passed on. It is long,
// and every message of that entry brings it too; digests mend the rest.
const fullLimit = 4

// newRow returns a row in the first state of the chart.
func (m *Member) newRow(now time.Time) *row {
	return &row{status: m.chart.Initial, chart: m.chart.States[m.chart.Initial], since: now}
}

// known tells whether more than the platform's list speaks for the row.
func (r *row) known() bool { return r.state.Incarnation > 0 }

// index sets the row's short hash. Two entries with the same one are told apart
// by whole states only.
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

// unindex forgets the row's short hash.
func (m *Member) unindex(r *row) {
	if m.ids[r.id] == r {
		delete(m.ids, r.id)
	}
}

// SetInstances takes the platform's list. It is a hint of whom to ask: it makes
// nobody live, and it takes away only who was never heard of.
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

// age moves the states of all rows by time.
func (m *Member) age(now time.Time) {
	m.live = 0
	for name, r := range m.rows {
		if r.chart.Live {
			m.live++
		}
		if r == m.self || !m.chart.age(r, now) {
			continue
		}
		m.digest.touch(now)
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

// takeState merges a whole state. direct says that it came from the entry
// itself.
func (m *Member) takeState(now time.Time, s ward.PeerState, direct bool) {
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
	} else if r.full.hot() && !direct {
		r.full.sent++ // the sender knows it already
	}
	if direct {
		r.direct = now
		if len(s.Demand) > 0 || now.Sub(r.demandAt) > demandKept {
			r.state.Demand = s.Demand
			r.demandAt = now
		}
	}
	if s.Seq > r.state.Seq || direct && s.Seq == r.state.Seq {
		m.update(now, r, beatOf(s))
	}
}

// replace starts a row again with a new run of its entry.
func (m *Member) replace(now time.Time, r *row, s ward.PeerState) {
	m.unindex(r)
	listed := r.listed
	*r = *m.newRow(now)
	r.state, r.listed = s, listed
	r.state.Seq = 0
	r.state.Demand = nil
	m.index(r)
	r.full.start(fullLimit)
	m.digest.touch(now)
}

// sorted returns all rows by name, so that choices do not hang on the order of
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

// put adds a row, or puts it in the place of the one of that name.
func (m *Member) put(name string, r *row) {
	m.rows[name] = r
	m.order = nil
}

// drop drops a row.
func (m *Member) drop(name string) {
	delete(m.rows, name)
	m.order = nil
}
