package orderlog

import (
	"fmt"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/ward"

	"pgregory.net/rapid"
)

func write(target string, era, revision uint64) ward.Rollout {
	return ward.Rollout{Service: "s", Target: target, Within: time.Minute, Revision: ward.StampRevision(era, revision)}
}

// TestCurrent names the order in force: an order that is written again is no new one,
// and one that is given again on purpose is.
func TestCurrent(t *testing.T) {
	tests := []struct {
		name   string
		writes []ward.Rollout
		want   ward.Rollout
	}{
		{"none", nil, ward.Rollout{}},
		{"replaced", []ward.Rollout{write("v2", 1, 40), write("v3", 1, 57)}, write("v3", 1, 57)},
		{"given again in the same era", []ward.Rollout{write("v2", 1, 40), write("v2", 1, 57)}, write("v2", 1, 57)},
		{"held by the copy", []ward.Rollout{write("v2", 1, 40), write("v2", 2, 40)}, write("v2", 1, 40)},
		{"written again", []ward.Rollout{write("v2", 1, 40), write("v2", 2, 35)}, write("v2", 1, 40)},
		{"an older one is held by the copy", []ward.Rollout{write("v2", 1, 40), write("v3", 1, 57), write("v2", 2, 40)}, write("v3", 1, 57)},
		{"then written again", []ward.Rollout{write("v2", 1, 40), write("v3", 1, 57), write("v2", 2, 40), write("v3", 2, 45)}, write("v3", 1, 57)},
		{"held by the copy, given again on purpose", []ward.Rollout{write("v2", 1, 40), write("v2", 2, 40), write("v2", 2, 70)}, write("v2", 2, 70)},
		{"written again, given again on purpose", []ward.Rollout{write("v2", 1, 40), write("v2", 2, 35), write("v2", 2, 70)}, write("v2", 2, 70)},
		{"the one before, given on purpose", []ward.Rollout{write("v2", 1, 40), write("v3", 1, 57), write("v3", 2, 57), write("v2", 2, 70)}, write("v2", 2, 70)},
		{"another one under the same revision", []ward.Rollout{write("v2", 1, 40), write("v3", 2, 40)}, write("v3", 2, 40)},
		{"removed, the copy holds it", []ward.Rollout{write("v2", 1, 40), write("", 1, 57), write("v2", 2, 40)}, write("", 1, 57)},
		{"two returns", []ward.Rollout{write("v2", 1, 40), write("v2", 2, 35), write("v2", 3, 33)}, write("v2", 1, 40)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Log
			for _, w := range tt.writes {
				l.Add(w, time.Time{})
			}
			got := l.Current()
			if got.Target != tt.want.Target || got.Revision != tt.want.Revision {
				t.Errorf("%s at %s, want %s at %s", got.Target, ward.RevisionText(got.Revision), tt.want.Target, ward.RevisionText(tt.want.Revision))
			}
		})
	}
}

// operator gives orders to a store with returns. It returns what the store held one
// after the other, and the number of orders that were given on purpose.
func operator(rt *rapid.T) (writes []ward.Rollout, given int) {
	era, revision := uint64(1), uint64(10)
	var purpose []ward.Rollout // the orders, under the revision of their latest write
	put := func(target string) {
		revision += uint64(rapid.IntRange(1, 3).Draw(rt, "others"))
		writes = append(writes, write(target, era, revision))
	}
	for range rapid.IntRange(1, 12).Draw(rt, "events") {
		if len(purpose) == 0 || rapid.Bool().Draw(rt, "order") {
			put(fmt.Sprint("v", rapid.IntRange(2, 4).Draw(rt, "target")))
			purpose = append(purpose, writes[len(writes)-1])
			given++
			continue
		}
		// The copy holds the newest order or the one before.
		last := len(purpose) - 1
		lost := rapid.Bool().Draw(rt, "lost")
		held := last
		if lost {
			held--
		}
		era++
		if held >= 0 {
			_, own := ward.SplitRevision(purpose[held].Revision)
			revision = max(own, 10)
			writes = append(writes, write(purpose[held].Target, era, own))
			purpose[held].Revision = writes[len(writes)-1].Revision
		} else {
			revision = 10
		}
		if lost {
			put(purpose[last].Target)
			purpose[last].Revision = writes[len(writes)-1].Revision
		}
	}
	return writes, given
}

// TestEntriesAgree lets entries see different parts of what a store held: once they
// have exchanged their logs, they must know the same order by the same revision, and
// no order that was given on purpose may count as a repetition, nor the reverse.
func TestEntriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes, given := operator(rt)
		var all, a, b Log
		for _, w := range writes {
			all.Add(w, time.Time{})
			if n := rapid.IntRange(0, 2).Draw(rt, "seen by"); n == 0 {
				a.Add(w, time.Time{})
			} else {
				b.Add(w, time.Time{})
			}
		}
		if n := len(all.orders()); n != given {
			rt.Errorf("%d orders of %d that were given: %+v", n, given, writes)
		}
		for _, w := range a.Writes() {
			b.Add(w.Rollout, w.At)
		}
		for _, w := range b.Writes() {
			a.Add(w.Rollout, w.At)
		}
		if a.Digest() != b.Digest() || a.Current().Revision != all.Current().Revision || b.Current().Revision != all.Current().Revision {
			rt.Errorf("entries differ: %+v and %+v", a.Current(), b.Current())
		}
	})
}
