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
			switch r.IntN(4) {
			case 0:
				ids := make([]uint64, r.IntN(50))
				for i := range ids {
					ids[i] = uint64(r.IntN(parts))
				}
				tr.Answered(to, ids, now)
			case 1:
				tr.Check(to, []uint64{id}, Fleet{Entries: 3}, now)
			case 2:
				tr.Crashed(to, process(r.IntN(1000)), []uint64{id}, now)
			default:
				report := Report{Suspect: Suspect{to, id}, Count: r.IntN(20) - 5, AnsweredAge: r.Int64() - r.Int64(), TargetAge: r.Int64() - r.Int64()}
				for range r.IntN(50) {
					report.Crashes = append(report.Crashes, Crash{process(r.IntN(1000)), r.Int64() - r.Int64()})
				}
				tr.Merge([]Report{report}, now)
			}
			for _, at := range tr.answerTimes[to] {
				if at.After(now) {
					t.Fatalf("an answer at %v, %v after now", at, at.Sub(now))
				}
			}
		}
		if n := len(tr.records); n > maxSuspects {
			t.Errorf("%d parts, limit %d", n, maxSuspects)
		}
		if n := len(tr.answered.recent) + len(tr.answered.older); n > maxAnswered {
			t.Errorf("%d answered parts, limit %d", n, maxAnswered)
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
