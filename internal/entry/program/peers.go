package program

import (
	"context"
	"reflect"
	"slices"
	"time"

	"agateward/internal/entry/gossip"
	"agateward/internal/entry/mover"
	"agateward/internal/entry/revision"
	"agateward/internal/entry/roster"
	"agateward/internal/move/machine"
	"agateward/internal/move/split"
	"agateward/internal/peer/wire"
	"agateward/internal/request/scheduler"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"go.opentelemetry.io/otel/attribute"
)

// exchangeInterval is the maximum time between two exchanges of state between the
// parts; changed triggers them earlier.
const exchangeInterval = 250 * time.Millisecond

// peerStateInterval is the time between two updates of the state that is sent to
// peers, such as the floor.
const peerStateInterval = 100 * time.Millisecond

// composePeers creates the parts that communicate with other entries and with the
// platform.
func (p *Program) composePeers() {
	s := p.settings
	p.changed = make(chan struct{}, 1)
	p.roster = roster.New(roster.Deps{
		Roster: p.platform, Seeds: s.Peers.Seeds, Clock: p.clock, Log: p.log,
		Watches: func() bool { return p.gossip.Chosen("list", roster.Watchers) },
	})
	p.peer = &wire.Client{Key: s.Peers.Key}
	p.gossip = gossip.New(gossip.Deps{
		Clock: p.clock, Log: p.log, Peer: tracedPeer{p.peer, p.trace}, Roster: p.roster, Fleet: s.Fleet, Self: p.peerState(), Seed: p.seed(),
		Interval: s.Peers.Interval.Std(), BytesPerSecond: s.Peers.MaxBytesPerSecond,
		OnQuarantines: func(quarantines []ward.Quarantine) {
			p.mover.Merge(quarantines, nil, nil)
			p.applySplits()
		},
		OnConfig: func(c *ward.Config) { p.holder.Adopt(c) },
		OnLive:   func(n int) { p.platform.Store().SetEntries(n) },
	})
	p.wire = &wire.Server{Key: s.Peers.Key, Handler: p.gossip.Receive, Log: p.log}
	p.holder = revision.New(revision.Deps{
		Clock: p.clock, Log: p.log, Store: p.platform.Store(), Fleet: s.Fleet, Seed: p.seed(),
		Watches:  func() bool { return p.gossip.Chosen("config", revision.Watchers) },
		OnChange: p.configure,
	})
}

// composeMoves creates the mover.
func (p *Program) composeMoves() {
	p.mover = mover.New(mover.Deps{
		Self: p.settings.Name, Incarnation: p.incarnation, Store: p.platform.Store(), Clock: p.clock,
		Notifier: p.board, Log: p.log, Backend: p.engine, Config: p.holder.Current, Fleet: p.fleet,
		Publish: p.requestExchange,
	})
}

// configure puts a configuration in force at this entry.
func (p *Program) configure(c *ward.Config) {
	p.gossip.SetConfig(c)
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
		s.Configure(now, c)
		return nil
	})
	p.applySplits()
	p.log.Info("configuration-in-force", "revision", c.Revision, "ticket", c.Ticket)
}

// fleet returns the number of live entries and the index of this one, as of the last
// exchange of state.
func (p *Program) fleet() split.Fleet {
	if f := p.fleetView.Load(); f != nil {
		return *f
	}
	return split.Fleet{Entries: 1}
}

// livePeers returns the states of the live peers and updates fleetView.
func (p *Program) livePeers() []ward.PeerState {
	var live []ward.PeerState
	f := &split.Fleet{Entries: 1}
	for _, x := range p.gossip.Peers() {
		if !x.Live {
			continue
		}
		live = append(live, x.State)
		f.Entries++
		if x.State.Name < p.settings.Name {
			f.Index++
		}
	}
	p.fleetView.Store(f)
	return live
}

// requestExchange triggers an exchange of state now.
func (p *Program) requestExchange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// runExchange exchanges state between the parts until ctx ends.
func (p *Program) runExchange(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		if now := p.clock.Now(); now.Sub(last) >= exchangeInterval {
			last = now
			p.exchange()
		}
		p.gossip.SetSelf(p.peerState())
		t := time.NewTimer(peerStateInterval)
		select {
		case <-p.changed:
			last = time.Time{}
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// exchange passes the state of peers to the mover and the scheduler, and the state of
// the mover to peers.
func (p *Program) exchange() {
	peers := p.livePeers()
	p.mover.Merge(p.gossip.Quarantines(), p.gossip.TakeCounts(), p.gossip.Moves())
	moves := p.mover.States()
	p.gossip.AddQuarantines(p.mover.Quarantines()...)
	p.gossip.AddCounts(p.mover.OwnCounts()...)
	p.gossip.AddMoves(moves...)
	p.recordEvents(moves)
	p.applySplits()

	draining := p.draining()
	for i := range peers {
		draining = append(draining, peers[i].Draining...)
	}
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
		s.SetDraining(now, draining)
		return s.SetPeers(now, peers)
	})
}

// draining returns the upstreams that are draining according to the platform's list or
// to their own reports, as read by this entry itself.
func (p *Program) draining() []string {
	names := append(p.roster.Draining(), p.reports.Draining()...)
	slices.Sort(names)
	return slices.Compact(names)
}

// recordEvents adds the events of moves to this entry's event log, so that operators
// can watch a move at any entry. The lease holder notifies operators of them.
func (p *Program) recordEvents(moves []ward.MoveState) {
	for _, m := range moves {
		for _, e := range m.PendingEvents {
			p.board.Record(e)
		}
		if e, ended := machine.Outcome(m); ended && m.Holder != p.settings.Name {
			p.board.Record(e)
		}
	}
}

// applySplits passes the traffic splits, with shares and quarantines, to the scheduler
// when they have changed.
func (p *Program) applySplits() {
	p.splitsMu.Lock()
	defer p.splitsMu.Unlock()
	list := p.mover.Splits()
	if reflect.DeepEqual(list, p.lastSplits) {
		return
	}
	p.lastSplits = list
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action { return s.SetSplits(now, list) })
}

// peerState returns the state of this entry that is sent to its peers.
func (p *Program) peerState() ward.PeerState {
	st := ward.PeerState{
		Name: p.settings.Name, Address: p.PeersAddress(), Operator: p.OperatorsAddress(),
		DataCentre: p.settings.DataCentre, Incarnation: p.incarnation, Leaving: p.stopping.Load(), Floor: ward.TierBottom,
	}
	if p.path == nil {
		return st
	}
	state := p.path.State()
	st.Revision = p.Revision()
	st.Floor = state.Floor
	st.Floors = state.Floors
	st.Waiting = state.Waiting
	st.Demand = state.Demand
	st.Draining = p.draining()
	return st
}

// tracedPeer is a ward.Peer that adds a span to each exchange.
type tracedPeer struct {
	ward.Peer
	trace *trace.Tracer
}

// Exchange sends m to the entry at address and returns its reply.
func (t tracedPeer) Exchange(ctx context.Context, address string, m ward.Exchange) (ward.Exchange, error) {
	ctx, span := t.trace.Start(ctx, "peer", attribute.String("address", address))
	defer span.End()
	return t.Peer.Exchange(ctx, address, m)
}
