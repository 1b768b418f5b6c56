package mover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/entry/mover"
	"agateward/internal/move/split"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// recordingNotifier records the events that operators are notified of.
type recordingNotifier struct {
	mu     sync.Mutex
	events map[string]ward.Event
}

func (o *recordingNotifier) Notify(_ context.Context, e ward.Event) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events[e.ID] = e
	return nil
}

// outcomes returns the kinds of the outcome events, in no particular order.
func (o *recordingNotifier) outcomes() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for id, e := range o.events {
		if strings.HasSuffix(id, "/outcome") {
			list = append(list, string(e.Kind))
		}
	}
	return strings.Join(list, " ")
}

// fleet is a few movers with simulated traffic and exchange of state.
type fleet struct {
	movers      []*mover.Mover
	stop        []context.CancelFunc
	dead        []bool
	credit      []float64
	rng         *rand.Rand
	store       *memory.Platform
	notifier    *recordingNotifier
	failureRate float64
	sent        int
}

func newFleet(ctx context.Context, wg *sync.WaitGroup, cfg *ward.Config, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(3, 3)), store: &memory.Platform{Seed: 3}, notifier: &recordingNotifier{events: map[string]ward.Event{}}}
	for i := range n {
		m := mover.New(mover.Deps{
			Self: fmt.Sprint("entry-", i), Incarnation: 1, Store: f.store, Clock: ward.SystemClock{}, Notifier: f.notifier,
			Log: logr.Discard(), Config: func() *ward.Config { return cfg },
			Fleet: func() split.Fleet { return split.Fleet{Entries: n, Index: i} },
			Era:   f.store.Era,
		})
		own, stop := context.WithCancel(ctx)
		f.movers = append(f.movers, m)
		f.stop = append(f.stop, stop)
		f.dead = append(f.dead, false)
		f.credit = append(f.credit, 0)
		wg.Go(func() { _ = m.Run(own) })
	}
	return f
}

// runSecond simulates one second: 12 requests at each entry and three exchanges.
func (f *fleet) runSecond() {
	for i := range 12 {
		for j, m := range f.movers {
			if f.dead[j] {
				continue
			}
			s := m.Splits()[0]
			o := ward.Outcome{Route: "r", Version: s.Version, OK: f.rng.Float64() > 0.01, Connected: true, Total: 20 * time.Millisecond, At: time.Now()}
			if f.credit[j] += s.Share; f.credit[j] >= 1 {
				f.credit[j]--
				f.sent++
				o.Version = s.Next
				o.OK = f.rng.Float64() > f.failureRate
			}
			m.Observe(o)
			for k, peer := range f.movers {
				if i%4 == 0 && k != j && !f.dead[k] {
					peer.Merge(m.Snapshot())
				}
			}
		}
		time.Sleep(time.Second / 12)
	}
}

// TestMoves runs moves from start to end in virtual time, with faults of the new
// version, the lease holder and the store.
func TestMoves(t *testing.T) {
	tests := []struct {
		name    string
		failing float64
		// at is called each second.
		at   func(f *fleet, second int)
		want string
		// atMost bounds the requests that a bad version gets.
		atMost int
	}{
		{"good", 0.01, func(*fleet, int) {}, "move-done", 0},
		{"bad", 1, func(*fleet, int) {}, "move-taken-back", 30},
		{"bad later", 0.01, func(f *fleet, s int) {
			if s == 40 {
				f.failureRate = 1
			}
		}, "move-taken-back", 0},
		{"holder dies", 0.01, func(f *fleet, s int) {
			if s == 30 {
				f.kill()
			}
		}, "move-done", 0},
		{"store down, bad", 0.01, func(f *fleet, s int) {
			f.store.SetFaults(memory.Faults{Down: s >= 20 && s < 70})
			if s == 25 {
				f.failureRate = 1
			}
		}, "move-taken-back", 0},
		{"lost answers", 0.01, func(f *fleet, s int) {
			f.store.SetFaults(memory.Faults{LostAnswer: 0.3, LostRequest: 0.3})
		}, "move-done", 0},
		{"leases lapse", 0.01, func(f *fleet, s int) {
			if s%10 == 0 {
				f.store.Lapse("move/x")
			}
		}, "move-done", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cfg := &ward.Config{
					Routes: []ward.Route{{Name: "r", Serves: "m", Version: "v1", Ticket: 1}},
					Moves:  []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 2, Deadline: time.Now().Add(90 * time.Second)}},
				}
				var wg sync.WaitGroup
				f := newFleet(ctx, &wg, cfg, 3)
				f.failureRate = tt.failing
				for s := range 120 {
					tt.at(f, s)
					f.runSecond()
					if s == 88 && tt.want == "move-done" {
						for i, m := range f.movers {
							if got := m.Splits()[0]; !f.dead[i] && got.Share != 1 {
								t.Errorf("split before the deadline is %v, want share 1", got)
							}
						}
					}
				}
				if got := f.notifier.outcomes(); got != tt.want {
					t.Errorf("outcome events %q, want %q; events %+v", got, tt.want, f.notifier.events)
				}
				if tt.atMost > 0 && f.sent > tt.atMost {
					t.Errorf("the bad version got %d requests", f.sent)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// kill stops the mover that holds the lease on the move, which loses its state.
func (f *fleet) kill() {
	holder := f.movers[0].States()[0].Holder
	for i, m := range f.movers {
		if m.Self == holder {
			f.stop[i]()
			f.dead[i] = true
		}
	}
}

// TestResumedEntryWaitsForPeers pauses an entry during a move. After the pause it must
// send nothing to the new version until it has had time to receive a quarantine from
// peers.
func TestResumedEntryWaitsForPeers(t *testing.T) {
	clock := &steppingClock{now: time.Unix(1000, 0)}
	cfg := &ward.Config{
		Routes: []ward.Route{{Name: "r", Serves: "m", Version: "v1", Ticket: 1}},
		Moves:  []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 2, Deadline: clock.now.Add(time.Hour)}},
	}
	m := mover.New(mover.Deps{Self: "e", Clock: clock, Log: logr.Discard(), Config: func() *ward.Config { return cfg }, Fleet: func() split.Fleet { return split.Fleet{} }})
	m.Merge(nil, nil, []ward.MoveState{{Move: "x", Ticket: 2, Revision: 1, State: "stepping", Step: 2, Share: 0.1, Begin: clock.now, Since: clock.now}})
	want := func(when string, share float64) {
		t.Helper()
		if got := m.Splits()[0].Share; got != share {
			t.Errorf("%s: share %v, want %v", when, got, share)
		}
	}
	m.Evaluate()
	want("before the pause", 0.1)
	clock.now = clock.now.Add(time.Minute)
	want("resumed, not evaluated", 0)
	m.Evaluate()
	want("resumed, within the delay", 0)
	clock.now = clock.now.Add(2 * time.Second)
	m.Evaluate()
	want("resumed, after the delay", 0.1)
}

// Guards against an outcome that is overwritten: an entry reported a move whose lease it had lost, as
// the store had turned it away.
func TestFormerHolderDoesNotNotify(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, told := &memory.Platform{Seed: 1}, &recordingNotifier{events: map[string]ward.Event{}}
		cfg := &ward.Config{
			Routes: []ward.Route{{Name: "r", Serves: "m", Version: "v1"}},
			Moves:  []ward.Move{{Name: "x", Ticket: 1, Serves: "m", From: "v1", To: "v2", Deadline: time.Now().Add(time.Hour)}},
		}
		m := mover.New(mover.Deps{
			Self: "entry-0", Incarnation: 1, Store: store, Clock: ward.SystemClock{}, Notifier: told, Log: logr.Discard(),
			Config: func() *ward.Config { return cfg }, Fleet: func() split.Fleet { return split.Fleet{Entries: 1} }, LeaseTTL: 4 * time.Second,
		})
		m.Advance(t.Context())
		m.Advance(t.Context())
		if s := m.States(); len(s) != 1 || len(s[0].PendingEvents) == 0 {
			t.Fatalf("no event to report: %+v", s)
		}
		time.Sleep(5 * time.Second)
		m.NotifyOperators(t.Context())
		if len(told.events) > 0 {
			t.Errorf("reported without the lease: %v", told.events)
		}
		m.Advance(t.Context()) // acquires the lease again
		m.Advance(t.Context())
		if m.NotifyOperators(t.Context()); len(told.events) == 0 {
			t.Error("nothing reported with the lease")
		}
	})
}
