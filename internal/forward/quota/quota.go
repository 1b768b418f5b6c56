// Package quota provides the quotas of teams over all entries. Every entry keeps a
// token bucket for each team and takes out what it admits itself and what its peers
// report as admitted. The share of a silent peer is left to it; it comes back when the
// same process of the peer reports what it used.
//
// # Usage
//
//	l := quota.Ledger{Slack: 60_000, Entries: 6}
//	l.UpdatePeer("entry-2", start, map[string]float64{"kitchen": 41_200}, now)
//	if wait, ok := l.Take(team, quota.Request{Size: 800}, now); !ok {
//		// refuse; retry after wait
//	}
//	used := l.Totals() // to the peers
//	levels := l.Levels(now) // to the peers, after one of them has started
//	l.Inherit(levels, now)  // at the peer
package quota

import (
	"time"

	"agateward/ward"
)

// Parameters of the buckets.
const (
	// peerTimeout is the age of a peer's totals after which it counts as unresponsive:
	// several messages were lost.
	peerTimeout = 600 * time.Millisecond
	// peerDelay is the age of a peer's totals from which its share of a bucket is left
	// to it, though it still counts as live.
	peerDelay = 300 * time.Millisecond
	// slotCount is the number of slots that hold a bucket's recent usage; together they
	// cover peerTimeout.
	slotCount = 10
	slotTime  = peerTimeout / slotCount
	// peerExpiry is the age of a peer's totals after which the peer is removed.
	peerExpiry = 60 * time.Second
	// maxDebt bounds the debt of a bucket, as time at the team's rate: usage that an
	// unresponsive peer reports late blocks a team for no longer.
	maxDebt = 4 * time.Second
	// plainReserve is the fraction of a team's burst reserved for plain requests.
	plainReserve = 0.1
	// rankReserve is the fraction of the burst that each rank, down to lastRank, leaves
	// to the ranks above it.
	rankReserve = 0.15
	lastRank    = 3
	// startFraction is the fraction of the slack that a bucket starts with after a
	// restart, so that two restarts in a row stay within the slack.
	startFraction = 0.5
	// slackDelay is the time after a restart in which the slack is not granted again
	// while the upstreams are idle, as the bucket started with it. It equals the
	// platform's window.
	slackDelay = 8 * time.Second
	// handoverTime is the time after a peer's start in which it is told the levels of
	// the buckets, and after which it starts with levels of its own.
	handoverTime = 3 * time.Second
	// maxWait bounds the retry delay of a refusal.
	maxWait = 4 * time.Second
)

// Ledger holds the buckets. The zero value is ready to use.
type Ledger struct {
	// Slack is the number of units that a team may use beyond its quota while the
	// upstreams are idle.
	Slack float64
	// Entries is the number of entries that share the quotas. The number of known
	// peers, and this entry, is used if it is larger.
	Entries int
	// StartFull makes buckets start full. It is set at the first start of the whole
	// fleet, when nothing was used before. Otherwise earlier usage is unknown; buckets
	// start with a part of the slack, as most teams are below their quota.
	StartFull bool

	totals  map[string]float64
	peers   map[string]*peer
	buckets map[string]*bucket
}

// peer holds the usage that another entry reported.
type peer struct {
	updated time.Time
	// started is when this process of the peer was first heard from.
	started time.Time
	start   int64
	totals  map[string]float64
}

// UpdatePeer applies the totals that a peer admitted since its start; start
// distinguishes two processes of one name. The first totals of an unknown peer do
// not count, only their later growth.
func (l *Ledger) UpdatePeer(name string, start int64, totals map[string]float64, now time.Time) {
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	for other, p := range l.peers {
		if now.Sub(p.updated) > peerExpiry {
			l.release(false, now)
			delete(l.peers, other)
		}
	}
	p := l.peers[name]
	known := p != nil
	if !known {
		p = &peer{start: start, started: now}
		l.peers[name] = p
	}
	if known && now.Sub(p.updated) > peerTimeout {
		l.release(p.start == start, now)
	}
	if p.start != start {
		p.start, p.started, p.totals = start, now, nil
	}
	for team, total := range totals {
		if b := l.buckets[team]; b != nil && known {
			b.charge(max(total-p.totals[team], 0), now)
			if b.rate > 0 {
				b.level = max(b.level, -b.rate*maxDebt.Seconds())
			}
		}
	}
	p.totals, p.updated = totals, now
}

// Totals returns the units that this entry admitted since its start, by team.
func (l *Ledger) Totals() map[string]float64 {
	totals := make(map[string]float64, len(l.totals))
	for team, total := range l.totals {
		totals[team] = total
	}
	return totals
}

// Levels returns the levels of the buckets while a peer has just started, else nil.
// Buckets that started without knowledge of earlier usage are left out for a window.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	fresh := false
	for _, p := range l.peers {
		fresh = fresh || now.Sub(p.started) < handoverTime
	}
	if !fresh {
		return nil
	}
	levels := make(map[string]float64, len(l.buckets))
	for team, b := range l.buckets {
		if l.StartFull || b.inherited || now.Sub(b.created) > slackDelay {
			levels[team] = b.level
		}
	}
	return levels
}

// maxInherited bounds the teams of which a peer's levels are taken over, to several times the
// teams of a large configuration: a peer may name any.
const maxInherited = 16 << 10

// Inherit applies the levels of a peer's buckets after a restart. A peer that ran
// before knows what was used; without it, a bucket starts with a part of the slack
// alone. A level is taken once, and only if it is higher.
func (l *Ledger) Inherit(levels map[string]float64, now time.Time) {
	if l.StartFull {
		return
	}
	if l.totals == nil {
		l.totals, l.buckets = make(map[string]float64), make(map[string]*bucket)
	}
	for team, level := range levels {
		b := l.buckets[team]
		switch {
		case b == nil && len(l.buckets) >= maxInherited:
		case b == nil:
			l.buckets[team] = &bucket{level: level, created: now, updated: now, inherited: true}
		case !b.inherited && now.Sub(b.created) < handoverTime:
			// The peer may or may not have counted what was admitted here.
			b.level = max(b.level, level-l.totals[team])
			b.inherited = true
		}
	}
}

// Request is one request to be charged.
type Request struct {
	Size float64
	// Plain requests state no tokens and are a small part of a team's usage; a reserve
	// is kept for them.
	Plain bool
	// Rank is the rank of the request's route. When a quota is nearly exhausted, the
	// lower ranks are refused first.
	Rank int
	// Idle is true when the upstreams have spare capacity.
	Idle bool
}

// Take charges a request to its team's quota. If the quota is exhausted, it returns
// the time after which a retry may succeed. A request larger than the rest of the
// quota passes as long as anything is left, so that large requests are not refused
// more often than small ones.
func (l *Ledger) Take(t *ward.ForwardTeam, r Request, now time.Time) (time.Duration, bool) {
	if l.totals == nil {
		l.totals, l.buckets = make(map[string]float64), make(map[string]*bucket)
	}
	if t.Rate > 0 {
		b := l.fill(t, now)
		fraction := l.liveFraction(now)
		floor := fraction * (plainReserve + rankReserve*float64(min(r.Rank, lastRank))) * t.Burst
		if r.Plain {
			floor = 0
		}
		if r.Idle && (l.StartFull || now.Sub(b.created) > slackDelay) {
			floor -= fraction * l.Slack
		}
		left := b.level - floor
		left -= l.silentShare(b, left, now)
		if left <= 0 {
			return time.Duration(min((1-left)/t.Rate, maxWait.Seconds()) * float64(time.Second)), false
		}
		b.charge(r.Size, now)
	}
	l.totals[t.Name] += r.Size
	return 0, true
}

// fill returns the team's bucket, filled up to now.
func (l *Ledger) fill(t *ward.ForwardTeam, now time.Time) *bucket {
	b := l.buckets[t.Name]
	if b == nil {
		b = &bucket{updated: now, created: now}
		l.buckets[t.Name] = b
	}
	if b.rate == 0 {
		fraction := l.liveFraction(now)
		b.level = max(b.level, fraction*min(startFraction*l.Slack, t.Burst))
		if l.StartFull {
			b.level = fraction * t.Burst
		}
	}
	b.rate, b.burst = t.Rate, t.Burst
	l.advance(b, now)
	return b
}

// Refund returns the units of a request that was charged and did not run.
func (l *Ledger) Refund(team string, size float64) {
	if b := l.buckets[team]; b != nil {
		b.level += size
		b.recent[b.slot%slotCount] -= size
	}
	l.totals[team] = max(l.totals[team]-size, 0)
}
