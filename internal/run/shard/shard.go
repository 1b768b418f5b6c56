// Package shard decides how the records of one shard reach the store: claims
// and outcomes that come while a write is under way go together into the next
// one.
//
// The shard is one document of the store, written by any entry through
// compare-and-swap. It is kept small: older records go into archives, documents
// that are written once and that it names. A claim whose key is not in the
// document is looked for in all of them, by an index that the entry keeps of
// each. A claim may run only after a write that was seen to succeed
// and that did not take longer than Limits.Commit. A write whose answer was lost
// is settled by reading the document again: claims carry their attempt's id, so
// that one's own are found there, and a later write of the same revision fences
// the lost one off.
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
// At most one call of the store is under way. It must be ended by its caller
// within a timeout.
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
	// Wait bounds how long a claim waits for its write to begin, Commit how long
	// it may take altogether until it may no longer run.
	Wait   time.Duration
	Commit time.Duration
	// Linger is how long an outcome may wait for a claim to be written with.
	Linger time.Duration
	// Backoff is the wait after a call that failed, and the least one after a call
	// over budget; MostPace bounds how far that one grows.
	Backoff           time.Duration
	MaxCommitInterval time.Duration
	// ArchiveThreshold is the size in bytes of the document's records from which on, at the
	// latest at twice of it, most go into an archive. Bytes bounds the document where that can't be done. Claims
	// and Outcomes bound what waits here.
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
	// Read asks to get the shard's document, Write to write Value over Revision.
	Read Kind = iota + 1
	Write
	// Reply gives the verdict on a claim.
	Reply
	// Wake asks for a Tick at At.
	Wake
)

// Shard is the state of one shard at one entry. Its zero value is ready to use.
type Shard struct {
	// Name starts the names of the archives written here. It is unique among the
	// runs of entries; one that is not costs a write more for each archive.
	Name   string
	Limits Limits
	// Stats counts what the shard did.
	Stats Stats

	waiting  []claim
	outcomes []outcome
	// batch and settling are what the call under way is for.
	batch    []claim
	settling []outcome
	verdicts []record.Verdict
	call     Kind
	target   target
	attempts int
	archives archives
	// notBefore delays the next call after a failure, pace is the time between
	// commits that the store's budget was found to allow.
	notBefore time.Time
	pace      time.Duration
	wakeAt    time.Time
	actions   []Action
}

type claim struct {
	record.Claim
	since time.Time
	// tried says that a write with the claim was sent, dropped that nobody waits
	// for it any more.
	tried   bool
	dropped bool
	// look says that the key is only looked for.
	look bool
}

type outcome struct {
	record.Outcome
	since time.Time
}

// Claim asks for a verdict on c, which comes as a Reply.
func (s *Shard) Claim(now time.Time, c record.Claim) []Action { return s.add(now, claim{Claim: c}) }

// Lookup asks what is known of c's key, which comes as a Reply. Nothing is written
// for it, and it never gives the right to run.
func (s *Shard) Lookup(now time.Time, c record.Claim) []Action {
	return s.add(now, claim{Claim: c, look: true})
}

func (s *Shard) add(now time.Time, c claim) []Action {
	if len(s.waiting) >= either(s.Limits.Claims, DefaultClaims) {
		s.refuse(c.Attempt, code.RecordsBusy)
		return s.take()
	}
	c.since = now
	s.waiting = append(s.waiting, c)
	return s.proceed(now)
}

// Settle has an outcome written. When too many wait, the oldest is dropped: its
// key then stays unsettled, and never runs again.
func (s *Shard) Settle(now time.Time, o record.Outcome) []Action {
	if len(s.outcomes) >= either(s.Limits.Outcomes, DefaultOutcomes) {
		s.outcomes = s.outcomes[1:]
	}
	s.outcomes = append(s.outcomes, outcome{Outcome: o, since: now})
	return s.proceed(now)
}

// Cancel tells that nobody waits for a claim any more: it does not run.
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

// Tick is called at the time that a Wake named. A tick for a later Wake that has
// been overtaken is harmless.
func (s *Shard) Tick(now time.Time) []Action {
	if !now.Before(s.wakeAt) {
		s.wakeAt = time.Time{}
	}
	return s.proceed(now)
}

// Unsettled returns the number of outcomes that are not yet written.
func (s *Shard) Unsettled() int { return len(s.outcomes) + len(s.settling) }

// Flush makes the outcomes that wait due at once.
func (s *Shard) Flush(now time.Time) []Action {
	for i := range s.outcomes {
		s.outcomes[i].since = time.Time{}
	}
	return s.proceed(now)
}

// proceed begins a call where one is due.
func (s *Shard) proceed(now time.Time) []Action {
	s.refuseOverdue(now)
	if s.call != 0 {
		return s.take()
	}
	due, ok := s.due()
	if !ok {
		s.deleteOne()
		return s.take()
	}
	if due.Before(s.notBefore) {
		due = s.notBefore
	}
	if now.Before(due) {
		s.wake(due)
		return s.take()
	}
	s.batch, s.waiting = s.waiting, nil
	s.settling, s.outcomes = s.outcomes, nil
	s.attempts = 0
	s.archives.begin()
	s.read()
	return s.take()
}

// due is when the next call is due: at once for a claim, within Linger for an
// outcome.
func (s *Shard) due() (time.Time, bool) {
	if len(s.waiting) > 0 {
		return time.Time{}, true
	}
	if len(s.outcomes) > 0 {
		return s.outcomes[0].since.Add(either(s.Limits.Linger, DefaultLinger)), true
	}
	return time.Time{}, false
}

// refuseOverdue refuses claims that waited too long.
func (s *Shard) refuseOverdue(now time.Time) {
	wait := either(s.Limits.Wait, DefaultWait)
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
	s.target = onBook
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

func (s *Shard) take() []Action {
	a := s.actions
	s.actions = nil
	return a
}

func either[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
