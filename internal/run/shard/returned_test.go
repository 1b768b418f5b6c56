package shard

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/run/record"
	"agateward/ward"

	"pgregory.net/rapid"
)

// drillStore holds a shard's documents and returns from older copies.
type drillStore struct {
	era, revision uint64
	docs          map[string]ward.Record
	copied        map[string]ward.Record
	copiedAt      uint64
}

func (s *drillStore) call(a Action) Result {
	old := s.docs[a.Archive]
	if a.Kind == Read {
		return Result{Record: old}
	}
	if old.Revision != a.Revision {
		return Result{Record: old, Err: ward.ErrConflict}
	}
	s.revision++
	s.docs[a.Archive] = ward.Record{Value: a.Value, Revision: ward.StampRevision(s.era, s.revision)}
	return Result{Record: s.docs[a.Archive]}
}

func (s *drillStore) copy() {
	s.copied, s.copiedAt = make(map[string]ward.Record), s.revision
	for k, v := range s.docs {
		s.copied[k] = v
	}
}

func (s *drillStore) restore() {
	s.era++
	s.revision = s.copiedAt
	s.docs = make(map[string]ward.Record)
	for k, v := range s.copied {
		_, own := ward.SplitRevision(v.Revision)
		v.Revision = ward.StampRevision(s.era, own)
		s.docs[k] = v
	}
}

// drillEntry is a shard at one entry with the claims that run there.
type drillEntry struct {
	shard   Shard
	store   *drillStore
	running []record.Claim
	verdict map[string]record.Verdict
}

func (e *drillEntry) do(now time.Time, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case Read, Write:
			actions = append(actions, e.shard.Done(now, e.store.call(a))...)
		case Reply:
			e.verdict[a.Attempt] = a.Verdict
		}
	}
}

// TestReturnRunsNothingTwice lets the store return from older copies while no entry
// dies: once each entry has made a call, no key may run a second time.
func TestReturnRunsNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		store := &drillStore{era: 1, docs: make(map[string]ward.Record)}
		store.copy()
		limits := Limits{ArchiveThreshold: rapid.SampledFrom([]int{0, 200}).Draw(rt, "archive threshold")}
		entries := make([]*drillEntry, 3)
		for i := range entries {
			entries[i] = &drillEntry{store: store, verdict: make(map[string]record.Verdict), shard: Shard{Name: fmt.Sprint(i), Limits: limits}}
		}
		runs := make(map[record.Key]int)
		attempts := 0
		claim := func(e *drillEntry, name string) {
			attempts++
			c := record.Claim{Key: record.KeyOf("team", name), BodyHash: 1, Attempt: fmt.Sprint("attempt-", attempts), Until: now.Add(time.Minute)}
			e.do(now, e.shard.Claim(now, c))
			if e.verdict[c.Attempt].Kind != record.Run {
				return
			}
			if runs[c.Key]++; runs[c.Key] > 1 {
				rt.Fatalf("%s runs a second time", name)
			}
			e.running = append(e.running, c)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				claim(rapid.SampledFrom(entries).Draw(rt, "entry"), fmt.Sprint("key-", rapid.IntRange(1, 5).Draw(rt, "key")))
			},
			"finish": func(rt *rapid.T) {
				e := rapid.SampledFrom(entries).Draw(rt, "entry")
				if len(e.running) > 0 {
					o := record.Outcome{Claim: e.running[0], State: record.Finished, Kept: true, Body: []byte("answer")}
					e.running = e.running[1:]
					e.do(now, e.shard.Settle(now, o))
					e.do(now, e.shard.Flush(now))
				}
			},
			"time": func(*rapid.T) { now = now.Add(time.Second) },
			"copy": func(*rapid.T) { store.copy() },
			"return": func(*rapid.T) {
				store.restore()
				for i, e := range entries {
					claim(e, fmt.Sprint("call-", attempts, "-of-", i))
				}
			},
		})
	})
}
