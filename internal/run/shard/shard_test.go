package shard

import (
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/result/code"
	"agateward/internal/run/record"
	"agateward/ward"

	"pgregory.net/rapid"
)

const keys = 6

// limits makes the shard write an archive for every few records.
func limits() Limits { return Limits{Attempts: 3, Claims: 4, Outcomes: 8, ArchiveThreshold: 150} }

// TestAtMostOnce checks, over kills, pauses, lost answers, writes that take effect
// late, outages and several entries, that no key runs twice, no attempt gets two
// verdicts, and each verdict is true.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(1_800_000_000, 0), started: map[string]record.Claim{}, replied: map[string]record.Verdict{},
			runCounts: map[record.Key]int{}, ran: map[string]bool{}, bodies: map[record.Key]string{}, archive: map[string]ward.Record{}, lookups: map[string]bool{}}
		for range 3 {
			f.entries = append(f.entries, &entry{shard: &Shard{Limits: limits()}})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step()
		}
		f.checkVerdicts()
		f.checkProgress()
	})
}

func TestRefusals(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	claim := record.Claim{Key: record.KeyOf("club", "k"), BodyHash: 1, Attempt: "a", Until: now.Add(time.Minute)}
	cases := []struct {
		name   string
		limits Limits
		ends   []Result
		after  time.Duration
		want   code.Code
	}{
		{"store down at the read", Limits{}, []Result{{Err: ward.ErrUnavailable}}, 0, code.RecordsDown},
		{"store down at the write", Limits{}, []Result{{}, {Err: ward.ErrUnavailable}}, 0, code.RecordsDown},
		{"answers lost again and again", Limits{Attempts: 1}, []Result{{}, {Err: ward.ErrOutcomeUnknown}}, 0, code.RecordsDown},
		{"over budget for too long", Limits{}, []Result{{Err: ward.ErrOverBudget}}, 2 * time.Second, code.RecordsBusy},
		{"committed too late", Limits{}, []Result{{}, {}}, 4 * time.Second, code.RecordsBusy},
		{"document full", Limits{Bytes: 10}, []Result{{}}, 0, code.RecordsBusy},
		{"document of another format", Limits{}, []Result{{Record: ward.Record{Value: []byte{1}, Revision: 1}}}, 0, code.RecordsDown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Shard{Limits: c.limits}
			actions := s.Claim(now, claim)
			for _, end := range c.ends {
				now = now.Add(c.after / time.Duration(len(c.ends)))
				actions = s.Done(now, end)
			}
			for _, a := range actions {
				if a.Kind == Reply {
					if a.Verdict.Kind != record.Refuse || a.Verdict.Code.Number != c.want.Number || a.Verdict.Code.Run != ward.NotRun {
						t.Errorf("got %+v, want %s", a.Verdict, c.want)
					}
					return
				}
			}
			t.Error("no verdict")
		})
	}
}

// TestOutcomeThatDoesNotFit guards against an entry that dies of an outcome for which
// the document has no room.
func TestOutcomeThatDoesNotFit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := record.Claim{Key: record.KeyOf("club", "k"), BodyHash: 1, Attempt: "a", Until: now.Add(time.Minute)}
	s := &Shard{Limits: Limits{Bytes: 10}}
	s.Settle(now, record.Outcome{Claim: c, State: record.Finished, Status: 201})
	reads := 0
	for range 100 {
		now = now.Add(DefaultLinger)
		for _, a := range s.Tick(now) {
			if a.Kind == Read {
				reads++
				s.Done(now, Result{})
			}
		}
	}
	if reads == 0 || reads > 50 || s.Unsettled() != 1 {
		t.Errorf("%d reads in 25 s, %d outcomes kept; want some, at most 50, and 1", reads, s.Unsettled())
	}
}
