package machine_test

import (
	"strings"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/move/machine"
	"agateward/internal/move/quarantine"
	"agateward/ward"

	"pgregory.net/rapid"
)

// holder is an entry that acquired the lease. Its state may be outdated, and it
// may have been paused until after its lease expired.
type holder struct {
	name  string
	fence uint64
	state ward.MoveState
}

// world is one move, its record in the store and the entries that advance it.
type world struct {
	now         time.Time
	move        ward.Move
	record      ward.MoveState
	holders     []*holder
	fence       uint64
	quarantined bool
	// outcomes counts the outcome events by ID. writers maps fencing numbers to
	// holders.
	outcomes map[string]int
	writers  map[uint64]string
	tickets  map[uint64]bool
}

// TestConcurrentHolders lets three entries advance one move while the lease
// changes its holder, holders act on outdated states, answers are lost, the
// version is quarantined and operators cancel or replace the move.
func TestConcurrentHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := &world{
			now: start, move: ward.Move{Name: "x", Serves: "m", From: "a", To: "b", Ticket: 1, Deadline: start.Add(100 * time.Second)},
			outcomes: map[string]int{}, writers: map[uint64]string{}, tickets: map[uint64]bool{1: true},
		}
		for _, n := range []string{"e1", "e2", "e3"} {
			w.holders = append(w.holders, &holder{name: n})
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				h := rapid.SampledFrom(w.holders).Draw(t, "holder")
				w.fence++
				h.fence = w.fence
				h.state = w.record
			},
			"steer": func(t *rapid.T) { w.advance(t, rapid.SampledFrom(w.holders).Draw(t, "holder")) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"brake": func(*rapid.T) { w.quarantined = true },
			"ticket": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				w.move.Ticket++
				w.move.Cancelled = rapid.Bool().Draw(t, "cancelled")
				if !w.move.Cancelled {
					w.tickets[w.move.Ticket] = true
					w.quarantined = false
					w.move.Deadline = w.now.Add(100 * time.Second)
				}
			},
		})
		w.finish(t)
	})
}

// advance lets a holder compute the next state from the state that it knows, and
// write it.
func (w *world) advance(t *rapid.T, h *holder) {
	if h.fence == 0 {
		return
	}
	next, changed := machine.Machine{}.Next(h.state, machine.Input{
		Now: w.now, Move: w.move, Quarantined: w.quarantined, QuarantineReason: "harm", Approved: true, Observed: time.Minute, Loaded: true, Holder: h.name, Fence: h.fence,
	})
	if !changed && next.Fence != h.fence {
		next.Fence, next.Holder, changed = h.fence, h.name, true
	}
	if !changed || h.state.Revision != w.record.Revision {
		return
	}
	w.check(t, next)
	next.Revision++
	w.record = next
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	h.state = next
}

func (w *world) check(t *rapid.T, next ward.MoveState) {
	was := w.record
	if by, ok := w.writers[next.Fence]; ok && by != next.Holder {
		t.Fatalf("%s and %s both wrote with fence %d", by, next.Holder, next.Fence)
	}
	w.writers[next.Fence] = next.Holder
	if next.Fence < was.Fence {
		t.Fatalf("fence went back from %d to %d", was.Fence, next.Fence)
	}
	if next.Ticket == was.Ticket && next.Step > was.Step+1 {
		t.Fatalf("step %d after %d", next.Step, was.Step)
	}
	if w.quarantined && next.Share > was.Share {
		t.Fatalf("share raised to %v on a quarantined version", next.Share)
	}
	if (machine.Machine{}).Final(was) && next.Ticket == was.Ticket && next.State != was.State {
		t.Fatalf("%s after %s", next.State, was.State)
	}
	for _, e := range next.PendingEvents[len(was.PendingEvents):] {
		if strings.HasSuffix(e.ID, "/outcome") {
			w.outcomes[e.ID]++
		}
	}
}

// finish lets one holder end the move, and checks that each outcome occurred
// once.
func (w *world) finish(t *rapid.T) {
	h := w.holders[0]
	w.fence++
	h.fence = w.fence
	for range 200 {
		h.state = w.record
		w.advance(t, h)
		w.now = w.now.Add(3 * time.Second)
	}
	if !(machine.Machine{}).Final(w.record) {
		t.Fatalf("the move hangs in %q", w.record.State)
	}
	for id, n := range w.outcomes {
		if n != 1 {
			t.Fatalf("outcome %s recorded %d times", id, n)
		}
	}
	if w.outcomes[outcomeEventID(w.record)] != 1 {
		t.Fatalf("no outcome of %s in %v", outcomeEventID(w.record), w.outcomes)
	}
}

func outcomeEventID(s ward.MoveState) string {
	e, _ := machine.Outcome(s)
	return e.ID
}

// TestQuarantinesOnlyGrow checks that sets never shrink and that the result does
// not depend on the order and number of merges.
func TestQuarantinesOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) ward.Quarantine {
			return ward.Quarantine{
				Serves: "m", Version: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "version"), Route: rapid.SampledFrom([]string{"", "r"}).Draw(t, "route"),
				Move: "x", Ticket: rapid.Uint64Range(1, 5).Draw(t, "ticket"), At: time.Unix(rapid.Int64Range(0, 3).Draw(t, "at"), 0),
			}
		})
		list := rapid.SliceOf(one).Draw(t, "brakes")
		var a, b quarantine.Set
		for _, x := range list {
			before := len(a.List())
			a.Merge([]ward.Quarantine{x})
			if len(a.List()) < before {
				t.Fatal("the set shrank")
			}
		}
		for _, x := range rapid.Permutation(list).Draw(t, "order") {
			b.Merge([]ward.Quarantine{x, x})
		}
		b.Merge(a.List())
		if a.Digest() != b.Digest() || len(a.List()) != len(b.List()) {
			t.Fatalf("%v and %v", a.List(), b.List())
		}
	})
}
