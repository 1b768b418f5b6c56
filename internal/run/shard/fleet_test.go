package shard

import (
	"fmt"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/run/record"
	"agateward/ward"

	"pgregory.net/rapid"
)

// fleet is a set of entries that share one shard of a store with faults.
type fleet struct {
	t          *rapid.T
	now        time.Time
	rec        ward.Record
	archive    map[string]ward.Record
	lookups    map[string]bool
	entries    []*entry
	lateWrites []Action // writes whose answer was lost and that may still land
	next       int
	started    map[string]record.Claim
	replied    map[string]record.Verdict
	runCounts  map[record.Key]int
	ran        map[string]bool
	bodies     map[record.Key]string
}

type entry struct {
	shard *Shard
	call  *Action
	// ready holds attempts that may be dispatched until a given time.
	ready []permit
	// running holds attempts that were dispatched.
	running []string
}

type permit struct {
	attempt string
	until   time.Time
}

func (f *fleet) run(e *entry, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Read, Write:
			if e.call != nil {
				f.t.Fatal("two calls of the store at once")
			}
			e.call = &a
		case Reply:
			f.reply(e, a)
		}
	}
}

func (f *fleet) reply(e *entry, a Action) {
	if _, twice := f.replied[a.Attempt]; twice {
		f.t.Fatalf("two verdicts on %s", a.Attempt)
	}
	f.replied[a.Attempt] = a.Verdict
	c := f.started[a.Attempt]
	switch {
	case a.Verdict.Kind == record.Run && f.lookups[a.Attempt]:
		f.t.Fatal("a lookup gave the right to run")
	case a.Verdict.Kind == record.Run:
		e.ready = append(e.ready, permit{a.Attempt, f.now.Add(DefaultCommit)})
	case a.Verdict.Kind == record.Replay:
		if string(a.Verdict.Record.Body) != f.bodies[c.Key] || a.Verdict.Record.BodyHash != c.BodyHash {
			f.t.Fatalf("replayed %q of another request", a.Verdict.Record.Body)
		}
	case a.Verdict.Code.Run == ward.Ran && f.runCounts[c.Key] == 0:
		f.t.Fatalf("%s said of a key that never ran", a.Verdict.Code)
	}
}

func (f *fleet) claim(e *entry, ask func(time.Time, record.Claim) []Action) {
	f.next++
	c := record.Claim{
		Key:      record.KeyOf("club", fmt.Sprint(rapid.IntRange(1, keys).Draw(f.t, "key"))),
		BodyHash: uint64(rapid.IntRange(1, 5).Draw(f.t, "body")/5) + 1,
		Attempt:  fmt.Sprint("attempt-", f.next),
		Until:    f.now.Add(time.Minute),
	}
	f.started[c.Attempt] = c
	f.run(e, ask(f.now, c))
}

// store ends the call in progress with one of the results that a store can give.
func (f *fleet) store(e *entry) {
	if e.call == nil {
		return
	}
	call := *e.call
	e.call = nil
	r := Result{}
	how := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost after", "lost before", "lands later", "down", "over budget"}).Draw(f.t, "store")
	switch {
	case how == "down":
		r.Err = ward.ErrUnavailable
	case how == "over budget":
		r.Err = ward.ErrOverBudget
	case call.Kind == Read && how == "ok":
		r.Record = f.read(call)
	case call.Kind == Read:
		r.Err = ward.ErrUnavailable
	case how == "lands later":
		f.lateWrites = append(f.lateWrites, call)
		r.Err = ward.ErrOutcomeUnknown
	case how == "lost before":
		r.Err = ward.ErrOutcomeUnknown
	default:
		r.Record, r.Err = f.write(call)
		if how == "lost after" {
			r = Result{Err: ward.ErrOutcomeUnknown}
		}
	}
	f.run(e, e.shard.Done(f.now, r))
}

func (f *fleet) read(a Action) ward.Record {
	if a.Archive != "" {
		return f.archive[a.Archive]
	}
	return f.rec
}

func (f *fleet) write(a Action) (ward.Record, error) {
	if a.Archive != "" {
		if f.archive[a.Archive].Revision != a.Revision {
			return f.archive[a.Archive], ward.ErrConflict
		}
		f.archive[a.Archive] = ward.Record{Value: a.Value, Revision: a.Revision + 1}
		return f.archive[a.Archive], nil
	}
	if a.Revision != f.rec.Revision {
		return f.rec, ward.ErrConflict
	}
	f.rec = ward.Record{Value: a.Value, Revision: f.rec.Revision + 1}
	return f.rec, nil
}

// dispatch runs a request whose permit is still valid, or settles it as not run.
func (f *fleet) dispatch(e *entry) {
	if len(e.ready) == 0 {
		return
	}
	p := e.ready[0]
	e.ready = e.ready[1:]
	c := f.started[p.attempt]
	if f.now.After(p.until) || rapid.IntRange(0, 3).Draw(f.t, "refused") == 0 {
		f.run(e, e.shard.Settle(f.now, record.Outcome{Claim: c, State: record.NotRun}))
		return
	}
	f.runCounts[c.Key]++
	f.ran[p.attempt] = true
	if f.runCounts[c.Key] > 1 {
		f.t.Fatalf("key ran %d times", f.runCounts[c.Key])
	}
	f.bodies[c.Key] = p.attempt
	e.running = append(e.running, p.attempt)
}

func (f *fleet) finish(e *entry) {
	if len(e.running) == 0 {
		return
	}
	attempt := e.running[0]
	e.running = e.running[1:]
	o := record.Outcome{Claim: f.started[attempt], State: record.Finished, Kept: true, Body: []byte(attempt)}
	switch rapid.IntRange(0, 3).Draw(f.t, "answer") {
	case 0:
		o = record.Outcome{Claim: o.Claim, State: record.Unknown}
	case 1:
		o.Kept = false
		o.Body = nil
	}
	f.run(e, e.shard.Settle(f.now, o))
}

func (f *fleet) step() {
	e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(f.t, "entry")]
	switch rapid.SampledFrom([]string{"claim", "claim", "look", "store", "store", "store", "store", "dispatch", "dispatch", "finish", "drop", "kill", "land", "pause", "tick"}).Draw(f.t, "step") {
	case "claim":
		f.claim(e, e.shard.Claim)
	case "look":
		f.lookups[fmt.Sprint("attempt-", f.next+1)] = true
		f.claim(e, e.shard.Lookup)
	case "store":
		f.store(e)
	case "dispatch":
		f.dispatch(e)
	case "finish":
		f.finish(e)
	case "drop":
		f.run(e, e.shard.Cancel(f.now, fmt.Sprint("attempt-", f.next)))
	case "kill":
		if e.call != nil && e.call.Kind == Write {
			f.lateWrites = append(f.lateWrites, *e.call)
		}
		*e = entry{shard: &Shard{Limits: limits()}}
	case "land":
		if len(f.lateWrites) > 0 {
			_, _ = f.write(f.lateWrites[0])
			f.lateWrites = f.lateWrites[1:]
		}
	case "pause":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(f.t, "ms")) * time.Millisecond)
	case "tick":
		f.now = f.now.Add(DefaultBackoff)
		f.run(e, e.shard.Tick(f.now))
	}
}

// checkVerdicts fails for an attempt that ran and was refused.
func (f *fleet) checkVerdicts() {
	for attempt := range f.ran {
		if v := f.replied[attempt]; v.Kind != record.Run {
			f.t.Fatalf("%s ran and was told %s", attempt, v.Code)
		}
	}
}

// checkProgress ends the faults of the store: every claim must get its verdict.
func (f *fleet) checkProgress() {
	e := &entry{shard: &Shard{}}
	for i := range keys {
		c := record.Claim{Key: record.KeyOf("club", fmt.Sprint(i+1)), BodyHash: 1, Attempt: fmt.Sprint("last-", i), Until: f.now}
		f.started[c.Attempt] = c
		f.run(e, e.shard.Claim(f.now, c))
	}
	for range 4 * keys {
		if e.call == nil {
			break
		}
		call := *e.call
		e.call = nil
		r := Result{Record: f.read(call)}
		if call.Kind == Write {
			r.Record, r.Err = f.write(call)
		}
		f.run(e, e.shard.Done(f.now, r))
	}
	for i := range keys {
		v, ok := f.replied[fmt.Sprint("last-", i)]
		if !ok {
			f.t.Fatal("no verdict from a store that works")
		}
		if v.Kind == record.Run && f.runCounts[record.KeyOf("club", fmt.Sprint(i+1))] > 0 {
			f.t.Fatal("a key that ran may run again")
		}
	}
}
