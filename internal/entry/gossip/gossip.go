// Package gossip provides the runner of package member: it ticks, sends, takes
// what other entries send, and reads the platform's list.
//
// # Usage
//
//	g := gossip.New(gossip.Deps{Fleet: "brassie", Self: state, Peer: client, Roster: roster,
//		OnBrakes: apply, OnConfig: holder.Adopt})
//	server := &wire.Server{Key: key, Handler: g.Receive}
//	go g.Run(ctx)
//	g.SetSelf(state)          // floor, waiting requests, demand, leaving
//	g.SetConfig(cfg)          // the configuration in force at this entry
//	g.AddBrakes(brake)        // spreads at once
//	peers := g.Peers()
//
// Hooks are called without a lock held, from the goroutine that took the news;
// they may call back, and must not wait.
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

// Times and limits of the runner.
const (
	// urgentGap is the least time between two ticks.
	urgentGap = 50 * time.Millisecond
	// sendTimeout bounds one exchange.
	sendTimeout = time.Second
	// maxSends bounds the exchanges under way; those of dead peers wait for
	// their timeout.
	maxSends = 16
	// rosterFast is how often the list is read until somebody was heard of,
	// rosterSlow after that: the list lags by more than that anyway.
	rosterFast = time.Second
	rosterSlow = 15 * time.Second
)

// Deps are what a Gossip is made with.
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
	// OnQuarantines gets all brakes in force when there is a new one or one is lifted.
	OnQuarantines func(brakes []ward.Quarantine)
	// OnConfig gets a configuration with a higher revision that a peer handed on.
	// Who adopts it calls SetConfig.
	OnConfig func(c *ward.Config)
	// OnLive gets the number of live entries when it has changed.
	OnLive func(n int)
}

// Gossip runs the exchanges of one entry. Make one with New.
type Gossip struct {
	deps Deps

	mu     sync.Mutex
	member *member.Member
	wake   context.CancelFunc
	sends  int
	// told is what the hooks were told last.
	toldBrakes uint64
	toldLive   int
}

// New returns the runner of one entry.
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

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.readRoster(ctx) })
	for ctx.Err() == nil {
		for _, s := range g.tick() {
			wg.Go(func() { g.send(ctx, s) })
		}
		g.tell()
		g.pause(ctx)
	}
}

// Receive takes a message of another entry; it is the wire.Handler.
func (g *Gossip) Receive(m ward.Exchange) (ward.Exchange, error) {
	g.mu.Lock()
	reply, err := g.member.Receive(g.deps.Clock.Now(), m)
	g.mu.Unlock()
	if err != nil {
		g.deps.Log.V(1).Info("peer-message-refused", "from", m.From, "error", code.Text(err))
		return reply, err
	}
	g.tell()
	return reply, nil
}

// tick returns the messages to send, at most as many as may be under way.
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

func (g *Gossip) send(ctx context.Context, s member.Send) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := g.deps.Peer.Exchange(ctx, s.Address, s.Message)
	g.took(s, reply, err)
	g.tell()
}

// took hands the outcome of an exchange to the decider. A refusal is an answer:
// who refuses is alive.
func (g *Gossip) took(s member.Send, reply ward.Exchange, err error) {
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

// tell calls the hooks for what has changed, and wakes the loop when there is
// something urgent.
func (g *Gossip) tell() {
	g.mu.Lock()
	var brakes []ward.Quarantine
	changed := g.member.QuarantineChanges() != g.toldBrakes
	if changed {
		g.toldBrakes = g.member.QuarantineChanges()
		brakes = g.member.Quarantines()
	}
	cfg := g.member.TakeConfig()
	live := g.member.Live()
	newLive := live != g.toldLive
	g.toldLive = live
	if g.member.Urgent() {
		g.wake()
	}
	g.mu.Unlock()
	if changed && g.deps.OnQuarantines != nil {
		g.deps.OnQuarantines(brakes)
	}
	if cfg != nil && g.deps.OnConfig != nil {
		g.deps.OnConfig(cfg)
	}
	if newLive && g.deps.OnLive != nil {
		g.deps.OnLive(live)
	}
}

// pause waits for the next tick: the interval, or less when something urgent
// comes up.
func (g *Gossip) pause(ctx context.Context) {
	if g.deps.Clock.Sleep(ctx, urgentGap) != nil {
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
	_ = g.deps.Clock.Sleep(waiting, g.deps.Interval-urgentGap)
	cancel()
}

// readRoster reads the platform's list: often until somebody was heard of.
func (g *Gossip) readRoster(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := g.deps.Roster.Instances(ctx)
		g.mu.Lock()
		if err == nil {
			g.member.SetInstances(g.deps.Clock.Now(), list)
		}
		wait := rosterSlow
		if err != nil || g.member.Live() < 2 {
			wait = rosterFast
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

// Chosen tells whether this entry is one of the n live ones that a purpose falls
// to. Entries with the same view choose the same; while views differ a few more
// or fewer choose themselves, so that it suits only what may be done twice.
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
