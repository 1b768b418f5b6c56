// Package order decides which orders a move sends to engines, and when.
//
// Every order is written into the move's record, with its fencing number, before
// it is sent, so any successor of the holder knows which orders may be in
// flight. An engine that checks fencing numbers refuses the orders of an earlier
// holder. To an engine that does not, the holder sends an order only early in the
// term of its lease, right after the store has confirmed the lease. An order that
// may have been lost is sent again only when the old lease and the longest order
// must have ended and the engine reports that it has not executed it.
//
// # Usage
//
//	for _, a := range order.Decide(order.Input{Now: now, Move: move, Upstreams: cfg.Upstreams, ...}) {
//		// Write a.Record into the move's record, then send a.Order if a.Send is set.
//	}
package order

import (
	"fmt"
	"slices"
	"time"

	"agateward/ward"
)

const (
	// MaxDuration bounds the time for sending and executing an order.
	MaxDuration = 2 * time.Minute
	// LeaseTTL is the time to live of the lease that covers orders.
	LeaseTTL = 15 * time.Second
	// minLeaseLeft is the least time to the end of the lease when an order is sent
	// to an engine that does not check fencing numbers.
	minLeaseLeft = LeaseTTL / 2
)

// Report is an engine's last report of its version.
type Report struct {
	Upstream string
	Version  string
	At       time.Time
}

// Input holds what the orders of a move depend on.
type Input struct {
	Now       time.Time
	Move      ward.Move
	Upstreams []ward.Upstream
	// Records are the order records in the move's record.
	Records []ward.OrderRecord
	Reports []Report
	// Fence and Expires belong to the lease, as last confirmed by the store.
	Fence   uint64
	Expires time.Time
	// Slots is the number of concurrent loads that the weight store allows now,
	// over the whole fleet.
	Slots int
}

// Action is a change of the move's record. Record replaces the record of its
// upstream.
type Action struct {
	Record ward.OrderRecord
	// Send reports whether Order is sent once Record is written.
	Send     bool
	Order    ward.Order
	Upstream ward.Upstream
}

// Decide returns the actions at in.Now.
func Decide(in Input) []Action {
	list := in.executed()
	for _, a := range list {
		in.Records = Put(in.Records, a.Record)
	}
	slots := in.Slots - InFlight(in.Records, in.Now)
	for _, name := range in.Move.Load {
		i := slices.IndexFunc(in.Upstreams, func(u ward.Upstream) bool { return u.Name == name })
		if i < 0 || slots <= 0 {
			continue
		}
		rec, known := RecordOf(in.Records, name)
		report, _ := in.report(name)
		if rec.Executed || !in.allowed(in.Upstreams[i], rec, known, report) {
			continue
		}
		slots--
		list = append(list, in.sendAction(in.Upstreams[i]))
	}
	return list
}

// executed returns the actions that mark the orders of engines that report the
// new version as executed.
func (in *Input) executed() []Action {
	var list []Action
	for _, name := range in.Move.Load {
		rec, _ := RecordOf(in.Records, name)
		report, reported := in.report(name)
		if !rec.Executed && reported && report.Version == in.Move.To {
			rec.Upstream = name
			rec.Executed = true
			list = append(list, Action{Record: rec})
		}
	}
	return list
}

// Loaded reports whether every engine of the move has loaded the version.
func Loaded(m ward.Move, records []ward.OrderRecord) bool {
	return !slices.ContainsFunc(m.Load, func(name string) bool {
		r, _ := RecordOf(records, name)
		return !r.Executed
	})
}

// RecordOf returns the record of an upstream.
func RecordOf(records []ward.OrderRecord, upstream string) (ward.OrderRecord, bool) {
	i := slices.IndexFunc(records, func(r ward.OrderRecord) bool { return r.Upstream == upstream })
	if i < 0 {
		return ward.OrderRecord{}, false
	}
	return records[i], true
}

// Put returns a copy of records in which r replaces the record of its upstream.
func Put(records []ward.OrderRecord, r ward.OrderRecord) []ward.OrderRecord {
	list := slices.Clone(records)
	i := slices.IndexFunc(list, func(x ward.OrderRecord) bool { return x.Upstream == r.Upstream })
	if i < 0 {
		return append(list, r)
	}
	list[i] = r
	return list
}

// InFlight returns the number of orders that may be in flight or executing at
// now.
func InFlight(records []ward.OrderRecord, now time.Time) int {
	n := 0
	for _, r := range records {
		if !r.Executed && now.Sub(r.LastSent) < MaxDuration {
			n++
		}
	}
	return n
}

func (in *Input) report(name string) (Report, bool) {
	i := slices.IndexFunc(in.Reports, func(r Report) bool { return r.Upstream == name })
	if i < 0 {
		return Report{}, false
	}
	return in.Reports[i], true
}

// allowed reports whether an order may be sent to u now.
func (in *Input) allowed(u ward.Upstream, rec ward.OrderRecord, known bool, report Report) bool {
	if !in.Now.Before(in.Expires) {
		return false
	}
	if u.ChecksFence {
		return !known || in.Now.Sub(rec.LastSent) >= MaxDuration
	}
	if in.Expires.Sub(in.Now) < minLeaseLeft {
		return false
	}
	settledAt := rec.LastSent.Add(LeaseTTL + MaxDuration)
	return !known || !in.Now.Before(settledAt) && report.At.After(settledAt)
}

// sendAction returns the action that sends u the order to load the version.
func (in *Input) sendAction(u ward.Upstream) Action {
	id := fmt.Sprintf("%s@%d/%s", in.Move.Name, in.Move.Ticket, u.Name)
	return Action{
		Record:   ward.OrderRecord{ID: id, Upstream: u.Name, Fence: in.Fence, LastSent: in.Now},
		Send:     true,
		Order:    ward.Order{ID: id, Kind: ward.OrderLoadVersion, Upstream: u.Name, Version: in.Move.To, Fence: in.Fence},
		Upstream: u,
	}
}
