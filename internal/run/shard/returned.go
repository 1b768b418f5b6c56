package shard

import (
	"time"

	"agateward/internal/run/record"
	"agateward/ward"
)

const (
	// lossWindow is how long an entry keeps its claims and outcomes to write them again
	// if the store returns from an older copy. It is longer than such a copy is old.
	lossWindow = time.Minute
	// maxRecent bounds the keys that are kept for it. Beyond it those of the youngest
	// claims are not kept.
	maxRecent = 8192
)

// recent holds what this entry has written into the document within lossWindow.
type recent struct {
	// seen is the revision at which the document last held all of it.
	seen uint64
	keys map[record.Key]recentKey
	// pruned is when old keys were last dropped.
	pruned time.Time
}

// recentKey is a claim that may run, or its outcome without the answer.
type recentKey struct {
	outcome record.Outcome
	settled bool
	at      time.Time
}

// note adds what a batch has written at a revision of the document.
func (r *recent) note(now time.Time, revision uint64, claims []record.Claim, settled []outcome) {
	if r.keys == nil {
		r.keys = make(map[record.Key]recentKey)
	}
	r.seen = revision
	for _, o := range settled {
		if known, ok := r.keys[o.Claim.Key]; ok && known.outcome.Claim.Attempt != o.Claim.Attempt {
			continue // of an attempt that was undone before
		}
		r.put(recentKey{outcome: record.Outcome{Claim: o.Claim, State: o.State, Status: o.Status}, settled: true, at: now})
	}
	for _, c := range claims {
		r.put(recentKey{outcome: record.Outcome{Claim: c}, at: now})
	}
	if now.Sub(r.pruned) < lossWindow/4 {
		return
	}
	r.pruned = now
	for k, x := range r.keys {
		if now.Sub(x.at) > lossWindow {
			delete(r.keys, k)
		}
	}
}

func (r *recent) put(x recentKey) {
	k := x.outcome.Claim.Key
	if _, known := r.keys[k]; known || len(r.keys) < maxRecent {
		r.keys[k] = x
	}
}

// lost reports whether a document at a revision may lack what this entry has written:
// it is of a later era of the store, or gone.
func (r *recent) lost(revision uint64) bool {
	return r.seen > 0 && (revision == 0 || ward.LaterEra(revision, r.seen))
}

// dropLostArchive drops an archive that was written before the store returned and that
// no document refers to.
func (s *Shard) dropLostArchive() {
	if p := s.archives.pending; p != nil && p.archive.Revision > 0 && !ward.LaterEra(p.archive.Revision, s.recent.seen) {
		s.archives.pending = nil
	}
}

// restore writes the claims and outcomes again that the document lacks, and reports
// whether it changed. The answers of outcomes are not kept.
func (r *recent) restore(now time.Time, doc *record.Document) bool {
	changed := false
	for _, x := range r.keys {
		if x.settled {
			changed = doc.Settle(now, x.outcome) || changed
		} else {
			changed = doc.Begin(now, x.outcome.Claim).New || changed
		}
	}
	return changed
}
