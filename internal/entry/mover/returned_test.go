package mover_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/move/split"
	"agateward/internal/platform/memory"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"pgregory.net/rapid"
)

// drill is a schedule of a move during which the store returns from an older copy.
// Times are in seconds from the beginning of the move.
type drill struct {
	copyAt, returnAt int
	// badAt is when the new version begins to fail, killAt when the holder is killed;
	// later than the end means never.
	badAt, killAt int
}

const drillSeconds = 130

// errorer is a *testing.T or a *rapid.T.
type errorer interface {
	Errorf(format string, args ...any)
}

func (d drill) run(ctx context.Context, t errorer) {
	ctx, cancel := context.WithCancel(ctx)
	cfg := &ward.Config{
		Routes: []ward.Route{{Name: "r", Serves: "m", Version: "v1", Ticket: 1}},
		Moves:  []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 2, Deadline: time.Now().Add(90 * time.Second)}},
	}
	var wg sync.WaitGroup
	f := newFleet(ctx, &wg, cfg, 3)
	f.failureRate = 0.01
	var copied memory.Copy
	steps := make([]int, len(f.movers))
	ended := make([]string, len(f.movers))
	for s := range drillSeconds {
		if s == d.copyAt {
			copied = f.store.Copy()
		}
		if s == d.returnAt {
			f.notifier.forget()
			f.store.Restore(copied)
		}
		if s == d.badAt {
			f.failureRate = 1
		}
		if s == d.killAt && len(f.movers[0].States()) > 0 {
			f.kill()
		}
		f.runSecond()
		for i, m := range f.movers {
			if f.dead[i] || len(m.States()) == 0 {
				continue
			}
			got := m.States()[0]
			if got.Step < steps[i] && got.Share > 0 {
				t.Errorf("second %d: entry %d goes back from step %d to %d (%s)", s, i, steps[i], got.Step, got.State)
			}
			steps[i] = got.Step
			if ended[i] != "" && got.State != ended[i] {
				t.Errorf("second %d: entry %d is in state %s after the end in %s", s, i, got.State, ended[i])
			}
			if got.State == split.Done || got.State == split.RolledBack {
				ended[i] = got.State
			}
		}
	}
	for i := range f.movers {
		if !f.dead[i] {
			checkEnd(t, f, ended[i])
		}
	}
	cancel()
	wg.Wait()
}

// checkEnd compares the store's record and the operator's news with the outcome that
// the entries know.
func checkEnd(t errorer, f *fleet, ended string) {
	rec, err := f.store.Get(context.Background(), acceptance.KeyMove("x"))
	var s ward.MoveState
	if err == nil && len(rec.Value) > 0 {
		err = json.Unmarshal(rec.Value, &s)
	}
	if err != nil {
		t.Errorf("record: %v", err)
	}
	if s.State != ended || ended == "" {
		t.Errorf("the store's record is in state %q, the entries in %q", s.State, ended)
	}
	want := map[string]string{split.Done: "move-done", split.RolledBack: "move-taken-back"}[ended]
	if got := f.notifier.outcomes(); got != want {
		t.Errorf("outcomes told since the return: %q, want %q", got, want)
	}
}

func (o *recordingNotifier) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.events)
}

// TestReturn restores the store from an older copy at stages of a move: the move must
// neither go back nor begin again, and what the copy lacks must be written again.
func TestReturn(t *testing.T) {
	const never = drillSeconds
	tests := []struct {
		name  string
		drill drill
	}{
		{"between two steps", drill{copyAt: 3, returnAt: 8, badAt: never, killAt: never}},
		{"before the first record", drill{copyAt: 0, returnAt: 10, badAt: never, killAt: never}},
		{"completed, the copy is of its last step", drill{copyAt: 88, returnAt: 100, badAt: never, killAt: never}},
		{"rolled back, the copy is of a step", drill{copyAt: 10, returnAt: 30, badAt: 12, killAt: never}},
		{"the holder is gone", drill{copyAt: 88, returnAt: 100, badAt: never, killAt: 95}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.drill.run(t.Context(), t) })
		})
	}
}

// TestReturnAtAnyTime does the same over generated schedules.
func TestReturnAtAnyTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		copyAt := rapid.IntRange(0, 100).Draw(rt, "copy")
		d := drill{
			copyAt: copyAt, returnAt: copyAt + rapid.IntRange(1, 15).Draw(rt, "lost"),
			badAt: rapid.IntRange(0, 2*drillSeconds).Draw(rt, "bad"), killAt: rapid.IntRange(5, 4*drillSeconds).Draw(rt, "kill"),
		}
		synctest.Test(t, func(t *testing.T) { d.run(t.Context(), rt) })
	})
}
