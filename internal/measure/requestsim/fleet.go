package requestsim

import (
	"fmt"
	"time"

	"agateward/internal/request/scheduler"
	"agateward/ward"
)

// Intervals and network of the entries in a run.
const (
	tickEvery = 50 * time.Millisecond
	// peerEvery is the time between two exchanges of an entry, each with one random
	// peer. peerDelay is the maximum delay of their messages, broadcastDelay that of
	// messages that broadcast a changed floor.
	peerEvery      = 250 * time.Millisecond
	peerDelay      = 20 * time.Millisecond
	broadcastDelay = 250 * time.Millisecond
	// peerLoss is the probability that a message is lost.
	peerLoss = 0.02
	// peerTimeout is the time after which a killed entry leaves the list of peers.
	peerTimeout = 1500 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	cacheEvery  = 500 * time.Millisecond
)

// fleet is the balancer with the real schedulers of the entries.
type fleet struct {
	w       *simulation
	entries []*member
}

// member is one entry of the fleet.
type member struct {
	f             *fleet
	index         int
	s             *scheduler.Scheduler
	peers         map[int]ward.PeerState
	seq           uint64
	cacheSequence []uint64
	jobs          map[string]*job
	dead          bool
	died          time.Time
	// sentFloor and sentNeed are the lowest floor and need that were broadcast last.
	sentFloor, sentNeed ward.Tier
}

func newFleet(w *simulation) *fleet {
	f := &fleet{w: w}
	cfg := f.config()
	for i := range w.setup.Entries {
		m := &member{f: f, index: i, peers: make(map[int]ward.PeerState), sentFloor: ward.TierBottom, sentNeed: ward.TierBottom, jobs: make(map[string]*job)}
		m.cacheSequence = make([]uint64, len(w.engines))
		m.s = scheduler.New(scheduler.Settings{Self: entryName(i)}, w.setup.Seed*1000+uint64(i))
		m.s.Configure(w.now, cfg)
		f.entries = append(f.entries, m)
		// The offset models entries that started at different times.
		offset := time.Duration(i) * peerEvery / time.Duration(w.setup.Entries)
		w.every(offset/5, tickEvery, m.tick)
		w.every(offset, peerEvery, m.exchange)
		w.every(offset, reportEvery, m.readReports)
		w.every(offset, cacheEvery, m.readCache)
	}
	for _, m := range f.entries {
		for _, p := range f.entries {
			if p != m {
				m.peers[p.index] = ward.PeerState{Name: entryName(p.index)}
			}
		}
		m.updatePeers()
	}
	return f
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (f *fleet) config() *ward.Config {
	c := &ward.Config{Fleet: "measure", Revision: 1}
	for _, p := range f.w.setup.Engines {
		c.Upstreams = append(c.Upstreams, ward.Upstream{
			Name: p.Name, Kind: ward.KindEngine, Serves: model, Version: version, Generation: p.Generation,
		})
	}
	c.Routes = []ward.Route{{Name: "chat", Kind: ward.KindEngine, Serves: model, Version: version}}
	return c
}

// act executes the actions of an entry's scheduler.
func (m *member) act(actions []scheduler.Action) {
	for _, a := range actions {
		j := m.jobs[a.ID]
		if j == nil {
			continue
		}
		if a.Kind == scheduler.Refuse {
			delete(m.jobs, a.ID)
			m.f.w.refuse(j)
			continue
		}
		for _, e := range m.f.w.engines {
			if e.profile.Name == a.Upstream.Name {
				m.f.w.dispatch(j, e)
			}
		}
	}
}

func (m *member) tick() bool {
	if m.dead {
		return false
	}
	w := m.f.w
	for id, j := range m.jobs {
		if j.engine != nil && !j.first.IsZero() {
			m.s.Progress(w.now, id, j.engine.Tokens(id))
		}
	}
	m.act(m.s.Tick(w.now))
	m.broadcastFloors()
	return true
}

// exchange exchanges states with one random entry. Messages may be lost or
// reordered.
func (m *member) exchange() bool {
	if m.dead {
		return false
	}
	w := m.f.w
	p := m.f.entries[w.rng.IntN(len(m.f.entries))]
	if p != m && !p.dead {
		m.send(p, peerDelay)
		p.send(m, peerDelay)
	}
	m.updatePeers()
	return true
}

// broadcastFloors sends the entry's state to all peers when the lowest floor or
// need has changed.
func (m *member) broadcastFloors() {
	floor := ward.TierBottom
	need := ward.TierBottom
	for _, f := range m.s.State().Floors {
		floor = min(floor, f.Floor)
		need = min(need, f.Need)
	}
	if floor == m.sentFloor && need == m.sentNeed {
		return
	}
	m.sentFloor = floor
	m.sentNeed = need
	for _, p := range m.f.entries {
		if p != m {
			m.send(p, broadcastDelay)
		}
	}
}

// send sends the entry's state to another entry; it arrives within delay or never.
func (m *member) send(to *member, delay time.Duration) {
	w := m.f.w
	st := m.s.State()
	m.seq++
	msg := ward.PeerState{
		Name: entryName(m.index), Incarnation: 1, Seq: m.seq,
		Floor: st.Floor, Floors: st.Floors, Waiting: st.Waiting, Demand: st.Demand,
	}
	if w.rng.Float64() < peerLoss {
		return
	}
	w.after(time.Duration(w.rng.Float64()*float64(delay)), func() { to.receive(m.index, msg) })
}

func (m *member) receive(from int, msg ward.PeerState) {
	if m.dead || msg.Seq <= m.peers[from].Seq {
		return
	}
	m.peers[from] = msg
	m.updatePeers()
}

// updatePeers passes the states of the live peers to the scheduler.
func (m *member) updatePeers() {
	var live []ward.PeerState
	for i, p := range m.f.entries {
		if p != m && (!p.dead || m.f.w.now.Sub(p.died) <= peerTimeout) {
			live = append(live, m.peers[i])
		}
	}
	m.act(m.s.SetPeers(m.f.w.now, live))
	m.broadcastFloors()
}

func (m *member) readReports() bool {
	for _, e := range m.f.w.engines {
		m.s.Report(m.f.w.now, e.Report(m.f.w.now))
		m.f.w.scheduleWake(e)
	}
	return !m.dead
}

func (m *member) readCache() bool {
	for i, e := range m.f.w.engines {
		events := e.CacheEvents(m.cacheSequence[i])
		if len(events) > 0 {
			m.cacheSequence[i] = events[len(events)-1].Sequence
			m.s.AddCacheEvents(m.f.w.now, e.profile.Name, events)
		}
	}
	return !m.dead
}

func (f *fleet) arrive(j *job) {
	m := f.entries[j.entry]
	m.jobs[j.r.ID] = j
	m.act(m.s.Arrive(f.w.now, &j.r))
}

func (f *fleet) firstToken(j *job) { f.entries[j.entry].s.FirstToken(f.w.now, j.r.ID) }

func (f *fleet) end(j *job, ok bool) {
	m := f.entries[j.entry]
	delete(m.jobs, j.r.ID)
	o := ward.Outcome{OK: ok, Connected: true, OutputTokens: j.output, PromptTokens: j.r.PromptTokens, At: f.w.now}
	m.act(m.s.End(f.w.now, j.r.ID, o))
}

func (f *fleet) cancel(j *job) {
	m := f.entries[j.entry]
	delete(m.jobs, j.r.ID)
	if j.engine == nil {
		m.act(m.s.Cancel(f.w.now, j.r.ID))
		return
	}
	m.act(m.s.End(f.w.now, j.r.ID, ward.Outcome{Connected: true, Cancelled: true, At: f.w.now}))
}

func (f *fleet) kill(entry int) {
	f.entries[entry].dead = true
	f.entries[entry].died = f.w.now
}

func (f *fleet) entryKilled(*job) {}
