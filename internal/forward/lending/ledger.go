package lending

import "time"

// Entry is a lent slot that its owner counts as used.
type Entry struct {
	Loan
	// Ask is the number of the question that it answers, 0 for none.
	Ask uint64
	// At is when it was lent.
	At time.Time
}

// Ledger holds the slots that an owner has lent to one entry and that count as used. The
// zero value is empty.
type Ledger struct {
	entries []Entry
}

// Add records a lent slot.
func (l *Ledger) Add(e Entry) { l.entries = append(l.entries, e) }

// Len returns the number of slots that count as lent.
func (l *Ledger) Len() int { return len(l.entries) }

// Keep drops the slots for which held returns false.
func (l *Ledger) Keep(held func(e Entry) bool) {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if held(e) {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

// Each calls f for each slot that counts as lent.
func (l *Ledger) Each(f func(e Entry)) {
	for _, e := range l.entries {
		f(e)
	}
}
