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

// exchangeInterval is the time between two hand-overs of state between the
// parts; news wakes them sooner.
const exchangeInterval = 250 * time.Millisecond

// tellInterval is the time between two looks whether peers have to hear
// something new of this entry, such as a floor.
const tellInterval = 100 * time.Millisecond

// composePeers makes the parts that talk to other entries and to the platform.
func (p *Program) composePeers() {
	s := p.settings
	p.news = make(chan struct{}, 1)
	p.roster = roster.New(roster.Deps{
		Roster: p.platform, Seeds: s.Peers.Seeds, Clock: p.clock, Log: p.log,
		Watches: func() bool { return p.gossip.Chosen("list", roster.Watchers) },
	})
	p.peer = &wire.Client{Key: s.Peers.Key}
	p.gossip = gossip.New(gossip.Deps{
		Clock: p.clock, Log: p.log, Peer: tracedPeer{p.peer, p.trace}, Roster: p.roster, Fleet: s.Fleet, Self: p.self(), Seed: p.seed(),
		Interval: s.Peers.Interval.Std(), BytesPerSecond: s.Peers.MaxBytesPerSecond,
		OnQuarantines: func(brakes []ward.Quarantine) {
			p.mover.Merge(brakes, nil, nil)
			p.splits()
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

// composeMoves makes the runner of moves.
func (p *Program) composeMoves() {
	p.mover = mover.New(mover.Deps{
		Self: p.settings.Name, Incarnation: p.incarnation, Store: p.platform.Store(), Clock: p.clock,
		Notifier: p.board, Log: p.log, Backend: p.engine, Config: p.holder.Current, Fleet: p.fleet,
		Publish: p.wake,
	})
}

// configure puts a configuration in force at this entry.
func (p *Program) configure(c *ward.Config) {
	p.gossip.SetConfig(c)
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
		s.Configure(now, c)
		return nil
	})
	p.splits()
	p.log.Info("configuration-in-force", "revision", c.Revision, "ticket", c.Ticket)
}

// fleet returns the number of live entries and the place of this one, as of the
// last hand-over of state.
func (p *Program) fleet() split.Fleet {
	if f := p.fleetView.Load(); f != nil {
		return *f
	}
	return split.Fleet{Entries: 1}
}

// look returns the states of the live peers and notes the fleet's view.
func (p *Program) look() []ward.PeerState {
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

// wake asks for a hand-over of state now.
func (p *Program) wake() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// follow hands state between the parts until ctx ends.
func (p *Program) follow(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		if now := p.clock.Now(); now.Sub(last) >= exchangeInterval {
			last = now
			p.exchange()
		}
		p.gossip.SetSelf(p.self())
		t := time.NewTimer(tellInterval)
		select {
		case <-p.news:
			last = time.Time{}
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// exchange hands on once: what peers said to the moves and the scheduler, and
// what those have found to peers.
func (p *Program) exchange() {
	peers := p.look()
	p.mover.Merge(p.gossip.Quarantines(), p.gossip.TakeCounts(), p.gossip.Moves())
	moves := p.mover.States()
	p.gossip.AddQuarantines(p.mover.Quarantines()...)
	p.gossip.AddCounts(p.mover.OwnCounts()...)
	p.gossip.AddMoves(moves...)
	p.record(moves)
	p.splits()

	draining := p.leaving()
	for i := range peers {
		draining = append(draining, peers[i].Draining...)
	}
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action {
		s.SetDraining(now, draining)
		return s.SetPeers(now, peers)
	})
}

// leaving returns the upstreams that leave by the platform's list or by their
// own word, as far as this entry itself knows.
func (p *Program) leaving() []string {
	names := append(p.roster.Leaving(), p.reports.Leaving()...)
	slices.Sort(names)
	return slices.Compact(names)
}

// record adds what other entries did to moves to this entry's log of events, so
// that an operator may watch at any entry. The holder of the lease posts them.
func (p *Program) record(moves []ward.MoveState) {
	for _, m := range moves {
		for _, e := range m.PendingEvents {
			p.board.Record(e)
		}
		if e, ended := machine.Outcome(m); ended && m.Holder != p.settings.Name {
			p.board.Record(e)
		}
	}
}

// splits puts the shares and quarantines in force at the scheduler when they
// have changed.
func (p *Program) splits() {
	p.splitsMu.Lock()
	defer p.splitsMu.Unlock()
	list := p.mover.Splits()
	if reflect.DeepEqual(list, p.lastSplits) {
		return
	}
	p.lastSplits = list
	p.path.Do(func(s *scheduler.Scheduler, now time.Time) []scheduler.Action { return s.SetSplits(now, list) })
}

// self returns what this entry tells its peers.
func (p *Program) self() ward.PeerState {
	st := ward.PeerState{
		Name: p.settings.Name, Address: p.PeersAddress(), Operator: p.OperatorsAddress(),
		DataCentre: p.settings.DataCentre, Incarnation: p.incarnation, Leaving: p.unready.Load(), Floor: ward.TierBottom,
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
	st.Draining = p.leaving()
	return st
}

// tracedPeer adds a span to each exchange.
type tracedPeer struct {
	ward.Peer
	trace *trace.Tracer
}

// Exchange sends m to the entry at the address.
func (t tracedPeer) Exchange(ctx context.Context, address string, m ward.Exchange) (ward.Exchange, error) {
	ctx, span := t.trace.Start(ctx, "peer", attribute.String("address", address))
	defer span.End()
	return t.Peer.Exchange(ctx, address, m)
}
