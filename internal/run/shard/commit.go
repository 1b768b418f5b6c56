package shard

import (
	"errors"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/record"
	"agateward/ward"
)

// Done handles the result of the call in progress.
func (s *Shard) Done(now time.Time, r Result) []Action {
	call := s.call
	s.call = 0
	switch {
	case call == Write && s.target == targetDeletion:
	case call == Write && s.target == targetArchive:
		s.archiveWritten(now, r)
	case call == Read && r.Err == nil && s.target == targetArchive:
		s.archiveRead(now, r.Record)
	case call == Read && r.Err == nil:
		s.apply(now, r.Record)
	case call == Write && r.Err == nil:
		s.documentWritten()
		s.commit(now, r.Record.Revision)
		s.shortenInterval(now)
	case call == Write && errors.Is(r.Err, ward.ErrConflict):
		s.Stats.Conflicts++
		s.conflict(now, r.Record)
	case call == Write && errors.Is(r.Err, ward.ErrOutcomeUnknown):
		s.Stats.Lost++
		s.resolveLost(now)
	case errors.Is(r.Err, ward.ErrOverBudget):
		s.Stats.OverBudget++
		s.overBudget(now, call)
	case call != 0:
		s.Stats.Failed++
		s.fail(now, code.RecordsDown)
	}
	return s.proceed(now)
}

// apply decides on the batch against the document and begins the write of it.
func (s *Shard) apply(now time.Time, rec ward.Record) {
	doc, err := record.Decode(rec.Value)
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	doc.Keep = orDefault(s.Limits.Keep, DefaultKeep)
	s.archives.document = rec
	s.archives.expired = doc.Expire(now)
	if id, ok := s.unreadArchive(doc); ok {
		s.readArchive(id)
		return
	}
	for _, r := range s.archives.found {
		doc.AddArchived(r)
	}
	changed := false
	if s.recent.lost(rec.Revision) {
		s.dropLostArchive()
		changed = s.recent.restore(now, doc)
	}
	changed = s.applyOutcomes(now, doc) || changed
	changed = s.applyClaims(now, doc) || changed
	if !changed {
		s.commit(now, rec.Revision)
		return
	}
	if s.archive(now, doc) {
		return
	}
	if !doc.Compact(orDefault(s.Limits.Bytes, DefaultBytes)) {
		s.refuseFull(now, rec)
		return
	}
	value, err := doc.Encode()
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	s.call = Write
	s.target = targetDocument
	s.attempts++
	for i := range s.batch {
		s.batch[i].sent = !s.batch[i].lookup
	}
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Revision: rec.Revision, Value: value})
}

func (s *Shard) applyOutcomes(now time.Time, doc *record.Document) bool {
	changed := false
	for _, o := range s.settling {
		changed = doc.Settle(now, o.Outcome) || changed
	}
	return changed
}

// applyClaims decides on the claims of the batch, and reports whether that changed the
// document. A claim that is found in the document needs no write: its first one took
// effect. The verdict on a known key is given at once, so that it doesn't depend on the
// write of other claims.
func (s *Shard) applyClaims(now time.Time, doc *record.Document) bool {
	added := map[record.Key]bool{}
	undecided := s.batch[:0]
	s.verdicts = s.verdicts[:0]
	for _, c := range s.batch {
		v := decide(now, doc, c)
		if v.Kind != record.Run && !added[c.Key] {
			s.reply(c, v)
			continue
		}
		if v.New {
			added[c.Key] = true
		}
		undecided = append(undecided, c)
		s.verdicts = append(s.verdicts, v)
	}
	s.batch = undecided
	return len(added) > 0
}

func decide(now time.Time, doc *record.Document, c claim) record.Verdict {
	if c.lookup {
		return lookup(now, doc, c)
	}
	return doc.Begin(now, c.Claim)
}

// reply gives the verdict on a claim, unless nobody waits for it any more.
func (s *Shard) reply(c claim, v record.Verdict) {
	if !c.dropped {
		s.actions = append(s.actions, Action{Kind: Reply, Attempt: c.Attempt, Verdict: v})
	}
}

// lookup never gives the right to run, not even to the attempt that has begun the
// record.
func lookup(now time.Time, doc *record.Document, c claim) record.Verdict {
	v := doc.Lookup(now, c.Claim)
	if v.Kind == record.Run {
		return record.Verdict{Kind: record.Absent}
	}
	return v
}

// refuseFull refuses the claims when the document is full, and writes only the
// outcomes. If these don't fit either, they wait.
func (s *Shard) refuseFull(now time.Time, rec ward.Record) {
	if len(s.batch) == 0 {
		s.requeue(now)
		s.lengthenInterval(now)
		return
	}
	for _, c := range s.batch {
		s.refuse(c.Attempt, code.RecordsBusy)
		s.undo(now, c)
	}
	s.batch = nil
	if len(s.settling) > 0 {
		s.apply(now, rec)
	}
}

// commit gives the verdicts of a batch that is in the store, in the document at a
// revision.
func (s *Shard) commit(now time.Time, revision uint64) {
	limit := orDefault(s.Limits.Commit, DefaultCommit)
	var begun []record.Claim
	for i, c := range s.batch {
		v := s.verdicts[i]
		if v.Kind == record.Run && (c.dropped || now.Sub(c.since) > limit) {
			s.Stats.Late++
			s.undo(now, c)
			v = record.Verdict{Code: code.RecordsBusy}
		}
		if v.Kind == record.Run {
			s.Stats.Committed++
			begun = append(begun, c.Claim)
		}
		s.reply(c, v)
	}
	s.recent.note(now, revision, begun, s.settling)
	s.batch, s.settling = nil, nil
}

// undo queues the removal of the record of a claim that will not run, when a write
// may have put it into the store.
func (s *Shard) undo(now time.Time, c claim) {
	if !c.sent {
		return
	}
	s.outcomes = append(s.outcomes, outcome{Outcome: record.Outcome{Claim: c.Claim, State: record.NotRun}, since: now})
}

// conflict decides again, against the document in force.
func (s *Shard) conflict(now time.Time, rec ward.Record) {
	if s.attempts >= orDefault(s.Limits.Attempts, DefaultAttempts) {
		s.requeue(now)
		return
	}
	s.apply(now, rec)
}

// resolveLost reads the document again to find out whether the write took effect.
func (s *Shard) resolveLost(now time.Time) {
	if s.attempts >= orDefault(s.Limits.Attempts, DefaultAttempts) {
		s.fail(now, code.RecordsDown)
		return
	}
	s.attempts++
	s.read()
}

// requeue makes the batch wait for another try after Backoff. An earlier write of
// it may have taken effect, which the next read finds.
func (s *Shard) requeue(now time.Time) {
	s.backOff(now)
	s.waiting = append(s.batch, s.waiting...)
	s.outcomes = append(s.settling, s.outcomes...)
	s.batch, s.settling = nil, nil
}

// fail refuses the claims of the batch, which do not run, and requeues its
// outcomes.
func (s *Shard) fail(now time.Time, c code.Code) {
	s.backOff(now)
	s.outcomes = append(s.settling, s.outcomes...)
	for _, x := range s.batch {
		if !x.dropped {
			s.refuse(x.Attempt, c)
		}
		s.undo(now, x)
	}
	s.batch, s.settling = nil, nil
}

// overBudget requeues the batch. Reading the archives for their index, which a new
// entry does once, continues as soon as the budget allows it, without a longer
// interval.
func (s *Shard) overBudget(now time.Time, call Kind) {
	s.requeue(now)
	if call != Read || s.target != targetArchive {
		s.lengthenInterval(now)
	}
}

// lengthenInterval doubles the time between commits, so that the waiting claims
// need fewer of them.
func (s *Shard) lengthenInterval(now time.Time) {
	s.interval = min(max(2*s.interval, orDefault(s.Limits.Backoff, DefaultBackoff)), orDefault(s.Limits.MaxCommitInterval, DefaultMaxCommitInterval))
	s.notBefore = now.Add(s.interval)
}

// shortenInterval shortens the time between commits by 1/intervalDivisor after
// each commit.
func (s *Shard) shortenInterval(now time.Time) {
	s.interval -= s.interval / intervalDivisor
	if s.interval < time.Millisecond {
		s.interval = 0
	}
	s.notBefore = now.Add(s.interval)
}

// intervalDivisor divides the interval into the part that each commit takes off.
const intervalDivisor = 8

func (s *Shard) backOff(now time.Time) {
	s.notBefore = now.Add(orDefault(s.Limits.Backoff, DefaultBackoff))
}
