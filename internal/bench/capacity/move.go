package capacity

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/bench/probe"
	"agateward/internal/bench/synthetic"
	"agateward/internal/entry/mover"
	"agateward/internal/move/evidence"
	"agateward/internal/move/split"
	"agateward/internal/platform/family"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

const (
	// evaluationsPerSecond is how often an entry evaluates the counts of a move, and its
	// holder advances it, per second.
	evaluationsPerSecond = 1
	// changedCounts is the maximum number of changed counts received per second, which
	// the byte limit of the peer exchange bounds.
	changedCounts = 200
	// holderSeconds is the virtual time, in seconds, over which store calls are counted.
	holderSeconds = 600
)

// manualClock is a clock that only moves when it is set or slept on.
type manualClock struct{ now time.Time }

// Now returns the current time of the clock.
func (m *manualClock) Now() time.Time { return m.now }

// Sleep advances the clock by d without waiting.
func (m *manualClock) Sleep(ctx context.Context, d time.Duration) error {
	m.now = m.now.Add(d)
	return ctx.Err()
}

// discardNotifier is a notifier that discards events.
type discardNotifier struct{}

// Notify discards an event.
func (discardNotifier) Notify(context.Context, ward.Event) error { return nil }

// newMover returns the mover of an entry in a fleet with moves in progress.
func newMover(entries, moves int, store ward.Store) (*mover.Mover, *manualClock, ward.Config) {
	cfg := synthetic.Fleet{Upstreams: Replicas, Teams: 1, Models: max(moves, 1), Moves: moves}.Config()
	clock := &manualClock{now: cfg.Accepted.Add(time.Minute)}
	m := mover.New(mover.Deps{
		Self: "entry-000", Incarnation: 1, Store: store, Clock: clock, Notifier: discardNotifier{}, Log: logr.Discard(),
		Config: func() *ward.Config { return &cfg },
		Fleet:  func() split.Fleet { return split.Fleet{Entries: entries} },
	})
	var states []ward.MoveState
	for _, x := range cfg.Moves {
		states = append(states, ward.MoveState{
			Move: x.Name, Ticket: x.Ticket, Revision: 1, State: "canary", Step: 1, Share: 0.045,
			Since: cfg.Accepted, Begin: cfg.Accepted, Holder: "entry-001", Fence: 1,
		})
	}
	m.Merge(nil, nil, states)
	return m, clock, cfg
}

// counts returns empty counts of all entries for each move, tier and version.
func counts(cfg ward.Config, entries int) []ward.Counts {
	var list []ward.Counts
	for e := range entries {
		for i, x := range cfg.Moves {
			for tier := ward.TierTop; tier <= ward.TierBottom; tier++ {
				for _, v := range []string{x.From, x.To} {
					c := ward.Counts{
						Serves: x.Serves, Version: v, Route: synthetic.Route(i, tier), Move: evidence.StepName(evidence.RunName(x.Name, x.Ticket), 1),
						Entry: fmt.Sprintf("entry-%03d", e), Incarnation: 1,
					}
					list = append(list, c)
				}
			}
		}
	}
	return list
}

// addCounts adds the outcomes of one more second to the counts.
func addCounts(list []ward.Counts) {
	for i := range list {
		list[i].Succeeded += 20
		list[i].Failed++
		list[i].Latency[10] += 15
		list[i].Latency[13] += 5
	}
}

// evaluation measures evaluating the counts of moves.
func (c *Capacity) evaluation(context.Context) error {
	const role = "judge"
	evaluate := c.figure(Figure{Role: role, Name: "taking in 200 changed counts and one look, 4 moves", Unit: "ms", Axis: "entries", Size: Nodes}, entrySizes, func(n int) float64 {
		m, clock, cfg := newMover(n, RunningMoves, &memory.Platform{})
		list := counts(cfg, n)
		addCounts(list)
		m.Merge(nil, list, nil)
		at := 0
		return float64(probe.Time(func() {
			clock.now = clock.now.Add(time.Second)
			at = (at + changedCounts) % len(list)
			changed := list[at:min(at+changedCounts, len(list))]
			addCounts(changed)
			m.Merge(nil, changed, nil)
			m.Evaluate()
		})) / float64(time.Millisecond)
	})
	state := c.figure(Figure{Role: role, Name: "counts of all entries, 4 moves", Unit: "KB", Axis: "entries", Size: Nodes}, entrySizes, func(n int) float64 {
		return float64(probe.Heap(func() any {
			m, _, cfg := newMover(n, RunningMoves, &memory.Platform{})
			list := counts(cfg, n)
			addCounts(list)
			m.Merge(nil, list, nil)
			return m
		})) / 1024
	})
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     fmt.Sprintf("counts of %d entries, %d routes of %d moves, both versions", Nodes, RunningMoves*Tiers, RunningMoves),
		Messages:  "carried by the peer exchange",
		Mechanism: "every entry judges by itself from counts that only grow; no store, no lease",
		Control:   true,
		CPU:       evaluate / 1000 * evaluationsPerSecond,
		Memory:    state * 1024,
	})
	return nil
}

// holder measures the work of the holder of moves.
func (c *Capacity) holder(ctx context.Context) error {
	const role = "duty holder"
	const axis = "moves under way"
	sizes := []int{1, 2, RunningMoves}
	calls := func(kind family.Kind) func(n int) float64 {
		return func(n int) float64 {
			platform := &memory.Platform{}
			m, clock, _ := newMover(1, n, platform)
			for range holderSeconds {
				clock.now = clock.now.Add(time.Second)
				m.Advance(ctx)
				m.NotifyOperators(ctx)
			}
			sent := uint64(0)
			for _, x := range platform.Calls() {
				if x.Kind == kind {
					sent += x.Sent
				}
			}
			return float64(sent) / holderSeconds
		}
	}
	reads := c.figure(Figure{Role: role, Name: "reads of the store", Unit: "calls/s", Axis: axis, Size: RunningMoves}, sizes, calls(family.Read))
	writes := c.figure(Figure{Role: role, Name: "writes of the store", Unit: "calls/s", Axis: axis, Size: RunningMoves}, sizes, calls(family.Write))
	advance := c.figure(Figure{Role: role, Name: "one look of the holder", Unit: "µs", Axis: axis, Size: RunningMoves}, sizes, func(n int) float64 {
		m, clock, _ := newMover(1, n, &memory.Platform{})
		return float64(probe.Time(func() {
			clock.now = clock.now.Add(time.Second / 4)
			m.Advance(ctx)
		})) / float64(time.Microsecond)
	})
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     "one record a move, in the store",
		Messages:  "orders to engines, paced over the fleet",
		Mechanism: "a lease a move with a fencing number; any entry takes over",
		Control:   true,
		CPU:       advance * evaluationsPerSecond / float64(time.Second/time.Microsecond),
		Reads:     reads,
		Writes:    writes,
	})
	return nil
}
