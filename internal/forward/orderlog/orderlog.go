// Package orderlog decides which writes of the platform's store are the same order of
// a roll-out.
//
// A store that returns from an older copy gives revisions out again: it holds an order
// under a revision of a later era, or one that was replaced, or lacks the newest one
// until that is written again. Entries exchange the writes that they have seen. What
// an order is called depends only on the set of writes, so entries with the same set
// agree, whatever each has seen itself.
//
// # Usage
//
//	var l orderlog.Log
//	changed := l.Add(order, orderedAt)
//	current := l.Current()
package orderlog

import (
	"cmp"
	"slices"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// maxWrites bounds the writes of one service that are kept; older ones are dropped.
const maxWrites = 32

// Write is one write of the store, with the time at which it was made, as far as this
// entry knows.
type Write struct {
	ward.Rollout
	At time.Time
}

// Order is an order of the operator. Its Revision is that of its first write; Aliases
// are the revisions of all its writes.
type Order struct {
	Write
	Aliases []uint64
}

// Log is the set of writes of one service's order. Its zero value is empty.
type Log struct{ writes []Write }

// Add adds a write, and reports whether it was unknown. The target of the removal of an
// order is empty.
func (l *Log) Add(r ward.Rollout, at time.Time) bool {
	i, found := slices.BinarySearchFunc(l.writes, r.Revision, func(w Write, rev uint64) int { return cmp.Compare(w.Revision, rev) })
	if found {
		if at.Before(l.writes[i].At) {
			l.writes[i].At = at
		}
		return false
	}
	if i == 0 && len(l.writes) >= maxWrites {
		return false
	}
	l.writes = slices.Insert(l.writes, i, Write{Rollout: r, At: at})
	l.writes = slices.Delete(l.writes, 0, max(len(l.writes)-maxWrites, 0))
	return true
}

// Writes returns the writes, oldest first.
func (l *Log) Writes() []Write { return slices.Clone(l.writes) }

// Newest returns the revision of the newest write, 0 for none.
func (l *Log) Newest() uint64 {
	if len(l.writes) == 0 {
		return 0
	}
	return l.writes[len(l.writes)-1].Revision
}

// Digest returns a hash of the set of revisions.
func (l *Log) Digest() uint64 {
	var sum uint64
	for _, w := range l.writes {
		var b [8]byte
		for i := range b {
			b[i] = byte(w.Revision >> (8 * i))
		}
		sum += xxhash.Sum64String(w.Service + "\x00" + string(b[:]))
	}
	return sum
}

// Current returns the order in force, with Revision 0 if there is none. A removal is in
// force like an order.
func (l *Log) Current() Order {
	list := l.orders()
	if len(list) == 0 {
		return Order{}
	}
	return list[len(list)-1]
}

// Identify returns the revision by which the order of a write is known, and whether
// the write is known.
func (l *Log) Identify(revision uint64) (uint64, bool) {
	for _, o := range l.orders() {
		if slices.Contains(o.Aliases, revision) {
			return o.Revision, true
		}
	}
	return 0, false
}

// orders returns the orders that the operator has given, oldest first.
func (l *Log) orders() []Order {
	var list []Order
	var newest uint64
	for _, w := range l.writes {
		i := -1
		if ward.LaterEra(w.Revision, newest) {
			i = lastHeld(list, w)
		}
		if last := len(list) - 1; i < 0 && last >= 0 && list[last].writtenAgain(w) {
			i = last
		}
		newest = w.Revision
		if i < 0 {
			list = append(list, Order{Write: w, Aliases: []uint64{w.Revision}})
			continue
		}
		list[i].Aliases = append(list[i].Aliases, w.Revision)
	}
	return list
}

// lastHeld returns the index of the last order that the first write of a later era may
// be, as the older copy holds it: under the revision of its newest write. It returns -1
// for none. Writes after the return have revisions above all that the copy holds.
func lastHeld(list []Order, w Write) int {
	_, own := ward.SplitRevision(w.Revision)
	for i, o := range slices.Backward(list) {
		if _, held := ward.SplitRevision(o.Aliases[len(o.Aliases)-1]); held == own && o.same(w) {
			return i
		}
	}
	return -1
}

// writtenAgain reports whether w is this order as the operator wrote it again after a
// return, once in each era, as it was not in the copy.
func (o Order) writtenAgain(w Write) bool {
	return o.same(w) && ward.LaterEra(w.Revision, o.Aliases[len(o.Aliases)-1])
}

func (o Order) same(w Write) bool { return o.Target == w.Target && o.Within == w.Within }
