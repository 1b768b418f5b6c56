package lending

import (
	"slices"
	"time"
)

// Lender keeps what an entry has lent to entries of other cells. Its zero value has lent
// nothing.
type Lender struct {
	// Start is higher than any sequence of an earlier process of this entry.
	Start uint64
	// Tally counts the loans.
	Tally Tally

	borrowers map[string]*borrower
	sequence  uint64
}

// SetEntries sets the entries that may borrow, for the counts by data centre.
func (l *Lender) SetEntries(list []Target) { l.Tally.setEntries(list) }

// borrower is what a lender knows of one borrower.
type borrower struct {
	process, number uint64
	heard           time.Time
	ledger          Ledger
}

// Receive applies a report of a borrower: it ends the loans that the borrower neither uses
// nor can use any more, and counts those that it uses, also if this process did not give
// them. It reports whether the report is newer than those before.
func (l *Lender) Receive(from string, r Report, now time.Time) bool {
	b := l.borrowers[from]
	if b != nil && (r.Process < b.process || r.Process == b.process && r.Number <= b.number) {
		return false
	}
	if b == nil {
		if len(l.borrowers) >= maxBorrowers {
			return false
		}
		if l.borrowers == nil {
			l.borrowers = make(map[string]*borrower)
		}
		b = &borrower{}
		l.borrowers[from] = b
	}
	restarted := r.Process > b.process
	b.process, b.number, b.heard = r.Process, r.Number, now
	used := r.Used[:min(len(r.Used), maxUsed)]
	b.ledger.Keep(func(e Entry) bool {
		switch {
		case slices.Contains(used, e.Loan):
			return true
		case restarted, slices.Contains(r.Returned, e.Sequence):
			return false
		}
		return e.Ask > r.Closed
	})
	known := make(map[Loan]bool, b.ledger.Len())
	b.ledger.Each(func(e Entry) { known[e.Loan] = true })
	for _, u := range used {
		if !known[u] {
			known[u] = true
			b.ledger.Add(Entry{Loan: u, At: now})
		}
	}
	return true
}

// Give records a loan that answers the question with the given number, of a borrower whose
// report was received.
func (l *Lender) Give(to, upstream string, ask uint64, now time.Time) Loan {
	l.sequence = max(l.sequence, l.Start) + 1
	e := Entry{Loan: Loan{Sequence: l.sequence, Upstream: upstream}, Ask: ask, At: now}
	if b := l.borrowers[to]; b != nil {
		b.ledger.Add(e)
	}
	l.Tally.of(to).Given++
	return e.Loan
}

// Room returns how many loans the borrower may still get.
func (l *Lender) Room(to string) int {
	b := l.borrowers[to]
	if b == nil {
		return 0
	}
	return maxUsed - b.ledger.Len()
}

// Lent returns the number of loans by upstream. It ends those of borrowers that were not
// heard from for SilentTime.
func (l *Lender) Lent(now time.Time) map[string]int {
	if len(l.borrowers) == 0 {
		return nil
	}
	lent := make(map[string]int)
	for name, b := range l.borrowers {
		if now.Sub(b.heard) > SilentTime {
			// What is known of the order of reports is kept for later ones only as long
			// as a report may be late.
			l.Tally.of(name).Lapsed += uint64(b.ledger.Len())
			b.ledger = Ledger{}
			if now.Sub(b.heard) > 10*SilentTime {
				delete(l.borrowers, name)
			}
			continue
		}
		b.ledger.Each(func(e Entry) { lent[e.Upstream]++ })
	}
	return lent
}
