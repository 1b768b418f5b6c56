package member

import (
	"strconv"
	"strings"
	"time"

	"agateward/internal/peer/delta"
	"agateward/internal/peer/size"
	"agateward/ward"
)

// Limits of the distribution of the configuration.
const (
	// maxBases is how many earlier revisions a delta can start from.
	maxBases = 8
	// maxDeltaBytes is the largest delta that is sent in place of a full
	// configuration.
	maxDeltaBytes = 16 << 10
	// pullTimeout is how long a peer may take to reply before another one is asked.
	pullTimeout = time.Second
	// fullConfigBytesPerSecond bounds full configurations after compression;
	// minCompressionRatio is the least ratio that is assumed for it.
	fullConfigBytesPerSecond = 2 << 10
	minCompressionRatio      = 4
)

// configSync is the configuration and the state of its distribution.
type configSync struct {
	rumor
	current *ward.Config
	bases   []*ward.Config
	deltas  map[uint64]*ward.ConfigDelta
	// received is a higher configuration that the runner has not taken yet.
	received *ward.Config
	// pullFrom is the peer that has a higher revision, pullSentAt when it was
	// asked, pullFull that the full configuration is asked for, because there was
	// no delta that could be applied.
	pullFrom   string
	pullSentAt time.Time
	pullFull   bool
	// nextFullAt is when the next full configuration may be sent.
	nextFullAt time.Time
}

// SetConfig sets the configuration in force at this entry. A revision that is not
// higher than the current one is ignored.
func (m *Member) SetConfig(now time.Time, c *ward.Config) {
	d := &m.config
	if c == nil || d.current != nil && c.Revision <= d.current.Revision {
		return
	}
	if d.current != nil {
		d.bases = append(d.bases, d.current)
		if len(d.bases) > maxBases {
			d.bases = d.bases[1:]
		}
	}
	d.current = c
	d.deltas = map[uint64]*ward.ConfigDelta{}
	m.spreadUrgently(&d.rumor)
	if d.received != nil && d.received.Revision <= c.Revision {
		d.received = nil
	}
	d.pullFrom = ""
	d.pullFull = false
	m.self.state.Revision = c.Revision
	m.self.state.Seq++
	m.prune(now)
}

// TakeConfig returns a configuration with a higher revision that a peer sent, and
// clears it. The runner offers it to the holder of the configuration, and calls
// SetConfig when it is in force.
func (m *Member) TakeConfig() *ward.Config {
	c := m.config.received
	m.config.received = nil
	return c
}

// revision returns the revision in force, 0 when there is none.
func (c *configSync) revision() uint64 {
	if c.current == nil {
		return 0
	}
	return c.current.Revision
}

// lifted reports whether a ticket has put another move in force since the
// quarantine was set.
func (c *configSync) lifted(q ward.Quarantine) bool {
	if c.current == nil {
		return false
	}
	for _, x := range c.current.Moves {
		if x.Serves == q.Serves && x.Ticket > q.Ticket {
			return true
		}
	}
	return false
}

// ended reports whether a move, set by ticket, is no longer in the configuration.
// A move that this entry does not know yet has not ended. Ticket 0 means that the
// ticket is not known.
func (c *configSync) ended(move string, ticket uint64) bool {
	if c.current == nil || move == "" {
		return false
	}
	if x, ok := findMove(c.current, move); ok {
		return ticket != 0 && x.Ticket > ticket
	}
	if ticket != 0 {
		return ticket <= c.current.Ticket
	}
	for _, base := range c.bases {
		if _, ok := findMove(base, move); ok {
			return true
		}
	}
	return false
}

// parseCountsMove returns the move and the ticket that counts belong to. Counts
// are kept by step, under MOVE@TICKET/STEP. A name without a ticket is a move.
func parseCountsMove(name string) (string, uint64) {
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

// attachConfig adds to a reply the delta or the configuration that the sender
// lacks.
func (m *Member) attachConfig(now time.Time, reply *ward.Exchange, asked ward.Exchange) {
	d := &m.config
	if asked.Revision >= d.revision() {
		return
	}
	if x := d.delta(asked.Revision); x != nil && !asked.WantConfig {
		reply.Delta = x
		return
	}
	if asked.WantConfig && !now.Before(d.nextFullAt) {
		reply.Config = d.current
		bytes := size.Config(*d.current) / minCompressionRatio
		d.nextFullAt = now.Add(time.Duration(float64(bytes) / fullConfigBytesPerSecond * float64(time.Second)))
	}
}

// delta returns the delta from a base, or nil when there is none of at most
// maxDeltaBytes.
func (c *configSync) delta(base uint64) *ward.ConfigDelta {
	if x, ok := c.deltas[base]; ok {
		return x
	}
	var found *ward.ConfigDelta
	for _, b := range c.bases {
		if b.Revision == base {
			x := delta.Make(b, c.current)
			if size.Delta(x) <= maxDeltaBytes {
				found = &x
			}
		}
	}
	if base > 0 {
		c.deltas[base] = found
	}
	return found
}

// mergeConfig takes a configuration or a delta from a message, or else notes which
// peer to ask for it. answered reports whether it is a reply.
func (m *Member) mergeConfig(now time.Time, x ward.Exchange, answered bool) {
	d := &m.config
	if x.Revision <= max(d.revision(), d.receivedRevision()) {
		return
	}
	got := x.Config
	if x.Delta != nil && d.current != nil {
		c, err := delta.Apply(d.current, *x.Delta)
		if err == nil {
			got = c
		}
	}
	if got != nil && got.Fleet == m.settings.Fleet && got.Revision > max(d.revision(), d.receivedRevision()) {
		d.received = delta.UTC(got)
		d.pullFrom = ""
		d.pullFull = false
		return
	}
	m.choosePull(now, x, answered)
}

// choosePull notes which peer to ask for a higher revision. When the reply of that
// peer brings nothing, the full configuration is asked for, and then another peer.
func (m *Member) choosePull(now time.Time, x ward.Exchange, answered bool) {
	d := &m.config
	switch {
	case answered && d.pullFrom == x.From && d.pullFull:
		d.pullFrom = ""
	case answered && d.pullFrom == x.From:
		d.pullFull = true
		d.pullSentAt = time.Time{}
	case d.pullFrom == "" || !d.pullSentAt.IsZero() && now.Sub(d.pullSentAt) > pullTimeout:
		d.pullFrom = x.From
		d.pullSentAt = time.Time{}
		d.pullFull = d.current == nil
	}
}

// receivedRevision returns the revision that waits for the runner, 0 when there
// is none.
func (c *configSync) receivedRevision() uint64 {
	if c.received == nil {
		return 0
	}
	return c.received.Revision
}
