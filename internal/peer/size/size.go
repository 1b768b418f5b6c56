// Package size provides upper bounds of the encoded size of what entries send
// each other.
//
// # Usage
//
//	if size.Beat(b) <= left { ... }
//	n := size.Exchange(m)
//
// A sender that has a budget of bytes must know what an item costs before it
// puts it into a message, and encoding every candidate would cost more than
// sending it. The bounds follow from the encoding of package wire (MessagePack,
// structs as arrays, shortest integers); a test there compares the two.
package size

import "agateward/ward"

// Largest encodings of values of fixed kinds, in bytes.
const (
	head = 3
	flag = 1
	when = 15
	// Frame is what one message costs beside its items: the rpc header, the
	// exchange's own fields without strings, and list heads.
	Frame = 88
)

// Exchange bounds a whole message.
func Exchange(m ward.Exchange) int {
	n := Frame + text(m.Fleet) + text(m.From) + text(m.To) + head + 5*len(m.Buckets)
	n += sum(m.States, State) + sum(m.Heartbeats, Heartbeat) + sum(m.Quarantines, Quarantine) + sum(m.Counts, Counts) + sum(m.Moves, Move)
	if m.Config != nil {
		n += Config(*m.Config)
	}
	if m.Delta != nil {
		n += Delta(*m.Delta)
	}
	return n
}

// State bounds one PeerState.
func State(s ward.PeerState) int {
	n := head + text(s.Name) + text(s.Address) + text(s.Operator) + text(s.DataCentre)
	n += number(uint64(s.Incarnation)) + number(s.Seq) + flag + number(s.Revision) + 2
	n += sum(s.Floors, Floor) + sum(s.Draining, text)
	return n + waiting(s.Waiting) + 3*head + sum(s.Demand, Demand)
}

// Floor bounds one ServesFloor.
func Floor(f ward.ServesFloor) int { return head + text(f.Serves) + 2 + waiting(f.Waiting) }

// Demand bounds one Demand.
func Demand(d ward.Demand) int {
	return head + text(d.Upstream) + signed(d.InFlight) + signed(d.Prefill) + signed(d.Waiting) + signed(d.Rate)
}

// Heartbeat bounds one Heartbeat.
func Heartbeat(b ward.Heartbeat) int {
	n := 1 + 5 + number(b.Seq) + 2*flag + number(b.Revision) + 2 + waiting(b.Waiting)
	return n + 2*head + sum(b.Floors, Floor) + sum(b.Draining, text)
}

// Quarantine bounds one Quarantine.
func Quarantine(b ward.Quarantine) int {
	return head + text(b.Serves) + text(b.Version) + text(b.Route) + text(b.Move) + number(b.Ticket) + text(b.Reason) + text(b.By) + when
}

// Counts bounds one Counts.
func Counts(c ward.Counts) int {
	n := head + text(c.Serves) + text(c.Version) + text(c.Route) + text(c.Move) + text(c.Entry)
	n += number(uint64(c.Incarnation)) + number(c.Succeeded) + number(c.Failed) + head
	for _, x := range c.Latency {
		n += number(x)
	}
	return n
}

// Move bounds one MoveState without untold events.
func Move(m ward.MoveState) int {
	n := head + text(m.Move) + number(m.Ticket) + number(m.Revision) + text(m.State) + signed(m.Step) + 9
	return n + text(m.Holder) + number(m.Fence) + when + text(m.Reason) + head
}

// Config bounds a whole configuration.
func Config(c ward.Config) int {
	n := head + text(c.Fleet) + number(c.Revision) + number(c.Ticket) + text(c.Attempt) + when + 4*head
	return n + sum(c.Upstreams, upstream) + sum(c.Routes, route) + sum(c.Teams, team) + sum(c.Moves, move)
}

// Delta bounds a ConfigDelta.
func Delta(d ward.ConfigDelta) int {
	n := head + 9 + 9 + Config(d.Config) + 4*head
	return n + sum(d.UpstreamsGone, text) + sum(d.RoutesGone, text) + sum(d.TeamsGone, text) + sum(d.MovesGone, text)
}

func upstream(u ward.Upstream) int {
	n := head + text(u.Name) + 9 + text(string(u.Kind)) + text(u.Serves) + text(u.Version)
	return n + text(u.Address) + text(u.DataCentre) + 9 + 4*flag
}

func route(r ward.Route) int {
	n := head + text(r.Name) + 9 + text(string(r.Kind)) + text(r.Serves) + text(r.Version)
	return n + head + sum(r.Methods, text) + text(r.PathPrefix) + 4 + 9 + 9 + flag + 9 + flag
}

func team(t ward.Team) int {
	return head + text(t.Name) + 9 + 9 + 9 + 9 + 2 + text(t.KeyHash) + flag
}

func move(m ward.Move) int {
	n := head + text(m.Name) + 9 + text(m.Serves) + head + sum(m.Routes, text) + text(m.From) + text(m.To)
	return n + 2*when + head + sum(m.Load, text) + 2*flag
}

func waiting(w [ward.TierCount]int) int {
	n := 1
	for _, x := range w {
		n += signed(x)
	}
	return n
}

func sum[T any](list []T, size func(T) int) int {
	n := 0
	for _, x := range list {
		n += size(x)
	}
	return n
}

func text(s string) int {
	if len(s) < 32 {
		return 1 + len(s)
	}
	return head + len(s)
}

// number returns the length of the shortest encoding.
func number(n uint64) int {
	switch {
	case n < 1<<7:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

func signed(n int) int {
	if n < 0 {
		return 9
	}
	return number(uint64(n))
}
