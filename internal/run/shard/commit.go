package shard

import (
	"errors"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/record"
	"agateward/ward"
)

// Done takes the end of the call under way.
func (s *Shard) Done(now time.Time, r Result) []Action {
	call := s.call
	s.call = 0
	switch {
	case call == Write && s.target == onDeletion:
	case call == Write && s.target == onArchive:
		s.archiveWritten(now, r)
	case call == Read && r.Err == nil && s.target == onArchive:
		s.archiveRead(now, r.Record)
	case call == Read && r.Err == nil:
		s.apply(now, r.Record)
	case call == Write && r.Err == nil:
		s.moved()
		s.commit(now)
		s.speedUp(now)
	case call == Write && errors.Is(r.Err, ward.ErrConflict):
		s.Stats.Conflicts++
		s.conflict(now, r.Record)
	case call == Write && errors.Is(r.Err, ward.ErrOutcomeUnknown):
		s.Stats.Lost++
		s.settleLost(now)
	case errors.Is(r.Err, ward.ErrOverBudget):
		s.Stats.OverBudget++
		s.overBudget(now, call)
	case call != 0:
		s.Stats.Failed++
		s.fail(now, code.RecordsDown)
	}
	return s.proceed(now)
}

// apply decides on the batch against the document and begins its write.
func (s *Shard) apply(now time.Time, rec ward.Record) {
	book, err := record.Decode(rec.Value)
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	book.Keep = either(s.Limits.Keep, DefaultKeep)
	s.archives.book = rec
	s.archives.expired = book.Expire(now)
	if id, ok := s.unread(book); ok {
		s.readArchive(id)
		return
	}
	for _, r := range s.archives.found {
		book.AddArchived(r)
	}
	changed := s.settle(now, book)
	changed = s.decide(now, book) || changed
	if !changed {
		s.commit(now)
		return
	}
	if s.archive(now, book) {
		return
	}
	if !book.Compact(either(s.Limits.Bytes, DefaultBytes)) {
		s.full(now, rec)
		return
	}
	value, err := book.Encode()
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	s.call = Write
	s.target = onBook
	s.attempts++
	for i := range s.batch {
		s.batch[i].tried = !s.batch[i].look
	}
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Revision: rec.Revision, Value: value})
}

func (s *Shard) settle(now time.Time, book *record.Document) bool {
	changed := false
	for _, o := range s.settling {
		changed = book.Settle(now, o.Outcome) || changed
	}
	return changed
}

// decide decides on the claims of the batch. A claim that was found in the
// document needs no write: its first one took effect.
func (s *Shard) decide(now time.Time, book *record.Document) bool {
	changed := false
	s.verdicts = s.verdicts[:0]
	for _, c := range s.batch {
		if c.look {
			s.verdicts = append(s.verdicts, look(now, book, c))
			continue
		}
		v := book.Begin(now, c.Claim)
		changed = changed || v.New
		s.verdicts = append(s.verdicts, v)
	}
	return changed
}

// look never lets a request run, not even one that has begun its own record.
func look(now time.Time, book *record.Document, c claim) record.Verdict {
	v := book.Lookup(now, c.Claim)
	if v.Kind == record.Run {
		return record.Verdict{Kind: record.Absent}
	}
	return v
}

// full refuses the claims where the document has no room, and writes the
// outcomes alone.
func (s *Shard) full(now time.Time, rec ward.Record) {
	for _, c := range s.batch {
		s.refuse(c.Attempt, code.RecordsBusy)
		s.undo(now, c)
	}
	s.batch = nil
	if len(s.settling) > 0 {
		s.apply(now, rec)
	}
}

// commit gives the verdicts of a batch that is in the store.
func (s *Shard) commit(now time.Time) {
	limit := either(s.Limits.Commit, DefaultCommit)
	for i, c := range s.batch {
		v := s.verdicts[i]
		if v.Kind == record.Run && (c.dropped || now.Sub(c.since) > limit) {
			s.Stats.Late++
			s.undo(now, c)
			v = record.Verdict{Code: code.RecordsBusy}
		}
		if v.Kind == record.Run {
			s.Stats.Committed++
		}
		if !c.dropped {
			s.actions = append(s.actions, Action{Kind: Reply, Attempt: c.Attempt, Verdict: v})
		}
	}
	s.batch, s.settling = nil, nil
}

// undo has the record of a claim removed that will not run, where a write may
// have put it into the store.
func (s *Shard) undo(now time.Time, c claim) {
	if !c.tried {
		return
	}
	s.outcomes = append(s.outcomes, outcome{Outcome: record.Outcome{Claim: c.Claim, State: record.NotRun}, since: now})
}

// conflict decides anew against the document in force.
func (s *Shard) conflict(now time.Time, rec ward.Record) {
	if s.attempts >= either(s.Limits.Attempts, DefaultAttempts) {
		s.putBack(now)
		return
	}
	s.apply(now, rec)
}

// settleLost reads the document to see whether the write took effect.
func (s *Shard) settleLost(now time.Time) {
	if s.attempts >= either(s.Limits.Attempts, DefaultAttempts) {
		s.fail(now, code.RecordsDown)
		return
	}
	s.attempts++
	s.read()
}

// putBack has the batch tried again after a pause. An earlier write of it may
// have taken effect, which the next reading finds.
func (s *Shard) putBack(now time.Time) {
	s.pause(now)
	s.waiting = append(s.batch, s.waiting...)
	s.outcomes = append(s.settling, s.outcomes...)
	s.batch, s.settling = nil, nil
}

// fail refuses the claims of the batch, which do not run, and keeps its outcomes
// for later.
func (s *Shard) fail(now time.Time, c code.Code) {
	s.pause(now)
	s.outcomes = append(s.settling, s.outcomes...)
	for _, x := range s.batch {
		if !x.dropped {
			s.refuse(x.Attempt, c)
		}
		s.undo(now, x)
	}
	s.batch, s.settling = nil, nil
}

// overBudget has the batch tried again. The index of the archives, which a new
// entry reads once, goes on as soon as the budget allows.
func (s *Shard) overBudget(now time.Time, call Kind) {
	s.putBack(now)
	if call != Read || s.target != onArchive {
		s.slowDown(now)
	}
}

// slowDown doubles the time between commits, so that what waits goes together
// into fewer of them.
func (s *Shard) slowDown(now time.Time) {
	s.pace = min(max(2*s.pace, either(s.Limits.Backoff, DefaultBackoff)), either(s.Limits.MaxCommitInterval, DefaultMaxCommitInterval))
	s.notBefore = now.Add(s.pace)
}

// speedUp shortens the time between commits by an eighth after each.
func (s *Shard) speedUp(now time.Time) {
	s.pace -= s.pace / paceShare
	if s.pace < time.Millisecond {
		s.pace = 0
	}
	s.notBefore = now.Add(s.pace)
}

// paceShare is the part by which a commit shortens the pace.
const paceShare = 8

func (s *Shard) pause(now time.Time) {
	s.notBefore = now.Add(either(s.Limits.Backoff, DefaultBackoff))
}
