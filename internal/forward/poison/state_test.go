package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against state that grows with what callers and peers send.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1))
		targets := rapid.SampledFrom([]int{1, 3, 100, 4 * maxTargets}).Draw(t, "targets")
		parts := rapid.SampledFrom([]int{1, 20, 2 * maxSuspects, 2 * maxAnswered}).Draw(t, "parts")
		var tr Tracker
		now := start
		for range 800 {
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			to := Target{Service: "s", Version: fmt.Sprint(r.IntN(targets))}
			id := uint64(r.IntN(parts))
			content := Content{Parts: []uint64{id}, Digest: uint64(r.IntN(parts))}
			switch r.IntN(4) {
			case 0:
				ids := make([]uint64, r.IntN(50))
				for i := range ids {
					ids[i] = uint64(r.IntN(parts))
				}
				tr.Answered(to, Content{ids, uint64(r.IntN(parts))}, now)
			case 1:
				tr.Tried(tr.Check(to, content, Fleet{Entries: 3}, now).Trial, now)
			case 2:
				tr.Crashed(to, process(r.IntN(1000)), content, now)
			default:
				report := Report{Suspect: Suspect{to, id, Kind(r.IntN(256))}, Count: r.IntN(20) - 5, Trials: r.IntN(200) - 50, AnsweredAge: r.Int64() - r.Int64(), TargetAge: r.Int64() - r.Int64()}
				for range r.IntN(50) {
					report.Crashes = append(report.Crashes, Crash{process(r.IntN(1000)), r.Int64() - r.Int64()})
				}
				tr.Merge([]Report{report}, now)
			}
			for _, p := range tr.withBlockCrashes() {
				if rec := tr.records[p]; rec == nil || rec.count < blockCrashes {
					t.Fatalf("%+v counts as one with %d crashes, but has %+v", p, blockCrashes, rec)
				}
			}
			for _, at := range tr.answerTimes[to] {
				if at.After(now) {
					t.Fatalf("an answer at %v, %v after now", at, at.Sub(now))
				}
			}
		}
		if n := len(tr.records); n > maxSuspects {
			t.Errorf("%d suspects, limit %d", n, maxSuspects)
		}
		for k, a := range tr.answered {
			if n := len(a.recent) + len(a.older); n > maxAnswered {
				t.Errorf("%d answered suspects of kind %d, limit %d", n, k, maxAnswered)
			}
		}
		if n := len(tr.answerTimes); n > maxTargets {
			t.Errorf("%d targets, limit %d", n, maxTargets)
		}
		for p, rec := range tr.records {
			if len(rec.crashes) > maxCrashes || len(rec.dropped) > maxDropped || rec.count > maxCrashes || len(tr.answerTimes[p.Target]) > maxAnswerTimes {
				t.Errorf("part %x: %d crashes, %d dropped, count %d", p.ID, len(rec.crashes), len(rec.dropped), rec.count)
			}
		}
	})
}
