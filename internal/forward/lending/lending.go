// Package lending decides whom an entry asks for slots of upstreams that belong to other
// cells, which loans its requests use, and how long what an entry has lent counts as used.
//
// # Usage
//
// The entry whose requests wait:
//
//	var b lending.Borrower
//	b.SetTargets("mid-a", targets)
//	for _, q := range b.Ask(needLocal, needRemote, now, rnd) { send(q) }
//	if b.Accept("entry-7", answer, loan, now) { begin(request); b.Begin("entry-7", loan, now) }
//	b.End("entry-7", loan)
//	for _, r := range b.Reports(now) { send(r) }
//
// The entry that lends:
//
//	var l lending.Lender
//	if l.Receive("entry-2", report, now) { ... }
//	loan := l.Give("entry-2", "upstream-3", ask, now)
//	for upstream, n := range l.Lent(now) { ... }
//
// One loan is one request. The lender counts a loan as used until a report of the borrower
// shows that it ended, or that it can't be used any more. A message may be lost, late,
// doubled or out of order: it then costs an idle slot for a time, and no request too many.
package lending

import "time"

// Timing of loans.
const (
	// AskInterval is the least time between two rounds of questions of one entry.
	AskInterval = 60 * time.Millisecond
	// UseTime is how long after the question a loan may be used. The borrower counts it
	// from the time at which it asked, so that the lender never counts less.
	UseTime = 200 * time.Millisecond
	// ReportInterval is the interval of the reports to a lender while a loan is used or a
	// question is open.
	ReportInterval = 250 * time.Millisecond
	// SilentTime is the time without a report after which the loans of a borrower count as
	// ended.
	SilentTime = 1500 * time.Millisecond
	// stayTime is how long after a loan the same lender is asked first.
	stayTime = time.Second
)

// Bounds of messages and of what one entry keeps.
const (
	// MaxTargets is the number of entries that are asked in one round.
	MaxTargets = 3
	// MaxLoans bounds the loans in one answer, MaxRows the rows of demand in one question.
	MaxLoans = 8
	MaxRows  = 16
	// maxUsed bounds the loans of one lender that a borrower uses at a time, so that a
	// report names all.
	maxUsed = 64
	// maxBorrowers bounds the borrowers that a lender keeps.
	maxBorrowers = 1024
)

// Loan is a slot of an upstream for one request.
type Loan struct {
	// Sequence numbers the loans of a lender.
	Sequence uint64 `msgpack:"s"`
	// Upstream is the ID of the upstream.
	Upstream string `msgpack:"u"`
}

// Report is what a borrower tells a lender of the loans that it has from it.
type Report struct {
	// Number grows with each report of the borrower, also over restarts.
	Number uint64 `msgpack:"n"`
	// Process distinguishes two processes of the borrower; it grows.
	Process uint64 `msgpack:"p"`
	// Closed is the number of the last question whose loans can't be used any more unless
	// Used names them.
	Closed uint64 `msgpack:"c"`
	// Used lists the loans that requests use, Returned the sequences of loans that have
	// ended since the report before.
	Used     []Loan   `msgpack:"u,omitempty"`
	Returned []uint64 `msgpack:"r,omitempty"`
}

// Target is an entry of another cell that may be asked.
type Target struct {
	Name, DataCentre string
}

// Counts counts questions and loans since the start of an entry.
type Counts struct {
	// Asked counts the questions sent, Used the loans that requests used, Unused those that
	// no request needed or that came too late.
	Asked, Used, Unused uint64
	// Given counts the loans given to others, Lapsed those that ended as the borrower was
	// not heard.
	Given, Lapsed uint64
}

// Tally holds the counts by the data centre of the other entry, "" if that is not known.
// Its zero value has counted nothing.
type Tally struct {
	dataCentres map[string]string
	counts      map[string]*Counts
}

// setEntries sets the data centres of the entries of other cells.
func (t *Tally) setEntries(list []Target) {
	t.dataCentres = make(map[string]string, len(list))
	for _, e := range list {
		t.dataCentres[e.Name] = e.DataCentre
	}
}

// of returns the counts for an entry.
func (t *Tally) of(name string) *Counts {
	dc := t.dataCentres[name]
	c := t.counts[dc]
	if c == nil {
		if t.counts == nil {
			t.counts = make(map[string]*Counts)
		}
		c = &Counts{}
		t.counts[dc] = c
	}
	return c
}

// Of returns the counts for a data centre.
func (t *Tally) Of(dataCentre string) Counts {
	if c := t.counts[dataCentre]; c != nil {
		return *c
	}
	return Counts{}
}
