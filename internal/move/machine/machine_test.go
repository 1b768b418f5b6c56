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

// holder is an entry that may steer: what it knows may be old, and it may have
// been paused past its lease.
type holder struct {
	name  string
	fence uint64
	state ward.MoveState
}

// world is one move, its record in the store and the entries that steer it.
type world struct {
	now     time.Time
	move    ward.Move
	record  ward.MoveState
	holders []*holder
	fence   uint64
	braked  bool
	// told counts the outcomes by ticket, writers the holders by fencing number.
	told    map[string]int
	writers map[uint64]string
	tickets map[uint64]bool
}

// TestMachine lets three entries steer one move while leases change hands,
// holders act on old knowledge, answers are lost, the version is braked and
// operators cancel or replace the move.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := &world{
			now: start, move: ward.Move{Name: "x", Serves: "m", From: "a", To: "b", Ticket: 1, Deadline: start.Add(100 * time.Second)},
			told: map[string]int{}, writers: map[uint64]string{}, tickets: map[uint64]bool{1: true},
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
			"steer": func(t *rapid.T) { w.steer(t, rapid.SampledFrom(w.holders).Draw(t, "holder")) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"brake": func(*rapid.T) { w.braked = true },
			"ticket": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				w.move.Ticket++
				w.move.Cancelled = rapid.Bool().Draw(t, "cancelled")
				if !w.move.Cancelled {
					w.tickets[w.move.Ticket] = true
					w.braked = false
					w.move.Deadline = w.now.Add(100 * time.Second)
				}
			},
		})
		w.finish(t)
	})
}

// steer lets a holder compute and write the next state, as it knows it.
func (w *world) steer(t *rapid.T, h *holder) {
	if h.fence == 0 {
		return
	}
	next, changed := machine.Machine{}.Next(h.state, machine.Input{
		Now: w.now, Move: w.move, Quarantined: w.braked, QuarantineReason: "harm", Passed: true, Loaded: true, Holder: h.name, Fence: h.fence,
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
	if w.braked && next.Share > was.Share {
		t.Fatalf("share raised to %v on a braked version", next.Share)
	}
	if (machine.Machine{}).Final(was) && next.Ticket == was.Ticket && next.State != was.State {
		t.Fatalf("%s after %s", next.State, was.State)
	}
	for _, e := range next.PendingEvents[len(was.PendingEvents):] {
		if strings.HasSuffix(e.ID, "/outcome") {
			w.told[e.ID]++
		}
	}
}

// finish lets one holder end the move, and counts the outcomes of each ticket
// that began a run.
func (w *world) finish(t *rapid.T) {
	h := w.holders[0]
	w.fence++
	h.fence = w.fence
	for range 200 {
		h.state = w.record
		w.steer(t, h)
		w.now = w.now.Add(3 * time.Second)
	}
	if !(machine.Machine{}).Final(w.record) {
		t.Fatalf("the move hangs in %q", w.record.State)
	}
	for id, n := range w.told {
		if n != 1 {
			t.Fatalf("outcome %s told %d times", id, n)
		}
	}
	if w.told[machineID(w.record)] != 1 {
		t.Fatalf("no outcome of %s in %v", machineID(w.record), w.told)
	}
}

func machineID(s ward.MoveState) string {
	e, _ := machine.Outcome(s)
	return e.ID
}

// TestBrakesOnlyGrow merges sets in any order, any number of times.
func TestBrakesOnlyGrow(t *testing.T) {
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
