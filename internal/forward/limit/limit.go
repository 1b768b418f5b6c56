// Package limit tracks the rate at which one process of an upstream takes requests from
// all entries together, as its answers state it, and paces the part of this entry. A
// process that is cold, as it has just started, is paced in the same way.
//
// The entries agree on the parts without a coordinator: all compute the same holders of a
// limit from the same names, and the others send nothing unless a holder grants them a
// request. A part that belongs to an entry which is not heard stays unused, as that entry
// may live on beyond a partition.
//
// # Usage
//
//	var l limit.Limit
//	changed := l.Observe(reply.Limit, sent, now) || l.Merge(report, now)
//	f := limit.Fleet{Self: "entry-1", Entries: names, Known: len(names)}
//	l.SetPart(f.Part("upstream-1", state.PerSecond), now)
//	if l.Take(now) { send() }
//
//	l.SetColdPart(f.Part("upstream-1", coldRate), now)
//	l.Cool(now.Add(rest), now)
//
// The package reads no clock and does no I/O.
package limit

import (
	"math"
	"time"

	"agateward/ward"
)

// State is the newest statement of a process that an entry knows.
type State struct {
	// Version grows with each change of the statement, at any entry. It is 0 while the
	// process has never named a limit.
	Version uint64 `msgpack:"v"`
	// Limited reports whether there is a limit of PerSecond requests a second.
	Limited   bool    `msgpack:"l,omitempty"`
	PerSecond float64 `msgpack:"r,omitempty"`
}

const (
	// maxUnused bounds the time whose unused requests may be sent later, but not below one
	// request.
	maxUnused = 250 * time.Millisecond
	// grantTime is the time in which a request that a peer granted may be sent.
	grantTime = 500 * time.Millisecond
	// coldGrantTime is that time for a cold process. Permits that are used late arrive
	// together with those of the next second, in which a bound holds.
	coldGrantTime = 250 * time.Millisecond
	// maxWait bounds the wait at a rate that is hardly more than 0.
	maxWait = 24 * time.Hour
)

// tighter reports whether s allows fewer requests than o.
func (s State) tighter(o State) bool {
	return s.Limited && (!o.Limited || s.PerSecond < o.PerSecond)
}

// Limit is the limit of one process. Its zero value is a process without one.
type Limit struct {
	state State
	// since is when this entry learned the version of the state.
	since time.Time
	// part is the part of this entry in requests a second, level the number of requests
	// that it may send at the time updated.
	part, level float64
	updated     time.Time
	// granted is the number of requests that peers granted and that may still be sent until
	// grantEnd.
	granted  int
	grantEnd time.Time
	// coldUntil is when the process is not cold any more, coldPart the part of this entry
	// until then, in requests a second.
	coldUntil time.Time
	coldPart  float64
}

// Limited reports whether the process has named a limit.
func (l *Limit) Limited() bool { return l.state.Limited }

// Cold reports whether the process is cold.
func (l *Limit) Cold(now time.Time) bool { return now.Before(l.coldUntil) }

// Paced reports whether there is a limit on what this entry may send now: the process has
// named one, or is cold.
func (l *Limit) Paced(now time.Time) bool { return l.state.Limited || l.Cold(now) }

// Cool records that the process is cold until a time, and reports whether it was not cold
// before. It does not shorten the time in which the process is cold.
func (l *Limit) Cool(until, now time.Time) bool {
	if !until.After(now) || !until.After(l.coldUntil) {
		return false
	}
	begins := !l.Cold(now)
	if begins {
		l.level, l.updated = 0, now
	}
	l.coldUntil = until
	return begins
}

// SetColdPart sets the part of this entry of the rate of a cold process, in requests a
// second.
func (l *Limit) SetColdPart(part float64, now time.Time) {
	l.refill(now)
	l.coldPart = part
}

// SetPart sets the part of this entry in requests a second.
func (l *Limit) SetPart(part float64, now time.Time) {
	l.refill(now)
	if l.part = part; part == 0 {
		l.level = 0
	}
}

// Part returns the part of this entry in requests a second.
func (l *Limit) Part() float64 { return l.part }

func (l *Limit) refill(now time.Time) {
	if d := now.Sub(l.updated).Seconds(); d > 0 {
		rate := l.rate(now)
		l.level = min(l.level+d*rate, max(rate*maxUnused.Seconds(), 1))
		l.updated = now
	}
}

// rate is the number of requests a second that this entry may send now. While the process
// is cold, an entry sends no more than either part: the holders of both may differ.
func (l *Limit) rate(now time.Time) float64 {
	switch {
	case !l.Cold(now):
		return l.part
	case !l.state.Limited:
		return l.coldPart
	}
	return min(l.part, l.coldPart)
}

// Allows reports whether this entry may send a request now.
func (l *Limit) Allows(now time.Time) bool {
	if !l.Paced(now) {
		return true
	}
	l.refill(now)
	return l.level >= 1 && l.rate(now) > 0 || l.hasGrant(now)
}

// Grant lets this entry send one request that a peer granted, within grantTime, or
// coldGrantTime if the process is cold.
func (l *Limit) Grant(now time.Time) {
	if !l.hasGrant(now) {
		l.granted = 0
	}
	valid := grantTime
	if l.Cold(now) {
		valid = coldGrantTime
	}
	l.granted, l.grantEnd = l.granted+1, now.Add(valid)
}

func (l *Limit) hasGrant(now time.Time) bool { return l.granted > 0 && now.Before(l.grantEnd) }

// Take counts a request that is sent now. It reports whether this entry may send it.
func (l *Limit) Take(now time.Time) bool {
	if !l.Allows(now) {
		return false
	}
	switch {
	case !l.Paced(now):
	case l.hasGrant(now):
		l.granted--
	default:
		l.level--
	}
	return true
}

// Wait returns the time until this entry may send a request. It reports false if this
// entry has no part of a limit that the process has named.
func (l *Limit) Wait(now time.Time) (time.Duration, bool) {
	if l.Allows(now) {
		return 0, true
	}
	if l.state.Limited && l.part == 0 {
		return 0, false
	}
	wait := time.Duration(math.MaxInt64)
	if rate := l.rate(now); rate > 0 {
		wait = time.Duration(min((1-l.level)/rate, maxWait.Seconds()) * float64(time.Second))
	}
	if l.Cold(now) && !l.state.Limited {
		wait = min(wait, l.coldUntil.Sub(now))
	}
	return wait, true
}

// Merge adopts the state that a peer reports if it is newer, and reports whether that is
// news. Of two states with one version the tighter counts.
func (l *Limit) Merge(s State, now time.Time) bool {
	if s.Version < l.state.Version || s.Version == l.state.Version && !s.tighter(l.state) {
		return false
	}
	l.adopt(s, now)
	return true
}

func (l *Limit) adopt(s State, now time.Time) {
	if !l.state.Limited {
		l.level, l.updated = 0, now
	}
	l.state, l.since = s, now
}

// State returns the state, and when this entry learned of it.
func (l *Limit) State() (State, time.Time) { return l.state, l.since }

// Observe records what the answer to a request that was sent at the given time says, and
// reports whether that is news. The head of the answer to a request from before the
// present statement may be older than it, so such an answer can't loosen a limit, and
// can't set one that has ended.
func (l *Limit) Observe(r ward.RateLimit, sent, now time.Time) bool {
	s := State{Version: l.state.Version + 1, Limited: r.Limited, PerSecond: r.PerSecond}
	if r.Unknown || s.Limited == l.state.Limited && s.PerSecond == l.state.PerSecond {
		return false
	}
	if tightens := l.state.Limited && s.tighter(l.state); sent.Before(l.since) && !tightens {
		return false
	}
	l.adopt(s, now)
	return true
}
