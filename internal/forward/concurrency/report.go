package concurrency

import "time"

// unit is the number of units of a logarithm of 1 in a report.
const unit = 64

// Count is the samples of one entry at one number of running requests, since the entry
// started.
type Count struct {
	// Running is the number of running requests, from 1.
	Running int `msgpack:"n"`
	// Samples is the number of own samples, Total the sum of the logarithms of their
	// ratios in units of 1/64.
	Samples uint32 `msgpack:"c,omitempty"`
	Total   int32  `msgpack:"t,omitempty"`
	// Weight and Mean are the decayed weight and mean logarithm of all entries' samples,
	// in units of 1/64, for entries without own ones.
	Weight int32 `msgpack:"w,omitempty"`
	Mean   int32 `msgpack:"m,omitempty"`
}

// Report is what an entry says of one process of an upstream.
type Report struct {
	// Start distinguishes two processes of an entry.
	Start  uint64  `msgpack:"s,omitempty"`
	Counts []Count `msgpack:"c"`
}

// counters holds the last counts of a peer by number of running requests.
type counters struct {
	start uint64
	last  map[int]Count
	heard time.Time
}

// maxPeers bounds the peers whose counters are kept, to several times a cell.
const maxPeers = 64

// Report returns at most limit counts: those that changed since the last report, or all
// that are known if all is true. Start is that of this entry's process.
func (l *Limit) Report(start uint64, limit int, all bool, now time.Time) Report {
	l.decay(now)
	r := Report{Start: start}
	for i := range l.bins {
		b := &l.bins[i]
		told := b.count == b.sent && !all || b.count == 0 && !b.known()
		if len(r.Counts) >= limit || told {
			continue
		}
		b.sent = b.count
		c := Count{Running: i + 1, Samples: b.count, Total: b.total}
		if b.known() {
			c.Weight, c.Mean = int32(b.weight*unit), int32(b.mean()*unit)
		}
		r.Counts = append(r.Counts, c)
	}
	return r
}

// Merge adds what a peer's report tells beyond its earlier ones, and reports whether the
// limit changed. Malformed counts are left out.
func (l *Limit) Merge(from string, r Report, now time.Time) bool {
	if l.slots == 0 {
		return false
	}
	p := l.peer(from, r.Start, now)
	if p == nil {
		return false
	}
	for _, c := range r.Counts[:min(len(r.Counts), maxSlots)] {
		if c.Running < 1 || c.Running > l.slots {
			continue
		}
		b := &l.bins[c.Running-1]
		old, seen := p.last[c.Running]
		if seen && c.Samples <= old.Samples {
			continue // late or duplicated
		}
		p.last[c.Running] = c
		mean := 0.0
		n := 0.0
		switch {
		case seen:
			n = float64(c.Samples - old.Samples)
			mean = float64(int64(c.Total)-int64(old.Total)) / unit / n
		case !b.seen() && c.Weight > 0:
			n, mean = float64(c.Weight)/unit, float64(c.Mean)/unit
		default:
			continue // how old they are is not known
		}
		if n = min(n, maxMerged); mean >= -maxLog && mean <= maxLog {
			l.add(c.Running, n, mean, now)
			if !seen {
				b.most = max(b.most, minWeight)
			}
		}
	}
	return l.decide(now)
}

// peer returns the counters of a peer's process, nil for a report of an older one.
func (l *Limit) peer(name string, start uint64, now time.Time) *counters {
	p := l.peers[name]
	if p != nil && start < p.start {
		return nil
	}
	if p == nil || start > p.start {
		if l.peers == nil {
			l.peers = make(map[string]*counters)
		}
		if p == nil && len(l.peers) >= maxPeers {
			l.forgetPeer()
		}
		p = &counters{start: start, last: make(map[int]Count)}
		l.peers[name] = p
	}
	p.heard = now
	return p
}

// forgetPeer drops the peer that was not heard for longest.
func (l *Limit) forgetPeer() {
	oldest := ""
	for name, p := range l.peers {
		if o := l.peers[oldest]; o == nil || p.heard.Before(o.heard) || p.heard.Equal(o.heard) && name < oldest {
			oldest = name
		}
	}
	delete(l.peers, oldest)
}
