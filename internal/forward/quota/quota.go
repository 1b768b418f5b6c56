// Package quota provides the quotas of teams over all entries: each entry counts
// what it let through, hears what the others let through, and takes a fair part
// for itself where it hears nothing.
//
// # Usage
//
//	l := quota.Ledger{}
//	l.Hear("entry-2", map[string]quota.Use{"kitchen": {Total: 41_200, Window: 9_800}}, now)
//	if wait, ok := l.Take(team, size, now); !ok {
//		// refuse; ask again after wait
//	}
//	used := l.Own(now) // what the others are told
package quota

import (
	"time"

	"agateward/ward"
)

// Timing of the ledger.
const (
	// window is the span over which a quota is counted. A longer span than the
	// platform's own makes the count stricter after a burst.
	window = 8 * time.Second
	// step is the resolution of the count.
	step = 200 * time.Millisecond
	// steps is the number of steps in a window, with the running one.
	steps = int(window/step) + 1
	// silence is the age of news after which a peer counts with its fair part.
	silence = time.Second
	// forget is the age of news after which a peer is taken to be gone: an entry
	// that was replaced comes back under another name.
	forget = 20 * time.Second
)

// Ledger counts the use of quotas. Its zero value is ready to use.
type Ledger struct {
	// Entries is the number of entries to share with while some are silent or
	// were never heard; the number of peers heard is used when it is larger.
	Entries int
	own     map[string]*span
	peers   map[string]*peer
}

// Use is what one entry let through for a team: since its start, and in the last
// window.
type Use struct {
	Total  float64
	Window float64
}

// peer is what is known of the use of one other entry.
type peer struct {
	heard time.Time
	total map[string]float64
	use   map[string]*span
}

// span is a sum over the last window.
type span struct {
	total float64 // ever
	sum   float64
	cells [steps]float64
	last  int64
}

func (s *span) advance(now time.Time) {
	n := now.UnixNano() / int64(step)
	if n-s.last >= int64(steps) {
		s.cells = [steps]float64{}
		s.sum, s.last = 0, n
		return
	}
	for s.last < n {
		s.last++
		i := s.last % int64(steps)
		s.sum -= s.cells[i]
		s.cells[i] = 0
	}
	s.sum = max(s.sum, 0)
}

func (s *span) add(x float64, now time.Time) {
	s.advance(now)
	s.cells[s.last%int64(steps)] += x
	s.sum += x
	s.total += x
}

// Hear takes what a peer has let through. Of a peer that was not heard before the
// last window counts.
func (l *Ledger) Hear(name string, uses map[string]Use, now time.Time) {
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	p := l.peers[name]
	if p == nil {
		p = &peer{total: make(map[string]float64), use: make(map[string]*span)}
		l.peers[name] = p
	}
	p.heard = now
	for team, use := range uses {
		u := p.use[team]
		if u == nil {
			u = &span{}
			p.use[team] = u
			p.total[team] = use.Total - use.Window
		}
		if more := use.Total - p.total[team]; more > 0 {
			u.add(more, now)
		}
		p.total[team] = use.Total
	}
	for other, p := range l.peers {
		if now.Sub(p.heard) > forget {
			delete(l.peers, other)
		}
	}
}

// Own returns what this entry has let through, by team.
func (l *Ledger) Own(now time.Time) map[string]Use {
	uses := make(map[string]Use, len(l.own))
	for team, s := range l.own {
		s.advance(now)
		uses[team] = Use{Total: s.total, Window: s.sum}
	}
	return uses
}

// Take counts a request of the given size against its team's quota. When the
// quota is used up it returns how long until there may be room.
func (l *Ledger) Take(t *ward.ForwardTeam, size float64, now time.Time) (time.Duration, bool) {
	if l.own == nil {
		l.own = make(map[string]*span)
	}
	s := l.own[t.Name]
	if s == nil {
		s = &span{}
		l.own[t.Name] = s
	}
	s.advance(now)
	if t.Rate > 0 {
		if over := size + s.sum - l.allowance(t, now); over > 0 {
			return time.Duration(min(over/t.Rate, window.Seconds()) * float64(time.Second)), false
		}
	}
	s.add(size, now)
	return 0, true
}

// Refund takes back a request that was counted and did not run.
func (l *Ledger) Refund(team string, size float64, now time.Time) {
	if s := l.own[team]; s != nil {
		s.advance(now)
		i := s.last % int64(steps)
		back := min(size, s.cells[i])
		s.cells[i] -= back
		s.sum -= back
	}
}

// allowance is what this entry may let through in a window: the quota less what
// the heard peers used, shared fairly with those that are silent.
func (l *Ledger) allowance(t *ward.ForwardTeam, now time.Time) float64 {
	limit := t.Rate*window.Seconds() + t.Burst
	entries := max(l.Entries, len(l.peers)+1)
	heard, used := 0, 0.0
	for _, p := range l.peers {
		if now.Sub(p.heard) > silence {
			continue
		}
		heard++
		if u := p.use[t.Name]; u != nil {
			u.advance(now)
			used += u.sum
		}
	}
	silent := max(entries-1-heard, 0)
	fair := limit / float64(entries)
	return max(limit-used-float64(silent)*fair, 0)
}
