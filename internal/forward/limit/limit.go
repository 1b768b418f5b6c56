// Package limit tracks the rate at which one process of an upstream takes requests from
// all entries together, as its answers state it.
//
// # Usage
//
//	var l limit.Limit
//	changed := l.Observe(reply.Limit, sent, now)
//
// The package reads no clock and does no I/O.
package limit

import (
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

// tighter reports whether s allows fewer requests than o.
func (s State) tighter(o State) bool {
	return s.Limited && (!o.Limited || s.PerSecond < o.PerSecond)
}

// Limit is the limit of one process. Its zero value is a process without one.
type Limit struct {
	state State
	// since is when this entry learned the version of the state.
	since time.Time
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
	if sent.Before(l.since) && !(l.state.Limited && s.tighter(l.state)) {
		return false
	}
	l.state, l.since = s, now
	return true
}
