// Package shard writes the idempotency records of one shard to the store. Claims
// and outcomes that arrive while a write is in progress are batched into the next
// one.
//
// The shard is one document of the store, written by any entry through
// compare-and-swap. It is kept small: older records move to archives, documents
// that are written once and that the shard's document refers to. A key that is not
// in the document is looked up in all archives, by an index of each that the entry
// keeps.
//
// A claim may run only after a write that was seen to succeed and that took no
// longer than Limits.Commit. When the answer to a write was lost, the document is
// read again: claims carry the id of their attempt and are found in it if the
// write took effect. If it did not, the next write over the same revision keeps
// the lost one from taking effect later.
//
// # Usage
//
//	s := &shard.Shard{}
//	actions := s.Claim(now, claim)
//	for _, a := range actions {
//		switch a.Kind {
//		case shard.Read:  // Get, then s.Done(now, shard.Result{Record: rec, Err: err})
//		case shard.Write: // CompareAndSwap, then s.Done; no Value deletes
//		case shard.Reply: // a.Verdict on a.Attempt
//		case shard.Wake:  // s.Tick at a.At
//		}
//	}
//
// At most one call of the store is in progress. The caller must end it within a
// timeout.
package shard

import (
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/record"
)

// Limits bounds a shard. A zero field takes its default.
type Limits struct {
	// Keep is how long a record is kept.
	Keep time.Duration
	// Wait bounds how long a claim waits for its write to begin. Commit bounds the
	// whole time of a claim: after it, the claim must not run.
	Wait   time.Duration
	Commit time.Duration
	// Linger is how long an outcome may wait to be written together with a claim.
	Linger time.Duration
	// Backoff is the wait after a failed call, and the shortest interval between
	// commits after a call over budget. MaxCommitInterval bounds that interval.
	Backoff           time.Duration
	MaxCommitInterval time.Duration
	// ArchiveThreshold is the size in bytes of the document's records above which
	// most of them move to an archive, at the latest at twice that size. Bytes
	// bounds the document when they can't. Claims and Outcomes bound the queues.
	ArchiveThreshold int
	Bytes            int
	Claims           int
	Outcomes         int
	// Attempts bounds the writes of one batch that meet a conflict.
	Attempts int
}

// Defaults of Limits.
const (
	DefaultKeep              = 24 * time.Hour
	DefaultWait              = time.Second
	DefaultCommit            = 3 * time.Second
	DefaultLinger            = 250 * time.Millisecond
	DefaultBackoff           = 25 * time.Millisecond
	DefaultMaxCommitInterval = 640 * time.Millisecond
	DefaultArchiveThreshold  = 32 << 10
	DefaultBytes             = 900 << 10
	DefaultClaims            = 1024
	DefaultOutcomes          = 1024
	DefaultAttempts          = 8
)

// Kinds of action.
const (
	// Read asks for a read of the shard's document or an archive, Write for a write
	// of Value over Revision.
	Read Kind = iota + 1
	Write
	// Reply gives the verdict on a claim.
	Reply
	// Wake asks for a Tick at At.
	Wake
)

// Shard is the state of one shard at one entry. Its zero value is ready to use.
type Shard struct {
	// Name is the prefix of the names of the archives written here. It must be
	// unique among the runs of entries; a duplicate costs one more write for each
	// archive.
	Name   string
	Limits Limits
	// Stats counts the calls of the store.
	Stats Stats

	waiting  []claim
	outcomes []outcome
	// batch and settling are the claims and outcomes of the call in progress.
	batch    []claim
	settling []outcome
	verdicts []record.Verdict
	call     Kind
	target   target
	attempts int
	archives archives
	recent   recent
	// notBefore delays the next call after a failure. interval is the time between
	// commits that the store's budget was found to allow.
	notBefore time.Time
	interval  time.Duration
	wakeAt    time.Time
	actions   []Action
}

type claim struct {
	record.Claim
	since time.Time
	// sent reports whether a write with the claim was sent, dropped whether nobody
	// waits for the claim any more.
	sent    bool
	dropped bool
	// lookup reports whether the claim is only a lookup of the key.
	lookup bool
}

type outcome struct {
	record.Outcome
	since time.Time
}

// Claim asks for a verdict on c, which is given as a Reply.
func (s *Shard) Claim(now time.Time, c record.Claim) []Action { return s.add(now, claim{Claim: c}) }

// Lookup asks for what is known of c's key, which is given as a Reply. It writes
// nothing and never gives the right to run.
func (s *Shard) Lookup(now time.Time, c record.Claim) []Action {
	return s.add(now, claim{Claim: c, lookup: true})
}

func (s *Shard) add(now time.Time, c claim) []Action {
	if len(s.waiting) >= orDefault(s.Limits.Claims, DefaultClaims) {
		s.refuse(c.Attempt, code.RecordsBusy)
		return s.takeActions()
	}
	c.since = now
	s.waiting = append(s.waiting, c)
	return s.proceed(now)
}

// Settle queues an outcome for writing. When the queue is full, the oldest outcome
// is dropped: its key then stays unsettled and never runs again.
func (s *Shard) Settle(now time.Time, o record.Outcome) []Action {
	if len(s.outcomes) >= orDefault(s.Limits.Outcomes, DefaultOutcomes) {
		s.outcomes = s.outcomes[1:]
	}
	s.outcomes = append(s.outcomes, outcome{Outcome: o, since: now})
	return s.proceed(now)
}

// Cancel cancels a claim that nobody waits for any more; it does not run.
func (s *Shard) Cancel(now time.Time, attempt string) []Action {
	for i, c := range s.waiting {
		if c.Attempt == attempt {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.undo(now, c)
			return s.proceed(now)
		}
	}
	for i := range s.batch {
		if s.batch[i].Attempt == attempt {
			s.batch[i].dropped = true
		}
	}
	return s.proceed(now)
}

// Tick is called at the time of a Wake. A tick for a Wake that was replaced by one
// at an earlier time is harmless.
func (s *Shard) Tick(now time.Time) []Action {
	if !now.Before(s.wakeAt) {
		s.wakeAt = time.Time{}
	}
	return s.proceed(now)
}

// Unsettled returns the number of outcomes that are not yet written.
func (s *Shard) Unsettled() int { return len(s.outcomes) + len(s.settling) }

// Flush makes the queued outcomes due at once.
func (s *Shard) Flush(now time.Time) []Action {
	for i := range s.outcomes {
		s.outcomes[i].since = time.Time{}
	}
	return s.proceed(now)
}

// proceed begins a call of the store when one is due.
func (s *Shard) proceed(now time.Time) []Action {
	s.refuseOverdue(now)
	if s.call != 0 {
		return s.takeActions()
	}
	due, ok := s.due()
	if !ok {
		s.deleteGarbage()
		return s.takeActions()
	}
	if due.Before(s.notBefore) {
		due = s.notBefore
	}
	if now.Before(due) {
		s.wake(due)
		return s.takeActions()
	}
	s.batch, s.waiting = s.waiting, nil
	s.settling, s.outcomes = s.outcomes, nil
	s.attempts = 0
	s.archives.reset()
	s.read()
	return s.takeActions()
}

// due returns when the next call is due: at once for a claim, within Linger for an
// outcome.
func (s *Shard) due() (time.Time, bool) {
	if len(s.waiting) > 0 {
		return time.Time{}, true
	}
	if len(s.outcomes) > 0 {
		return s.outcomes[0].since.Add(orDefault(s.Limits.Linger, DefaultLinger)), true
	}
	return time.Time{}, false
}

// refuseOverdue refuses claims that have waited too long.
func (s *Shard) refuseOverdue(now time.Time) {
	wait := orDefault(s.Limits.Wait, DefaultWait)
	for len(s.waiting) > 0 && now.Sub(s.waiting[0].since) >= wait {
		s.refuse(s.waiting[0].Attempt, code.RecordsBusy)
		s.undo(now, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	if len(s.waiting) > 0 {
		s.wake(s.waiting[0].since.Add(wait))
	}
}

func (s *Shard) read() {
	s.call = Read
	s.target = targetDocument
	s.Stats.Reads++
	s.actions = append(s.actions, Action{Kind: Read})
}

func (s *Shard) refuse(attempt string, c code.Code) {
	s.actions = append(s.actions, Action{Kind: Reply, Attempt: attempt, Verdict: record.Verdict{Code: c}})
}

func (s *Shard) wake(at time.Time) {
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	s.actions = append(s.actions, Action{Kind: Wake, At: at})
}

func (s *Shard) takeActions() []Action {
	a := s.actions
	s.actions = nil
	return a
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
