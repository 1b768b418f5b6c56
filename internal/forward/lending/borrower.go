package lending

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Borrower decides whom an entry asks for slots, and keeps the loans that its requests use.
// Its zero value has no one to ask.
type Borrower struct {
	// Start is higher than in earlier processes of this entry.
	Start uint64
	// Tally counts the questions and loans.
	Tally Tally

	dataCentre string
	targets    []Target
	lenders    map[string]*lender
	number     uint64
	// asked is when the last round was sent, lentLocally when the last loan of the own data
	// centre came.
	asked, lentLocally time.Time
}

// lender is what a borrower knows of one lender.
type lender struct {
	// open holds when each question was sent whose loans may still be used.
	open map[uint64]time.Time
	// closed is the number of the last question before those.
	closed uint64
	// seen holds the sequences of the loans that came for open questions, by question.
	seen     map[uint64][]uint64
	used     map[uint64]Loan
	returned []uint64
	// reportDue is true if the lender is to get a report at once.
	reportDue bool
	// repeat is true if the last such report, which may be lost, is to be repeated.
	repeat         bool
	lent, reported time.Time
}

// Question is a report with which a lender is asked for slots.
type Question struct {
	To string
	// Local is true if the lender is in the data centre of the borrower. Part is the number
	// of entries of this kind in the round, among which the demand is divided.
	Local bool
	Part  int
	Report
}

// SetTargets sets the data centre of this entry, and replaces the entries that may be asked.
func (b *Borrower) SetTargets(dataCentre string, list []Target) {
	b.dataCentre, b.targets = dataCentre, slices.Clone(list)
	b.Tally.setEntries(list)
}

// Ask returns the questions of a round: at most MaxTargets, at most every AskInterval.
// local is true if requests wait that an entry of the own data centre may be asked for,
// remote if any of them is worth a question to another one. Those are asked once the own
// data centre has lent nothing since the round before.
func (b *Borrower) Ask(local, remote bool, now time.Time, r *rand.Rand) []Question {
	if !local || !b.MayAsk(now) {
		return nil
	}
	near, far := b.order(true, now, r), b.order(false, now, r)
	switch {
	case !remote:
		far = nil
	case len(near) == 0:
	case b.asked.IsZero() || now.Sub(b.asked) > stayTime || !b.lentLocally.Before(b.asked):
		far = nil
	default:
		near = near[:1]
	}
	near = near[:min(len(near), MaxTargets)]
	far = far[:min(len(far), MaxTargets-len(near))]
	if len(near)+len(far) == 0 {
		return nil
	}
	b.asked = now
	var out []Question
	for _, list := range [][]Target{near, far} {
		for _, target := range list {
			l := b.lender(target.Name)
			q := Question{To: target.Name, Local: target.DataCentre == b.dataCentre, Part: len(list), Report: b.report(l, now)}
			l.open[q.Number] = now
			b.Tally.of(target.Name).Asked++
			out = append(out, q)
		}
	}
	return out
}

// order returns the targets of the own or of other data centres in random order, the one
// that lent last before them.
func (b *Borrower) order(local bool, now time.Time, r *rand.Rand) []Target {
	var list []Target
	for _, t := range b.targets {
		if (t.DataCentre == b.dataCentre) == local {
			list = append(list, t)
		}
	}
	r.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	first, at := 0, time.Time{}
	for i, t := range list {
		if l := b.lenders[t.Name]; l != nil && now.Sub(l.lent) < stayTime && l.lent.After(at) {
			first, at = i, l.lent
		}
	}
	if len(list) > 0 {
		list[0], list[first] = list[first], list[0]
	}
	return list
}

func (b *Borrower) lender(name string) *lender {
	l := b.lenders[name]
	if l == nil {
		if b.lenders == nil {
			b.lenders = make(map[string]*lender)
		}
		// It was asked for nothing that may still be used.
		l = &lender{closed: b.number, open: make(map[uint64]time.Time), seen: make(map[uint64][]uint64), used: make(map[uint64]Loan)}
		b.lenders[name] = l
	}
	return l
}

// report returns the next report to a lender.
func (b *Borrower) report(l *lender, now time.Time) Report {
	b.number = max(b.number, b.Start) + 1
	for n, at := range l.open {
		if now.Sub(at) >= UseTime {
			delete(l.open, n)
			delete(l.seen, n)
			l.closed = max(l.closed, n)
		}
	}
	r := Report{Number: b.number, Process: b.Start, Closed: l.closed, Returned: l.returned}
	for _, n := range slices.Sorted(maps.Keys(l.used)) {
		r.Used = append(r.Used, l.used[n])
	}
	l.returned, l.reportDue, l.reported = nil, false, now
	return r
}

// Accept reports whether a request may begin with a loan that a lender gave for the question
// with the given number. A loan is accepted once; a request that does not use it calls
// Return.
func (b *Borrower) Accept(from string, ask uint64, n Loan, now time.Time) bool {
	l := b.lenders[from]
	if l == nil {
		return false
	}
	at, ok := l.open[ask]
	if !ok || slices.Contains(l.seen[ask], n.Sequence) {
		return false
	}
	if now.Sub(at) >= UseTime || len(l.used) >= maxUsed {
		// A later report closes the question.
		b.Tally.of(from).Unused++
		return false
	}
	l.seen[ask] = append(l.seen[ask], n.Sequence)
	return true
}

// Begin records that a request uses an accepted loan.
func (b *Borrower) Begin(from string, n Loan, now time.Time) {
	l := b.lender(from)
	l.used[n.Sequence], l.lent = n, now
	b.Tally.of(from).Used++
	if slices.Contains(b.targets, Target{Name: from, DataCentre: b.dataCentre}) {
		b.lentLocally = now
	}
}

// Return gives an accepted loan back that no request uses.
func (b *Borrower) Return(from string, n Loan) {
	l := b.lender(from)
	l.returned, l.reportDue = append(l.returned, n.Sequence), true
	b.Tally.of(from).Unused++
}

// End records that the request with a loan has ended.
func (b *Borrower) End(from string, n Loan) {
	l := b.lender(from)
	delete(l.used, n.Sequence)
	// The question may still be open, so that not naming the loan would not end it.
	l.returned, l.reportDue = append(l.returned, n.Sequence), true
}

// Reports returns the reports that are due: at once after a loan ended or was returned, and
// every ReportInterval while loans are used or a question is open, and once more after that.
func (b *Borrower) Reports(now time.Time) []Question {
	var out []Question
	for _, name := range slices.Sorted(maps.Keys(b.lenders)) {
		l := b.lenders[name]
		active := len(l.used) > 0 || len(l.open) > 0 || l.repeat
		switch {
		case l.reportDue:
			l.repeat = true
		case active && now.Sub(l.reported) >= ReportInterval:
			l.repeat = false
		default:
			if !active && now.Sub(l.lent) > stayTime {
				delete(b.lenders, name)
			}
			continue
		}
		out = append(out, Question{To: name, Report: b.report(l, now)})
	}
	return out
}

// MayAsk reports whether a round may be sent now.
func (b *Borrower) MayAsk(now time.Time) bool {
	return len(b.targets) > 0 && (b.asked.IsZero() || now.Sub(b.asked) >= AskInterval)
}
