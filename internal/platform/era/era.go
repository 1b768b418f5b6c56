// Package era tracks the era of a store, which rises by one each time the store returns
// from an older copy of itself and gives revisions out again.
//
// # Usage
//
//	var t era.Tracker
//	e, err := t.Note(res.Header.Get(era.Field)) // of each answer
//	rec.Revision = era.Stamp(rec.Revision, e)
//	own, ok := t.Own(rec.Revision)                // before the next call
package era

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"agateward/ward"
)

// Field is the header field with the era in the answers of the stand-in's protocol.
const Field = "Agateward-Store-Era"

// Tracker knows the highest era that a store has stated. Its zero value knows none.
type Tracker struct{ highest atomic.Uint64 }

// Parse returns the era that an answer states. A store that states none has era 0
// throughout.
func Parse(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	e, err := strconv.ParseUint(text, 10, ward.EraBits)
	if err != nil {
		return 0, fmt.Errorf("%q is not an era", text)
	}
	return e, nil
}

// Note takes the era that an answer states. It fails if the answer must not be acted
// on: if a later era is known, as its data may be gone.
func (t *Tracker) Note(text string) (uint64, error) {
	e, err := Parse(text)
	if err != nil {
		return 0, err
	}
	for {
		known := t.Current()
		if e < known {
			return 0, fmt.Errorf("answer of era %d after one of era %d", e, known)
		}
		if e == known || t.highest.CompareAndSwap(known, e) {
			return e, nil
		}
	}
}

// Current returns the highest era that an answer has stated.
func (t *Tracker) Current() uint64 { return t.highest.Load() }

// Own returns the store's own revision for a stamped one, and whether it is of the era
// that the store is in. Revision 0, an absent key, is of every era.
func (t *Tracker) Own(stamped uint64) (uint64, bool) {
	e, revision := ward.SplitRevision(stamped)
	return revision, stamped == 0 || e == t.Current()
}

// Stamp returns a revision of the store in an era; 0 stays 0.
func Stamp(revision, era uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return ward.StampRevision(era, revision)
}
