// Package gossip runs the state machine of package member: it ticks it, exchanges
// messages with other entries, and reads the platform's list of instances.
//
// # Usage
//
//	g := gossip.New(gossip.Deps{Fleet: "brassie", Self: state, Peer: client, Roster: roster,
//		OnQuarantines: apply, OnConfig: holder.Adopt})
//	server := &wire.Server{Key: key, Handler: g.Receive}
//	go g.Run(ctx)
//	g.SetSelf(state)          // floor, waiting requests, demand, leaving
//	g.SetConfig(cfg)          // the configuration in force at this entry
//	g.AddQuarantines(q)       // gossiped without waiting for the next tick
//	peers := g.Peers()
//
// Hooks are called without a lock held, from the goroutine that made the change or
// received the message. They may call the Gossip, and must not block.
package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"agateward/internal/peer/member"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// Intervals and limits of a Gossip.
const (
	// minTickInterval is the minimum time between two ticks.
	minTickInterval = 50 * time.Millisecond
	// sendTimeout bounds one exchange.
	sendTimeout = time.Second
	// maxSends bounds the exchanges in progress, because those with unresponsive
	// peers last until their timeout.
	maxSends = 16
	// rosterInitialInterval is the time between two reads of the list until another
	// entry is known, rosterInterval the time after that. The list lags by more than
	// rosterInterval anyway.
	rosterInitialInterval = time.Second
	rosterInterval        = 15 * time.Second
)

// Deps are the dependencies of a Gossip.
type Deps struct {
	// Clock is ward.SystemClock when nil.
	Clock  ward.Clock
	Log    logr.Logger
	Peer   ward.Peer
	Roster ward.Roster
	Fleet  string
	// Self is this entry: name, addresses, data centre, incarnation.
	Self ward.PeerState
	Seed uint64
	// Interval is member.DefaultInterval when 0, BytesPerSecond
	// member.DefaultBytesPerSecond.
	Interval       time.Duration
	BytesPerSecond int
	// OnQuarantines is called with all quarantines in force when one is added or lifted.
	OnQuarantines func(quarantines []ward.Quarantine)
	// OnConfig is called with a configuration of a higher revision from a peer. When
	// it is adopted, SetConfig must be called.
	OnConfig func(c *ward.Config)
	// OnLive is called with the number of live entries when it has changed.
	OnLive func(n int)
}

// Gossip runs the exchanges of one entry. Create one with New.
type Gossip struct {
	deps Deps

	mu     sync.Mutex
	member *member.Member
	wake   context.CancelFunc
	sends  int
	// reportedQuarantines and reportedLive are what the hooks were last called for.
	reportedQuarantines uint64
	reportedLive        int
}

// New returns a Gossip for one entry.
func New(d Deps) *Gossip {
	if d.Clock == nil {
		d.Clock = ward.SystemClock{}
	}
	m := member.New(member.Settings{Fleet: d.Fleet, Self: d.Self, Interval: d.Interval, BytesPerSecond: d.BytesPerSecond}, d.Seed)
	if d.Interval <= 0 {
		d.Interval = member.DefaultInterval
	}
	return &Gossip{deps: d, member: m, wake: func() {}}
}

// Run exchanges messages with other entries until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.readRoster(ctx) })
	for ctx.Err() == nil {
		for _, s := range g.tick() {
			wg.Go(func() { g.send(ctx, s) })
		}
		g.runHooks()
		g.waitForTick(ctx)
	}
}

// Receive handles a message of another entry; it is a wire.Handler.
func (g *Gossip) Receive(m ward.Exchange) (ward.Exchange, error) {
	g.mu.Lock()
	reply, err := g.member.Receive(g.deps.Clock.Now(), m)
	g.mu.Unlock()
	if err != nil {
		g.deps.Log.V(1).Info("peer-message-refused", "from", m.From, "error", code.Text(err))
		return reply, err
	}
	g.runHooks()
	return reply, nil
}

// tick returns the messages to send, and none while maxSends exchanges are in
// progress.
func (g *Gossip) tick() []member.Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sends >= maxSends {
		return nil
	}
	sends := g.member.Tick(g.deps.Clock.Now())
	g.sends += len(sends)
	return sends
}

// send makes one exchange.
func (g *Gossip) send(ctx context.Context, s member.Send) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := g.deps.Peer.Exchange(ctx, s.Address, s.Message)
	g.handleResult(s, reply, err)
	g.runHooks()
}

// handleResult passes the result of an exchange to the member. A refusal shows that
// the peer is alive.
func (g *Gossip) handleResult(s member.Send, reply ward.Exchange, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sends--
	now := g.deps.Clock.Now()
	switch {
	case err == nil:
		err = g.member.ReceiveReply(now, s, reply)
	case errors.Is(err, context.Canceled):
		return
	case code.PeerRefused.Is(err):
		g.member.Refused(s)
	default:
		g.member.Failed(now, s, !errors.Is(err, ward.ErrNotConnected))
	}
	if err != nil {
		g.deps.Log.V(1).Info("peer-exchange-failed", "peer", s.Name, "address", s.Address, "error", err.Error())
	}
}

// runHooks calls the hooks for changed state, and wakes the loop when a message is
// urgent.
func (g *Gossip) runHooks() {
	g.mu.Lock()
	var quarantines []ward.Quarantine
	changed := g.member.QuarantineChanges() != g.reportedQuarantines
	if changed {
		g.reportedQuarantines = g.member.QuarantineChanges()
		quarantines = g.member.Quarantines()
	}
	cfg := g.member.TakeConfig()
	live := g.member.Live()
	newLive := live != g.reportedLive
	g.reportedLive = live
	if g.member.Urgent() {
		g.wake()
	}
	g.mu.Unlock()
	if changed && g.deps.OnQuarantines != nil {
		g.deps.OnQuarantines(quarantines)
	}
	if cfg != nil && g.deps.OnConfig != nil {
		g.deps.OnConfig(cfg)
	}
	if newLive && g.deps.OnLive != nil {
		g.deps.OnLive(live)
	}
}

// waitForTick waits for the next tick: for the interval, or less when a message
// becomes urgent.
func (g *Gossip) waitForTick(ctx context.Context) {
	if g.deps.Clock.Sleep(ctx, minTickInterval) != nil {
		return
	}
	g.mu.Lock()
	if g.member.Urgent() {
		g.mu.Unlock()
		return
	}
	waiting, cancel := context.WithCancel(ctx)
	g.wake = cancel
	g.mu.Unlock()
	_ = g.deps.Clock.Sleep(waiting, g.deps.Interval-minTickInterval)
	cancel()
}

// readRoster reads the platform's list of instances periodically, and more often
// until another entry is known.
func (g *Gossip) readRoster(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := g.deps.Roster.Instances(ctx)
		g.mu.Lock()
		if err == nil {
			g.member.SetInstances(g.deps.Clock.Now(), list)
		}
		wait := rosterInterval
		if err != nil || g.member.Live() < 2 {
			wait = rosterInitialInterval
		}
		g.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			g.deps.Log.V(1).Info("instance-list-failed", "error", err.Error())
		}
		if g.deps.Clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// Chosen reports whether this entry is one of the n live entries that are selected
// for a purpose. Entries with the same view of the fleet select the same ones. While
// views differ, more or fewer than n may select themselves, so that it is suitable
// only for work that may be done twice.
func (g *Gossip) Chosen(purpose string, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Clock.Now()
	own := xxhash.Sum64String(purpose + "\x00" + g.deps.Self.Name)
	for _, p := range g.member.Peers(now) {
		if p.Live && xxhash.Sum64String(purpose+"\x00"+p.State.Name) < own {
			n--
		}
	}
	return n > 0
}
