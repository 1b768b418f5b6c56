// Package order decides which orders a move gives to engines, and when.
//
// Every order is written into the move's record, with its fencing number,
// before it is given; so what may be in flight is known to any successor. An
// engine that checks fencing numbers refuses the orders of an earlier holder.
// For one that does not, the holder gives an order only early in its term and
// right after the store has shown that the lease is still held, and one that
// may have been lost is given again only when the old term and the longest order
// are over and the engine reports that it has not carried it out.
//
// # Usage
//
//	for _, a := range order.Decide(order.Input{Now: now, Move: move, Upstreams: cfg.Upstreams, ...}) {
//		// Write a.Record into the move's record, then give a.Order.
//	}
package order

import (
	"fmt"
	"slices"
	"time"

	"agateward/ward"
)

const (
	// MaxDuration bounds the time that an order is in flight and carried out.
	MaxDuration = 2 * time.Minute
	// LeaseTTL is the time to live of the lease that covers orders.
	LeaseTTL = 15 * time.Second
	// early is the part of the term that must be left when an order is given to
	// an engine that checks no fencing number.
	early = LeaseTTL / 2
)

// Report is what an engine said last about its version.
type Report struct {
	Upstream string
	Version  string
	At       time.Time
}

// Input is what the orders of a move depend on.
type Input struct {
	Now       time.Time
	Move      ward.Move
	Upstreams []ward.Upstream
	// Records are those of the move's record.
	Records []ward.OrderRecord
	Reports []Report
	// Fence and Expires are of the lease held, as the store has confirmed it.
	Fence   uint64
	Expires time.Time
	// Slots is the number of loads that the weight store allows now over the
	// whole fleet.
	Slots int
}

// Action is one thing to do. Record replaces the one of its upstream.
type Action struct {
	Record ward.OrderRecord
	// Send says that Order is given once Record is written.
	Send     bool
	Order    ward.Order
	Upstream ward.Upstream
}

// Decide returns the actions at in.Now.
func Decide(in Input) []Action {
	list := in.settled()
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
		list = append(list, in.give(in.Upstreams[i]))
	}
	return list
}

// settled returns the records of engines that report the version by now.
func (in *Input) settled() []Action {
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

// Loaded tells whether every engine of the move has the version.
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

// Put returns records with r in place of the one of its upstream.
func Put(records []ward.OrderRecord, r ward.OrderRecord) []ward.OrderRecord {
	list := slices.Clone(records)
	i := slices.IndexFunc(list, func(x ward.OrderRecord) bool { return x.Upstream == r.Upstream })
	if i < 0 {
		return append(list, r)
	}
	list[i] = r
	return list
}

// InFlight counts the orders that may be being carried out at now.
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

// allowed tells whether an order may be given to u now.
func (in *Input) allowed(u ward.Upstream, rec ward.OrderRecord, known bool, report Report) bool {
	if !in.Now.Before(in.Expires) {
		return false
	}
	if u.ChecksFence {
		return !known || in.Now.Sub(rec.LastSent) >= MaxDuration
	}
	if in.Expires.Sub(in.Now) < early {
		return false
	}
	over := rec.LastSent.Add(LeaseTTL + MaxDuration)
	return !known || !in.Now.Before(over) && report.At.After(over)
}

func (in *Input) give(u ward.Upstream) Action {
	id := fmt.Sprintf("%s@%d/%s", in.Move.Name, in.Move.Ticket, u.Name)
	return Action{
		Record:   ward.OrderRecord{ID: id, Upstream: u.Name, Fence: in.Fence, LastSent: in.Now},
		Send:     true,
		Order:    ward.Order{ID: id, Kind: ward.OrderLoadVersion, Upstream: u.Name, Version: in.Move.To, Fence: in.Fence},
		Upstream: u,
	}
}
