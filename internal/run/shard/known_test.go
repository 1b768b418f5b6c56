package shard

import (
	"testing"
	"time"

	"agateward/internal/run/record"
	"agateward/ward"
)

// TestKnownKeyIsNotRefused guards against a repeat of a key that has run and that is
// refused as not run, since another claim of its batch could not be written.
func TestKnownKeyIsNotRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ran := record.Claim{Key: record.KeyOf("club", "ran"), BodyHash: 1, Attempt: "a", Until: now.Add(time.Minute)}
	doc := &record.Document{}
	doc.Begin(now, ran)
	doc.Settle(now, record.Outcome{Claim: ran, State: record.Finished, Status: 201, Kept: true, Body: []byte("seat 7")})
	value, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read := Result{Record: ward.Record{Value: value, Revision: 1}}
	cases := []struct {
		name   string
		limits Limits
		ends   []Result
		after  time.Duration
	}{
		{"store down at the write", Limits{}, []Result{read, {Err: ward.ErrUnavailable}}, 0},
		{"answers lost again and again", Limits{Attempts: 1}, []Result{read, {Err: ward.ErrOutcomeUnknown}}, 0},
		{"store down after a lost answer", Limits{}, []Result{read, {Err: ward.ErrOutcomeUnknown}, {Err: ward.ErrUnavailable}}, 0},
		{"over budget for too long", Limits{}, []Result{read, {Err: ward.ErrOverBudget}}, 2 * time.Second},
		{"document full", Limits{Bytes: 10}, []Result{read}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := now
			s := &Shard{Limits: c.limits}
			// The first call makes the claims after it one batch.
			s.Claim(now, record.Claim{Key: record.KeyOf("club", "first"), Attempt: "first", Until: now.Add(time.Minute)})
			repeat, look := ran, ran
			repeat.Attempt = "b"
			look.Attempt = "look"
			var actions []Action
			actions = append(actions, s.Claim(now, record.Claim{Key: record.KeyOf("club", "new"), Attempt: "new", Until: now.Add(time.Minute)})...)
			actions = append(actions, s.Claim(now, repeat)...)
			actions = append(actions, s.Lookup(now, look)...)
			actions = append(actions, s.Done(now, Result{Err: ward.ErrUnavailable})...)
			now = now.Add(DefaultBackoff)
			actions = append(actions, s.Tick(now)...)
			for _, end := range c.ends {
				now = now.Add(c.after / time.Duration(len(c.ends)))
				actions = append(actions, s.Done(now, end)...)
			}
			got := map[string]record.Verdict{}
			for _, a := range actions {
				if a.Kind == Reply {
					got[a.Attempt] = a.Verdict
				}
			}
			for _, attempt := range []string{"b", "look"} {
				if v := got[attempt]; v.Kind != record.Replay || string(v.Record.Body) != "seat 7" {
					t.Errorf("%s: got kind %d, code %s; want the recorded answer", attempt, v.Kind, v.Code)
				}
			}
			if v, ok := got["new"]; !ok || v.Kind != record.Refuse || v.Code.Run != ward.NotRun {
				t.Errorf("new: got %v, kind %d, code %s; want a refusal as not run", ok, v.Kind, v.Code)
			}
		})
	}
}
