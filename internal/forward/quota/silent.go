package quota

import "time"

// advance fills a bucket up to now. The shares of peers that became unresponsive since
// the last time are withheld.
func (l *Ledger) advance(b *bucket, now time.Time) {
	fraction := l.liveFraction(now)
	if fraction < b.fraction {
		share := max(b.level+b.usedSince(now.Add(-peerTimeout), now), 0) * (1 - fraction/b.fraction)
		b.level -= share
		b.withheld += share
	}
	b.fraction = fraction
	unresponsive := float64(l.unresponsive(now)) / float64(l.entries())
	elapsed := now.Sub(b.updated).Seconds()
	b.level = min(b.level+fraction*b.rate*elapsed, fraction*b.burst)
	b.withheld = min(b.withheld+unresponsive*b.rate*elapsed, unresponsive*b.burst)
	b.updated = now
}

// release ends the withholding for one of the unresponsive peers. Its share goes back
// to the buckets only if its usage is going to be charged.
func (l *Ledger) release(charged bool, now time.Time) {
	n := l.unresponsive(now)
	for _, b := range l.buckets {
		if b.rate == 0 {
			continue
		}
		l.advance(b, now)
		share := b.withheld / float64(n)
		b.withheld -= share
		if charged {
			b.level += share
		}
	}
}

// silentShare returns the part of what is left in a bucket that is the share of the
// live peers that are silent for peerDelay: for each, that of what was left when it was
// last heard from, as it does not know what was used since, nor is its usage known.
func (l *Ledger) silentShare(b *bucket, left float64, now time.Time) (sum float64) {
	for _, p := range l.peers {
		if silent := now.Sub(p.updated); silent > peerDelay && silent <= peerTimeout {
			sum += max(left+b.usedSince(p.updated, now), 0)
		}
	}
	return sum / float64(l.live(now))
}

// liveFraction is the fraction of the entries that are live, with this one.
func (l *Ledger) liveFraction(now time.Time) float64 {
	return float64(l.live(now)) / float64(l.entries())
}

// live is the number of live entries, with this one.
func (l *Ledger) live(now time.Time) int { return len(l.peers) + 1 - l.unresponsive(now) }

// unresponsive is the number of known peers that are unresponsive.
func (l *Ledger) unresponsive(now time.Time) (n int) {
	for _, p := range l.peers {
		if now.Sub(p.updated) > peerTimeout {
			n++
		}
	}
	return n
}

// entries is the number of entries that share the quotas.
func (l *Ledger) entries() int { return max(l.Entries, len(l.peers)+1) }
