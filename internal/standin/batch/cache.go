package batch

import (
	"container/list"
	"time"

	"agateward/ward"
)

// maxCacheEvents is the maximum number of events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	blocks   int
	lag      time.Duration
	gap      int
	order    *list.List // of uint64, most recently used first
	entries  map[uint64]*list.Element
	sequence uint64
	log      []loggedEvent
}

type loggedEvent struct {
	event ward.CacheEvent
	at    time.Time
}

func (c *prefixCache) init(p Profile) {
	c.blocks = p.CacheTokens / ward.PrefixBlockTokens
	c.lag = p.CacheLag
	c.gap = p.CacheGap
	c.order = list.New()
	c.entries = make(map[uint64]*list.Element)
}

func (c *prefixCache) len() int { return len(c.entries) }

// lookup returns the tokens of the longest cached prefix and marks its blocks
// as used.
func (c *prefixCache) lookup(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.entries[prefix[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.entries[prefix[i]])
	}
	return n * ward.PrefixBlockTokens
}

// store adds the blocks of a prefix. The last blocks of a prefix are evicted
// first.
func (c *prefixCache) store(prefix []uint64, now time.Time) {
	for i := min(len(prefix), c.blocks) - 1; i >= 0; i-- {
		h := prefix[i]
		if el := c.entries[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.entries[h] = c.order.PushFront(h)
		c.logEvent(h, true, now)
	}
	for len(c.entries) > c.blocks {
		el := c.order.Back()
		h := el.Value.(uint64)
		c.order.Remove(el)
		delete(c.entries, h)
		c.logEvent(h, false, now)
	}
}

// logEvent logs an event. Every gap-th event is lost and leaves a gap in the
// sequence.
func (c *prefixCache) logEvent(prefix uint64, stored bool, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	if len(c.log) >= maxCacheEvents {
		c.log = append(c.log[:0], c.log[maxCacheEvents/2:]...)
	}
	e := ward.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
	c.log = append(c.log, loggedEvent{event: e, at: now})
}

// events returns the events after a sequence number that readers can see at
// now.
func (c *prefixCache) events(after uint64, now time.Time) []ward.CacheEvent {
	var out []ward.CacheEvent
	for _, e := range c.log {
		if e.event.Sequence > after && now.Sub(e.at) >= c.lag {
			out = append(out, e.event)
		}
	}
	return out
}
