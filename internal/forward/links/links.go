// Package links decides whether an entry has lost its links to all upstreams while its
// peers have theirs.
//
// An entry that hears nothing from upstreams cannot tell by itself whether they are down
// or it is cut off. Peers that hear upstreams meanwhile show that it is cut off. One byte
// of any upstream, or a connection that an upstream accepts, shows that it is not.
//
// # Usage
//
//	var t links.Tracker
//	t.Heard(now)                      // bytes of an upstream, or a new connection
//	t.Failed("i-1", now)              // an attempt without a byte
//	t.UpdatePeer(address, age, now)   // an entry heard an upstream that long ago
//	change := t.Update(now)           // at intervals, and after evidence
//	if t.Lost() { ... }
//	if t.TrialDue(now) { ... }        // ask an entry of which nothing is known
//
// The tracker reads no clock and does no I/O.
package links

import (
	"slices"
	"time"
)

const (
	// minQuiet is the time without a byte of any upstream from which the links may be
	// lost. Answers of a busy entry come far more often.
	minQuiet = 300 * time.Millisecond
	// confirmTime is how long peers must be seen to hear upstreams meanwhile. When all
	// upstreams pause, some entries hear them a little before the others again.
	confirmTime = 150 * time.Millisecond
	// minFailed is the number of different upstreams that must have failed since the last
	// byte: one may be silent, or down, alone.
	minFailed = 2
	// maxFailed bounds the upstreams that are remembered.
	maxFailed = 16
	// trialInterval is the time between two requests by which an entry without evidence
	// of peers finds out whether others hear upstreams.
	trialInterval = 200 * time.Millisecond
	// peerTTL is how long what a peer said counts.
	peerTTL = 1500 * time.Millisecond
	// minProbe is the time between two connections that are tried while the links are
	// lost. It doubles, up to maxProbe, when they are lost again within flapTime.
	minProbe = 500 * time.Millisecond
	maxProbe = 4 * time.Second
	flapTime = 10 * time.Second
)

// Never is the age that a peer reports that has heard no upstream.
const Never = time.Duration(-1)

// Change tells what an update changed.
type Change int

// Changes of the links.
const (
	Same Change = iota
	Lost
	Regained
)

// Evidence is why the links count as lost.
type Evidence struct {
	// Quiet is the time since this entry last heard an upstream.
	Quiet time.Duration
	// Failed lists the upstreams that failed since then.
	Failed []string
	// Peer is the address of the entry that heard an upstream last, PeerQuiet the time
	// since then.
	Peer      string
	PeerQuiet time.Duration
}

// peer is what a peer said.
type peer struct {
	at time.Time
	// heard is when it last heard an upstream, zero for never.
	heard time.Time
}

// Tracker holds what an entry knows of its links to upstreams. Its zero value is ready to
// use.
type Tracker struct {
	heard time.Time
	// failed lists the upstreams that failed since then, first is when the first one did.
	failed []string
	first  time.Time
	peers  map[string]peer
	lost   bool
	// cutSince is since when peers were seen to hear upstreams while this entry does not,
	// zero if they don't.
	cutSince time.Time
	probed   time.Time
	tried    time.Time
	// interval is the time between two probes, regained when the links were last regained.
	interval time.Duration
	regained time.Time
}

// Heard records that an upstream sent something or accepted a connection.
func (t *Tracker) Heard(now time.Time) {
	if now.After(t.heard) {
		t.heard = now
	}
	t.failed, t.cutSince = t.failed[:0], time.Time{}
}

// Failed records an attempt at an upstream, or a part of its time, without a byte.
func (t *Tracker) Failed(upstream string, now time.Time) {
	if !now.After(t.heard) || len(t.failed) >= maxFailed || slices.Contains(t.failed, upstream) {
		return
	}
	if len(t.failed) == 0 {
		t.first = now
	}
	t.failed = append(t.failed, upstream)
}

// UpdatePeer records how long ago the entry with an address heard an upstream, Never if it
// did not.
func (t *Tracker) UpdatePeer(address string, age time.Duration, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[string]peer)
	}
	p := peer{at: now}
	if age >= 0 {
		p.heard = now.Add(-age)
	}
	t.peers[address] = p
}

// Age returns how long ago this entry heard an upstream, Never if it did not.
func (t *Tracker) Age(now time.Time) time.Duration {
	if t.heard.IsZero() {
		return Never
	}
	return max(now.Sub(t.heard), 0)
}

// Lost reports whether the links to all upstreams are lost, by the last update.
func (t *Tracker) Lost() bool { return t.lost }

// Update decides anew and reports what changed.
func (t *Tracker) Update(now time.Time) Change {
	for address, p := range t.peers {
		if now.Sub(p.at) > peerTTL {
			delete(t.peers, address)
		}
	}
	switch {
	case t.lost && len(t.failed) == 0 && now.Sub(t.heard) < minQuiet:
		t.lost, t.regained = false, now
		return Regained
	case !t.lost && t.confirmed(now):
		t.lost, t.probed = true, now
		if t.interval = min(2*t.interval, maxProbe); t.regained.IsZero() || now.Sub(t.regained) > flapTime {
			t.interval = minProbe
		}
		return Lost
	}
	return Same
}

// cutOff reports whether upstreams answer peers but not this entry.
func (t *Tracker) cutOff(now time.Time) bool {
	return t.Suspect(now) && len(t.Connected(now)) > 0
}

// confirmed reports whether that has been so for confirmTime.
func (t *Tracker) confirmed(now time.Time) bool {
	if !t.cutOff(now) {
		t.cutSince = time.Time{}
		return false
	}
	if t.cutSince.IsZero() {
		t.cutSince = now
	}
	return now.Sub(t.cutSince) >= confirmTime
}

// Suspect reports whether this entry hears no upstream, whatever peers hear.
func (t *Tracker) Suspect(now time.Time) bool {
	return len(t.failed) >= minFailed && now.Sub(t.heard) >= minQuiet
}

// TrialDue reports whether a request is to be passed on now to an entry of which nothing
// is known, and counts it as passed on. All peers may be cut off as this entry is.
func (t *Tracker) TrialDue(now time.Time) bool {
	if t.lost || !t.Suspect(now) || now.Sub(t.tried) < trialInterval {
		return false
	}
	t.tried = now
	return true
}

// Connected returns the sorted addresses of the entries that heard an upstream after one
// failed here, and minQuiet or more after this entry last heard one: all may have heard
// the last bytes before a pause of all upstreams.
func (t *Tracker) Connected(now time.Time) []string {
	since := t.heard.Add(minQuiet)
	if t.first.After(since) {
		since = t.first
	}
	var list []string
	for address, p := range t.peers {
		if now.Sub(p.at) <= peerTTL && p.heard.After(since) {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Evidence returns why the links count as lost.
func (t *Tracker) Evidence(now time.Time) Evidence {
	e := Evidence{Quiet: t.Age(now), Failed: slices.Clone(t.failed), PeerQuiet: Never}
	for _, address := range t.Connected(now) {
		if quiet := now.Sub(t.peers[address].heard); e.Peer == "" || quiet < e.PeerQuiet {
			e.Peer, e.PeerQuiet = address, quiet
		}
	}
	return e
}

// ProbeDue reports whether a connection to an upstream is to be tried now, and counts it
// as tried.
func (t *Tracker) ProbeDue(now time.Time) bool {
	if !t.lost || now.Sub(t.probed) < t.interval {
		return false
	}
	t.probed = now
	return true
}
