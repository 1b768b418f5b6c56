// Package size computes upper bounds of the encoded size of the messages between
// entries.
//
// # Usage
//
//	if size.Heartbeat(b) <= left { ... }
//	n := size.Exchange(m)
//
// A sender with a budget of bytes must know the cost of an item before it adds it
// to a message, and encoding every candidate would cost more than sending it. The
// bounds follow from the encoding of package codec (MessagePack, structs as
// arrays, shortest integers); a test of package wire compares the two.
package size

import "agateward/ward"

// Largest encodings of values of fixed types, in bytes.
const (
	headBytes = 3
	boolBytes = 1
	timeBytes = 15
	// Frame is the size of one message without its items: the RPC header, the
	// exchange's own fields without strings, and list heads.
	Frame = 88
)

// Exchange returns the bound of a whole message.
func Exchange(m ward.Exchange) int {
	n := Frame + stringBytes(m.Fleet) + stringBytes(m.From) + stringBytes(m.To) + headBytes + 5*len(m.Buckets)
	n += sum(m.States, State) + sum(m.Heartbeats, Heartbeat) + sum(m.Quarantines, Quarantine) + sum(m.Counts, Counts) + sum(m.Moves, Move)
	if m.Config != nil {
		n += Config(*m.Config)
	}
	if m.Delta != nil {
		n += Delta(*m.Delta)
	}
	return n
}

// State returns the bound of a PeerState.
func State(s ward.PeerState) int {
	n := headBytes + stringBytes(s.Name) + stringBytes(s.Address) + stringBytes(s.Operator) + stringBytes(s.DataCentre)
	n += uintBytes(uint64(s.Incarnation)) + uintBytes(s.Seq) + boolBytes + uintBytes(s.Revision) + 2
	n += sum(s.Floors, Floor) + sum(s.Draining, stringBytes)
	return n + waiting(s.Waiting) + 3*headBytes + sum(s.Demand, Demand)
}

// Floor returns the bound of a ServesFloor.
func Floor(f ward.ServesFloor) int { return headBytes + stringBytes(f.Serves) + 2 + waiting(f.Waiting) }

// Demand returns the bound of a Demand.
func Demand(d ward.Demand) int {
	return headBytes + stringBytes(d.Upstream) + intBytes(d.InFlight) + intBytes(d.Prefill) + intBytes(d.Waiting) + intBytes(d.Rate)
}

// Heartbeat returns the bound of a Heartbeat.
func Heartbeat(h ward.Heartbeat) int {
	n := 1 + 5 + uintBytes(h.Seq) + 2*boolBytes + uintBytes(h.Revision) + 2 + waiting(h.Waiting)
	return n + 2*headBytes + sum(h.Floors, Floor) + sum(h.Draining, stringBytes)
}

// Quarantine returns the bound of a Quarantine.
func Quarantine(q ward.Quarantine) int {
	return headBytes + stringBytes(q.Serves) + stringBytes(q.Version) + stringBytes(q.Route) + stringBytes(q.Move) + uintBytes(q.Ticket) + stringBytes(q.Reason) + stringBytes(q.By) + timeBytes
}

// Counts returns the bound of a Counts.
func Counts(c ward.Counts) int {
	n := headBytes + stringBytes(c.Serves) + stringBytes(c.Version) + stringBytes(c.Route) + stringBytes(c.Move) + stringBytes(c.Entry)
	n += uintBytes(uint64(c.Incarnation)) + uintBytes(c.Succeeded) + uintBytes(c.Failed) + headBytes
	for _, x := range c.Latency {
		n += uintBytes(x)
	}
	return n
}

// Move returns the bound of a MoveState without pending events.
func Move(m ward.MoveState) int {
	n := headBytes + stringBytes(m.Move) + uintBytes(m.Ticket) + headBytes + stringBytes(m.To) + uintBytes(m.Revision) + stringBytes(m.State) + intBytes(m.Step) + 9
	return n + stringBytes(m.Holder) + uintBytes(m.Fence) + timeBytes + stringBytes(m.Reason) + headBytes
}

// Config returns the bound of a full configuration.
func Config(c ward.Config) int {
	n := headBytes + stringBytes(c.Fleet) + uintBytes(c.Revision) + uintBytes(c.Ticket) + stringBytes(c.Attempt) + timeBytes + 4*headBytes
	return n + sum(c.Upstreams, upstream) + sum(c.Routes, route) + sum(c.Teams, team) + sum(c.Moves, move)
}

// Delta returns the bound of a ConfigDelta.
func Delta(d ward.ConfigDelta) int {
	n := headBytes + 9 + 9 + Config(d.Config) + 4*headBytes
	return n + sum(d.UpstreamsGone, stringBytes) + sum(d.RoutesGone, stringBytes) + sum(d.TeamsGone, stringBytes) + sum(d.MovesGone, stringBytes)
}

func upstream(u ward.Upstream) int {
	n := headBytes + stringBytes(u.Name) + 9 + stringBytes(string(u.Kind)) + stringBytes(u.Serves) + stringBytes(u.Version)
	return n + stringBytes(u.Address) + stringBytes(u.DataCentre) + 9 + 4*boolBytes
}

func route(r ward.Route) int {
	n := headBytes + stringBytes(r.Name) + 9 + stringBytes(string(r.Kind)) + stringBytes(r.Serves) + stringBytes(r.Version)
	return n + headBytes + sum(r.Methods, stringBytes) + stringBytes(r.PathPrefix) + 4 + 9 + 9 + boolBytes + 9 + boolBytes
}

func team(t ward.Team) int {
	return headBytes + stringBytes(t.Name) + 9 + 9 + 9 + 9 + 2 + stringBytes(t.KeyHash) + boolBytes
}

func move(m ward.Move) int {
	n := headBytes + stringBytes(m.Name) + 9 + stringBytes(m.Serves) + headBytes + sum(m.Routes, stringBytes) + stringBytes(m.From) + stringBytes(m.To)
	return n + 2*timeBytes + headBytes + sum(m.Load, stringBytes) + 2*boolBytes
}

func waiting(w [ward.TierCount]int) int {
	n := 1
	for _, x := range w {
		n += intBytes(x)
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

func stringBytes(s string) int {
	if len(s) < 32 {
		return 1 + len(s)
	}
	return headBytes + len(s)
}

// uintBytes returns the length of the shortest encoding of n.
func uintBytes(n uint64) int {
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

func intBytes(n int) int {
	if n < 0 {
		return 9
	}
	return uintBytes(uint64(n))
}
