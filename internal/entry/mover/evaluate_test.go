package mover_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"agateward/internal/entry/mover"
	"agateward/internal/move/analysis"
	"agateward/internal/move/split"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// steppingClock is a clock that a test or benchmark advances.
type steppingClock struct {
	ward.SystemClock
	now time.Time
}

func (c *steppingClock) Now() time.Time { return c.now }

func (c *steppingClock) Sleep(context.Context, time.Duration) error { return nil }

// BenchmarkEvaluate evaluates four moves of four routes each after 64 counts have
// changed.
func BenchmarkEvaluate(b *testing.B) {
	for _, entries := range []int{8, 100, 410} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			clock := &steppingClock{now: time.Unix(1000, 0)}
			cfg := &ward.Config{}
			var states []ward.MoveState
			var counts []ward.Counts
			for i := range 4 {
				model, name := fmt.Sprint("m", i), fmt.Sprint("x", i)
				cfg.Moves = append(cfg.Moves, ward.Move{Name: name, Serves: model, From: "v1", To: "v2", Ticket: 2, Deadline: clock.now.Add(time.Hour)})
				states = append(states, ward.MoveState{Move: name, Ticket: 2, Revision: 1, State: "canary", Step: 1, Share: 0.045, Begin: clock.now, Since: clock.now})
				for r := range 4 {
					route := fmt.Sprint("r", i, r)
					cfg.Routes = append(cfg.Routes, ward.Route{Name: route, Serves: model, Version: "v1"})
					for e := range entries {
						for _, v := range []string{"v1", "v2"} {
							counts = append(counts, ward.Counts{Serves: model, Version: v, Route: route, Move: name + "@2/1", Entry: fmt.Sprint(e), Incarnation: 1})
						}
					}
				}
			}
			m := mover.New(mover.Deps{Self: "self", Clock: clock, Log: logr.Discard(), Config: func() *ward.Config { return cfg }, Fleet: func() split.Fleet { return split.Fleet{Entries: entries} }})
			m.Merge(nil, counts, states)
			at := 0
			for b.Loop() {
				clock.now = clock.now.Add(time.Second)
				at = (at + 64) % len(counts)
				changed := counts[at:min(at+64, len(counts))]
				for i := range changed {
					changed[i].Succeeded++
					changed[i].Latency[12]++
				}
				m.Merge(nil, changed, nil)
				m.Evaluate()
			}
		})
	}
}

// Guards against a slow version whose answers do not count: they come after several
// further steps have been made.
func TestAnswersOfEarlierStepsCount(t *testing.T) {
	clock := &steppingClock{now: time.Unix(1000, 0)}
	begin := clock.now
	cfg := &ward.Config{
		Moves:  []ward.Move{{Name: "x", Serves: "s", From: "v1", To: "v2", Ticket: 2, Deadline: begin.Add(15 * time.Second)}},
		Routes: []ward.Route{{Name: "r", Serves: "s", Version: "v1"}},
	}
	m := mover.New(mover.Deps{Self: "self", Clock: clock, Log: logr.Discard(), Config: func() *ward.Config { return cfg }, Fleet: func() split.Fleet { return split.Fleet{Entries: 2} }})
	answers := func(version string, ratio float64, n uint64) []ward.Counts {
		c := ward.Counts{Serves: "s", Version: version, Route: "r", Move: "x@2/1", Entry: "peer", Incarnation: 1, Succeeded: n}
		c.Latency[analysis.Bucket(ratio)] = n
		return []ward.Counts{c}
	}
	for step := 1; step <= 5; step++ {
		clock.now = clock.now.Add(time.Second)
		m.Merge(nil, answers("v1", 1, 300), []ward.MoveState{{
			Move: "x", Ticket: 2, Revision: uint64(step), State: "stepping", Step: step, Share: 0.045, Begin: begin, Since: clock.now,
		}})
		m.Evaluate()
	}
	clock.now = clock.now.Add(time.Second)
	m.Merge(nil, append(answers("v1", 1, 320), answers("v2", 5, 20)...), nil)
	m.Evaluate()
	if len(m.Quarantines()) == 0 {
		t.Error("a version that is five times slower is not quarantined")
	}
}

// Guards against an entry that ends by itself: the last order was removed between two reads
// of the configuration in one evaluation.
func TestOrderRemovedDuringEvaluation(t *testing.T) {
	clock := &steppingClock{now: time.Unix(1000, 0)}
	cfg := &ward.Config{
		Moves:  []ward.Move{{Name: "x", Serves: "s", From: "v1", To: "v2", Ticket: 2, Deadline: clock.now.Add(time.Hour)}},
		Routes: []ward.Route{{Name: "r", Serves: "s", Version: "v1"}},
	}
	reads := 0
	config := func() *ward.Config {
		if reads++; reads%2 == 0 {
			return nil
		}
		return cfg
	}
	m := mover.New(mover.Deps{Self: "self", Clock: clock, Log: logr.Discard(), Config: config, Fleet: func() split.Fleet { return split.Fleet{Entries: 2} }})
	m.Merge(nil, []ward.Counts{{Serves: "s", Version: "v1", Route: "r", Move: "x@2/1", Entry: "peer", Incarnation: 1, Succeeded: 1}}, nil)
	for range 200 {
		clock.now = clock.now.Add(time.Second)
		m.Evaluate()
	}
}
