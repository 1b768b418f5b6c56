package member

import (
	"strconv"
	"strings"
	"time"

	"agateward/internal/peer/delta"
	"agateward/internal/peer/size"
	"agateward/ward"
)

// Limits of handing on the configuration.
const (
	// basesKept is how many earlier revisions a delta can start from.
	basesKept = 8
	// maxDelta is the largest delta that is sent in place of a whole document.
	maxDelta = 16 << 10
	// pullTimeout is how long a peer may take before another one is asked.
	pullTimeout = time.Second
	// documentBytes bounds whole documents, in bytes a second after compression;
	// packing is what compression makes of them at least.
	documentBytes = 2 << 10
	packing       = 4
)

// documents is the configuration and what is needed to hand it on.
type documents struct {
	rumor
	current *ward.Config
	bases   []*ward.Config
	deltas  map[uint64]*ward.ConfigDelta
	// received is a higher configuration that the runner has not taken yet.
	received *ward.Config
	// pull is the peer that has a higher revision, pulled when it was asked, whole
	// that the delta did not fit.
	pull   string
	pulled time.Time
	whole  bool
	// free is when the next whole document may be handed out.
	free time.Time
}

// SetConfig takes the configuration in force at this entry. A lower revision
// than the one known is ignored.
func (m *Member) SetConfig(now time.Time, c *ward.Config) {
	d := &m.docs
	if c == nil || d.current != nil && c.Revision <= d.current.Revision {
		return
	}
	if d.current != nil {
		d.bases = append(d.bases, d.current)
		if len(d.bases) > basesKept {
			d.bases = d.bases[1:]
		}
	}
	d.current = c
	d.deltas = map[uint64]*ward.ConfigDelta{}
	m.hurry(&d.rumor)
	if d.received != nil && d.received.Revision <= c.Revision {
		d.received = nil
	}
	d.pull = ""
	d.whole = false
	m.self.state.Revision = c.Revision
	m.self.state.Seq++
	m.prune(now)
}

// TakeConfig returns a configuration with a higher revision that a peer handed
// on, once. The runner offers it to the holder, and calls SetConfig when it is
// in force.
func (m *Member) TakeConfig() *ward.Config {
	c := m.docs.received
	m.docs.received = nil
	return c
}

// revision returns the revision in force, 0 when there is none.
func (d *documents) revision() uint64 {
	if d.current == nil {
		return 0
	}
	return d.current.Revision
}

// lifted tells whether a ticket has put another move in force since the brake
// was set.
func (d *documents) lifted(b ward.Quarantine) bool {
	if d.current == nil {
		return false
	}
	for _, x := range d.current.Moves {
		if x.Serves == b.Serves && x.Ticket > b.Ticket {
			return true
		}
	}
	return false
}

// over tells whether a move, set by ticket, is no longer in the configuration. A
// move that this entry does not know yet is not over. Ticket 0 stands for one
// that is not known.
func (d *documents) over(move string, ticket uint64) bool {
	if d.current == nil || move == "" {
		return false
	}
	if x, ok := findMove(d.current, move); ok {
		return ticket != 0 && x.Ticket > ticket
	}
	if ticket != 0 {
		return ticket <= d.current.Ticket
	}
	for _, base := range d.bases {
		if _, ok := findMove(base, move); ok {
			return true
		}
	}
	return false
}

// runOf returns the move and the ticket that counts belong to: they are counted
// by step, under MOVE@TICKET/STEP. A name without a ticket is a move.
func runOf(name string) (string, uint64) {
	move, rest, _ := strings.Cut(name, "@")
	number, _, _ := strings.Cut(rest, "/")
	ticket, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return move, 0
	}
	return move, ticket
}

func findMove(c *ward.Config, name string) (ward.Move, bool) {
	for _, x := range c.Moves {
		if x.Name == name {
			return x, true
		}
	}
	return ward.Move{}, false
}

// attach adds what the sender of revision has not got to a reply.
func (m *Member) attach(now time.Time, reply *ward.Exchange, asked ward.Exchange) {
	d := &m.docs
	if asked.Revision >= d.revision() {
		return
	}
	if x := d.delta(asked.Revision); x != nil && !asked.WantConfig {
		reply.Delta = x
		return
	}
	if asked.WantConfig && !now.Before(d.free) {
		reply.Config = d.current
		bytes := size.Config(*d.current) / packing
		d.free = now.Add(time.Duration(float64(bytes) / documentBytes * float64(time.Second)))
	}
}

// delta returns the delta from a base, or nil when there is none that is small
// enough.
func (d *documents) delta(base uint64) *ward.ConfigDelta {
	if x, ok := d.deltas[base]; ok {
		return x
	}
	var found *ward.ConfigDelta
	for _, b := range d.bases {
		if b.Revision == base {
			x := delta.Make(b, d.current)
			if size.Delta(x) <= maxDelta {
				found = &x
			}
		}
	}
	if base > 0 {
		d.deltas[base] = found
	}
	return found
}

// takeDocument takes a configuration or a delta from a message, and otherwise
// notes whom to ask for it. answered says that the message is an answer.
func (m *Member) takeDocument(now time.Time, x ward.Exchange, answered bool) {
	d := &m.docs
	if x.Revision <= max(d.revision(), d.pending()) {
		return
	}
	got := x.Config
	if x.Delta != nil && d.current != nil {
		c, err := delta.Apply(d.current, *x.Delta)
		if err == nil {
			got = c
		}
	}
	if got != nil && got.Fleet == m.settings.Fleet && got.Revision > max(d.revision(), d.pending()) {
		d.received = delta.UTC(got)
		d.pull = ""
		d.whole = false
		return
	}
	m.choosePull(now, x, answered)
}

// choosePull notes whom to ask for a higher revision. An answer of that peer
// that brought nothing leads to a whole document, and then to another peer.
func (m *Member) choosePull(now time.Time, x ward.Exchange, answered bool) {
	d := &m.docs
	switch {
	case answered && d.pull == x.From && d.whole:
		d.pull = ""
	case answered && d.pull == x.From:
		d.whole = true
		d.pulled = time.Time{}
	case d.pull == "" || !d.pulled.IsZero() && now.Sub(d.pulled) > pullTimeout:
		d.pull = x.From
		d.pulled = time.Time{}
		d.whole = d.current == nil
	}
}

// pending returns the revision that waits for the runner.
func (d *documents) pending() uint64 {
	if d.received == nil {
		return 0
	}
	return d.received.Revision
}
