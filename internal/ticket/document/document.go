// Package document parses and validates change tickets.
//
// A ticket is JSON with comments and kebab-case keys. It carries the whole new
// state of each object that it names. All faults are reported at once, each with
// its line, its key and what is allowed, so that an operator can correct a ticket
// in one step.
//
// # Usage
//
//	t, faults := document.Parse(b)
//	if len(faults) > 0 {
//		return document.Error(code.TicketSyntax, faults)
//	}
//	faults = document.Check(t, &cfg, now)
//	if len(faults) > 0 {
//		return document.Error(code.TicketInvalid, document.Locate(b, faults))
//	}
//
// Keys of faults are paths such as "upstreams[0].address".
package document

import (
	"fmt"
	"slices"
	"strings"

	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/ward"
)

// MaxBytes bounds the size of a ticket.
const MaxBytes = 256 << 10

// Fault is one error in a ticket.
type Fault struct {
	// Line counts from 1; 0 means that the line is not known.
	Line int `json:"line,omitempty"`
	// Key is the path of the value, such as "upstreams[0].address".
	Key string `json:"key,omitempty"`
	// Text states what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns the fault in its printed form.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// Error returns one error of code c with all faults, one per line, and nil when
// there are none.
func Error(c code.Code, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return c.New("%s", strings.Join(lines, "\n"))
}

// Parse reads a ticket. It reports faults of syntax: text that is not JSON with
// comments, unknown or repeated keys, and values of a wrong type.
func Parse(b []byte) (ward.Ticket, []Fault) {
	var t ward.Ticket
	if len(b) > MaxBytes {
		return t, []Fault{{Text: fmt.Sprintf("a ticket has at most %d bytes; split it", MaxBytes)}}
	}
	_, found := strict.Decode("ticket", b, &t)
	var faults []Fault
	for _, f := range found {
		faults = append(faults, Fault{Line: f.Line, Key: f.Key, Text: f.Text})
	}
	return t, faults
}

// Locate adds the lines in the ticket b to faults that Check found, and sorts the
// faults by line.
func Locate(b []byte, faults []Fault) []Fault {
	doc, _ := strict.Decode("ticket", b, &ward.Ticket{})
	located := make([]Fault, len(faults))
	for i, f := range faults {
		f.Line = doc.Fault(f.Key, "").Line
		located[i] = f
	}
	slices.SortStableFunc(located, func(a, b Fault) int { return a.Line - b.Line })
	return located
}
