// Package quota provides the quotas of teams over all entries. Each team has a
// token bucket that every entry keeps for itself: what the entry lets through
// and what it hears that others let through is taken out. While peers are silent
// the bucket fills only by the part of those that are heard.
//
// # Usage
//
//	l := quota.Ledger{Overshoot: 0.05, Slack: 60_000, Entries: 6}
//	l.Hear("entry-2", map[string]float64{"kitchen": 41_200}, now)
//	if wait, ok := l.Take(team, size, plain, now); !ok {
//		// refuse; ask again after wait
//	}
//	used := l.Own() // what the others are told
package quota

import (
	"time"

	"agateward/ward"
)

// Timing of the ledger.
const (
	// silence is the age of news after which a peer counts as silent: several
	// messages were lost.
	silence = 600 * time.Millisecond
	// forget is the age of news after which a peer is taken to be gone for good.
	forget = 60 * time.Second
	// deepest bounds the debt of a bucket: what a peer that was silent used counts
	// for no longer than this time.
	deepest = 4 * time.Second
	// reserve is the part of a team's burst that is kept for plain requests.
	reserve = 0.1
	// rankReserve is the part of the burst that is kept, for each rank, for the
	// ranks above it, down to lastRank.
	rankReserve = 0.15
	lastRank    = 3
	// startPart is the part of the slack that a bucket starts with after a restart:
	// two restarts in a row stay within it.
	startPart = 0.5
	// slackOnce is the time after a restart in which the slack that the buckets
	// start with is not given a second time: the platform's window.
	slackOnce = 8 * time.Second
	// longestWait bounds the advice that goes with a refusal.
	longestWait = 4 * time.Second
)

// Ledger keeps the buckets. Its zero value is ready to use.
type Ledger struct {
	// Slack is a number of units that a team may use beyond its quota while the
	// upstreams have nothing else to do.
	Slack float64
	// Entries is the number of entries to share with; the number of peers heard is
	// used when it is larger.
	Entries int
	// StartFull says that buckets start full: the whole fleet starts for the first
	// time, so nothing was used before. Otherwise they start with a part of the
	// slack: what was used before is not known, and most teams are below their quota.
	StartFull bool

	own     map[string]float64
	peers   map[string]*peer
	buckets map[string]*bucket
}

// peer is what is known of the use of one other entry.
type peer struct {
	heard time.Time
	start int64
	total map[string]float64
}

type bucket struct {
	level float64
	// begun is when the bucket was filled first.
	begun time.Time
	rate  float64
	last  time.Time
}

// UpdatePeer takes the totals that a peer has let through since its start, a number
// that tells two processes of one name apart. Of a peer that was not heard before,
// what it let through earlier does not count.
func (l *Ledger) UpdatePeer(name string, start int64, totals map[string]float64, now time.Time) {
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	for other, p := range l.peers {
		if now.Sub(p.heard) > forget {
			delete(l.peers, other)
		}
	}
	p := l.peers[name]
	known := p != nil
	if !known {
		p = &peer{start: start}
		l.peers[name] = p
	}
	if p.start != start {
		p.start, p.total = start, nil
	}
	for team, total := range totals {
		if b := l.buckets[team]; b != nil && known {
			b.level = max(b.level-max(total-p.total[team], 0), -b.rate*deepest.Seconds())
		}
	}
	p.total, p.heard = totals, now
}

// Totals returns what this entry has let through since its start, by team.
func (l *Ledger) Totals() map[string]float64 {
	totals := make(map[string]float64, len(l.own))
	for team, total := range l.own {
		totals[team] = total
	}
	return totals
}

// Request is one request to be counted.
type Request struct {
	Size float64
	// Plain requests have no tokens of their own and are a small part of a team's
	// use; a reserve is kept for them.
	Plain bool
	// Rank is the rank of the request's route; when a quota is nearly used up the
	// lower ranks are refused first.
	Rank int
	// Idle says that the upstreams have room to spare.
	Idle bool
}

// Take counts a request against its team's quota. When the quota is used up it
// returns how long until there may be room. A request larger than what is left
// passes as long as anything is left, so that large requests are not refused more
// often than small ones.
func (l *Ledger) Take(t *ward.ForwardTeam, r Request, now time.Time) (time.Duration, bool) {
	if l.own == nil {
		l.own, l.buckets = make(map[string]float64), make(map[string]*bucket)
	}
	if t.Rate > 0 {
		b := l.fill(t, now)
		part := l.part(now)
		floor := part * (reserve + rankReserve*float64(min(r.Rank, lastRank))) * t.Burst
		if r.Plain {
			floor = 0
		}
		if r.Idle && (l.StartFull || now.Sub(b.begun) > slackOnce) {
			floor -= part * l.Slack
		}
		if b.level <= floor {
			wait := time.Duration((floor + 1 - b.level) / t.Rate * float64(time.Second))
			return min(wait, longestWait), false
		}
		b.level -= r.Size
	}
	l.own[t.Name] += r.Size
	return 0, true
}

// fill brings a bucket up to now.
func (l *Ledger) fill(t *ward.ForwardTeam, now time.Time) *bucket {
	part := l.part(now)
	most := part * t.Burst
	b := l.buckets[t.Name]
	if b == nil {
		b = &bucket{last: now, begun: now}
		b.level = part * min(startPart*l.Slack, t.Burst)
		if l.StartFull {
			b.level = most
		}
		l.buckets[t.Name] = b
	}
	b.rate = t.Rate
	b.level = min(b.level+part*t.Rate*now.Sub(b.last).Seconds(), most)
	b.last = now
	return b
}

// part is the part of the entries that share their use with this one.
func (l *Ledger) part(now time.Time) float64 {
	heard := 1
	for _, p := range l.peers {
		if now.Sub(p.heard) <= silence {
			heard++
		}
	}
	return float64(heard) / float64(max(l.Entries, len(l.peers)+1))
}

// Refund takes back a request that was counted and did not run.
func (l *Ledger) Refund(team string, size float64) {
	if b := l.buckets[team]; b != nil {
		b.level += size
	}
	l.own[team] = max(l.own[team]-size, 0)
}
